//! The identity of a steward.

use std::sync::Arc;

use goldcrestramp_types::{DomainName, VmName};

/// The process that may lead a failure domain.
#[derive(Clone, Debug)]
pub(super) struct StewardIdentity {
    pub(super) domain: DomainName,
    pub(super) vm: VmName,
    pub(super) address: Arc<str>,
    /// The random number of the process start.
    pub(super) start: u64,
}
