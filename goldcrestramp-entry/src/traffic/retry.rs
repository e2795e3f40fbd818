//! The retries of one service while load control is on.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
};

use goldcrestramp_decisions::{
    AttemptBudget, RetryClass, RetryShares, RetryShortage, RetrySupply,
    ShortageChange,
};
use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::{
    control::{RetryRecorder, ShareBoard},
    metrics::EntryMetrics,
};

/// Where the retries of a service are counted and lent retries arrive.
#[derive(Clone, Debug)]
pub(crate) struct RetryBoards {
    pub(crate) recorder: RetryRecorder,
    pub(crate) shares: ShareBoard,
    pub(crate) metrics: Arc<EntryMetrics>,
}

/// Decides which requests to a service get a retry.
#[derive(Debug)]
pub(crate) struct ServiceRetries {
    service: Arc<str>,
    boards: RetryBoards,
    shares: RefCell<RetryShares>,
    shortage: Cell<RetryShortage>,
}

impl ServiceRetries {
    pub(crate) fn open(
        service: Arc<str>,
        window: TimeSpan,
        boards: RetryBoards,
    ) -> Self {
        Self {
            service,
            boards,
            shares: RefCell::new(RetryShares::new(window)),
            shortage: Cell::default(),
        }
    }

    /// Counts a request that this VM received.
    pub(crate) fn record_request(&self, now: LocalTime, class: RetryClass) {
        self.shares.borrow_mut().record_request(now, class);
        self.boards.recorder.record_request(&self.service);
        self.update_shortage(|shortage| shortage.check(now));
    }

    /// Whether a request of this class may use a retry. Takes none.
    pub(crate) fn allows(
        &self,
        now: LocalTime,
        class: RetryClass,
        budget: &mut AttemptBudget,
        vms: usize,
    ) -> bool {
        let own = budget.supply(now, vms);
        let lent = self.boards.shares.loans_left(now, &self.service);
        let supply =
            RetrySupply { usable: own.usable + lent, left: own.left + lent };
        self.shares.borrow_mut().allows(now, class, supply)
    }

    /// Takes a retry for a request of this class if it may use one: a lent
    /// one first, as it expires sooner.
    pub(crate) fn try_take(
        &self,
        now: LocalTime,
        class: RetryClass,
        budget: &mut AttemptBudget,
        vms: usize,
    ) -> bool {
        if !self.allows(now, class, budget, vms) {
            return false;
        }
        if self.boards.shares.take_loan(now, &self.service) {
            self.boards.metrics.borrowed_retries.inc();
        } else if !budget.try_take(now, vms) {
            return false;
        }
        self.shares.borrow_mut().record_retry(now, class);
        self.boards.recorder.record_retry(&self.service);
        true
    }

    /// Counts a denied retry. Returns the delay after which its caller, which
    /// has `remaining` left, should return.
    pub(crate) fn deny(
        &self,
        now: LocalTime,
        class: RetryClass,
        remaining: TimeSpan,
    ) -> TimeSpan {
        self.shares.borrow_mut().record_denial(now, class);
        self.boards.recorder.record_denial(&self.service);
        self.boards.metrics.record_denied_retry(class.code());
        self.update_shortage(|shortage| shortage.record_denial(now));
        let random_percent = rand::random_range(0..=100);
        self.shortage.get().retry_after(now, remaining, random_percent)
    }

    fn update_shortage(
        &self,
        update: impl FnOnce(&mut RetryShortage) -> Option<ShortageChange>,
    ) {
        let mut shortage = self.shortage.get();
        let change = update(&mut shortage);
        self.shortage.set(shortage);
        let service = &self.service;
        match change {
            Some(ShortageChange::Began) => {
                log::info!("[retry] Requests to {service} lack retries.");
            }
            Some(ShortageChange::Ended(lasted)) => log::info!(
                "[retry] Requests to {service} no longer lack retries; they \
                 did for {} ms.",
                lasted.as_millis()
            ),
            None => {}
        }
    }
}
