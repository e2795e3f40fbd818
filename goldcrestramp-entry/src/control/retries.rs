//! The use of the retry budgets of this VM, reported to the planning VM, and
//! the retries that VMs lend to each other.
//!
//! The traffic thread counts and gives up retries, and the control thread
//! reports both. The planning VM keeps a ledger for each service whose
//! retries are denied.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_decisions::{RetryLedger, RetryUse};
use goldcrestramp_types::{FastMap, LocalTime};
use serde::{Deserialize, Serialize};

use crate::control::{
    demand::{DemandReport, RetryCounts},
    term::PlannerTerm,
};

/// The number of services with a ledger. It bounds the memory if reports name
/// services that do not exist.
const MAX_LEDGERS: usize = 256;

/// Identifies a reply of the planning VM that asked for retries. The VM that
/// gives some up returns it, so the planning VM knows by its own clock how old
/// the offer may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RetryTicket {
    /// The revision of the planner's record in its term.
    pub term: u64,
    /// The time of the reply by the planning VM's clock.
    pub at: LocalTime,
}

/// What the planning VM asks a VM to give up.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WantedRetries {
    /// The reply that asks.
    pub ticket: RetryTicket,
    /// Thousandths of a retry, by service.
    pub thousandths: FastMap<Arc<str>, u64>,
}

/// What a VM has given up.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RetryOffers {
    /// The reply that asked for it.
    pub ticket: RetryTicket,
    /// Thousandths of a retry, by service.
    pub thousandths: FastMap<Arc<str>, u64>,
}

/// The counts since the last report, by service.
type CountsByService = FastMap<Arc<str>, RetryCounts>;

/// Counters of retries, written by the traffic thread and read by the control
/// thread. A clone refers to the same state.
#[derive(Clone, Debug, Default)]
pub struct RetryRecorder(Arc<Mutex<RetryTotals>>);

#[derive(Debug, Default)]
struct RetryTotals {
    counts: CountsByService,
    offers: Option<RetryOffers>,
}

impl RetryRecorder {
    /// Counts a request.
    pub fn record_request(&self, service: &Arc<str>) {
        self.count(service, |counts| &mut counts.requests);
    }

    /// Counts a retry.
    pub fn record_retry(&self, service: &Arc<str>) {
        self.count(service, |counts| &mut counts.retries);
    }

    /// Counts a retry that was denied.
    pub fn record_denial(&self, service: &Arc<str>) {
        self.count(service, |counts| &mut counts.denied);
    }

    /// Stores what this VM has given up, for the next report. Offers that have
    /// not been reported are lost.
    pub fn store_offers(&self, offers: RetryOffers) {
        self.lock().offers = Some(offers);
    }

    /// Takes the counts and offers, and resets them.
    #[must_use]
    pub fn take(&self) -> (CountsByService, Option<RetryOffers>) {
        let RetryTotals { counts, offers } = std::mem::take(&mut *self.lock());
        (counts, offers)
    }

    fn count(
        &self,
        service: &Arc<str>,
        field: impl FnOnce(&mut RetryCounts) -> &mut u32,
    ) {
        let mut totals = self.lock();
        let counts = totals.counts.entry(Arc::clone(service)).or_default();
        let count = field(counts);
        *count = count.saturating_add(1);
    }

    fn lock(&self) -> MutexGuard<'_, RetryTotals> {
        // Counts remain valid if a thread panicked while it held the lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PlannerTerm {
    /// Records the use of a VM's retry budgets. Returns what is lent to it by
    /// service, and what it is asked to give up.
    pub(crate) fn lend_retries(
        &mut self,
        now: LocalTime,
        report: &DemandReport,
    ) -> (FastMap<Arc<str>, u32>, Option<WantedRetries>) {
        let term = self.revision;
        lend(&mut self.retries, now, term, report)
    }
}

/// The ledgers of one planner's term, by service.
pub(crate) type RetryLedgers = FastMap<Arc<str>, RetryLedger>;

fn lend(
    ledgers: &mut RetryLedgers,
    now: LocalTime,
    term: u64,
    report: &DemandReport,
) -> (FastMap<Arc<str>, u32>, Option<WantedRetries>) {
    ledgers.retain(|_service, ledger| !ledger.is_idle(now));
    for (service, counts) in &report.retries {
        if counts.denied > 0 && ledgers.len() < MAX_LEDGERS {
            ledgers.entry(Arc::clone(service)).or_default();
        }
    }
    // Offers that a previous planner asked for are not known to be recent.
    let offers = report.offers.as_ref().filter(|o| o.ticket.term == term);
    let mut loans = FastMap::default();
    let mut thousandths = FastMap::default();
    for (service, ledger) in ledgers {
        let counts = report.retries.get(service);
        let offered = offers.and_then(|o| o.thousandths.get(service));
        let usage = RetryUse {
            denied: counts.map_or(0, |counts| counts.denied),
            offered: offered.copied().unwrap_or_default(),
        };
        let asked_at = offers.map_or(now, |offers| offers.ticket.at);
        let loan = ledger.report(now, &report.vm, usage, asked_at);
        let wanted = ledger.wanted(now, &report.vm);
        if loan > 0 {
            loans.insert(Arc::clone(service), loan);
        }
        if wanted > 0 {
            thousandths.insert(Arc::clone(service), wanted);
        }
    }
    let ticket = RetryTicket { term, at: now };
    let wanted = WantedRetries { ticket, thousandths };
    (loans, (!wanted.thousandths.is_empty()).then_some(wanted))
}
