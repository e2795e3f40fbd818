//! What each VM reports of its requests to the planning VM, and the parts of
//! shared capacity that the planning VM allots in its reply.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use goldcrestramp_decisions::LOAN_TTL;
use goldcrestramp_types::{
    ClockSource, FastMap, LocalTime, MonotonicClock, SliceIndex, TimeSpan,
};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{
    control::{
        ControlActor,
        load::LoadReport,
        retries::{RetryOffers, WantedRetries},
    },
    peers::{PeerCall, PeerReply},
};

/// How long allotted shares are valid: two and a half reports. After that a VM
/// decides by itself.
const SHARE_TTL: TimeSpan = TimeSpan::from_millis(1_000);

/// The use of one service's retry budget by one VM.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RetryCounts {
    /// The requests that count towards the budget.
    pub requests: u32,
    /// The attempts beyond the first of each request.
    pub retries: u32,
    /// The attempts that were denied for lack of budget.
    pub denied: u32,
}

/// The requests of a VM since its last report.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DemandReport {
    /// The name of the reporting VM.
    pub vm: Arc<str>,
    /// Its load by service.
    pub load: LoadReport,
    /// The use of its retry budgets by service.
    pub retries: FastMap<Arc<str>, RetryCounts>,
    /// What it has given up of its retry budgets for other VMs.
    pub offers: Option<RetryOffers>,
}

/// The part of the requests for some keys that their owner can serve.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeyShare {
    /// The first of the keys.
    pub first: u16,
    /// The last of the keys.
    pub last: u16,
    /// The admitted requests of each thousand.
    pub per_mille: u16,
}

/// What the planning VM allots to one VM.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetShares {
    /// The keys whose requests are limited, by service, in ascending order.
    pub keys: FastMap<Arc<str>, Vec<KeyShare>>,
    /// The retries beyond its own budget that the VM may make while the shares
    /// are valid, by service.
    pub loans: FastMap<Arc<str>, u32>,
    /// The retries that the VM is asked to give up for other VMs.
    pub wanted: Option<WantedRetries>,
}

/// The shares that were allotted last; written by the control thread, read by
/// the traffic thread. A clone refers to the same state.
#[derive(Clone, Debug, Default)]
pub struct ShareBoard(Arc<BoardState>);

#[derive(Debug, Default)]
struct BoardState {
    allotted: Mutex<AllottedShares>,
    /// Notified when the planning VM asks for retries.
    wanted: Notify,
}

#[derive(Debug, Default)]
struct AllottedShares {
    shares: FleetShares,
    valid_until: LocalTime,
    /// The lent retries that are left, by service, with the end of their
    /// validity. Loans of several replies may be valid at a time.
    loans: FastMap<Arc<str>, VecDeque<(LocalTime, u32)>>,
}

impl AllottedShares {
    fn add_loans(&mut self, now: LocalTime, reported_at: LocalTime) {
        self.loans.retain(|_service, loans| {
            loans.retain(|(until, left)| *until > now && *left > 0);
            !loans.is_empty()
        });
        let until = reported_at + LOAN_TTL;
        for (service, loan) in std::mem::take(&mut self.shares.loans) {
            self.loans.entry(service).or_default().push_back((until, loan));
        }
    }
}

impl ShareBoard {
    /// Stores shares that the planning VM allotted in its reply to a report of
    /// `reported_at`.
    ///
    /// Shares are valid from now on. The validity of loans counts from the
    /// report: a reply may be late, but the VM that gave up the retries counts
    /// them as used for a limited time.
    pub fn store(
        &self,
        now: LocalTime,
        reported_at: LocalTime,
        shares: FleetShares,
    ) {
        let wanted = shares.wanted.is_some();
        let mut board = self.lock();
        board.shares = shares;
        board.valid_until = now + SHARE_TTL;
        board.add_loans(now, reported_at);
        drop(board);
        if wanted {
            self.0.wanted.notify_one();
        }
    }

    /// Waits until the planning VM asks this VM to give up retries, and
    /// returns what it asks for.
    pub async fn wait_wanted(&self) -> WantedRetries {
        loop {
            self.0.wanted.notified().await;
            if let Some(wanted) = self.lock().shares.wanted.take() {
                return wanted;
            }
        }
    }

    /// The admitted requests of each thousand for a key; `None` if they are
    /// not limited.
    #[must_use]
    pub fn key_share(
        &self,
        now: LocalTime,
        service: &str,
        slice: SliceIndex,
    ) -> Option<u16> {
        let board = self.lock();
        if board.valid_until <= now {
            return None;
        }
        let shares = board.shares.keys.get(service)?;
        let after = shares.partition_point(|share| share.first <= slice.get());
        let share = shares[..after].last()?;
        (slice.get() <= share.last).then_some(share.per_mille)
    }

    /// The lent retries of a service that are left.
    #[must_use]
    pub fn loans_left(&self, now: LocalTime, service: &str) -> u64 {
        let board = self.lock();
        let loans = board.loans.get(service).into_iter().flatten();
        let valid = loans.filter(|(until, _left)| *until > now);
        valid.map(|(_until, left)| u64::from(*left)).sum()
    }

    /// Takes one of the lent retries of a service, if one is left.
    #[must_use]
    pub fn take_loan(&self, now: LocalTime, service: &str) -> bool {
        let mut board = self.lock();
        let loans = board.loans.get_mut(service).into_iter().flatten();
        let mut valid =
            loans.filter(|(until, left)| *until > now && *left > 0);
        let Some((_until, left)) = valid.next() else { return false };
        *left -= 1;
        true
    }

    fn lock(&self) -> MutexGuard<'_, AllottedShares> {
        // Shares remain valid if a thread panicked while it held the lock.
        self.0.allotted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ControlActor {
    /// Reports this VM's demand to the planning VM and stores the shares that
    /// it allots.
    pub(crate) fn report_demand(&mut self, now: LocalTime, load: LoadReport) {
        let vm = Arc::clone(&self.me.vm);
        let (retries, offers) = self.retries.take();
        let report = DemandReport { vm, load, retries, offers };
        if let Some(shares) = self.allot_shares(now, &report) {
            self.shares.store(now, now, shares);
            return;
        }
        let Some((planner, _)) = self.planner() else { return };
        let (peers, board) = (self.peers.clone(), self.shares.clone());
        tokio::spawn(async move {
            let call = PeerCall::Demand(report);
            match peers.call(planner.address, &call).await {
                Some(PeerReply::Shares(shares)) => {
                    board.store(MonotonicClock.now(), now, shares);
                }
                // A lost report is not retried; the next one makes up for it.
                _ => log::debug!("[planner] VM {} allots none.", planner.vm),
            }
        });
    }

    /// Records the demand of a VM and allots its shares; `None` if this VM
    /// does not plan.
    pub(crate) fn allot_shares(
        &mut self,
        now: LocalTime,
        report: &DemandReport,
    ) -> Option<FleetShares> {
        let term = self.term.as_mut()?;
        term.record_load(now, &report.load);
        let (loans, wanted) = term.lend_retries(now, report);
        Some(FleetShares { loans, wanted, ..FleetShares::default() })
    }
}
