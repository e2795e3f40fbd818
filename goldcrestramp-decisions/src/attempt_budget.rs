//! How many sends beyond the first of each request a VM may make.
//!
//! The load: many servers fail or shed at once, and every VM sends again.
//! The operators bound what all VMs together may send beyond the first of
//! each request in any window. VMs can't ask one another when they are cut
//! off, so each keeps to its own part: the ratio of what it was asked
//! itself, and an equal part of the constant. How many share it is what the
//! VM knows of the fleet: too few while it starts, or when some are thought
//! lost that still serve. So a VM that has just started takes little of it,
//! and a fleet that shrinks counts as large for a window more.

use std::collections::VecDeque;

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The window is counted in this many steps; one more is kept, so that a
/// window that begins within a step is never underestimated.
const STEPS: u64 = 10;

/// The part of what is allowed that is used: requests are counted by the
/// operators when callers send them, here when they are read.
const USED_PERCENT: u64 = 70;

/// The most of the constant that a VM takes while it may not know the
/// others: enough for its first requests, of which the ratio allows none.
const START_SHARE: u64 = 12;

/// What the operators allow.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// The length of the window.
    pub window: TimeSpan,
    /// Sends beyond the first for each thousand requests.
    pub per_mille: u64,
    /// Sends beyond those, for all VMs together.
    pub constant: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowStep {
    number: u64,
    requests: u64,
    repeats: u64,
    /// The most VMs that were known.
    vms: u64,
}

/// The sends of one VM to one service.
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
    /// When a whole part of the constant may first be taken.
    share_from: LocalTime,
}

impl AttemptBudget {
    /// A budget of which nothing was used.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        let share_from = LocalTime::default();
        Self { settings, steps: VecDeque::new(), share_from }
    }

    /// The budget of a VM that started at `started`: what its former run
    /// has taken of the constant is forgotten, and other VMs may not be
    /// known yet.
    #[must_use]
    pub fn with_start(self, started: LocalTime) -> Self {
        Self { share_from: started + self.settings.window, ..self }
    }

    /// Counts a request that came in.
    pub fn record_request(&mut self, now: LocalTime) {
        self.step(now).requests += 1;
    }

    /// Takes a send beyond the first, if one is left; `vms` share the
    /// constant.
    pub fn try_take(&mut self, now: LocalTime, vms: usize) -> bool {
        let left = self.has_remaining(now, vms);
        self.step(now).repeats += u64::from(left);
        left
    }

    /// Whether a send beyond the first is left.
    pub fn has_remaining(&mut self, now: LocalTime, vms: usize) -> bool {
        let step = self.step(now);
        step.vms = step.vms.max(vms as u64);
        let requests: u64 = self.steps.iter().map(|s| s.requests).sum();
        let repeats: u64 = self.steps.iter().map(|s| s.repeats).sum();
        let allowed =
            requests * self.settings.per_mille / 1_000 + self.share(now);
        (repeats + 1) * 100 <= allowed * USED_PERCENT
    }

    /// This VM's part of the constant.
    fn share(&self, now: LocalTime) -> u64 {
        let vms = self.steps.iter().map(|step| step.vms).max();
        let share = self.settings.constant / vms.unwrap_or(1).max(1);
        if now < self.share_from {
            return share.min(START_SHARE);
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
