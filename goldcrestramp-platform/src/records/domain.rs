//! The record of which server of a failure domain holds each slice.
//!
//! A domain's record is stored as shards of [`SHARD_SLICES`] slices of one
//! service, and a head with the token of each shard. The shards are written
//! first and the head last: an interrupted write leaves the older token in
//! the head, so that the reports of servers count as newer.

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

/// The number of slices in one shard.
///
/// A service of the default size fits in one shard, and the largest shard
/// (with another server for every slice) takes about 400 KB.
pub const SHARD_SLICES: u32 = 4_096;

/// The maximum number of shards, and of stranded services, of a head.
const MAX_SHARDS: usize = 2_048;

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
    /// The token of the decision that the shard was written with.
    pub token: FenceToken,
    /// The slices of this shard that each server holds.
    pub holders: BTreeMap<ServerName, SliceSet>,
    /// The slices of this shard that the domain has released.
    pub released: SliceSet,
}

impl DomainShard {
    /// Whether both have the same holders and released slices; tokens are
    /// ignored.
    #[must_use]
    pub fn same_content(&self, other: &Self) -> bool {
        self.holders == other.holders && self.released == other.released
    }
}

/// A head's reference to a shard.
#[derive(
    Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct ShardReference {
    /// The service.
    pub service: ServiceName,
    /// The position of the shard.
    pub shard: u16,
    /// The minimum token of the shard.
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
    /// All shards of the record.
    pub shards: Vec<ShardReference>,
    /// The services that the domain has no server for.
    #[serde(default, skip_serializing_if = "FastMap::is_empty")]
    pub stranded: FastMap<ServiceName, StrandedCause>,
}

impl DomainHead {
    /// Creates the head of these shards.
    #[must_use]
    pub fn of(
        domain: DomainName,
        token: FenceToken,
        shards: &[DomainShard],
        stranded: FastMap<ServiceName, StrandedCause>,
    ) -> Self {
        let references = shards.iter().map(|shard| ShardReference {
            service: shard.service.clone(),
            shard: shard.shard,
            token: shard.token,
        });
        Self { domain, token, shards: references.collect(), stranded }
    }

    /// Splits a domain's record by service and shard.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] if the directory lacks a server's service, or a
    /// slice has two holders or is both held and released.
    pub fn split(
        domain: &DomainName,
        record: &DomainRecord,
        directory: &ServerDirectory,
    ) -> Result<Vec<DomainShard>, RecordError> {
        split::split(domain, record, directory)
    }

    /// Joins the shards of a head to the domain's record.
    ///
    /// # Errors
    ///
    /// [`RecordError::Outdated`] if a shard that the head refers to is
    /// missing, or older than its reference.
    pub fn join(
        &self,
        shards: &[DomainShard],
    ) -> Result<DomainRecord, RecordError> {
        split::join(self, shards)
    }

    fn check(&self) -> Result<(), RecordError> {
        if self.shards.len() > MAX_SHARDS {
            return Err(RecordError::TooMany("shards"));
        }
        if self.stranded.len() > MAX_SHARDS {
            return Err(RecordError::TooMany("stranded services"));
        }
        let mut seen = BTreeSet::new();
        for reference in &self.shards {
            if !seen.insert((&reference.service, reference.shard)) {
                return Err(RecordError::Duplicate(shard_name(reference)));
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

fn shard_name(reference: &ShardReference) -> String {
    format!("shard {} of {}", reference.shard, reference.service)
}
