//! Checks that each slice has at most one owner at any time.

use goldcrestramp_types::{FastMap, SliceIndex};

use crate::{
    records::{ExecutionEntry, GrantEntry, MachineTime},
    server::ServerLog,
};

/// A service's name and one of its slices.
type SliceKey<'a> = (&'a str, SliceIndex);

/// An interval in which one server held a slice.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldInterval<'a> {
    server: &'a str,
    from: MachineTime,
    until: MachineTime,
}

/// A time at which a slice had two owners.
#[expect(dead_code, reason = "its parts are read by its debug output")]
#[derive(Clone, Copy, Debug)]
pub(super) enum OwnerOverlap<'a> {
    /// The second server held the slice before the first's interval had ended.
    Held(SliceIndex, HeldInterval<'a>, HeldInterval<'a>),
    /// A server started work while another server held the slice.
    Foreign(&'a ExecutionEntry, HeldInterval<'a>),
    /// A server started the first execution under a token older than that of
    /// the second, which another server had already started.
    Stale(&'a ExecutionEntry, &'a ExecutionEntry),
}

/// Finds the overlaps of ownership.
pub(super) fn overlaps(log: &ServerLog) -> Vec<OwnerOverlap<'_>> {
    let held = held_intervals(&log.holds);
    let worked = executions_by_slice(&log.executions);
    let mut found = Vec::new();
    for ((_, slice), times) in &held {
        found.extend(overlapping(*slice, times));
    }
    found.extend(log.executions.iter().filter_map(|entry| {
        let holder = other_holder(&held, entry)?;
        Some(OwnerOverlap::Foreign(entry, holder))
    }));
    found.extend(worked.values().flat_map(|list| stale_tokens(list)));
    found
}

/// The intervals of each slice, ordered by their start.
fn held_intervals(
    holds: &[GrantEntry],
) -> FastMap<SliceKey<'_>, Vec<HeldInterval<'_>>> {
    let mut held: FastMap<_, Vec<_>> = FastMap::default();
    for hold in holds {
        let server = &*hold.server;
        let time = HeldInterval { server, from: hold.from, until: hold.until };
        for slice in hold.slices.iter() {
            held.entry((&*hold.service, slice)).or_default().push(time);
        }
    }
    for times in held.values_mut() {
        times.sort_by_key(|time| time.from);
    }
    held
}

/// The intervals that begin before another server's interval has ended.
fn overlapping<'a>(
    slice: SliceIndex,
    times: &[HeldInterval<'a>],
) -> Vec<OwnerOverlap<'a>> {
    let mut found = Vec::new();
    let mut latest: FastMap<&str, HeldInterval<'_>> = FastMap::default();
    for time in times {
        let mut others = latest.values().filter(|o| o.server != time.server);
        let before = others.find(|other| other.until > time.from);
        found.extend(before.map(|b| OwnerOverlap::Held(slice, *b, *time)));
        let own = latest.entry(time.server).or_insert(*time);
        if own.until <= time.until {
            *own = *time;
        }
    }
    found
}

/// Another server that held the slice when this execution started.
fn other_holder<'a>(
    held: &FastMap<SliceKey<'a>, Vec<HeldInterval<'a>>>,
    entry: &ExecutionEntry,
) -> Option<HeldInterval<'a>> {
    let times = held.get(&(&*entry.service, entry.slice))?;
    let at = entry.started;
    let known = times.partition_point(|time| time.from <= at);
    let mut known = times[..known].iter();
    let other =
        known.find(|time| time.server != &*entry.server && at < time.until);
    other.copied()
}

/// The executions of each slice, ordered by their start.
fn executions_by_slice(
    executions: &[ExecutionEntry],
) -> FastMap<SliceKey<'_>, Vec<&ExecutionEntry>> {
    let mut worked: FastMap<_, Vec<_>> = FastMap::default();
    for entry in executions {
        let key = (&*entry.service, entry.slice);
        worked.entry(key).or_default().push(entry);
    }
    for list in worked.values_mut() {
        list.sort_by_key(|entry| entry.started);
    }
    worked
}

/// The executions under a token below one that another server has used.
///
/// Tokens are compared within a failure domain, where the stewards' terms
/// increase. Each domain's terms start at 1, so tokens of two domains aren't
/// comparable; a move between domains is checked by the intervals instead. A
/// trace confirmed this: the previous owner's last work ended 4.2 s before the
/// new owner's first, under an equal term number.
fn stale_tokens<'a>(
    executions: &[&'a ExecutionEntry],
) -> Vec<OwnerOverlap<'a>> {
    let mut found = Vec::new();
    let mut highest: FastMap<&str, &ExecutionEntry> = FastMap::default();
    for entry in executions.iter().copied() {
        let top = highest.entry(&entry.domain).or_insert(entry);
        if top.server != entry.server && entry.token < top.token {
            found.push(OwnerOverlap::Stale(entry, top));
        }
        if entry.token >= top.token {
            *top = entry;
        }
    }
    found
}
