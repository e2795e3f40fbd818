//! Names of the things that operators declare.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// The longest name that is accepted, in bytes.
const NAME_LIMIT: usize = 64;

/// Why a text is no valid name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NameError {
    /// The text has no character.
    Empty,
    /// The text is longer than 64 bytes.
    TooLong,
    /// The text holds a character outside `a-z A-Z 0-9 . _ : @ -`.
    BadCharacter(char),
    /// The text is `.` or `..`, which a URL's path would swallow.
    OnlyDots,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a name may not be empty"),
            Self::TooLong => {
                write!(f, "a name holds at most {NAME_LIMIT} bytes")
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

/// Checks that `text` can be a name.
fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_LIMIT {
        return Err(NameError::TooLong);
    }
    // Names are path segments of the store's keys: HTTP clients resolve
    // these two, so that one domain would read another key's value.
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
            /// Checks `text` and makes it a name.
            ///
            /// # Errors
            ///
            /// A [`NameError`] when the text is empty, longer than 64
            /// bytes or holds a character that is not allowed.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
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
    /// A service, which is one space of keys divided among servers.
    ServiceName
);
name_type!(
    /// A caller, the unit to which fair shares are given.
    CallerName
);
name_type!(
    /// A caller's own id of a request, unique within that caller.
    RequestName
);
