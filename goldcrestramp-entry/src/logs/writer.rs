//! Writes lines on a thread of their own.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use flexi_logger::{DeferredNow, writers::LogWriter};
use goldcrestramp_types::{ClockSource, MonotonicClock};
use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, json};

use crate::logs::budget::{LineBudget, LineVerdict};

/// Lines that wait to be written. A reader that stops reading fills this,
/// and from then on lines are dropped and counted: nobody waits.
const MAX_QUEUED_LINES: usize = 1_024;

/// How long the end of the process waits for lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// How many lines were handed over and written.
#[derive(Debug, Default)]
struct LineCounts {
    handed: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

/// Makes one JSON object of each record and hands it to a thread.
#[derive(Debug)]
pub struct LineWriter {
    lines: SyncSender<String>,
    budget: Mutex<LineBudget>,
    counts: Arc<LineCounts>,
}

impl LineWriter {
    /// Starts the thread that writes to `out`.
    #[must_use]
    pub fn spawn(out: impl Write + Send + 'static) -> Self {
        let (lines, waiting) = sync_channel(MAX_QUEUED_LINES);
        let counts = Arc::<LineCounts>::default();
        let known = Arc::clone(&counts);
        thread::spawn(move || write_lines(out, &waiting, &known));
        Self { lines, budget: Mutex::default(), counts }
    }

    /// Lines that were dropped as too many waited.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    fn hand_over(&self, line: String) {
        self.counts.handed.fetch_add(1, Ordering::Relaxed);
        let sent = self.lines.try_send(line);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            sent
        {
            self.counts.handed.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes lines until the writer is dropped, or nobody reads any more.
fn write_lines(
    mut out: impl Write,
    waiting: &Receiver<String>,
    counts: &LineCounts,
) {
    while let Ok(line) = waiting.recv() {
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        let note = if dropped > 0 {
            format!("{{\"part\":\"logs\",\"dropped\":{dropped}}}\n")
        } else {
            String::new()
        };
        let text = format!("{note}{line}\n");
        if out.write_all(text.as_bytes()).is_err() {
            return;
        }
        counts.written.fetch_add(1, Ordering::Relaxed);
    }
}

impl LogWriter for LineWriter {
    fn write(
        &self,
        _now: &mut DeferredNow,
        record: &Record<'_>,
    ) -> io::Result<()> {
        let text = record.args().to_string();
        let (part, text) = split_part(&text);
        let verdict = {
            let budget = self.budget.lock();
            // Counts are valid whatever happened to their holder.
            let mut budget = budget.unwrap_or_else(PoisonError::into_inner);
            budget.take(MonotonicClock.now(), part)
        };
        if let LineVerdict::Write { left_out } = verdict {
            self.hand_over(line(record, part, text, left_out));
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let end = Instant::now() + FLUSH_TIMEOUT;
        let counts = &self.counts;
        while counts.written.load(Ordering::Relaxed)
            < counts.handed.load(Ordering::Relaxed)
            && Instant::now() < end
        {
            thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }
}

/// The part that a line's prefix names, and the rest of the line.
fn split_part(text: &str) -> (&str, &str) {
    let named = text.strip_prefix('[').and_then(|t| t.split_once("] "));
    named.unwrap_or(("library", text))
}

fn line(record: &Record<'_>, part: &str, text: &str, left_out: u32) -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let at = since.map_or(0.0, |since| since.as_secs_f64());
    let level = record.level().as_str();
    let mut fields = FieldVisitor(Map::new());
    fields.0.insert("at".into(), json!(at));
    fields.0.insert("level".into(), json!(level));
    fields.0.insert("part".into(), json!(part));
    fields.0.insert("text".into(), json!(text));
    if left_out > 0 {
        fields.0.insert("left_out".into(), json!(left_out));
    }
    // The visitor below never fails.
    let _visited = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}

/// Collects a record's fields.
struct FieldVisitor(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), Error> {
        let value = match (value.to_i64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(truth)) => json!(truth),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
