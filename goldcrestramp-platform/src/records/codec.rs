//! Encodes records to stored values and decodes them.

use bytes::Bytes;
use goldcrestramp_config::DeploymentState;
use serde::{Serialize, de::DeserializeOwned};

use super::error::RecordError;

/// The maximum size of a written value, in bytes.
///
/// The store accepts up to a megabyte; the rest is room for its own metadata.
const MAX_VALUE_BYTES: usize = 950_000;

/// A record that can be stored.
pub trait StoreRecord: Sized {
    /// The record's JSON representation.
    type Form: Serialize + DeserializeOwned;

    /// Converts the record to its JSON form.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] that names the bound that the record exceeds.
    fn to_form(&self) -> Result<Self::Form, RecordError>;

    /// Converts a JSON form to the record.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] that names the first invalid part.
    fn from_form(form: Self::Form) -> Result<Self, RecordError>;

    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] if the record exceeds a bound, so that a value that
    /// [`StoreRecord::decode`] would reject is never written.
    fn encode(&self) -> Result<Bytes, RecordError> {
        let form = self.to_form()?;
        let bytes = serde_json::to_vec(&form).map_err(json)?;
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(RecordError::TooLarge { bytes: bytes.len() });
        }
        Ok(Bytes::from(bytes))
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] if any part of the value is malformed.
    fn decode(value: &[u8]) -> Result<Self, RecordError> {
        Self::from_form(serde_json::from_slice(value).map_err(json)?)
    }
}

impl StoreRecord for DeploymentState {
    type Form = Self;

    fn to_form(&self) -> Result<Self, RecordError> {
        Ok(self.clone())
    }

    fn from_form(form: Self) -> Result<Self, RecordError> {
        Ok(form)
    }
}

#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn json(error: serde_json::Error) -> RecordError {
    RecordError::Json(error.to_string())
}
