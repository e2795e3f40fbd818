//! A server's own log of what it executed and held.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    path::Path,
    sync::Arc,
};

use goldcrestramp_types::FastMap;
use serde::{Deserialize, Serialize};

use crate::records::{ExecutionEntry, HoldEntry, MachineTime};

/// One line of a log file; a later line with the same index replaces it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum LogLine {
    Execution { index: usize, entry: ExecutionEntry },
    Hold { index: usize, entry: HoldEntry },
}

/// What one server, or several, executed and held.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLog {
    /// Executions, in the order of their starts.
    pub executions: Vec<ExecutionEntry>,
    /// Times of holding, in the order of their beginnings.
    pub holds: Vec<HoldEntry>,
    /// The servers' failure domains, as far as they are known.
    #[serde(default, skip_serializing_if = "ServerPlaces::is_empty")]
    pub places: ServerPlaces,
}

/// The failure domain of each server.
pub type ServerPlaces = FastMap<Arc<str>, Arc<str>>;

impl ServerLog {
    /// Reads the log file of a server that may have been killed.
    ///
    /// A last line that was not written whole is passed over.
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

    /// Adds what another server wrote down.
    pub fn append(&mut self, mut other: Self) {
        self.executions.append(&mut other.executions);
        self.holds.append(&mut other.holds);
        self.places.extend(other.places);
    }
}

/// Replaces the entry at `index`, or adds it at the end.
fn put<T>(entries: &mut Vec<T>, index: usize, entry: T) {
    match entries.get_mut(index) {
        Some(old) => *old = entry,
        None => entries.push(entry),
    }
}

/// Writes a [`ServerLog`], in memory and to a file if there is one.
#[derive(Debug, Default)]
pub(super) struct LogWriter {
    log: ServerLog,
    file: Option<File>,
}

impl LogWriter {
    /// A log that is also written to `path`.
    pub(super) fn open(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self { log: ServerLog::default(), file: Some(file) })
    }

    pub(super) const fn log(&self) -> &ServerLog {
        &self.log
    }

    /// Writes down a start; returns its number for [`Self::ended`].
    pub(super) fn started(&mut self, entry: ExecutionEntry) -> usize {
        let index = self.log.executions.len();
        self.log.executions.push(entry);
        self.write_execution(index);
        index
    }

    /// Writes down the end of a start.
    pub(super) fn ended(&mut self, index: usize, now: MachineTime) {
        self.log.executions[index].ended = Some(now);
        self.write_execution(index);
    }

    /// Writes down what the server holds from now on.
    ///
    /// An extension of the same slices lengthens the entry that there is,
    /// if it came before that one's end.
    pub(super) fn holds(&mut self, entry: HoldEntry) {
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

    /// Writes down that the server is gone, and holds nothing any more.
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

    /// Writes a line at once, so that a kill loses nothing before it.
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
