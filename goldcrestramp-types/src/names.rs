//! Validated names of servers, services, callers and other items.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Why a string is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NameError {
    /// The string is empty.
    Empty,
    /// The string is longer than 64 bytes.
    TooLong,
    /// The string has a character outside `a-z A-Z 0-9 . _ : @ -`.
    BadCharacter(char),
    /// The string is `.` or `..`, which are resolved in the path of a URL.
    OnlyDots,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a name may not be empty"),
            Self::TooLong => {
                write!(f, "a name holds at most {MAX_NAME_BYTES} bytes")
            }
            Self::BadCharacter(character) => {
                write!(f, "a name may not hold {character:?}")
            }
            Self::OnlyDots => {
                write!(f, "a name may not be \".\" or \"..\"")
            }
        }
    }
}

impl std::error::Error for NameError {}

/// Checks that `text` is a valid name.
fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong);
    }
    // Names are path segments of keys in the store. HTTP clients resolve
    // these two, so one domain would read the value of another key.
    if text == "." || text == ".." {
        return Err(NameError::OnlyDots);
    }
    let bad = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !"._:@-".contains(*c));
    match bad {
        Some(character) => Err(NameError::BadCharacter(character)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
            Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from a valid string.
            ///
            /// # Errors
            ///
            /// A [`NameError`] if the string is empty, longer than 64
            /// bytes, `.` or `..`, or has a character that is not allowed.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as a string.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().into()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A failure domain, unique in the deployment.
    DomainName
);
name_type!(
    /// A region, which holds failure domains.
    RegionName
);
name_type!(
    /// An entry VM, unique in the deployment; a replaced VM may reuse it.
    VmName
);
name_type!(
    /// A backend server, unique in the deployment.
    ServerName
);
name_type!(
    /// A service, which is one key space divided among servers.
    ServiceName
);
name_type!(
    /// A caller, the unit of fair sharing.
    CallerName
);
name_type!(
    /// A caller's own id of a request, unique within that caller.
    RequestName
);
