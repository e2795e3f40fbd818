//! Faults of a document and their positions.

use std::{fmt, sync::Arc};

use serde::Serialize;

/// A position in a text; lines and columns count from 1, columns in bytes.
#[derive(
    Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct SourcePosition {
    /// The line, from 1.
    pub line: usize,
    /// The column in bytes, from 1.
    pub column: usize,
}

/// One fault of a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DocumentFault {
    /// The file's name as the operator gave it.
    pub file: Arc<str>,
    /// The position in the file.
    pub position: SourcePosition,
    /// The path of the value, such as `servers[3].slots`; empty for the
    /// whole document.
    pub path: String,
    /// A short description of the fault.
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

/// The faults of one document, ordered by position.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FaultList {
    file: Arc<str>,
    faults: Vec<DocumentFault>,
}

impl FaultList {
    /// Creates an empty list for the file of this name.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Self { file: Arc::from(file), faults: Vec::new() }
    }

    /// Creates the list of a file that can't be read, with one fault.
    pub(crate) fn unreadable(file: &str, error: &std::io::Error) -> Self {
        let mut faults = Self::new(file);
        let message = format!("can't be read: {error}");
        faults.add(SourcePosition::default(), "", message);
        faults
    }

    /// Adds a fault at its position in the order.
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
        let index = self.faults.partition_point(|f| f.position <= position);
        self.faults.insert(index, fault);
    }

    /// Returns the faults, ordered by position.
    #[must_use]
    pub fn faults(&self) -> &[DocumentFault] {
        &self.faults
    }

    /// Whether the document has no faults.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// Returns the value if there are no faults, otherwise the faults.
    pub(crate) fn into_result<T>(self, value: Option<T>) -> Result<T, Self> {
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
