//! What each VM reports of its requests to the planning VM, and the parts of
//! shared capacity that the planning VM allots in its reply.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use goldcrestramp_decisions::{LOAN_TTL, MAX_LIMITED_KEYS};
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

impl FleetShares {
    /// Whether the limited keys of each service are few, in ascending order,
    /// and have valid shares. Anything else is not from a planner.
    #[must_use]
    pub fn has_valid_keys(&self) -> bool {
        let is_valid = |share: &KeyShare| {
            share.first <= share.last && share.per_mille <= 1_000
        };
        self.keys.values().all(|shares| {
            shares.len() <= MAX_LIMITED_KEYS
                && shares.iter().all(is_valid)
                && shares.is_sorted_by(|a, b| a.last < b.first)
        })
    }
}

/// The limit of a key's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyLimit {
    /// The admitted requests of each thousand.
    pub per_mille: u16,
    /// Since when the VM has known limits of the key without interruption.
    pub since: LocalTime,
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
    /// Since when the keys have been limited, by service and first key.
    limited_since: FastMap<Arc<str>, FastMap<u16, LocalTime>>,
    /// The lent retries that are left, by service, with the end of their
    /// validity. Loans of several replies may be valid at a time.
    loans: FastMap<Arc<str>, VecDeque<(LocalTime, u32)>>,
}

impl AllottedShares {
    fn is_valid(&self, now: LocalTime) -> bool {
        self.valid_until > now
    }

    /// The share of a key with the time since when it has been limited.
    fn find(&self, service: &str, slice: SliceIndex) -> Option<KeyLimit> {
        let shares = self.shares.keys.get(service)?;
        let after = shares.partition_point(|share| share.first <= slice.get());
        let share = shares[..after].last()?;
        let since = *self.limited_since.get(service)?.get(&share.first)?;
        let limit = KeyLimit { per_mille: share.per_mille, since };
        (slice.get() <= share.last).then_some(limit)
    }

    /// Since when the keys of newer shares have been limited.
    fn limited_since(
        &self,
        now: LocalTime,
        shares: &FleetShares,
    ) -> FastMap<Arc<str>, FastMap<u16, LocalTime>> {
        let known = self.is_valid(now).then_some(&self.limited_since);
        let since = |service: &Arc<str>, share: &KeyShare| {
            let known = known.and_then(|k| k.get(service)?.get(&share.first));
            (share.first, known.copied().unwrap_or(now))
        };
        let services = shares.keys.iter().map(|(service, keys)| {
            let keys = keys.iter().map(|share| since(service, share));
            (Arc::clone(service), keys.collect())
        });
        services.collect()
    }

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
        board.limited_since = board.limited_since(now, &shares);
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

    /// Whether shares are known that have not expired.
    #[must_use]
    pub fn is_valid(&self, now: LocalTime) -> bool {
        self.lock().is_valid(now)
    }

    /// The number of shares that limit keys, of all services.
    #[must_use]
    pub fn limited_keys(&self, now: LocalTime) -> usize {
        let board = self.lock();
        if !board.is_valid(now) {
            return 0;
        }
        board.shares.keys.values().map(Vec::len).sum()
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
        Some(self.key_limit(now, service, slice)?.per_mille)
    }

    /// The limit of a key; `None` if its requests are not limited.
    #[must_use]
    pub fn key_limit(
        &self,
        now: LocalTime,
        service: &str,
        slice: SliceIndex,
    ) -> Option<KeyLimit> {
        let board = self.lock();
        if !board.is_valid(now) {
            return None;
        }
        board.find(service, slice)
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
        let limited = i64::try_from(self.shares.limited_keys(now));
        self.metrics.limited_keys.set(limited.unwrap_or(i64::MAX));
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
                Some(PeerReply::Shares(shares))
                    if !shares.has_valid_keys() =>
                {
                    log::warn!(
                        "[admission] VM {} sent malformed shares.",
                        planner.vm
                    );
                }
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
        let keys = term.key_shares(now);
        let (loans, wanted) = term.lend_retries(now, report);
        Some(FleetShares { keys, loans, wanted })
    }
}
