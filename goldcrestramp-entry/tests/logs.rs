//! Logs are structured, bounded, and wait for nobody.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use flexi_logger::{DeferredNow, writers::LogWriter};
use goldcrestramp_entry::logs::{LineBudget, LineVerdict, LineWriter};
use goldcrestramp_types::LocalTime;
use log::{Level, Record};

/// A reader that takes nothing until it is let go.
struct StuckReader {
    go: mpsc::Receiver<()>,
    read: Arc<Mutex<Vec<u8>>>,
}

impl Write for StuckReader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Once the sender is gone the reader reads on.
        let _gone = self.go.recv_timeout(Duration::from_mins(1));
        self.read.lock().expect("no panic").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(writer: &LineWriter, part: usize, text: &str) {
    let mut builder = Record::builder();
    builder.level(Level::Info);
    writer
        .write(
            &mut DeferredNow::new(),
            &builder.args(format_args!("[part-{part}] {text}")).build(),
        )
        .expect("written");
}

/// Whoever reads standard output stops reading. The requests and the
/// control state go on: lines are dropped, and how many is said later.
#[test]
fn a_reader_that_stops_stops_nothing() {
    let (go, stuck) = mpsc::channel();
    let read = Arc::<Mutex<Vec<u8>>>::default();
    let reader = StuckReader { go: stuck, read: Arc::clone(&read) };
    let writer = LineWriter::spawn(reader);

    for part in 0..3_000 {
        write(&writer, part, "A decision.");
    }

    assert!(writer.dropped() > 0);
    drop(go);
    let said = || {
        let read = read.lock().expect("no panic").clone();
        String::from_utf8(read).expect("text").contains("\"dropped\":")
    };
    while !said() {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// An overload refuses thousands of requests in a second. A part's lines
/// are bounded; the next second says how many were left out.
#[test]
fn a_part_s_lines_are_bounded_and_the_rest_is_counted() {
    let mut budget = LineBudget::default();
    let at = |millis: u64| LocalTime::from_micros(5_000_000 + millis * 1_000);

    let written = (0..1_000)
        .filter(|i| budget.take(at(i / 2), "gateway") != LineVerdict::LeaveOut)
        .count();

    assert_eq!(written, 100);
    let other = budget.take(at(400), "control");
    assert_eq!(other, LineVerdict::Write { left_out: 0 });
    let next = budget.take(at(1_200), "gateway");
    assert_eq!(next, LineVerdict::Write { left_out: 900 });
}
