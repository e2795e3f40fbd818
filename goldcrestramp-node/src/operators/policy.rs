//! Who may use the operators' listener.

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

/// The longest token that is read, in bytes.
const TOKEN_LIMIT: u64 = 4_096;
const SCHEME: &str = "Bearer ";

/// Checks the bearer token of each request; cheap to clone.
///
/// The file is read for each request, so a replaced token counts at once:
/// operators ask seldom, and the file is small.
#[derive(Clone, Debug)]
pub struct OperatorPolicy {
    token_file: Option<Arc<Path>>,
}

/// Why no policy can be made of the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PolicyError {
    /// Off loopback a token is needed: anybody who reaches the port could
    /// apply a ticket.
    TokenNeeded,
    /// The token's file can't be read, or holds no token.
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
    /// Makes the policy of these settings.
    ///
    /// # Errors
    ///
    /// A [`PolicyError`] when the listener would stand open, or nobody
    /// could pass it.
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

    /// Judges the `authorization` header of a request.
    ///
    /// # Errors
    ///
    /// The reason to refuse the request.
    pub fn check(&self, header: Option<&str>) -> Result<(), OperatorRefusal> {
        let Some(file) = &self.token_file else { return Ok(()) };
        let header = header.ok_or(OperatorRefusal::NoToken)?;
        let given =
            header.strip_prefix(SCHEME).ok_or(OperatorRefusal::NoToken)?;
        // A file that is gone refuses everybody: taking a token away is how
        // an operator locks a listener whose token has leaked.
        let token =
            read_token(file).ok_or(OperatorRefusal::TokenUnreadable)?;
        // Comparing byte by byte until one differs would let a peer find
        // the token by its answer times; only the length may leak.
        if bool::from(token.as_bytes().ct_eq(given.trim().as_bytes())) {
            Ok(())
        } else {
            Err(OperatorRefusal::WrongToken)
        }
    }
}

fn read_token(file: &Path) -> Option<String> {
    let mut text = String::new();
    let mut open = File::open(file).ok()?.take(TOKEN_LIMIT);
    open.read_to_string(&mut text).ok()?;
    let token = text.trim();
    (!token.is_empty()).then(|| token.to_owned())
}
