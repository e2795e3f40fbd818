//! A server's own log of its executions and grants.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    path::Path,
};

use serde::{Deserialize, Serialize};

use crate::records::{ExecutionEntry, GrantEntry, MachineTime};

/// One line of a log file; a later line with the same index replaces it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum LogLine {
    Execution { index: usize, entry: ExecutionEntry },
    Hold { index: usize, entry: GrantEntry },
}

/// The executions and grants of one server, or of several.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLog {
    /// Executions, in order of their start.
    pub executions: Vec<ExecutionEntry>,
    /// Grants, in order of their start.
    pub holds: Vec<GrantEntry>,
}

impl ServerLog {
    /// Reads the log file of a server that may have been killed.
    ///
    /// An incomplete last line is skipped.
    ///
    /// # Errors
    ///
    /// The system's error when the file cannot be read.
    pub fn read(path: &Path) -> std::io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let mut log = Self::default();
        for line in text.lines() {
            match serde_json::from_str(line) {
                Ok(LogLine::Execution { index, entry }) => {
                    put(&mut log.executions, index, entry);
                }
                Ok(LogLine::Hold { index, entry }) => {
                    put(&mut log.holds, index, entry);
                }
                Err(_torn) => {}
            }
        }
        Ok(log)
    }

    /// Appends the log of another server.
    pub fn append(&mut self, mut other: Self) {
        self.executions.append(&mut other.executions);
        self.holds.append(&mut other.holds);
    }
}

/// Replaces the entry at `index`, or appends it.
fn put<T>(entries: &mut Vec<T>, index: usize, entry: T) {
    match entries.get_mut(index) {
        Some(old) => *old = entry,
        None => entries.push(entry),
    }
}

/// Records a [`ServerLog`] in memory, and in a file if there is one.
#[derive(Debug, Default)]
pub(super) struct LogWriter {
    log: ServerLog,
    file: Option<File>,
}

impl LogWriter {
    /// Opens a log that is also written to `path`.
    pub(super) fn open(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self { log: ServerLog::default(), file: Some(file) })
    }

    pub(super) const fn log(&self) -> &ServerLog {
        &self.log
    }

    /// Records a start; returns its index for [`Self::ended`].
    pub(super) fn started(&mut self, entry: ExecutionEntry) -> usize {
        let index = self.log.executions.len();
        self.log.executions.push(entry);
        self.write_execution(index);
        index
    }

    /// Records the end of an execution.
    pub(super) fn ended(&mut self, index: usize, now: MachineTime) {
        self.log.executions[index].ended = Some(now);
        self.write_execution(index);
    }

    /// Records what the server holds from now on.
    ///
    /// An extension of the same slices extends the existing entry, if it came
    /// before that entry's end.
    pub(super) fn holds(&mut self, entry: GrantEntry) {
        let now = entry.from;
        if let Some(last) = self.log.holds.last_mut() {
            let same = last.slices == entry.slices
                && last.token == entry.token
                && now < last.until;
            last.until = if same { entry.until } else { last.until.min(now) };
            self.write_hold();
            if same {
                return;
            }
        }
        if !entry.slices.is_empty() {
            self.log.holds.push(entry);
            self.write_hold();
        }
    }

    /// Records that the server is lost and holds nothing any more.
    pub(super) fn close(&mut self, now: MachineTime) {
        if let Some(last) = self.log.holds.last_mut() {
            last.until = last.until.min(now);
        }
    }

    fn write_execution(&mut self, index: usize) {
        if self.file.is_some() {
            let entry = self.log.executions[index].clone();
            self.write_line(&LogLine::Execution { index, entry });
        }
    }

    fn write_hold(&mut self) {
        let last = self.log.holds.last().cloned();
        if let (Some(entry), true) = (last, self.file.is_some()) {
            let index = self.log.holds.len() - 1;
            self.write_line(&LogLine::Hold { index, entry });
        }
    }

    /// Writes a line immediately, so that a kill loses no earlier line.
    fn write_line(&mut self, line: &LogLine) {
        let Some(file) = &mut self.file else {
            return;
        };
        let written = serde_json::to_string(line)
            .map_err(std::io::Error::from)
            .and_then(|text| file.write_all(format!("{text}\n").as_bytes()));
        if let Err(error) = written {
            log::error!("stand-in: the log file cannot be written: {error}");
        }
    }
}
