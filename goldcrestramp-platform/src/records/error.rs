//! Why a record is refused.

use std::fmt;

/// Why a value is no valid record, or a record cannot be kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The bytes are no JSON of the record's form.
    Json(String),
    /// The encoded value is larger than the store takes.
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
    },
    /// More entries of a kind than the record may have.
    TooMany(&'static str),
    /// A number is out of its range.
    OutOfRange(&'static str),
    /// A name or slice stands twice where it may stand once.
    Duplicate(String),
    /// A server, service or slice count that the directory lacks.
    Unknown(String),
    /// A part of a domain's record is missing or older than its head says.
    Outdated(String),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(why) => write!(f, "malformed value: {why}"),
            Self::TooLarge { bytes } => {
                write!(f, "value of {bytes} bytes is too large")
            }
            Self::TooMany(what) => write!(f, "too many {what}"),
            Self::OutOfRange(what) => write!(f, "{what} out of range"),
            Self::Duplicate(name) => write!(f, "{name} stands twice"),
            Self::Unknown(name) => write!(f, "{name} is not configured"),
            Self::Outdated(part) => {
                write!(f, "{part} is older than the head says")
            }
        }
    }
}

impl std::error::Error for RecordError {}
