//! What is wrong with a document, and where.

use std::{fmt, sync::Arc};

use serde::Serialize;

/// A place in a text; lines and columns count from 1, columns in bytes.
#[derive(
    Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct SourcePosition {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// One fault of a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DocumentFault {
    /// The file, as the operator named it.
    pub file: Arc<str>,
    /// Where in the file.
    pub position: SourcePosition,
    /// Which value, such as `servers[3].slots`; empty: the whole document.
    pub path: String,
    /// What is wrong with it, as a short sentence.
    pub message: String,
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SourcePosition { line, column } = self.position;
        write!(f, "{}:{line}:{column}: ", self.file)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for DocumentFault {}

/// The faults of one document, ordered by place.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FaultList {
    file: Arc<str>,
    faults: Vec<DocumentFault>,
}

impl FaultList {
    /// No faults yet in the file of this name.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Self { file: Arc::from(file), faults: Vec::new() }
    }

    /// The one fault of a file that can't be read.
    pub(crate) fn unreadable(file: &str, error: &std::io::Error) -> Self {
        let mut faults = Self::new(file);
        let message = format!("can't be read: {error}");
        faults.add(SourcePosition::default(), "", message);
        faults
    }

    /// Notes a fault.
    pub fn add(
        &mut self,
        position: SourcePosition,
        path: &str,
        message: impl Into<String>,
    ) {
        let fault = DocumentFault {
            file: Arc::clone(&self.file),
            position,
            path: path.to_owned(),
            message: message.into(),
        };
        let place = self.faults.partition_point(|f| f.position <= position);
        self.faults.insert(place, fault);
    }

    /// The faults, ordered by place.
    #[must_use]
    pub fn faults(&self) -> &[DocumentFault] {
        &self.faults
    }

    /// Whether nothing is wrong.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// The document when nothing is wrong with it, else the faults.
    pub(crate) fn or_value<T>(self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for FaultList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FaultList {}
