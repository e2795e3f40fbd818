//! Identifies requests that have the same content.

use std::fmt;

use http::{Method, Uri};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::traffic::ChunkList;

/// The number of bytes of a fingerprint.
const BYTES: usize = 16;

/// Identifies the content of a request, whoever sends it: a part of the
/// SHA-256 hash of its host, method, path, query, key and body.
///
/// Callers choose the content. With a weaker hash one of them could build a
/// request that has the fingerprint of another's.
#[derive(Clone, Copy, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; BYTES]);

impl RequestFingerprint {
    pub(crate) fn new(
        host: &[u8],
        method: &Method,
        uri: &Uri,
        key: Option<u16>,
        body: &ChunkList,
    ) -> Self {
        let path = uri.path_and_query().map_or("", |path| path.as_str());
        let key = key.map_or([0; 3], |key| {
            let [high, low] = key.to_be_bytes();
            [1, high, low]
        });
        let mut hasher = Sha256::new();
        let parts: [&[u8]; 4] =
            [host, method.as_str().as_bytes(), path.as_bytes(), &key];
        // The lengths keep the end of a part from counting as the next one's
        // beginning.
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(body.total_bytes().to_be_bytes());
        for chunk in body.iter() {
            hasher.update(chunk);
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hasher.finalize()[..BYTES]);
        Self(bytes)
    }

    /// Parses the hexadecimal form.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0; BYTES];
        if text.len() != 2 * BYTES || !text.is_ascii() {
            return None;
        }
        for (position, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * position..2 * position + 2];
            *byte = u8::from_str_radix(digits, 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// The bytes of the fingerprint.
    pub(crate) const fn as_bytes(&self) -> &[u8; BYTES] {
        &self.0
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestFingerprint({self})")
    }
}
