//! Which server of a failure domain holds each slice.
//!
//! A domain's record is kept in shards of [`SHARD_SLICES`] slices of one
//! service, and a head that names the token of each. Shards are written
//! first and the head last: a write that was broken off leaves the head's
//! older token, by which what servers report counts as newer.

use std::collections::{BTreeMap, BTreeSet};

use goldcrestramp_ownership::{DomainRecord, StrandedCause};
use goldcrestramp_types::{
    DomainName, FastMap, FenceToken, ServerName, ServiceName, SliceSet,
};
use serde::{Deserialize, Serialize};

use super::{
    codec::StoreRecord, directory::ServerDirectory, error::RecordError,
};

mod form;
mod split;

/// Slices in one shard: a service of default size fits in one, and the
/// worst shard (every slice with another server) takes about 400 KB.
pub const SHARD_SLICES: u32 = 4_096;

/// The most shards that a head names.
const SHARD_LIMIT: usize = 2_048;

/// The holders of up to [`SHARD_SLICES`] slices of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainShard {
    /// The failure domain.
    pub domain: DomainName,
    /// The service.
    pub service: ServiceName,
    /// The position of the shard: it holds the slices from
    /// `shard * SHARD_SLICES` on.
    pub shard: u16,
    /// The token of the decision with which it was written.
    pub token: FenceToken,
    /// Each server's slices of this shard.
    pub holders: BTreeMap<ServerName, SliceSet>,
    /// Slices of this shard that left the domain.
    pub released: SliceSet,
}

impl DomainShard {
    /// Whether both say the same of the slices, whatever their tokens.
    #[must_use]
    pub fn same_content(&self, other: &Self) -> bool {
        self.holders == other.holders && self.released == other.released
    }
}

/// A shard as a head names it.
#[derive(
    Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct ShardReference {
    /// The service.
    pub service: ServiceName,
    /// The position of the shard.
    pub shard: u16,
    /// The lowest token that the shard may have.
    pub token: FenceToken,
}

/// The head of a failure domain's record.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainHead {
    /// The failure domain.
    pub domain: DomainName,
    /// The token of the newest decision whose shards are all written.
    pub token: FenceToken,
    /// Every shard of the record.
    pub shards: Vec<ShardReference>,
    /// The services that the domain has no server for.
    #[serde(default, skip_serializing_if = "FastMap::is_empty")]
    pub stranded: FastMap<ServiceName, StrandedCause>,
}

impl DomainHead {
    /// The head of these shards.
    #[must_use]
    pub fn of(
        domain: DomainName,
        token: FenceToken,
        shards: &[DomainShard],
        stranded: FastMap<ServiceName, StrandedCause>,
    ) -> Self {
        let marks = shards.iter().map(|shard| ShardReference {
            service: shard.service.clone(),
            shard: shard.shard,
            token: shard.token,
        });
        Self { domain, token, shards: marks.collect(), stranded }
    }

    /// Splits a domain's record by service and shard.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] when the directory lacks a server's service, or a
    /// slice stands with two servers or is held and released at once.
    pub fn split(
        domain: &DomainName,
        record: &DomainRecord,
        directory: &ServerDirectory,
    ) -> Result<Vec<DomainShard>, RecordError> {
        split::split(domain, record, directory)
    }

    /// Joins a head's shards to the domain's record.
    ///
    /// # Errors
    ///
    /// [`RecordError::Outdated`] when a shard that the head names is missing
    /// or older than the head says; a [`RecordError`] for other faults.
    pub fn join(
        &self,
        shards: &[DomainShard],
    ) -> Result<DomainRecord, RecordError> {
        split::join(self, shards)
    }

    fn check(&self) -> Result<(), RecordError> {
        if self.shards.len() > SHARD_LIMIT {
            return Err(RecordError::TooMany("shards"));
        }
        if self.stranded.len() > SHARD_LIMIT {
            return Err(RecordError::TooMany("stranded services"));
        }
        let mut seen = BTreeSet::new();
        for mark in &self.shards {
            if !seen.insert((&mark.service, mark.shard)) {
                return Err(RecordError::Duplicate(mark_name(mark)));
            }
        }
        Ok(())
    }
}

impl StoreRecord for DomainHead {
    type Form = Self;

    fn to_form(&self) -> Result<Self, RecordError> {
        self.check()?;
        Ok(self.clone())
    }

    fn from_form(form: Self) -> Result<Self, RecordError> {
        form.check()?;
        Ok(form)
    }
}

fn mark_name(mark: &ShardReference) -> String {
    format!("shard {} of {}", mark.shard, mark.service)
}
