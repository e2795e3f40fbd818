//! The record of a run: what was sent, answered and run.

use std::{
    fs,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Lines with the time since the start of the run.
#[derive(Debug)]
pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<String>>,
    violations: Mutex<Vec<String>>,
}

impl Record {
    pub fn open() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Mutex::default(),
            violations: Mutex::default(),
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn add(&self, line: &str) {
        let at = self.elapsed().as_millis();
        let mut lines = self.lines.lock().expect("lock is not poisoned");
        lines.push(format!("{at:>6} ms  {line}"));
    }

    /// Records that the rule was broken.
    pub fn violation(&self, line: &str) {
        self.add(&format!("BROKEN: {line}"));
        let mut violations =
            self.violations.lock().expect("lock is not poisoned");
        violations.push(line.to_owned());
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().expect("lock is not poisoned").clone()
    }

    /// Writes the record to a file, with `verdict` as its first lines.
    pub fn write(&self, path: &Path, verdict: &str) -> std::io::Result<()> {
        let mut file = fs::File::create(path)?;
        writeln!(file, "{verdict}")?;
        for line in &*self.lines.lock().expect("lock is not poisoned") {
            writeln!(file, "{line}")?;
        }
        Ok(())
    }
}
