//! Bounds the retries of a VM: the attempts beyond the first of each request.
//!
//! Without a bound, many servers that fail or shed load at once make every VM
//! retry. The operators bound the retries of all VMs together in any
//! window: a ratio of the requests plus a constant. VMs that are cut off can't
//! coordinate, so each keeps to its own part: the ratio of the requests that
//! it received itself, and an equal share of the constant. The share depends
//! on how many VMs this VM knows, which is too few while it starts, or when
//! VMs that still serve are believed to be lost. So a VM that has just started
//! takes only a small part of the constant, and after the fleet shrinks, its
//! largest size in the last window still counts.
//!
//! Demand is uneven, so some VMs leave a part of their budget unused while
//! others run out. A VM gives up such a part before another VM may use it
//! ([`AttemptBudget::offer`]), so all VMs together never exceed the sum of
//! their own parts.

use std::collections::VecDeque;

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The window is counted in this many steps. One more step is kept, so that a
/// window that begins within a step is never underestimated.
const STEPS: u64 = 10;

/// The percentage of the allowed retries that is used. The operators count a
/// request when its caller sends it, and this VM when it reads it.
const USABLE_PERCENT: u64 = 70;

/// The maximum share of the constant for a VM that may not know the other VMs
/// yet. It is enough for the first requests, for which the ratio allows no
/// retries.
const MAX_START_SHARE: u64 = 12;

/// The percentage of its usable retries that a VM never gives up, rounded up to
/// whole ones. Its own demand may begin within the window.
const KEPT_PERCENT: u64 = 25;

/// How long after it was given up a retry may be made by another VM: as long
/// as the planner may lend it, and then as long as a loan is valid.
pub const OFFER_LIFE: TimeSpan = OFFER_TTL.plus(LOAN_TTL);

/// How long the planner may lend what a VM has given up, from the time at
/// which it sent the reply that asked for it. A VM reads such a reply, and
/// reports what it gives up, within two report intervals of 0.4 s.
pub const OFFER_TTL: TimeSpan = TimeSpan::from_millis(2_000);

/// How long a loan is valid, from the time at which the VM that receives it
/// sent its report.
pub const LOAN_TTL: TimeSpan = TimeSpan::from_millis(1_000);

/// The operators' bound on retries.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// The length of the window.
    pub window: TimeSpan,
    /// Retries allowed for each thousand requests.
    pub per_mille: u64,
    /// Retries allowed in addition in a window, for all VMs together.
    pub constant: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowStep {
    number: u64,
    requests: u64,
    retries: u64,
    /// The retries given up for other VMs, in thousandths.
    offered: u64,
    /// The largest number of VMs known in this step.
    vms: u64,
}

/// What a VM may use of its budget in the current window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetrySupply {
    /// The retries that it may use in the window.
    pub usable: u64,
    /// How many of them are left.
    pub left: u64,
}

/// The retries of one VM to one service.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{AttemptBudget, BudgetSettings};
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let window = TimeSpan::from_millis(10_000);
/// let settings = BudgetSettings { window, per_mille: 200, constant: 60 };
/// let mut budget = AttemptBudget::new(settings);
/// let now = LocalTime::from_micros(0);
/// let granted = (0..100).filter(|_| budget.try_take(now, 10)).count();
/// assert_eq!(granted, 4);
/// ```
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    settings: BudgetSettings,
    steps: VecDeque<WindowStep>,
    /// From when on a full share of the constant may be taken.
    full_share_at: LocalTime,
}

impl AttemptBudget {
    /// Creates a budget with no retries used.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        let full_share_at = LocalTime::default();
        Self { settings, steps: VecDeque::new(), full_share_at }
    }

    /// Sets the start of the VM. For one window its share of the constant is
    /// reduced: the retries of its previous instance aren't known, and the
    /// other VMs may not be known yet.
    #[must_use]
    pub fn with_start(self, started: LocalTime) -> Self {
        Self { full_share_at: started + self.settings.window, ..self }
    }

    /// Counts a request that this VM received.
    pub fn record_request(&mut self, now: LocalTime) {
        self.step(now).requests += 1;
    }

    /// Takes a retry if one remains. `vms` VMs share the constant.
    pub fn try_take(&mut self, now: LocalTime, vms: usize) -> bool {
        let granted = self.has_remaining(now, vms);
        self.step(now).retries += u64::from(granted);
        granted
    }

    /// Whether a retry remains. Takes none.
    pub fn has_remaining(&mut self, now: LocalTime, vms: usize) -> bool {
        let step = self.step(now);
        step.vms = step.vms.max(vms as u64);
        let totals = self.totals(now, STEPS);
        let usable = self.usable_thousandths(now, totals.requests);
        (totals.retries + 1) * 1_000 + totals.offered <= usable
    }

    /// The retries that this VM may use, and those that are left. Takes none.
    pub fn supply(&mut self, now: LocalTime, vms: usize) -> RetrySupply {
        let step = self.step(now);
        step.vms = step.vms.max(vms as u64);
        let totals = self.totals(now, STEPS);
        let usable = self.usable_thousandths(now, totals.requests);
        let usable = usable.saturating_sub(totals.offered) / 1_000;
        RetrySupply { usable, left: usable.saturating_sub(totals.retries) }
    }

    /// Gives up at most `wanted` thousandths of a retry for other VMs, and
    /// returns how many. They may be used for [`OFFER_LIFE`] and count as
    /// used by this VM until one window after that.
    ///
    /// Only requests that will still be in the window at the end of that time
    /// allow for them. A VM that has just started gives up nothing: it does
    /// not know what its previous instance has given up.
    pub fn offer(&mut self, now: LocalTime, vms: usize, wanted: u64) -> u64 {
        if now < self.full_share_at {
            return 0;
        }
        let step = self.step(now);
        step.vms = step.vms.max(vms as u64);
        let recent_steps = STEPS.saturating_sub(self.offer_steps());
        let recent = self.totals(now, recent_steps).requests;
        let totals = self.totals(now, STEPS);
        let usable = self.usable_thousandths(now, recent);
        let used = totals.retries * 1_000 + totals.offered;
        let left = usable.saturating_sub(used);
        let kept = (usable * KEPT_PERCENT).div_ceil(100_000).min(left / 1_000);
        let offered = (left - kept * 1_000).min(wanted);
        self.step(now).offered += offered;
        offered
    }

    /// The retries that `requests` and this VM's share of the constant allow,
    /// with the safety margin, in thousandths.
    fn usable_thousandths(&self, now: LocalTime, requests: u64) -> u64 {
        let allowed =
            requests * self.settings.per_mille / 1_000 + self.share(now);
        allowed * 10 * USABLE_PERCENT
    }

    /// This VM's share of the constant.
    fn share(&self, now: LocalTime) -> u64 {
        let vms = self.window(now, STEPS).map(|step| step.vms).max();
        let share = self.settings.constant / vms.unwrap_or(1).max(1);
        if now < self.full_share_at {
            return share.min(MAX_START_SHARE);
        }
        share
    }

    /// The requests and retries of the last `steps` steps and the current one,
    /// and what was given up and may have been used in the window.
    fn totals(&self, now: LocalTime, steps: u64) -> WindowStep {
        let mut totals = WindowStep::default();
        for step in self.window(now, steps) {
            totals.requests += step.requests;
            totals.retries += step.retries;
        }
        let offered = self.window(now, STEPS + self.offer_steps());
        totals.offered = offered.map(|step| step.offered).sum();
        totals
    }

    fn step_length(&self) -> u64 {
        (self.settings.window.as_micros() / STEPS).max(1)
    }

    /// The number of steps in which what was given up may be used.
    fn offer_steps(&self) -> u64 {
        OFFER_LIFE.as_micros().div_ceil(self.step_length())
    }

    /// The steps whose numbers are at most `steps` below the current one.
    fn window(
        &self,
        now: LocalTime,
        steps: u64,
    ) -> impl Iterator<Item = &WindowStep> {
        let number = now.as_micros() / self.step_length();
        self.steps.iter().filter(move |step| step.number + steps >= number)
    }

    fn step(&mut self, now: LocalTime) -> &mut WindowStep {
        let number = now.as_micros() / self.step_length();
        let kept = STEPS + self.offer_steps();
        while self
            .steps
            .front()
            .is_some_and(|step| step.number + kept < number)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number != number) {
            self.steps.push_back(WindowStep { number, ..Default::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
