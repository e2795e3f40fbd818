//! What was sent, answered and run, with the time since the start of a trial.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// The record of one trial; a clone writes to the same file.
#[derive(Clone, Debug)]
pub struct Record(Arc<RecordState>);

#[derive(Debug)]
struct RecordState {
    began_at: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self(Arc::new(RecordState { began_at: Instant::now(), file })))
    }

    pub fn elapsed(&self) -> Duration {
        self.0.began_at.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.0.file.lock().expect("no writer panicked");
        let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
        let _ = file.flush();
    }
}
