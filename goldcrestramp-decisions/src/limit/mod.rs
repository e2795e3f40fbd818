/*!
How many requests a server is given at once.

The load: a server that is cold, sheds load, is slow, is frozen, or says on
its health page that all is well while it is none of that. A fixed number
of slots then fills with requests that wait for a frozen server, a cold one
is flooded on its first second, and one that sheds is asked again and again
only to refuse.

What the keeper itself saw decides: answers, refusals, breaks and silence.
The health page is not read: a server at work shows more by its answers, and
one that is idle is asked one request at a time anyway.

- *Cold*: it starts with one request; the limit grows with its answers.
- *Shedding*: a refusal halves the limit; a run of answers adds one.
- *Failing or frozen*: nothing is sent for a time that doubles with each
  failed probe; then one request goes as a probe, and its answer lets the
  limit grow again by degrees.
- *Slow*: it keeps its slots, since fewer would only serve less, but
  [`OwnerAdvice::MoveAway`] has it reported as full.

The only owner of a key cannot be routed around. While it is held, the queue
refuses at once what cannot wait for the next probe, and says when to come
back; what can wait, waits. Moving the ownership is the steward's decision:
its placement empties a server that is reported as full as far as the others
have room, see [`ServerLoad`](crate::ServerLoad).
*/

mod pace;

use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

use crate::limit::pace::ServerPace;

/// Failures in a row after which a server is held: two may be chance, on
/// a server of two slots one cut connection already breaks both.
const FAILURE_LIMIT: u32 = 3;

/// Refusals in a row, at one request at a time, after which a server is
/// held: one that sheds half of its requests whatever its load refuses a few
/// in a row by chance, and asking it less would have it serve less.
const REFUSAL_LIMIT: u32 = 16;

/// The first hold, and the longest: a restart takes seconds, and a key is
/// to be served again within 2 s of a loss.
const INITIAL_SUSPENSION: TimeSpan = TimeSpan::from_millis(100);
const MAX_SUSPENSION: TimeSpan = TimeSpan::from_millis(2_000);

/// Answers for each present slot before one is added.
const ANSWERS_PER_STEP: usize = 2;

/// A limit is halved once in this time: the refusals of one burst are one
/// sign, not many.
const HALVE_PAUSE: TimeSpan = TimeSpan::from_millis(20);

/// A hold that lasted this long with no answer calls for another owner.
const HELD_TOO_LONG: TimeSpan = TimeSpan::from_millis(1_000);

/// What the keeper saw of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerSignal {
    /// It answered a request of this class in this time.
    Answered(RequestClass, TimeSpan),
    /// It refused to start a request.
    Refused,
    /// A request broke off or timed out.
    Broken,
    /// No connection could be made.
    Unreachable,
    /// Its caller withdrew a request; that says nothing of the server.
    Cancelled,
}

/// What may be sent to a server now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitVerdict {
    /// So many requests at once.
    Allowed(usize),
    /// Nothing before this moment.
    Suspended(LocalTime),
}

/// Where a server's keys are served best.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerAdvice {
    /// The server does its work.
    Keep,
    /// Its keys would be served better elsewhere.
    MoveAway,
}

/// How far a server is trusted.
#[derive(Clone, Copy, Debug)]
enum LimitStage {
    /// It takes `limit` requests; `answers` count towards the next step.
    Active { limit: usize, answers: usize },
    /// It gets nothing; `tries` probes have failed.
    Suspended { until: LocalTime, tries: u32 },
    /// One request is to show whether it is back.
    Probing { tries: u32 },
}

/// The limit of one server.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{LimitVerdict, ServerLimit, ServerSignal};
/// use goldcrestramp_types::LocalTime;
///
/// let now = LocalTime::from_micros(0);
/// let mut limit = ServerLimit::open(now, 4);
/// assert_eq!(limit.verdict(now), LimitVerdict::Allowed(1));
/// for _ in 0..3 {
///     limit.started(now, goldcrestramp_types::RequestClass::Lookup);
///     limit.replied(now);
///     limit.finished(now, ServerSignal::Broken, 0);
/// }
/// assert!(matches!(limit.verdict(now), LimitVerdict::Suspended(_)));
/// ```
#[derive(Clone, Debug)]
pub struct ServerLimit {
    slots: usize,
    stage: LimitStage,
    pace: ServerPace,
    failures: u32,
    refusals: u32,
    halved_at: LocalTime,
    held_since: Option<LocalTime>,
}

impl ServerLimit {
    /// The limit of a server of which nothing is known yet.
    #[must_use]
    pub fn open(now: LocalTime, slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            stage: LimitStage::Active { limit: 1, answers: 0 },
            pace: ServerPace::new(now),
            failures: 0,
            refusals: 0,
            halved_at: now,
            held_since: None,
        }
    }

    /// The limit of a server that has been at work for a while, as seen by
    /// a VM that has not: all of its slots from the begin.
    ///
    /// VMs that start together, after a loss of all of them, would else give
    /// each server one request at a time until it has answered a few, and
    /// refuse what its other slots could run.
    #[must_use]
    pub fn warm(now: LocalTime, slots: usize) -> Self {
        let limit = slots.max(1);
        let stage = LimitStage::Active { limit, answers: 0 };
        Self { stage, ..Self::open(now, slots) }
    }

    /// What may be sent now.
    #[must_use]
    pub fn verdict(&self, now: LocalTime) -> LimitVerdict {
        match self.stage {
            LimitStage::Active { limit, .. } => LimitVerdict::Allowed(limit),
            LimitStage::Suspended { until, .. } if now < until => {
                LimitVerdict::Suspended(until)
            }
            LimitStage::Suspended { .. } | LimitStage::Probing { .. } => {
                LimitVerdict::Allowed(1)
            }
        }
    }

    /// What the steward should know.
    #[must_use]
    pub fn advice(&self, now: LocalTime) -> OwnerAdvice {
        let held = self
            .held_since
            .is_some_and(|since| now.since(since) >= HELD_TOO_LONG);
        if held || self.pace.is_slow(now) {
            OwnerAdvice::MoveAway
        } else {
            OwnerAdvice::Keep
        }
    }

    /// Notes that a request was sent.
    pub fn started(&mut self, now: LocalTime, class: RequestClass) {
        if let LimitStage::Suspended { tries, .. } = self.stage {
            self.stage = LimitStage::Probing { tries };
        }
        self.pace.started(now, class);
    }

    /// Notes that a part of an answer came: the server is alive, and the
    /// limit grows as by an answer, or one download at a cold server would
    /// keep it at one request until its end.
    pub fn progressed(&mut self, now: LocalTime) {
        self.pace.progressed(now);
        self.answered();
    }

    /// Notes that a request no longer waits for the begin of its answer.
    ///
    /// Called once for each that was started, before its end at the latest.
    /// Only the begin is waited for: an answer under way stands still when
    /// its reader does, which says nothing of the server.
    pub const fn replied(&mut self, now: LocalTime) {
        self.pace.replied(now);
    }

    /// Notes how a request ended; `random` spreads the next probe.
    pub fn finished(
        &mut self,
        now: LocalTime,
        sign: ServerSignal,
        random: u64,
    ) {
        match sign {
            ServerSignal::Answered(class, span) => {
                self.pace.record(now, class, span);
                self.answered();
            }
            ServerSignal::Refused => self.refused(now, random),
            ServerSignal::Broken | ServerSignal::Unreachable => {
                self.failed(now, random);
            }
            ServerSignal::Cancelled => {}
        }
    }

    /// Takes a new run of the server, which is cold again.
    pub fn restarted(&mut self, now: LocalTime) {
        *self = Self::open(now, self.slots);
    }

    /// Looks for silence; called at [`wake_at`](Self::wake_at) or before.
    pub fn tick(&mut self, now: LocalTime, random: u64) {
        if self.pace.silent_at().is_some_and(|time| time <= now) {
            // The next silence counts from here, or each tick would
            // double the hold for the same one.
            self.pace.progressed(now);
            self.hold(now, random);
        }
    }

    /// When something changes without an event.
    ///
    /// A hold that has ended waits for a request to be its probe, and its
    /// end is no such time any more: a keeper of a lost server, for which
    /// nothing waited, looked again and again without a pause.
    #[must_use]
    pub fn wake_at(&self, now: LocalTime) -> Option<LocalTime> {
        let held = match self.stage {
            LimitStage::Suspended { until, .. } => {
                Some(until).filter(|t| *t > now)
            }
            LimitStage::Active { .. } | LimitStage::Probing { .. } => None,
        };
        held.into_iter().chain(self.pace.silent_at()).min()
    }

    /// An answer ends any doubt, and lets the limit grow by degrees.
    fn answered(&mut self) {
        self.failures = 0;
        self.refusals = 0;
        self.held_since = None;
        let LimitStage::Active { limit, answers } = self.stage else {
            self.stage = LimitStage::Active { limit: 1, answers: 1 };
            return;
        };
        let answers = answers + 1;
        let grown = answers >= limit * ANSWERS_PER_STEP;
        self.stage = if grown && limit < self.slots {
            LimitStage::Active { limit: limit + 1, answers: 0 }
        } else {
            LimitStage::Active { limit, answers }
        };
    }

    /// A refusal is a sign of life, yet of too much load.
    fn refused(&mut self, now: LocalTime, random: u64) {
        if let LimitStage::Active { limit, .. } = self.stage
            && limit > 1
        {
            let due = now.since(self.halved_at) >= HALVE_PAUSE;
            let limit = if due { limit / 2 } else { limit };
            if due {
                self.halved_at = now;
            }
            self.stage = LimitStage::Active { limit, answers: 0 };
            return;
        }
        self.refusals += 1;
        self.hold_if(self.refusals >= REFUSAL_LIMIT, now, random);
    }

    fn failed(&mut self, now: LocalTime, random: u64) {
        self.failures += 1;
        self.hold_if(self.failures >= FAILURE_LIMIT, now, random);
    }

    /// Holds the server at the end of a row, or of a probe.
    fn hold_if(&mut self, row_ends: bool, now: LocalTime, random: u64) {
        let probing = matches!(self.stage, LimitStage::Probing { .. });
        if probing || row_ends {
            self.hold(now, random);
        }
    }

    /// Stops sending, for a time that doubles with each failed probe.
    fn hold(&mut self, now: LocalTime, random: u64) {
        let tries = match self.stage {
            LimitStage::Active { .. } => 0,
            LimitStage::Probing { tries } => tries + 1,
            // More requests of before the hold fail: no new knowledge.
            LimitStage::Suspended { .. } => return,
        };
        let doubled = INITIAL_SUSPENSION
            .percent(100 << tries.min(8))
            .min(MAX_SUSPENSION);
        let jitter = random % (doubled.as_micros() / 4 + 1);
        let until = now + doubled + TimeSpan::from_micros(jitter);
        self.stage = LimitStage::Suspended { until, tries };
        self.held_since = self.held_since.or(Some(now));
    }
}
