//! Writes log lines on a dedicated thread.

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

/// The maximum number of lines that wait to be written. If the reader of the
/// output stalls, the queue fills up; further lines are dropped and counted,
/// so that logging never blocks.
const MAX_QUEUED_LINES: usize = 1_024;

/// The time that a flush waits for queued lines, when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The numbers of lines that were queued, written and dropped.
#[derive(Debug, Default)]
struct LineCounts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

/// Encodes each record as a JSON object and queues it for a writer thread.
#[derive(Debug)]
pub struct LineWriter {
    lines: SyncSender<String>,
    budget: Mutex<LineBudget>,
    counts: Arc<LineCounts>,
}

impl LineWriter {
    /// Starts a thread that writes queued lines to `out`.
    #[must_use]
    pub fn spawn(out: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let counts = Arc::<LineCounts>::default();
        let thread_counts = Arc::clone(&counts);
        thread::spawn(move || write_lines(out, &queue, &thread_counts));
        Self { lines, budget: Mutex::default(), counts }
    }

    /// The number of lines that were dropped because the queue was full and
    /// that are not yet reported in the output.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    fn enqueue(&self, line: String) {
        self.counts.queued.fetch_add(1, Ordering::Relaxed);
        let sent = self.lines.try_send(line);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            sent
        {
            self.counts.queued.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes queued lines until the writer is dropped or the output is closed.
fn write_lines(
    mut out: impl Write,
    queue: &Receiver<String>,
    counts: &LineCounts,
) {
    while let Ok(line) = queue.recv() {
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
            // The counts stay valid if a thread panicked with the lock held.
            let mut budget = budget.unwrap_or_else(PoisonError::into_inner);
            budget.admit(MonotonicClock.now(), part)
        };
        if let LineVerdict::Write { omitted } = verdict {
            self.enqueue(encode_line(record, part, text, omitted));
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let counts = &self.counts;
        while counts.written.load(Ordering::Relaxed)
            < counts.queued.load(Ordering::Relaxed)
            && Instant::now() < deadline
        {
            thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }
}

/// Splits a line into the part that its `[part]` prefix names and the rest.
fn split_part(text: &str) -> (&str, &str) {
    let parts = text.strip_prefix('[').and_then(|t| t.split_once("] "));
    parts.unwrap_or(("library", text))
}

fn encode_line(
    record: &Record<'_>,
    part: &str,
    text: &str,
    omitted: u32,
) -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let at = since.map_or(0.0, |since| since.as_secs_f64());
    let level = record.level().as_str();
    let mut fields = FieldVisitor(Map::new());
    fields.0.insert("at".into(), json!(at));
    fields.0.insert("level".into(), json!(level));
    fields.0.insert("part".into(), json!(part));
    fields.0.insert("text".into(), json!(text));
    if omitted > 0 {
        fields.0.insert("left_out".into(), json!(omitted));
    }
    // `FieldVisitor` never returns an error.
    let _visited = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}

/// Collects the key-value pairs of a record.
struct FieldVisitor(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), Error> {
        let value = match (value.to_i64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(flag)) => json!(flag),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
