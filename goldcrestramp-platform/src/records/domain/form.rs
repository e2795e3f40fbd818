//! Encodes a shard of a failure domain's record.

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

/// The state of a slice: held by the server at this position, released
/// ([`RELEASED`]) or neither ([`ABSENT`]).
type SliceState = i32;

/// The domain neither holds nor has released the slice.
const ABSENT: SliceState = -1;

/// The domain has released the slice.
const RELEASED: SliceState = -2;

/// A shard in JSON, with the state of each slice, as runs `[length, state]`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardForm {
    domain: DomainName,
    service: ServiceName,
    shard: u16,
    token: FenceToken,
    servers: Vec<ServerName>,
    slices: Vec<(u32, SliceState)>,
}

impl StoreRecord for DomainShard {
    type Form = ShardForm;

    fn to_form(&self) -> Result<ShardForm, RecordError> {
        let mut states = vec![ABSENT; SHARD_SLICES as usize];
        for (position, slices) in (0..).zip(self.holders.values()) {
            set_states(&mut states, self.shard, slices, position)?;
        }
        set_states(&mut states, self.shard, &self.released, RELEASED)?;
        Ok(ShardForm {
            domain: self.domain.clone(),
            service: self.service.clone(),
            shard: self.shard,
            token: self.token,
            servers: self.holders.keys().cloned().collect(),
            slices: to_runs(states),
        })
    }

    fn from_form(form: ShardForm) -> Result<Self, RecordError> {
        let states = from_runs(&form.slices, SHARD_SLICES as usize)?;
        let mut sets = vec![SliceSet::new(); form.servers.len()];
        let mut released = SliceSet::new();
        for (offset, state) in (0_u32..).zip(states) {
            let slice = slice_at(form.shard, offset)?;
            match state {
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

/// Sets the state of every slice of `slices`, which must be absent before.
///
/// A slice with two states would have two owners, or be reassigned while a
/// server still holds it.
fn set_states(
    states: &mut [SliceState],
    shard: u16,
    slices: &SliceSet,
    state: SliceState,
) -> Result<(), RecordError> {
    let first = u32::from(shard) * SHARD_SLICES;
    for slice in slices.iter() {
        let offset = u32::from(slice.get()).checked_sub(first);
        let entry = offset
            .and_then(|offset| states.get_mut(offset as usize))
            .ok_or(RecordError::OutOfRange("slice of a shard"))?;
        if *entry != ABSENT {
            let name = format!("slice {}", slice.get());
            return Err(RecordError::Duplicate(name));
        }
        *entry = state;
    }
    Ok(())
}

fn slice_at(shard: u16, offset: u32) -> Result<SliceIndex, RecordError> {
    SliceIndex::new(u32::from(shard) * SHARD_SLICES + offset)
        .ok_or(RecordError::OutOfRange("position of a shard"))
}

fn set_at(
    sets: &mut [SliceSet],
    position: SliceState,
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
