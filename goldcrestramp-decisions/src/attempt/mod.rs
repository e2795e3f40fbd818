/*!
At-most-once execution when a caller resends a request.

A phone loses its network while an order runs, and it or a gateway resends the
order with the same id. Without a memory, the keeper would treat it as a second
order, and two parcels would be sent.

All requests to a server pass through its keeper. The keeper remembers the id
of each non-idempotent request until the request's deadline, after which it
cannot start, and for the longest deadline after that. So a caller that resends
it late, or with a new deadline, still learns the outcome of the first attempt.

When a slice moves, its remembered attempts are sent to the next keeper as
records. A record is valid whoever else had the slice in the meantime, so
records that arrive late, twice or never do no harm. No record can prove that
*nothing else* was sent: a keeper that has had a slice for less time than an id
is remembered responds *too young* to an unknown resend. The deadline of the
resend proves nothing here, since it may be a new one.

The memory is bounded, and a full one refuses new requests. Evicting an id
would allow the duplicate order that the memory has to prevent.
*/

mod record;

use std::{collections::BTreeSet, sync::Arc};

use goldcrestramp_types::{
    FastMap, LocalTime, NotRunReason, SliceIndex, TimeSpan,
};

pub use crate::attempt::record::{
    AttemptArrival, AttemptId, AttemptOutcome, AttemptRecord, AttemptSent,
    StoredAnswer,
};

/// The longest response body that is stored. The response to an order has a
/// few hundred bytes. Of a longer one only the outcome is stored, without the
/// body.
pub const MAX_ANSWER_BYTES: usize = 4_096;

/// The size of a record without its body: three names and an address.
const RECORD_BYTES: usize = 256;

/// The bounds of a memory.
#[derive(Clone, Copy, Debug)]
pub struct MemorySettings {
    /// The maximum number of ids. 200 orders a second, with deadlines of 30 s
    /// and the same time again after them, need 12,000.
    pub id_limit: usize,
    /// The maximum size of all stored response bodies; beyond it, outcomes are
    /// stored without bodies.
    pub max_stored_bytes: usize,
    /// The longest time between a request's start and its deadline; the
    /// gateway refuses longer ones.
    pub max_timeout: TimeSpan,
}

/// What to do with a request that arrives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptVerdict {
    /// The id is new: start the request, and report its outcome.
    Start,
    /// The first attempt is still in flight.
    InProgress,
    /// The outcome of the first attempt.
    Known(AttemptOutcome),
    /// The first attempt may have arrived before the memory began.
    TooYoung,
    /// It is refused, and did not run.
    Refused(NotRunReason),
}

#[derive(Clone, Debug)]
struct AttemptEntry {
    slice: SliceIndex,
    deadline: LocalTime,
    sent: AttemptSent,
    /// `None` while it is in flight.
    outcome: Option<AttemptOutcome>,
    /// The keeper that has received the record of it.
    received_by: Option<Arc<str>>,
}

/// The ids that one keeper remembers for one server.
#[derive(Clone, Debug)]
pub struct AttemptMemory {
    settings: MemorySettings,
    entries: FastMap<AttemptId, AttemptEntry>,
    /// Completed attempts by the time at which they expire.
    completed: BTreeSet<(LocalTime, AttemptId)>,
    /// Since when all requests on a slice have passed through this keeper; at
    /// most 65,536 entries.
    covered_since: FastMap<SliceIndex, LocalTime>,
    /// Total size of the stored response bodies.
    stored_bytes: usize,
}

impl AttemptMemory {
    /// An empty memory that covers no slice.
    #[must_use]
    pub fn open(settings: MemorySettings) -> Self {
        Self {
            settings,
            entries: FastMap::default(),
            completed: BTreeSet::new(),
            covered_since: FastMap::default(),
            stored_bytes: 0,
        }
    }

    /// The number of remembered ids.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no id is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Starts to cover a slice of which no earlier attempts are known.
    ///
    /// A slice that is already covered keeps its start.
    pub fn cover_slice(&mut self, now: LocalTime, slice: SliceIndex) {
        self.covered_since.entry(slice).or_insert(now);
    }

    /// Treats every slice as one of which no earlier attempts are known. Ids
    /// that are remembered stay.
    pub fn reset_slices(&mut self) {
        self.covered_since.clear();
    }

    /// Imports what another keeper remembers of a request.
    ///
    /// An entry of this keeper is first-hand and takes precedence over the
    /// record. A record beyond the bound is dropped; its resend then gets *too
    /// young*.
    pub fn import(&mut self, now: LocalTime, record: AttemptRecord) {
        self.remove_expired(now);
        let full = self.entries.len() >= self.settings.id_limit;
        let known = self.entries.contains_key(&record.id);
        if full || known || matches!(record.outcome, AttemptOutcome::NotRun(_))
        {
            return;
        }
        let sent = AttemptSent { server: record.server, arrived_at: None };
        let deadline = now + record.remaining.min(self.settings.max_timeout);
        let entry = AttemptEntry {
            slice: record.slice,
            deadline,
            sent,
            outcome: None,
            received_by: None,
        };
        self.entries.insert(record.id.clone(), entry);
        self.finish(&record.id, record.outcome);
    }

    /// Completed attempts on slices that another keeper has now, and which
    /// that keeper has not received: records of about `byte_limit` bytes, at
    /// least one, all for the same keeper.
    ///
    /// `keeper_of` returns the keeper of a slice; `None` if that is this
    /// keeper or if there is none.
    pub fn pending_records<'a>(
        &mut self,
        now: LocalTime,
        keeper_of: impl Fn(SliceIndex) -> Option<&'a Arc<str>>,
        byte_limit: usize,
    ) -> Option<(Arc<str>, Vec<AttemptRecord>)> {
        self.remove_expired(now);
        let mut next: Option<Arc<str>> = None;
        let mut records = Vec::new();
        let mut bytes = 0;
        for (id, entry) in &mut self.entries {
            let Some(outcome) = &entry.outcome else { continue };
            let Some(keeper) = keeper_of(entry.slice) else {
                // The slice is back here: its next keeper needs the record
                // again.
                entry.received_by = None;
                continue;
            };
            if entry.received_by.as_ref() == Some(keeper) {
                continue;
            }
            let chosen = next.get_or_insert_with(|| Arc::clone(keeper));
            let total = bytes + RECORD_BYTES + outcome.body_bytes();
            if chosen != keeper || (bytes > 0 && total > byte_limit) {
                continue;
            }
            bytes = total;
            records.push(AttemptRecord {
                id: id.clone(),
                slice: entry.slice,
                remaining: entry.deadline.since(now),
                server: Arc::clone(&entry.sent.server),
                outcome: outcome.clone(),
            });
        }
        Some((next?, records))
    }

    /// Records that a keeper has received these records.
    pub fn mark_received(
        &mut self,
        keeper: &Arc<str>,
        records: &[AttemptRecord],
    ) {
        for record in records {
            if let Some(entry) = self.entries.get_mut(&record.id) {
                entry.received_by = Some(Arc::clone(keeper));
            }
        }
    }

    /// Handles a request that arrives at `now`.
    pub fn begin(
        &mut self,
        now: LocalTime,
        arrival: AttemptArrival<'_>,
    ) -> AttemptVerdict {
        let AttemptArrival { id, slice, deadline, is_resend, server } =
            arrival;
        if let Some(verdict) = self.recall(now, id) {
            return verdict;
        }
        // This precedes any refusal. A refusal says "not run", which is known
        // of the first attempt only if the memory covers its time. A late
        // resend may arrive after its id has expired.
        let is_late = deadline <= now;
        if is_resend && (is_late || !self.is_covered(now, slice)) {
            return AttemptVerdict::TooYoung;
        }
        if is_late {
            return AttemptVerdict::Refused(NotRunReason::DeadlinePassed);
        }
        if self.entries.len() >= self.settings.id_limit {
            return AttemptVerdict::Refused(NotRunReason::QueueFull);
        }
        let arrived_at = Some(now);
        let sent = AttemptSent { server: Arc::clone(server), arrived_at };
        let entry = AttemptEntry {
            slice,
            deadline,
            sent,
            outcome: None,
            received_by: None,
        };
        self.entries.insert(id.clone(), entry);
        AttemptVerdict::Start
    }

    /// Since when all requests on a slice have passed through this keeper.
    #[must_use]
    pub fn covered_since(&self, slice: SliceIndex) -> Option<LocalTime> {
        self.covered_since.get(&slice).copied()
    }

    /// What is known of an id; `None` if it is not remembered.
    pub fn recall(
        &mut self,
        now: LocalTime,
        id: &AttemptId,
    ) -> Option<AttemptVerdict> {
        self.remove_expired(now);
        let entry = self.entries.get(id)?;
        let verdict = match &entry.outcome {
            None => AttemptVerdict::InProgress,
            Some(outcome) => AttemptVerdict::Known(outcome.clone()),
        };
        Some(verdict)
    }

    /// Where a remembered request was sent.
    #[must_use]
    pub fn sent(&self, id: &AttemptId) -> Option<&AttemptSent> {
        self.entries.get(id).map(|entry| &entry.sent)
    }

    /// Records the outcome of a request.
    ///
    /// A request that did not run is forgotten, so that it may be sent again.
    pub fn finish(&mut self, id: &AttemptId, outcome: AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::NotRun(_)) {
            self.entries.remove(id);
            return;
        }
        let room =
            self.settings.max_stored_bytes.saturating_sub(self.stored_bytes);
        if let Some(entry) = self.entries.get_mut(id) {
            let outcome =
                outcome.without_long_body(MAX_ANSWER_BYTES.min(room));
            self.stored_bytes += outcome.body_bytes();
            entry.outcome = Some(outcome);
            let expires_at = entry.deadline + self.settings.max_timeout;
            self.completed.insert((expires_at, id.clone()));
        }
    }

    /// Whether every request on the slice that must still be remembered
    /// arrived after its memory began.
    ///
    /// The first attempt was sent at most the longest deadline before its own
    /// deadline, and is remembered for the same time after it.
    fn is_covered(&self, now: LocalTime, slice: SliceIndex) -> bool {
        let max_timeout = self.settings.max_timeout;
        self.covered_since
            .get(&slice)
            .is_some_and(|since| *since + max_timeout + max_timeout <= now)
    }

    /// Removes completed attempts that have expired.
    fn remove_expired(&mut self, now: LocalTime) {
        while let Some((expires_at, _)) = self.completed.first()
            && *expires_at < now
            && let Some((_, id)) = self.completed.pop_first()
        {
            let entry = self.entries.remove(&id);
            let outcome = entry.and_then(|entry| entry.outcome);
            self.stored_bytes -= outcome.map_or(0, |o| o.body_bytes());
        }
    }
}
