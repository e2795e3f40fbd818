/*!
At most once, also when a caller sends the same request again.

The load: a phone loses its network while an order runs and sends the order
again with the same id; or a gateway does. Without a memory the keeper takes
it for a second order, and two parcels are sent.

The keeper of a server is the one way to it, so it remembers the id of each
non-idempotent request until the request's deadline, after which nothing may
start, and for as long as the longest deadline after that: a caller that
sends it again late, or with a new deadline, still learns how the first one
ended.

When a slice moves, what is remembered of it goes to its next keeper as
records. They say what they say whoever else held the slice meanwhile, so a
record that comes late, twice or never does no harm. That *nothing else* was
sent, no record can prove: a keeper whose time on a slice is shorter than an
id is remembered answers a resend that it does not know with *too young*.
The resend's own deadline proves nothing about that, since it may be a new
one.

The memory is bounded, and a full one refuses new requests: to forget one in
its stead would allow the doubled order that it is there to prevent.
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

/// The longest answer that is kept whole: an order's is a few hundred
/// bytes. A longer one is known to be done, without its body.
pub const MAX_ANSWER_BYTES: usize = 4_096;

/// The bytes of a record without its body: three names and an address.
const RECORD_BYTES: usize = 256;

/// The bounds of a memory.
#[derive(Clone, Copy, Debug)]
pub struct MemorySettings {
    /// The most ids: at 200 orders a second, with deadlines of 30 s and as
    /// long again after them, 12,000.
    pub id_limit: usize,
    /// The most bytes of answers; those beyond are known without bodies.
    pub answer_bytes: usize,
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
    sent: AttemptSent,
    /// Nothing while it is under way.
    outcome: Option<AttemptOutcome>,
    /// The keeper that has been told of it.
    passed_to: Option<Arc<str>>,
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
    /// Bytes of the answers that are kept.
    kept_bytes: usize,
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
            kept_bytes: 0,
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

    /// Takes what another keeper remembers of a request.
    ///
    /// What is known here already is first hand and stays. Beyond the bound
    /// a record is left out: its resend is *too young* then.
    pub fn take(&mut self, now: LocalTime, record: AttemptRecord) {
        self.forget_past(now);
        let full = self.entries.len() >= self.settings.id_limit;
        let known = self.entries.contains_key(&record.id);
        if full || known || matches!(record.outcome, AttemptOutcome::NotRun(_))
        {
            return;
        }
        let sent = AttemptSent { server: record.server, begun: None };
        let deadline = now + record.left.min(self.settings.longest);
        let entry = AttemptEntry {
            slice: record.slice,
            deadline,
            sent,
            outcome: None,
            passed_to: None,
        };
        self.entries.insert(record.id.clone(), entry);
        self.finish(&record.id, record.outcome);
    }

    /// What ended on slices that another keeper has now, and that one does
    /// not know of: records of about `byte_limit` bytes, at least one, all
    /// for the same keeper.
    ///
    /// `keeper_of` tells who has a slice; nothing if that is this keeper, or
    /// nobody.
    pub fn untold<'a>(
        &mut self,
        now: LocalTime,
        keeper_of: impl Fn(SliceIndex) -> Option<&'a Arc<str>>,
        byte_limit: usize,
    ) -> Option<(Arc<str>, Vec<AttemptRecord>)> {
        self.forget_past(now);
        let mut next: Option<Arc<str>> = None;
        let mut records = Vec::new();
        let mut bytes = 0;
        for (id, entry) in &mut self.entries {
            let Some(outcome) = &entry.outcome else { continue };
            let Some(keeper) = keeper_of(entry.slice) else {
                // Back here: whoever has it next is told again.
                entry.passed_to = None;
                continue;
            };
            if entry.passed_to.as_ref() == Some(keeper) {
                continue;
            }
            let chosen = next.get_or_insert_with(|| Arc::clone(keeper));
            let more = bytes + RECORD_BYTES + outcome.body_bytes();
            if chosen != keeper || (bytes > 0 && more > byte_limit) {
                continue;
            }
            bytes = more;
            records.push(AttemptRecord {
                id: id.clone(),
                slice: entry.slice,
                left: entry.deadline.since(now),
                server: Arc::clone(&entry.sent.server),
                outcome: outcome.clone(),
            });
        }
        Some((next?, records))
    }

    /// Notes that a keeper has taken these records.
    pub fn told(&mut self, keeper: &Arc<str>, records: &[AttemptRecord]) {
        for record in records {
            if let Some(entry) = self.entries.get_mut(&record.id) {
                entry.passed_to = Some(Arc::clone(keeper));
            }
        }
    }

    /// Takes a request that arrives at `now`.
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
        // Before any refusal: a refusal says "not run", and of the first
        // try that is known here only if the memory reaches back to it. A
        // late resend may come after its id was forgotten.
        let is_late = deadline <= now;
        if is_resend && (is_late || !self.is_complete(now, slice)) {
            return AttemptVerdict::TooYoung;
        }
        if is_late {
            return AttemptVerdict::Refused(NotRunReason::DeadlinePassed);
        }
        if self.entries.len() >= self.settings.id_limit {
            return AttemptVerdict::Refused(NotRunReason::QueueFull);
        }
        let begun = Some(now);
        let sent = AttemptSent { server: Arc::clone(server), begun };
        let entry = AttemptEntry {
            slice,
            deadline,
            sent,
            outcome: None,
            passed_to: None,
        };
        self.entries.insert(id.clone(), entry);
        AttemptVerdict::Start
    }

    /// Since when everything on a slice came through here.
    #[must_use]
    pub fn since(&self, slice: SliceIndex) -> Option<LocalTime> {
        self.complete_since.get(&slice).copied()
    }

    /// What is known of an id; nothing if it is not remembered.
    pub fn recall(
        &mut self,
        now: LocalTime,
        id: &AttemptId,
    ) -> Option<AttemptVerdict> {
        self.forget_past(now);
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

    /// Notes how a request ended.
    ///
    /// One that did not run is forgotten: it may be sent again.
    pub fn finish(&mut self, id: &AttemptId, outcome: AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::NotRun(_)) {
            self.entries.remove(id);
            return;
        }
        let room = self.settings.answer_bytes.saturating_sub(self.kept_bytes);
        if let Some(entry) = self.entries.get_mut(id) {
            let outcome = outcome.within(MAX_ANSWER_BYTES.min(room));
            self.kept_bytes += outcome.body_bytes();
            entry.outcome = Some(outcome);
            let forget_at = entry.deadline + self.settings.longest;
            self.ended.insert((forget_at, id.clone()));
        }
    }

    /// Whether no request on the slice that is still to be remembered can
    /// have come before its memory began.
    ///
    /// The first try was sent at most the longest deadline before its own,
    /// and is remembered for as long again after that.
    fn is_complete(&self, now: LocalTime, slice: SliceIndex) -> bool {
        let longest = self.settings.longest;
        self.complete_since
            .get(&slice)
            .is_some_and(|since| *since + longest + longest <= now)
    }

    /// Forgets what ended long ago.
    fn forget_past(&mut self, now: LocalTime) {
        while let Some((forget_at, _)) = self.ended.first()
            && *forget_at < now
            && let Some((_, id)) = self.ended.pop_first()
        {
            let entry = self.entries.remove(&id);
            let outcome = entry.and_then(|entry| entry.outcome);
            self.kept_bytes -= outcome.map_or(0, |o| o.body_bytes());
        }
    }
}
