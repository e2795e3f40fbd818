//! A shard in JSON.

use std::collections::BTreeMap;

use goldcrestramp_types::{
    DomainName, FenceToken, ServerName, ServiceName, SliceIndex, SliceSet,
};
use serde::{Deserialize, Serialize};

use super::{DomainShard, SHARD_SLICES};
use crate::records::{
    codec::StoreRecord,
    error::RecordError,
    runs::{from_runs, to_runs},
};

/// What is known of a slice: held by the server at this position, released
/// ([`RELEASED`]) or neither ([`ABSENT`]).
type SliceMark = i32;

/// The domain holds nothing of this slice.
const ABSENT: SliceMark = -1;

/// The slice has left the domain.
const RELEASED: SliceMark = -2;

/// A shard in JSON: one mark a slice, as runs `[length, mark]`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardForm {
    domain: DomainName,
    service: ServiceName,
    shard: u16,
    token: FenceToken,
    servers: Vec<ServerName>,
    slices: Vec<(u32, SliceMark)>,
}

impl StoreRecord for DomainShard {
    type Form = ShardForm;

    fn to_form(&self) -> Result<ShardForm, RecordError> {
        let mut marks = vec![ABSENT; SHARD_SLICES as usize];
        for (position, slices) in (0..).zip(self.holders.values()) {
            set_marks(&mut marks, self.shard, slices, position)?;
        }
        set_marks(&mut marks, self.shard, &self.released, RELEASED)?;
        Ok(ShardForm {
            domain: self.domain.clone(),
            service: self.service.clone(),
            shard: self.shard,
            token: self.token,
            servers: self.holders.keys().cloned().collect(),
            slices: to_runs(marks),
        })
    }

    fn from_form(form: ShardForm) -> Result<Self, RecordError> {
        let marks = from_runs(&form.slices, SHARD_SLICES as usize)?;
        let mut sets = vec![SliceSet::new(); form.servers.len()];
        let mut released = SliceSet::new();
        for (offset, mark) in (0_u32..).zip(marks) {
            let slice = slice_at(form.shard, offset)?;
            match mark {
                ABSENT => {}
                RELEASED => {
                    released.insert(slice);
                }
                position => {
                    set_at(&mut sets, position)?.insert(slice);
                }
            }
        }
        Ok(Self {
            domain: form.domain,
            service: form.service,
            shard: form.shard,
            token: form.token,
            holders: holders_of(form.servers, sets)?,
            released,
        })
    }
}

/// Marks every slice of `slices`; each may be marked once.
///
/// A slice with two marks would have two owners, or be given away while a
/// server still holds it.
fn set_marks(
    marks: &mut [SliceMark],
    shard: u16,
    slices: &SliceSet,
    mark: SliceMark,
) -> Result<(), RecordError> {
    let first = u32::from(shard) * SHARD_SLICES;
    for slice in slices.iter() {
        let offset = u32::from(slice.get()).checked_sub(first);
        let place = offset
            .and_then(|offset| marks.get_mut(offset as usize))
            .ok_or(RecordError::OutOfRange("slice of a shard"))?;
        if *place != ABSENT {
            let name = format!("slice {}", slice.get());
            return Err(RecordError::Duplicate(name));
        }
        *place = mark;
    }
    Ok(())
}

fn slice_at(shard: u16, offset: u32) -> Result<SliceIndex, RecordError> {
    SliceIndex::new(u32::from(shard) * SHARD_SLICES + offset)
        .ok_or(RecordError::OutOfRange("position of a shard"))
}

fn set_at(
    sets: &mut [SliceSet],
    position: SliceMark,
) -> Result<&mut SliceSet, RecordError> {
    let position = usize::try_from(position).ok();
    position
        .and_then(|position| sets.get_mut(position))
        .ok_or(RecordError::OutOfRange("server of a slice"))
}

fn holders_of(
    servers: Vec<ServerName>,
    sets: Vec<SliceSet>,
) -> Result<BTreeMap<ServerName, SliceSet>, RecordError> {
    let mut holders = BTreeMap::new();
    for (server, slices) in servers.into_iter().zip(sets) {
        let name = server.to_string();
        if holders.insert(server, slices).is_some() {
            return Err(RecordError::Duplicate(name));
        }
    }
    Ok(holders)
}
