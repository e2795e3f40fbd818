//! Authorization of requests to the operators' listener.

use std::{
    fmt,
    fs::File,
    io::Read,
    path::{Path, PathBuf},
    sync::Arc,
};

use goldcrestramp_config::OperatorSettings;
use subtle::ConstantTimeEq;

use super::control::OperatorRefusal;

/// The most bytes that are read from a token file.
const MAX_TOKEN_BYTES: u64 = 4_096;
const SCHEME: &str = "Bearer ";

/// Checks the bearer token of each request; cheap to clone.
///
/// The file is read for each request, so a replaced token takes effect
/// immediately. Operators send few requests, and the file is small.
#[derive(Clone, Debug)]
pub struct OperatorPolicy {
    token_file: Option<Arc<Path>>,
}

/// Why the settings give no valid policy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PolicyError {
    /// A listener off loopback needs a token: otherwise anyone who can reach
    /// the port could apply a ticket.
    TokenNeeded,
    /// The token file can't be read or holds no token.
    TokenUnreadable(PathBuf),
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TokenNeeded => {
                write!(f, "operators off loopback need a token file")
            }
            Self::TokenUnreadable(file) => {
                write!(f, "{} holds no readable token", file.display())
            }
        }
    }
}

impl std::error::Error for PolicyError {}

impl OperatorPolicy {
    /// Creates the policy of these settings.
    ///
    /// # Errors
    ///
    /// Returns a [`PolicyError`] if the listener would be open to everyone,
    /// or to no one.
    pub fn open(settings: &OperatorSettings) -> Result<Self, PolicyError> {
        let Some(file) = &settings.token_file else {
            if settings.listen.ip().is_loopback() {
                return Ok(Self { token_file: None });
            }
            return Err(PolicyError::TokenNeeded);
        };
        if read_token(file).is_none() {
            return Err(PolicyError::TokenUnreadable(file.clone()));
        }
        Ok(Self { token_file: Some(Arc::from(file.as_path())) })
    }

    /// Checks the `authorization` header of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing the request.
    pub fn check(&self, header: Option<&str>) -> Result<(), OperatorRefusal> {
        let Some(file) = &self.token_file else { return Ok(()) };
        let header = header.ok_or(OperatorRefusal::NoToken)?;
        let given =
            header.strip_prefix(SCHEME).ok_or(OperatorRefusal::NoToken)?;
        // Without the file every request is refused: an operator can lock a
        // listener whose token has leaked by removing the file.
        let token =
            read_token(file).ok_or(OperatorRefusal::TokenUnreadable)?;
        // Comparing in constant time keeps a client from finding the token
        // by response times; only its length may leak.
        if bool::from(token.as_bytes().ct_eq(given.trim().as_bytes())) {
            Ok(())
        } else {
            Err(OperatorRefusal::WrongToken)
        }
    }
}

fn read_token(file: &Path) -> Option<String> {
    let mut text = String::new();
    let mut open = File::open(file).ok()?.take(MAX_TOKEN_BYTES);
    open.read_to_string(&mut text).ok()?;
    let token = text.trim();
    (!token.is_empty()).then(|| token.to_owned())
}
