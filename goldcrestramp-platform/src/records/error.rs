//! The error of encoding or decoding a record.

use std::fmt;

/// Why a value is not a valid record, or a record can't be stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The bytes are not JSON of the record's form.
    Json(String),
    /// The encoded value is larger than the store accepts.
    TooLarge {
        /// The size of the value, in bytes.
        bytes: usize,
    },
    /// The record has too many entries of this kind.
    TooMany(&'static str),
    /// This number is out of range.
    OutOfRange(&'static str),
    /// This name or slice appears twice.
    Duplicate(String),
    /// The directory lacks this server, service or slice count.
    Unknown(String),
    /// This part of a domain's record is missing, or older than its head
    /// requires.
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
            Self::Duplicate(name) => write!(f, "{name} appears twice"),
            Self::Unknown(name) => write!(f, "{name} is not configured"),
            Self::Outdated(part) => {
                write!(f, "{part} is missing or older than its head")
            }
        }
    }
}

impl std::error::Error for RecordError {}
