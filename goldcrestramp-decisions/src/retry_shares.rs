//! Decides which requests get a retry when few are left.
//!
//! When servers refuse half of what arrives, requests ask for several times as
//! many retries as the budget allows. Without this decision the requests that
//! ask first get them: lookups use up what orders need, and responses that can
//! only be late use up what others need to be in time. While much is left,
//! each request gets a retry. After that, a class of requests leaves a part of
//! the budget to the classes that precede it, in proportion to their share of
//! the requests. Each class that asks gets a small part in any case.

use std::collections::VecDeque;

use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::RetrySupply;

/// The window is counted in this many steps, like that of the budget.
const STEPS: u64 = 10;

/// The largest part of the budget, in percent, that is reserved for the
/// classes that precede a class. While more than this is left, every request
/// gets a retry.
const MAX_RESERVE_PERCENT: u64 = 65;

/// The reserve for the preceding classes, in percent of the share that their
/// requests have. Each of their requests may need several retries in an
/// overload, so this exceeds 100.
const RESERVE_PERCENT: u64 = 200;

/// The part, in percent, of its proportional share of the budget that a class
/// gets although others precede it.
const GUARANTEED_PERCENT: u64 = 25;

/// If the budget has at least this many retries for each class that asks, one
/// for each of them is kept for the classes that got none in half a window.
/// Otherwise a class whose retries were all made at once would get none until
/// these have left the window.
const MIN_USABLE_PER_CLASS: u64 = 3;

/// What is kept in addition, in percent of the budget. The budget falls by as
/// much when the oldest tenth of the requests leaves its window.
const KEPT_PERCENT: u64 = 10;

/// Priorities from this one on are one class.
const LOWEST_PRIORITY: u8 = 3;

/// The number of kinds: by idempotence and by priority.
const KINDS: usize = 2 * (LOWEST_PRIORITY as usize + 1);

/// The number of classes: each kind in time or late.
const CLASSES: usize = 2 * KINDS;

/// The class of a request that asks for a retry.
///
/// Requests that can be in time precede those that can only be late. Among
/// them, non-idempotent requests precede the others, and then the priority
/// decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryClass {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// Whether its response can only arrive after its target latency.
    pub late: bool,
}

impl RetryClass {
    /// The stable code in counters.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match (self.idempotent, self.late) {
            (false, false) => "non-idempotent",
            (false, true) => "non-idempotent-late",
            (true, false) => "idempotent",
            (true, true) => "idempotent-late",
        }
    }

    /// The index of the kind, in order of precedence.
    fn kind(self) -> usize {
        let priority = usize::from(self.priority.min(LOWEST_PRIORITY));
        usize::from(self.idempotent) * KINDS / 2 + priority
    }

    /// The index of the class, in order of precedence.
    fn index(self) -> usize {
        usize::from(self.late) * KINDS + self.kind()
    }
}

/// The counts of one step or of a window.
#[derive(Clone, Copy, Debug, Default)]
struct ShareStep {
    number: u64,
    requests: [u64; KINDS],
    /// The requests that asked for a retry.
    asks: [u64; CLASSES],
    /// Those that got one.
    retries: [u64; CLASSES],
}

/// The requests and retries of each class at one VM and one service.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{RetryClass, RetryShares, RetrySupply};
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let now = LocalTime::from_micros(0);
/// let mut shares = RetryShares::new(TimeSpan::from_millis(10_000));
/// let order = RetryClass { idempotent: false, priority: 0, late: false };
/// let lookup = RetryClass { idempotent: true, priority: 1, late: false };
/// shares.record_request(now, order);
/// shares.record_request(now, lookup);
/// let scarce = RetrySupply { usable: 10, left: 3 };
/// // Each class has its guaranteed part; lookups have had theirs.
/// (0..2).for_each(|_| shares.record_retry(now, lookup));
/// assert!(shares.allows(now, order, scarce));
/// assert!(!shares.allows(now, lookup, scarce));
/// ```
#[derive(Clone, Debug)]
pub struct RetryShares {
    window: TimeSpan,
    steps: VecDeque<ShareStep>,
}

impl RetryShares {
    /// Creates the counts for a budget with this window.
    #[must_use]
    pub const fn new(window: TimeSpan) -> Self {
        Self { window, steps: VecDeque::new() }
    }

    /// Counts a request that this VM received.
    pub fn record_request(&mut self, now: LocalTime, class: RetryClass) {
        self.step(now).requests[class.kind()] += 1;
    }

    /// Counts a request that got a retry.
    pub fn record_retry(&mut self, now: LocalTime, class: RetryClass) {
        let step = self.step(now);
        step.asks[class.index()] += 1;
        step.retries[class.index()] += 1;
    }

    /// Counts a request that was denied a retry.
    pub fn record_denial(&mut self, now: LocalTime, class: RetryClass) {
        self.step(now).asks[class.index()] += 1;
    }

    /// Whether a request of this class may use a retry of what is left.
    pub fn allows(
        &mut self,
        now: LocalTime,
        class: RetryClass,
        supply: RetrySupply,
    ) -> bool {
        let RetrySupply { usable, left } = supply;
        if left == 0 {
            return false;
        }
        let totals = self.totals(now);
        let index = class.index();
        let asks = |other: &usize| totals.asks[*other] > 0;
        let active = (0..CLASSES).filter(asks).count() as u64;
        let paced = active >= 2 && active * MIN_USABLE_PER_CLASS <= usable;
        let recent = self.recent_retries(now);
        if paced && asks(&index) && recent[index] == 0 {
            return true;
        }
        let kept = usable * KEPT_PERCENT / 100 + active;
        let kept = if paced { kept } else { 0 };
        let missing = |other: usize| {
            let guaranteed = totals.guaranteed(other, usable);
            guaranteed.saturating_sub(totals.retries[other])
        };
        if missing(index) > 0 {
            return left > kept;
        }
        let others = (0..CLASSES).filter(|other| *other != index);
        let guaranteed: u64 = others.map(missing).sum();
        let reserve = usable * totals.reserve_percent(class) / 100;
        left > reserve.max(guaranteed + kept)
    }

    /// The counts of the window.
    fn totals(&mut self, now: LocalTime) -> ShareStep {
        self.step(now);
        let mut totals = ShareStep::default();
        for step in &self.steps {
            add(&mut totals.requests, &step.requests);
            add(&mut totals.asks, &step.asks);
            add(&mut totals.retries, &step.retries);
        }
        totals
    }

    /// The retries in the last half of the window.
    fn recent_retries(&self, now: LocalTime) -> [u64; CLASSES] {
        let number = now.as_micros() / self.step_length();
        let mut retries = [0; CLASSES];
        let is_recent = |s: &&ShareStep| s.number + STEPS / 2 > number;
        for step in self.steps.iter().filter(is_recent) {
            add(&mut retries, &step.retries);
        }
        retries
    }

    fn step_length(&self) -> u64 {
        (self.window.as_micros() / STEPS).max(1)
    }

    fn step(&mut self, now: LocalTime) -> &mut ShareStep {
        let number = now.as_micros() / self.step_length();
        let is_old = |step: &ShareStep| step.number + STEPS < number;
        while self.steps.front().is_some_and(is_old) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number != number) {
            self.steps.push_back(ShareStep { number, ..Default::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

impl ShareStep {
    /// The retries that a class gets although others precede it.
    fn guaranteed(&self, index: usize, usable: u64) -> u64 {
        let asks: u64 = self.asks.iter().sum();
        let share = usable * self.asks[index] / asks.max(1);
        share * GUARANTEED_PERCENT / 100
    }

    /// The part of the budget, in percent, that is reserved for the classes
    /// that precede this one.
    fn reserve_percent(&self, class: RetryClass) -> u64 {
        let all: u64 = self.requests.iter().sum();
        let preceding: u64 = self.requests[..class.kind()].iter().sum();
        let asks: u64 = self.asks.iter().sum();
        let in_time: u64 = self.asks[..KINDS].iter().sum();
        // Until requests ask, they can be in time.
        let in_time = (in_time * 100).checked_div(asks).unwrap_or(100);
        let ahead = if class.late {
            all * in_time + preceding * (100 - in_time)
        } else {
            preceding * in_time
        };
        let percent = ahead * RESERVE_PERCENT / 100 / all.max(1);
        percent.min(MAX_RESERVE_PERCENT)
    }
}

fn add<const N: usize>(totals: &mut [u64; N], counts: &[u64; N]) {
    for (total, count) in totals.iter_mut().zip(counts) {
        *total += count;
    }
}
