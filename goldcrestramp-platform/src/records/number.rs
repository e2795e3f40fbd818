//! The increasing number inside each record.

use std::fmt;

use goldcrestramp_config::DeploymentState;
use goldcrestramp_ownership::{ServiceRecord, VoterRoster};
use goldcrestramp_types::FenceToken;

use super::{
    codec::StoreRecord,
    domain::{DomainHead, DomainShard},
};

/// A record with a number that orders its versions.
pub trait NumberedRecord: StoreRecord {
    /// The type of the number, which increases with each change of the record.
    type Number: Copy + Ord + fmt::Debug;

    /// The record's number.
    fn number(&self) -> Self::Number;
}

impl NumberedRecord for DeploymentState {
    type Number = u64;

    fn number(&self) -> u64 {
        self.version
    }
}

impl NumberedRecord for VoterRoster {
    type Number = u64;

    fn number(&self) -> u64 {
        self.version
    }
}

impl NumberedRecord for ServiceRecord {
    type Number = u64;

    fn number(&self) -> u64 {
        self.revision
    }
}

impl NumberedRecord for DomainHead {
    type Number = FenceToken;

    fn number(&self) -> FenceToken {
        self.token
    }
}

impl NumberedRecord for DomainShard {
    type Number = FenceToken;

    fn number(&self) -> FenceToken {
        self.token
    }
}
