//! Ordered numbers of decisions: terms, fencing tokens and table versions.

use serde::{Deserialize, Serialize};

use crate::names::VmName;

/// A term of a steward, the VM that decides for a failure domain; ordered by
/// number, then VM, then start.
///
/// The VM's name and the random number of its process distinguish two
/// candidates with the same number, even if a VM is replaced by one with the
/// same name.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct TermId {
    /// Increases with every new steward of the failure domain.
    pub number: u64,
    /// A hash of the steward's VM name.
    pub vm: u64,
    /// A random number that the steward's process generated at its start.
    pub start: u64,
}

impl TermId {
    /// Creates the term with this number of the process `start` on `vm`.
    #[must_use]
    pub fn new(number: u64, vm: &VmName, start: u64) -> Self {
        let vm = xxhash_rust::xxh3::xxh3_64(vm.as_str().as_bytes());
        Self { number, vm, start }
    }
}

/// The fencing token of a grant. A server rejects a token that is lower than
/// the highest one that it has seen for the slice.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct FenceToken {
    /// The term of the steward that decided.
    pub term: TermId,
    /// Increases with every decision of that steward.
    pub sequence: u64,
}

/// The version of a failure domain's routing table.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct TableVersion {
    /// The term of the steward that published the table.
    pub term: TermId,
    /// Increases with every change within the term.
    pub sequence: u64,
}
