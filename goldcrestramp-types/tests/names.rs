//! What may be a name.

use goldcrestramp_types::{DomainName, NameError};

/// A domain named `..` would share the store key of its parent: the
/// client resolves the path before it is sent, and one domain's steward
/// would read and overwrite another record.
#[test]
fn names_that_a_path_swallows_are_refused() {
    for text in [".", ".."] {
        assert_eq!(DomainName::new(text), Err(NameError::OnlyDots));
    }
}

#[test]
fn ordinary_names_are_taken() {
    for text in ["sierra-a", "a.b", "...", "shop:17@quito"] {
        assert_eq!(DomainName::new(text).map(String::from), Ok(text.into()));
    }
}
