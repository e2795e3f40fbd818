//! Splits a failure domain's record into shards, and joins them.

use std::collections::BTreeMap;

use goldcrestramp_ownership::DomainRecord;
use goldcrestramp_types::{
    DomainName, FenceToken, ServiceName, SliceCount, SliceIndex, SliceSet,
};

use super::{
    DomainHead, DomainShard, SHARD_SLICES, ShardReference, shard_name,
};
use crate::records::{directory::ServerDirectory, error::RecordError};

/// Shards by service and position.
type ShardMap = BTreeMap<(ServiceName, u16), DomainShard>;

/// Splits a record; every service of the directory gets all of its shards.
pub(super) fn split(
    domain: &DomainName,
    record: &DomainRecord,
    directory: &ServerDirectory,
) -> Result<Vec<DomainShard>, RecordError> {
    let mut shards = empty_shards(domain, record.token, directory);
    for (server, slices) in &record.holders {
        let service = directory
            .service_of(server)
            .ok_or_else(|| RecordError::Unknown(server.to_string()))?;
        for slice in slices.iter() {
            let shard = shard_of(&mut shards, service, slice)?;
            check_absent(shard, slice)?;
            shard.holders.entry(server.clone()).or_default().insert(slice);
        }
    }
    for (service, slices) in &record.released {
        for slice in slices.iter() {
            let shard = shard_of(&mut shards, service, slice)?;
            check_absent(shard, slice)?;
            shard.released.insert(slice);
        }
    }
    Ok(shards.into_values().collect())
}

/// Joins the shards that a head refers to.
pub(super) fn join(
    head: &DomainHead,
    shards: &[DomainShard],
) -> Result<DomainRecord, RecordError> {
    let mut record = DomainRecord {
        token: head.token,
        stranded: head.stranded.clone(),
        ..DomainRecord::default()
    };
    for reference in &head.shards {
        let shard = find(head, shards, reference)?;
        for (server, slices) in &shard.holders {
            let mine = record.holders.entry(server.clone()).or_default();
            mine.union_with(slices);
        }
        if !shard.released.is_empty() {
            let service = shard.service.clone();
            let mine = record.released.entry(service).or_default();
            mine.union_with(&shard.released);
        }
    }
    Ok(record)
}

/// Finds the shard of a reference. A shard that is older than the reference
/// requires means that the store was only partly restored.
fn find<'a>(
    head: &DomainHead,
    shards: &'a [DomainShard],
    reference: &ShardReference,
) -> Result<&'a DomainShard, RecordError> {
    let found = shards.iter().find(|shard| {
        shard.domain == head.domain
            && shard.service == reference.service
            && shard.shard == reference.shard
    });
    found
        .filter(|shard| shard.token >= reference.token)
        .ok_or_else(|| RecordError::Outdated(shard_name(reference)))
}

fn empty_shards(
    domain: &DomainName,
    token: FenceToken,
    directory: &ServerDirectory,
) -> ShardMap {
    let mut shards = ShardMap::new();
    for (service, count) in directory.services() {
        for shard in 0..shard_count(count) {
            let empty = DomainShard {
                domain: domain.clone(),
                service: service.clone(),
                shard,
                token,
                holders: BTreeMap::new(),
                released: SliceSet::new(),
            };
            shards.insert((service.clone(), shard), empty);
        }
    }
    shards
}

fn shard_count(count: SliceCount) -> u16 {
    let shards = count.get().div_ceil(SHARD_SLICES);
    u16::try_from(shards).unwrap_or(u16::MAX)
}

fn shard_of<'a>(
    shards: &'a mut ShardMap,
    service: &ServiceName,
    slice: SliceIndex,
) -> Result<&'a mut DomainShard, RecordError> {
    let shard = u32::from(slice.get()) / SHARD_SLICES;
    let shard = u16::try_from(shard).unwrap_or(u16::MAX);
    shards
        .get_mut(&(service.clone(), shard))
        .ok_or_else(|| RecordError::Unknown(service.to_string()))
}

/// Checks that the slice is in no set of the shard, because it would have two
/// owners.
fn check_absent(
    shard: &DomainShard,
    slice: SliceIndex,
) -> Result<(), RecordError> {
    let mut sets = shard.holders.values().chain([&shard.released]);
    if sets.any(|set| set.contains(slice)) {
        let name = format!("slice {} of {}", slice.get(), shard.service);
        return Err(RecordError::Duplicate(name));
    }
    Ok(())
}
