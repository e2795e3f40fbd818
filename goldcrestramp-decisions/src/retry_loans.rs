//! Lends retries that some VMs leave unused to VMs that run out of them.
//!
//! Each VM keeps to its own part of the operators' bound. Where demand is
//! uneven, some parts are used up while others are not. What a VM has not used
//! yet it may still use, so it can't simply be lent to others. It has to be
//! given up first ([`AttemptBudget::offer`](crate::AttemptBudget::offer)); a
//! VM that is cut off gives up nothing. The planner asks for offers while VMs
//! report denied retries, lends each offered retry once, and forgets it soon.
//! So the bound holds whichever messages are lost or late, also if two VMs
//! plan at a time: each offer is made to one of them.

use std::{collections::VecDeque, sync::Arc};

use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

use crate::OFFER_TTL;

/// A VM that has not reported for three report intervals of 0.4 s gets no
/// retries, and is not asked for any.
const REPORT_TTL: TimeSpan = TimeSpan::from_millis(1_200);

/// The number of VMs whose reports are kept for a service, and of offers. They
/// bound the memory if reports name VMs that do not exist.
const MAX_ENTRIES: usize = 4_096;

/// The use of one service's retry budget that a VM reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryUse {
    /// The retries that were denied since the last report.
    pub denied: u32,
    /// What the VM has given up, in thousandths of a retry.
    pub offered: u64,
}

#[derive(Clone, Copy, Debug)]
struct Offer {
    thousandths: u64,
    expires_at: LocalTime,
}

#[derive(Clone, Copy, Debug)]
struct VmDemand {
    reported_at: LocalTime,
    /// The retries that it lacks.
    denied: u64,
    /// When the last reply was sent whose offer was accepted.
    asked_at: Option<LocalTime>,
}

impl VmDemand {
    fn is_recent(&self, now: LocalTime) -> bool {
        now.since(self.reported_at) < REPORT_TTL
    }
}

/// The offers and loans of one service, kept by the planner.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{RetryLedger, RetryUse};
/// use goldcrestramp_types::LocalTime;
///
/// let now = LocalTime::from_micros(0);
/// let (short, idle) = ("vm-1".into(), "vm-2".into());
/// let mut ledger = RetryLedger::default();
/// let denied = RetryUse { denied: 3, offered: 0 };
/// assert_eq!(ledger.report(now, &short, denied, now), 0);
/// // The other VM is asked for what is lacking, and gives up two retries.
/// assert_eq!(ledger.wanted(now, &idle), 3_000);
/// let offer = RetryUse { denied: 0, offered: 2_000 };
/// assert_eq!(ledger.report(now, &idle, offer, now), 0);
/// assert_eq!(ledger.report(now, &short, denied, now), 2);
/// assert_eq!(ledger.report(now, &short, denied, now), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryLedger {
    offers: VecDeque<Offer>,
    /// When a VM last reported denied retries.
    denied_at: LocalTime,
    vms: FastMap<Arc<str>, VmDemand>,
}

impl RetryLedger {
    /// Records the report of a VM and returns the number of retries that are
    /// lent to it. `asked_at` is the time at which the reply was sent that
    /// asked for what the VM offers.
    pub fn report(
        &mut self,
        now: LocalTime,
        vm: &Arc<str>,
        usage: RetryUse,
        asked_at: LocalTime,
    ) -> u32 {
        self.expire(now);
        let known = self.vms.get(vm).copied();
        if known.is_none() && self.vms.len() >= MAX_ENTRIES {
            return 0;
        }
        let last = known.and_then(|demand| demand.asked_at);
        let accepted = last.is_none_or(|last| last < asked_at)
            && self.add_offer(now, usage.offered, asked_at);
        let denied = u64::from(usage.denied);
        if denied > 0 {
            self.denied_at = now;
        }
        let mut demand = VmDemand {
            reported_at: now,
            denied,
            asked_at: if accepted { Some(asked_at) } else { last },
        };
        self.vms.insert(Arc::clone(vm), demand);
        let lent = self.fair_part(now, denied);
        self.take(lent * 1_000);
        demand.denied -= lent;
        self.vms.insert(Arc::clone(vm), demand);
        u32::try_from(lent).unwrap_or(u32::MAX)
    }

    /// What a VM is asked to give up, in thousandths of a retry.
    #[must_use]
    pub fn wanted(&self, now: LocalTime, vm: &Arc<str>) -> u64 {
        let is_short =
            |demand: &VmDemand| demand.denied > 0 && demand.is_recent(now);
        if self.vms.get(vm).is_some_and(is_short) {
            return 0;
        }
        let lacking = self.lacking(now) * 1_000;
        let lacking = lacking.saturating_sub(self.available());
        let recent = self.vms.values().filter(|demand| demand.is_recent(now));
        let helpers = recent.filter(|demand| !is_short(demand)).count();
        lacking.div_ceil(helpers.max(1) as u64)
    }

    /// Whether the ledger may be dropped: nothing is lacking, and each offer
    /// that it asked for has expired, so none can be received again.
    #[must_use]
    pub fn is_idle(&self, now: LocalTime) -> bool {
        now.since(self.denied_at) >= REPORT_TTL.plus(OFFER_TTL)
    }

    /// Removes offers and reports that have expired. A report is kept for as
    /// long as its offer could be received again.
    fn expire(&mut self, now: LocalTime) {
        self.offers.retain(|offer| offer.expires_at > now);
        self.vms
            .retain(|_vm, demand| now.since(demand.reported_at) < OFFER_TTL);
    }

    /// Adds an offer; returns whether it is accepted.
    fn add_offer(
        &mut self,
        now: LocalTime,
        thousandths: u64,
        asked_at: LocalTime,
    ) -> bool {
        let expires_at = asked_at + OFFER_TTL;
        let accepted = thousandths > 0
            && asked_at <= now
            && expires_at > now
            && self.offers.len() < MAX_ENTRIES;
        if accepted {
            self.offers.push_back(Offer { thousandths, expires_at });
        }
        accepted
    }

    /// The whole retries of the offers that a VM gets that lacks `denied`: in
    /// proportion to what all VMs lack.
    fn fair_part(&self, now: LocalTime, denied: u64) -> u64 {
        let available = self.available() / 1_000;
        let part = available.saturating_mul(denied);
        part.div_ceil(self.lacking(now).max(1)).min(denied).min(available)
    }

    /// The retries that all VMs lack.
    fn lacking(&self, now: LocalTime) -> u64 {
        let recent = self.vms.values().filter(|demand| demand.is_recent(now));
        recent.map(|demand| demand.denied).sum()
    }

    fn available(&self) -> u64 {
        self.offers.iter().map(|o| o.thousandths).fold(0, u64::saturating_add)
    }

    /// Takes from the oldest offers.
    fn take(&mut self, mut thousandths: u64) {
        while let Some(offer) = self.offers.front_mut() {
            let taken = offer.thousandths.min(thousandths);
            offer.thousandths -= taken;
            thousandths -= taken;
            if offer.thousandths > 0 {
                return;
            }
            self.offers.pop_front();
        }
    }
}
