/*!
At most once, also when a caller sends the same request again.

The load: a phone loses its network while an order runs and sends the order
again with the same id; or a gateway does. Without a memory the keeper takes
it for a second order, and two parcels are sent.

The keeper of a server is the one way to it, so it remembers the id of each
non-idempotent request until the request's deadline, after which nothing may
start, and for as long as the longest deadline after that: a caller that
sends it again late, or wrongly with a new deadline, still learns how the
first one ended. When a slice moves, its part of the memory goes with the release. A
keeper that took over from one that was lost does not know what came before:
it answers a resend with *too young*, until everything sent before its time
is past its deadline.

The memory is bounded, and a full one refuses new requests: to forget one in
its stead would allow the doubled order that it is there to prevent.
*/

mod record;

use std::collections::BTreeSet;

use goldcrestramp_types::{
    FastMap, LocalTime, NotRunReason, SliceIndex, TimeSpan,
};

pub use crate::attempt::record::{
    AttemptId, AttemptOutcome, AttemptRecord, SliceMemory, StoredAnswer,
};

/// The longest answer that is kept whole: an order's is a few hundred
/// bytes. A longer one is known to be done, without its body.
pub const ANSWER_LIMIT: usize = 4_096;

/// The bounds of a memory.
#[derive(Clone, Copy, Debug)]
pub struct MemorySettings {
    /// The most ids: at 200 orders a second, with deadlines of 30 s and as
    /// long again after them, 12,000.
    pub id_limit: usize,
    /// The longest time between a request's start and its deadline; the
    /// gateway refuses longer ones.
    pub longest: TimeSpan,
}

/// What is to be done with a request that arrives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptVerdict {
    /// It is new here: go on, and report its end.
    Start,
    /// The first one is still under way.
    InProgress,
    /// The first one ended so.
    Known(AttemptOutcome),
    /// It may have come before the memory began.
    TooYoung,
    /// It is not taken, and did not run.
    Refused(NotRunReason),
}

#[derive(Clone, Debug)]
struct AttemptEntry {
    slice: SliceIndex,
    deadline: LocalTime,
    /// Nothing while it is under way.
    outcome: Option<AttemptOutcome>,
}

/// The ids that one keeper remembers for one server.
#[derive(Clone, Debug)]
pub struct AttemptMemory {
    settings: MemorySettings,
    entries: FastMap<AttemptId, AttemptEntry>,
    /// Ended attempts by when they are forgotten.
    ended: BTreeSet<(LocalTime, AttemptId)>,
    /// Since when everything on a slice came through here; at most 65,536.
    complete_since: FastMap<SliceIndex, LocalTime>,
}

impl AttemptMemory {
    /// An empty memory that is responsible for no slice.
    #[must_use]
    pub fn open(settings: MemorySettings) -> Self {
        Self {
            settings,
            entries: FastMap::default(),
            ended: BTreeSet::new(),
            complete_since: FastMap::default(),
        }
    }

    /// The ids that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Begins a slice of whose past nothing is known.
    ///
    /// One that is remembered already stays so.
    pub fn begin_slice(&mut self, now: LocalTime, slice: SliceIndex) {
        self.complete_since.entry(slice).or_insert(now);
    }

    /// Makes every slice one of whose past nothing is known; the ids that
    /// are remembered stay so.
    pub fn begin_anew(&mut self) {
        self.complete_since.clear();
    }

    /// Begins a slice with what its former keeper remembered.
    pub fn take_over(
        &mut self,
        now: LocalTime,
        slice: SliceIndex,
        memory: SliceMemory,
    ) {
        self.complete_since.insert(slice, now - memory.complete_for);
        for record in memory.records {
            let deadline = now + record.left;
            let outcome = Some(record.outcome);
            let forget_at = deadline + self.settings.longest;
            self.ended.insert((forget_at, record.id.clone()));
            let entry = AttemptEntry { slice, deadline, outcome };
            self.entries.insert(record.id, entry);
        }
    }

    /// Ends a slice; what is remembered of it goes to the next keeper.
    ///
    /// The release waits for what runs, so normally nothing is under way;
    /// what still is goes on as *unknown*, and stays so.
    pub fn release(
        &mut self,
        now: LocalTime,
        slice: SliceIndex,
    ) -> SliceMemory {
        self.forget_past(now);
        let since = self.complete_since.remove(&slice).unwrap_or(now);
        let ids: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.slice == slice)
            .map(|(id, _)| id.clone())
            .collect();
        let records =
            ids.into_iter().filter_map(|id| self.give(now, id)).collect();
        SliceMemory { complete_for: now.since(since), records }
    }

    /// Takes a request that arrives at `now`.
    ///
    /// `is_resend` is what the caller says: that it may have sent it before.
    pub fn begin(
        &mut self,
        now: LocalTime,
        id: &AttemptId,
        slice: SliceIndex,
        deadline: LocalTime,
        is_resend: bool,
    ) -> AttemptVerdict {
        self.forget_past(now);
        if let Some(verdict) = self.recall(id) {
            return verdict;
        }
        if deadline <= now {
            return AttemptVerdict::Refused(NotRunReason::DeadlinePassed);
        }
        if is_resend && !self.is_complete(slice, deadline) {
            return AttemptVerdict::TooYoung;
        }
        if self.entries.len() >= self.settings.id_limit {
            return AttemptVerdict::Refused(NotRunReason::QueueFull);
        }
        let entry = AttemptEntry { slice, deadline, outcome: None };
        self.entries.insert(id.clone(), entry);
        AttemptVerdict::Start
    }

    /// Notes how a request ended.
    ///
    /// One that did not run is forgotten: it may be sent again.
    pub fn finish(&mut self, id: &AttemptId, outcome: AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::NotRun(_)) {
            self.entries.remove(id);
            return;
        }
        if let Some(entry) = self.entries.get_mut(id) {
            entry.outcome = Some(outcome.within(ANSWER_LIMIT));
            let forget_at = entry.deadline + self.settings.longest;
            self.ended.insert((forget_at, id.clone()));
        }
    }

    /// What is known of an id.
    fn recall(&self, id: &AttemptId) -> Option<AttemptVerdict> {
        let entry = self.entries.get(id)?;
        let verdict = match &entry.outcome {
            None => AttemptVerdict::InProgress,
            Some(outcome) => AttemptVerdict::Known(outcome.clone()),
        };
        Some(verdict)
    }

    /// Whether a request with this deadline cannot have come before the
    /// memory of its slice began.
    fn is_complete(&self, slice: SliceIndex, deadline: LocalTime) -> bool {
        let earliest = deadline - self.settings.longest;
        self.complete_since.get(&slice).is_some_and(|at| *at <= earliest)
    }

    /// Forgets what ended long ago.
    fn forget_past(&mut self, now: LocalTime) {
        while let Some((forget_at, _)) = self.ended.first()
            && *forget_at < now
            && let Some((_, id)) = self.ended.pop_first()
        {
            self.entries.remove(&id);
        }
    }

    /// Takes an entry out, to be passed on.
    fn give(
        &mut self,
        now: LocalTime,
        id: AttemptId,
    ) -> Option<AttemptRecord> {
        let entry = self.entries.remove(&id)?;
        let forget_at = entry.deadline + self.settings.longest;
        self.ended.remove(&(forget_at, id.clone()));
        let outcome = entry.outcome.unwrap_or(AttemptOutcome::Unknown);
        Some(AttemptRecord { id, left: entry.deadline.since(now), outcome })
    }
}
