//! Logs are bounded and never block the thread that writes them.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use flexi_logger::{DeferredNow, writers::LogWriter};
use goldcrestramp_entry::logs::{LineBudget, LineVerdict, LineWriter};
use goldcrestramp_types::LocalTime;
use log::{Level, Record};

/// An output that accepts nothing until it is resumed.
struct StalledOutput {
    resume: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for StalledOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Once the sender is dropped, `recv_timeout` returns at once.
        let _gone = self.resume.recv_timeout(Duration::from_mins(1));
        self.written
            .lock()
            .expect("lock is not poisoned")
            .extend_from_slice(buf);
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
        .expect("write succeeds");
}

/// Guards against requests and control tasks that block on a log line when
/// the reader of standard output stalls. Lines are dropped instead, and
/// their number is reported later.
#[test]
fn a_stalled_reader_blocks_no_writer() {
    let (resume, resumed) = mpsc::channel();
    let written = Arc::<Mutex<Vec<u8>>>::default();
    let output =
        StalledOutput { resume: resumed, written: Arc::clone(&written) };
    let writer = LineWriter::spawn(output);

    for part in 0..3_000 {
        write(&writer, part, "A decision.");
    }

    assert!(writer.dropped() > 0);
    drop(resume);
    let reports_drops = || {
        let written = written.lock().expect("lock is not poisoned").clone();
        String::from_utf8(written)
            .expect("lines are UTF-8")
            .contains("\"dropped\":")
    };
    while !reports_drops() {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against log volume under overload, when thousands of requests a
/// second are refused: the lines of a part are bounded, and the next second
/// reports how many were omitted.
#[test]
fn lines_of_a_part_are_bounded_and_omitted_ones_are_counted() {
    let mut budget = LineBudget::default();
    let at = |millis: u64| LocalTime::from_micros(5_000_000 + millis * 1_000);

    let line_count = (0..1_000)
        .filter(|i| budget.admit(at(i / 2), "gateway") != LineVerdict::Omit)
        .count();

    assert_eq!(line_count, 100);
    let other = budget.admit(at(400), "control");
    assert_eq!(other, LineVerdict::Write { omitted: 0 });
    let next = budget.admit(at(1_200), "gateway");
    assert_eq!(next, LineVerdict::Write { omitted: 900 });
}
