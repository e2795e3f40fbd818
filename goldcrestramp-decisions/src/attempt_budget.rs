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
    /// The largest number of VMs known in this step.
    vms: u64,
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
        let requests: u64 = self.steps.iter().map(|step| step.requests).sum();
        let retries: u64 = self.steps.iter().map(|step| step.retries).sum();
        let allowed =
            requests * self.settings.per_mille / 1_000 + self.share(now);
        (retries + 1) * 100 <= allowed * USABLE_PERCENT
    }

    /// This VM's share of the constant.
    fn share(&self, now: LocalTime) -> u64 {
        let vms = self.steps.iter().map(|step| step.vms).max();
        let share = self.settings.constant / vms.unwrap_or(1).max(1);
        if now < self.full_share_at {
            return share.min(MAX_START_SHARE);
        }
        share
    }

    fn step(&mut self, now: LocalTime) -> &mut WindowStep {
        let length = (self.settings.window.as_micros() / STEPS).max(1);
        let number = now.as_micros() / length;
        while self
            .steps
            .front()
            .is_some_and(|step| step.number + STEPS < number)
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
