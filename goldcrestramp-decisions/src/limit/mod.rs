/*!
The concurrency limit of a server.

A server may be cold, overloaded, slow or frozen, or its health page may say
that all is well when it is not. With a fixed number of slots, requests pile up
at a frozen server, a cold server is flooded in its first second, and an
overloaded server is sent requests again and again only to refuse them.

The limit depends on what the keeper itself observes: responses, refusals,
broken connections and silence. The health page is not read. A busy server
shows more by its responses, and an idle one gets one request at a time anyway.

- *Cold*: the limit starts at one request and grows with the responses.
- *Overloaded*: a refusal halves the limit; a run of responses adds one. If
  the server asks for a backoff, one request follows its end.
- *Failing or frozen*: the server is suspended for a time that doubles with
  each failed probe. Then one request is sent as a probe, and its response lets
  the limit grow again step by step.
- *Slow*: it keeps its slots, since fewer slots would only serve less, but
  [`OwnerAdvice::MoveAway`] has it reported as full.

A key has a single owner, so requests cannot be routed around it. While the
owner is suspended, the queue refuses at once what cannot wait for the next
probe, with a time to retry after; the rest waits. Moving the ownership is the
steward's decision: its placement moves slices away from a server that is
reported as full, as far as others have capacity, see
[`ServerLoad`](crate::ServerLoad).
*/

mod pace;

use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

use crate::limit::pace::{MIN_SILENCE, ServerPace};

/// Consecutive failures after which a server is suspended. Two may be chance:
/// on a server of two slots, one lost connection can break both.
const FAILURE_THRESHOLD: u32 = 3;

/// Consecutive refusals, at one request at a time, after which a server is
/// suspended. A server that refuses half of its requests whatever its load
/// refuses a few in a row by chance, and would serve less if it were sent
/// less.
const REFUSAL_THRESHOLD: u32 = 16;

/// The first and the longest suspension. A restart takes seconds, and a key
/// has to be served again within 2 s of a loss.
const INITIAL_SUSPENSION: TimeSpan = TimeSpan::from_millis(100);
const MAX_SUSPENSION: TimeSpan = TimeSpan::from_millis(2_000);

/// Responses needed for each current slot before one is added.
const RESPONSES_PER_STEP: usize = 2;

/// The limit is halved at most once in this time: the refusals of one burst
/// count as one signal.
const HALVE_INTERVAL: TimeSpan = TimeSpan::from_millis(20);

/// A suspension that lasted this long without a response calls for another
/// owner.
const LONG_SUSPENSION: TimeSpan = TimeSpan::from_millis(1_000);

/// The shortest silence of a VM to which requests are passed that counts: it
/// may wait for a slow server.
const RELAY_SILENCE: TimeSpan = TimeSpan::from_millis(1_000);

/// What the keeper observed of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerSignal {
    /// It completed a request of this class in this time.
    Responded(RequestClass, TimeSpan),
    /// It refused to start a request.
    Refused,
    /// It refused to start a request and asked for a backoff.
    BackedOff,
    /// A request was cut off or timed out.
    Broken,
    /// No connection could be made.
    Unreachable,
    /// The caller cancelled a request; this says nothing about the server.
    Cancelled,
}

/// What may be sent to a server now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitVerdict {
    /// This many requests at once.
    Allowed(usize),
    /// Nothing before this time.
    Suspended(LocalTime),
}

/// Whether a server should keep its keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerAdvice {
    /// The server works normally.
    Keep,
    /// Its keys should move to another server.
    MoveAway,
}

/// The state of a server's limit.
#[derive(Clone, Copy, Debug)]
enum LimitStage {
    /// It takes `limit` requests; `responses` count towards the next step.
    Active { limit: usize, responses: usize },
    /// It is sent nothing; `failed_probes` probes have failed.
    Suspended { until: LocalTime, failed_probes: u32 },
    /// One request is sent to test whether it is back.
    Probing { failed_probes: u32 },
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
    suspended_since: Option<LocalTime>,
    /// Whether it is a VM, which has limits of its own.
    is_relay: bool,
}

impl ServerLimit {
    /// The limit of a server of which nothing is known yet.
    #[must_use]
    pub fn open(now: LocalTime, slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            stage: LimitStage::Active { limit: 1, responses: 0 },
            pace: ServerPace::new(now, MIN_SILENCE),
            failures: 0,
            refusals: 0,
            halved_at: now,
            suspended_since: None,
            is_relay: false,
        }
    }

    /// The limit of a VM to which requests are passed.
    ///
    /// It has queues and limits of its own, and what its servers refuse says
    /// nothing about it. So refusals don't lower its limit, and after a
    /// suspension one response restores it.
    #[must_use]
    pub fn relay(now: LocalTime, max_passed: usize) -> Self {
        let pace = ServerPace::new(now, RELAY_SILENCE);
        Self { pace, is_relay: true, ..Self::warm(now, max_passed) }
    }

    /// The limit of a server that has been running for a while, as seen by a
    /// VM that has not: it may use all slots at once.
    ///
    /// When all VMs are lost and start together, they would otherwise limit
    /// each server to one request at a time until a few responses came, and
    /// refuse what its other slots could run.
    #[must_use]
    pub fn warm(now: LocalTime, slots: usize) -> Self {
        let limit = slots.max(1);
        let stage = LimitStage::Active { limit, responses: 0 };
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

    /// The advice to the steward.
    #[must_use]
    pub fn advice(&self, now: LocalTime) -> OwnerAdvice {
        let suspended = self
            .suspended_since
            .is_some_and(|since| now.since(since) >= LONG_SUSPENSION);
        if suspended || self.pace.is_slow(now) {
            OwnerAdvice::MoveAway
        } else {
            OwnerAdvice::Keep
        }
    }

    /// Records that a request was sent.
    pub fn started(&mut self, now: LocalTime, class: RequestClass) {
        if let LimitStage::Suspended { failed_probes, .. } = self.stage {
            self.stage = LimitStage::Probing { failed_probes };
        }
        self.pace.started(now, class);
    }

    /// Records that a part of a response arrived. The server is alive, and the
    /// limit grows as with a response. Otherwise one download at a cold server
    /// would keep the limit at one request until the download ends.
    pub fn progressed(&mut self, now: LocalTime) {
        self.pace.progressed(now);
        self.record_response();
    }

    /// Records that a request no longer waits for the start of its response.
    ///
    /// Called once for each started request, at the latest before its end.
    /// Only the start of a response counts: a response in progress also stalls
    /// when its reader does, which says nothing about the server.
    pub const fn replied(&mut self, now: LocalTime) {
        self.pace.replied(now);
    }

    /// Records how a request ended; `random` adds jitter to the next probe.
    pub fn finished(
        &mut self,
        now: LocalTime,
        signal: ServerSignal,
        random: u64,
    ) {
        match signal {
            ServerSignal::Responded(class, span) => {
                self.pace.record(now, class, span);
                self.record_response();
            }
            ServerSignal::Refused => self.record_refusal(now, random),
            ServerSignal::BackedOff => self.record_backoff(),
            ServerSignal::Broken | ServerSignal::Unreachable => {
                self.record_failure(now, random);
            }
            ServerSignal::Cancelled => {}
        }
    }

    /// Resets the limit for a new instance of the server, which is cold.
    pub fn restarted(&mut self, now: LocalTime) {
        *self = Self::open(now, self.slots);
    }

    /// Discards what was learned from failures: they were those of the VM's
    /// own links, which work again.
    pub fn links_restored(&mut self, now: LocalTime) {
        self.failures = 0;
        self.refusals = 0;
        self.suspended_since = None;
        self.pace.progressed(now);
        if !matches!(self.stage, LimitStage::Active { .. }) {
            self.stage =
                LimitStage::Active { limit: self.slots, responses: 0 };
        }
    }

    /// Checks for silence; called no later than [`wake_at`](Self::wake_at).
    pub fn tick(&mut self, now: LocalTime, random: u64) {
        if self.pace.silent_at().is_some_and(|time| time <= now) {
            // The next silence counts from here. Otherwise each tick would
            // double the suspension for the same silence.
            self.pace.progressed(now);
            self.suspend(now, random);
        }
    }

    /// When the state changes without an event.
    ///
    /// A suspension that has ended waits for a request as its probe, so its
    /// end is not returned any more. Otherwise the keeper of a lost server for
    /// which nothing waits would loop without a pause.
    #[must_use]
    pub fn wake_at(&self, now: LocalTime) -> Option<LocalTime> {
        let suspended = match self.stage {
            LimitStage::Suspended { until, .. } => {
                Some(until).filter(|t| *t > now)
            }
            LimitStage::Active { .. } | LimitStage::Probing { .. } => None,
        };
        suspended.into_iter().chain(self.pace.silent_at()).min()
    }

    /// Clears failures and suspension, and lets the limit grow step by step.
    fn record_response(&mut self) {
        self.failures = 0;
        self.refusals = 0;
        self.suspended_since = None;
        let LimitStage::Active { limit, responses } = self.stage else {
            let limit = if self.is_relay { self.slots } else { 1 };
            self.stage = LimitStage::Active { limit, responses: 1 };
            return;
        };
        let responses = responses + 1;
        let grown = responses >= limit * RESPONSES_PER_STEP;
        self.stage = if grown && limit < self.slots {
            LimitStage::Active { limit: limit + 1, responses: 0 }
        } else {
            LimitStage::Active { limit, responses }
        };
    }

    /// Handles a refusal: the server is alive but overloaded.
    fn record_refusal(&mut self, now: LocalTime, random: u64) {
        if self.is_relay {
            self.record_response();
            return;
        }
        if let LimitStage::Active { limit, .. } = self.stage
            && limit > 1
        {
            let due = now.since(self.halved_at) >= HALVE_INTERVAL;
            let limit = if due { limit / 2 } else { limit };
            if due {
                self.halved_at = now;
            }
            self.stage = LimitStage::Active { limit, responses: 0 };
            return;
        }
        self.refusals += 1;
        self.suspend_if(self.refusals >= REFUSAL_THRESHOLD, now, random);
    }

    /// Lets one request follow a backoff, whose end the server itself has
    /// named: VMs that send all that has waited would overload it again.
    const fn record_backoff(&mut self) {
        self.failures = 0;
        self.refusals = 0;
        self.suspended_since = None;
        self.stage = LimitStage::Active { limit: 1, responses: 0 };
    }

    fn record_failure(&mut self, now: LocalTime, random: u64) {
        self.failures += 1;
        self.suspend_if(self.failures >= FAILURE_THRESHOLD, now, random);
    }

    /// Suspends the server if a threshold is reached or a probe failed.
    fn suspend_if(
        &mut self,
        threshold_reached: bool,
        now: LocalTime,
        random: u64,
    ) {
        let probing = matches!(self.stage, LimitStage::Probing { .. });
        if probing || threshold_reached {
            self.suspend(now, random);
        }
    }

    /// Stops sending, for a time that doubles with each failed probe.
    fn suspend(&mut self, now: LocalTime, random: u64) {
        let failed_probes = match self.stage {
            LimitStage::Active { .. } => 0,
            LimitStage::Probing { failed_probes } => failed_probes + 1,
            // Requests sent before the suspension fail: no new information.
            LimitStage::Suspended { .. } => return,
        };
        let duration = INITIAL_SUSPENSION
            .percent(100 << failed_probes.min(8))
            .min(MAX_SUSPENSION);
        let jitter = random % (duration.as_micros() / 4 + 1);
        let until = now + duration + TimeSpan::from_micros(jitter);
        self.stage = LimitStage::Suspended { until, failed_probes };
        self.suspended_since = self.suspended_since.or(Some(now));
    }
}
