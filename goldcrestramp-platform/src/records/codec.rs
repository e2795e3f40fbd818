//! Records to and from the bytes of a value.

use bytes::Bytes;
use goldcrestramp_config::DeploymentState;
use serde::{Serialize, de::DeserializeOwned};

use super::error::RecordError;

/// The largest value that is written, in bytes.
///
/// The store takes a megabyte; the rest is room for its own bookkeeping.
const VALUE_LIMIT: usize = 950_000;

/// A record that the store keeps.
pub trait StoreRecord: Sized {
    /// Its form in JSON.
    type Form: Serialize + DeserializeOwned;

    /// The record's form, if the record is within its bounds.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] that names the bound.
    fn to_form(&self) -> Result<Self::Form, RecordError>;

    /// The record of this form.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] that names the first fault.
    fn from_form(form: Self::Form) -> Result<Self, RecordError>;

    /// The bytes to write.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] when the record breaks a bound; what
    /// [`StoreRecord::decode`] would refuse is never written.
    fn encode(&self) -> Result<Bytes, RecordError> {
        let form = self.to_form()?;
        let bytes = serde_json::to_vec(&form).map_err(json)?;
        if bytes.len() > VALUE_LIMIT {
            return Err(RecordError::TooLarge { bytes: bytes.len() });
        }
        Ok(Bytes::from(bytes))
    }

    /// The record in these bytes.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] when any part of the value is malformed.
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
