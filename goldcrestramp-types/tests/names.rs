//! Which strings are valid names.

use goldcrestramp_types::{DomainName, NameError};

/// A domain named `..` would share the store key of its parent path, because
/// the HTTP client resolves the path before sending it. The domain's steward
/// would then read and overwrite another record.
#[test]
fn names_that_url_paths_resolve_are_rejected() {
    for text in [".", ".."] {
        assert_eq!(DomainName::new(text), Err(NameError::OnlyDots));
    }
}

#[test]
fn ordinary_names_are_valid() {
    for text in ["sierra-a", "a.b", "...", "shop:17@quito"] {
        assert_eq!(DomainName::new(text).map(String::from), Ok(text.into()));
    }
}
