//! One owner for each slice at any moment.

use goldcrestramp_types::{FastMap, SliceIndex};

use crate::{
    records::{ExecutionEntry, HoldEntry, MachineTime},
    server::ServerLog,
};

/// One service's slice.
type SliceKey<'a> = (&'a str, SliceIndex);

/// A time over which one server held a slice.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldTime<'a> {
    server: &'a str,
    from: MachineTime,
    until: MachineTime,
}

/// A moment at which a slice had two owners.
#[expect(dead_code, reason = "its parts are read by its debug output")]
#[derive(Clone, Copy, Debug)]
pub(super) enum OwnerOverlap<'a> {
    /// The second server held the slice before the first's time had ended.
    Held(SliceIndex, HeldTime<'a>, HeldTime<'a>),
    /// A server started work while another held the slice.
    Foreign(&'a ExecutionEntry, HeldTime<'a>),
    /// A server started the first work under a token that is older than
    /// that of the second, which another server had already started.
    Stale(&'a ExecutionEntry, &'a ExecutionEntry),
}

/// Finds the overlaps of ownership.
pub(super) fn overlaps(log: &ServerLog) -> Vec<OwnerOverlap<'_>> {
    let held = held_times(&log.holds);
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

/// The times of holding of each slice, in the order of their beginnings.
fn held_times(
    holds: &[HoldEntry],
) -> FastMap<SliceKey<'_>, Vec<HeldTime<'_>>> {
    let mut held: FastMap<_, Vec<_>> = FastMap::default();
    for hold in holds {
        let server = &*hold.server;
        let time = HeldTime { server, from: hold.from, until: hold.until };
        for slice in hold.slices.iter() {
            held.entry((&*hold.service, slice)).or_default().push(time);
        }
    }
    for times in held.values_mut() {
        times.sort_by_key(|time| time.from);
    }
    held
}

/// The times that begin before another server's have ended.
fn overlapping<'a>(
    slice: SliceIndex,
    times: &[HeldTime<'a>],
) -> Vec<OwnerOverlap<'a>> {
    let mut found = Vec::new();
    let mut latest: FastMap<&str, HeldTime<'_>> = FastMap::default();
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

/// Another server that held the slice just when this work started.
fn other_holder<'a>(
    held: &FastMap<SliceKey<'a>, Vec<HeldTime<'a>>>,
    entry: &ExecutionEntry,
) -> Option<HeldTime<'a>> {
    let times = held.get(&(&*entry.service, entry.slice))?;
    let at = entry.started;
    let known = times.partition_point(|time| time.from <= at);
    let mut known = times[..known].iter();
    let other =
        known.find(|time| time.server != &*entry.server && at < time.until);
    other.copied()
}

/// The executions of each slice, in the order of their starts.
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

/// The starts under a token below one that another server has used.
///
/// Tokens are compared within a failure domain, whose stewards' terms rise.
/// Those of two domains begin at 1 each; after a move between them the
/// times of holding tell, which was traced: the former owner's last work
/// ended 4.2 s before the new one's first, under an equal term number.
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
