//! Checks that each key's history is linearizable as a register.
//!
//! An order adds one and returns the result; a lookup reads. The times at
//! which the value increased are therefore ordered, and each lies between
//! bounds that the calls give. Choosing each time as early as possible decides
//! in one pass what a search over all orders of the calls decides in
//! exponential time; a broken history would keep such a search busy for hours.

use std::collections::{BTreeMap, VecDeque};

use goldcrestramp_types::{FastMap, RequestClass};

use crate::records::{AnswerCheck, CallEntry, CallOutcome, MachineTime};

/// The interval in which one operation may have taken effect.
#[derive(Clone, Copy, Debug)]
struct EffectTime {
    sent: MachineTime,
    ended: MachineTime,
}

/// What the calls report of one value of a key.
#[derive(Clone, Debug, Default)]
struct ValueClaims {
    /// Orders that returned this value.
    added: Vec<EffectTime>,
    /// Lookups that read it.
    read: Vec<EffectTime>,
}

/// The history of one key.
#[derive(Clone, Debug, Default)]
struct KeyHistory {
    values: BTreeMap<u64, ValueClaims>,
    /// Send times of the orders whose outcome no caller knows.
    open: Vec<MachineTime>,
}

/// All attempts of one order.
#[derive(Clone, Copy, Debug)]
struct OrderAttempts {
    sent: MachineTime,
    /// The result, and when the caller received it.
    reported: Option<(u64, MachineTime)>,
    /// Whether it may have run, as far as its caller knows.
    may_have_run: bool,
}

/// Returns the keys whose history no single owner could have produced.
///
/// All attempts of an order are one operation: it takes effect once, between
/// the first send and the response, or at any later time if there was no
/// response. Requests that were denied with "not run" are not part of a
/// history, so one that ran shows up as a value that nobody wrote.
#[must_use]
pub fn unlinearizable_keys(calls: &[CallEntry]) -> Vec<String> {
    let mut by_key: FastMap<(&str, &str), Vec<&CallEntry>> =
        FastMap::default();
    for call in calls {
        by_key.entry((&call.service, &call.key)).or_default().push(call);
    }
    let histories = by_key.iter().map(|(key, calls)| (key, history(calls)));
    let wrong = histories.filter(|(_, history)| !history.is_linearizable());
    let mut names: Vec<String> =
        wrong.map(|((service, key), _)| format!("{service}/{key}")).collect();
    names.sort_unstable();
    names
}

fn history(calls: &[&CallEntry]) -> KeyHistory {
    let mut history = KeyHistory::default();
    let mut orders: FastMap<&str, OrderAttempts> = FastMap::default();
    for call in calls {
        if call.class == RequestClass::Order {
            let order = orders.entry(&call.request);
            order.or_insert_with(|| OrderAttempts::new(call)).record(call);
        } else if let Some(value) = reported_value(call) {
            let (sent, ended) = (call.sent, call.ended);
            let claims = history.values.entry(value).or_default();
            claims.read.push(EffectTime { sent, ended });
        }
    }
    for order in orders.values() {
        history.add(order);
    }
    history.open.sort_unstable();
    history
}

/// The value that a complete response reports.
const fn reported_value(call: &CallEntry) -> Option<u64> {
    match call.outcome {
        CallOutcome::Done { answer: AnswerCheck::Whole { value } } => {
            Some(value)
        }
        _ => None,
    }
}

impl OrderAttempts {
    const fn new(call: &CallEntry) -> Self {
        Self { sent: call.sent, reported: None, may_have_run: false }
    }

    fn record(&mut self, call: &CallEntry) {
        self.sent = self.sent.min(call.sent);
        if let Some(value) = reported_value(call) {
            self.reported = Some((value, call.ended));
        }
        let denied = matches!(call.outcome, CallOutcome::NotRun { .. });
        self.may_have_run |= !denied;
    }
}

impl KeyHistory {
    fn add(&mut self, order: &OrderAttempts) {
        let sent = order.sent;
        match order.reported {
            Some((value, ended)) => {
                let claims = self.values.entry(value).or_default();
                claims.added.push(EffectTime { sent, ended });
            }
            None if order.may_have_run => self.open.push(sent),
            None => {}
        }
    }

    /// Assigns each increment the earliest time that the calls allow.
    ///
    /// Open orders differ only in their send time, so the earliest is used
    /// first.
    fn is_linearizable(&self) -> bool {
        let last = self.values.keys().next_back().copied().unwrap_or(0);
        if !self.is_possible(last) {
            return false;
        }
        let mut open: VecDeque<MachineTime> =
            self.open.iter().copied().collect();
        let mut previous_at = MachineTime::default();
        for value in 1..=last {
            let Some(at) =
                self.earliest_increment(value, previous_at, &mut open)
            else {
                return false;
            };
            previous_at = at;
        }
        true
    }

    /// Whether enough orders exist for the reported values.
    ///
    /// The initial value is zero, and no two orders have the same result.
    fn is_possible(&self, last: u64) -> bool {
        let added = self.values.values().map(|claims| claims.added.len());
        let unique = added.clone().all(|orders| orders <= 1);
        let orders = added.sum::<usize>() + self.open.len();
        let first = self.values.get(&0);
        let zero_added = first.is_some_and(|claims| !claims.added.is_empty());
        unique && !zero_added && last <= orders as u64
    }

    /// The earliest time at which the value can have become `value`.
    fn earliest_increment(
        &self,
        value: u64,
        previous_at: MachineTime,
        open: &mut VecDeque<MachineTime>,
    ) -> Option<MachineTime> {
        let empty = ValueClaims::default();
        let claims = self.values.get(&value).unwrap_or(&empty);
        let before = self.values.get(&(value - 1)).unwrap_or(&empty);
        let sent = match claims.added.first() {
            Some(order) => order.sent,
            None => open.pop_front()?,
        };
        // Lookups that read the previous value were sent before the increment.
        let reads = before.read.iter().map(|read| read.sent);
        let at = reads.fold(previous_at.max(sent), MachineTime::max);
        // Calls that returned the new value ended after the increment.
        let mut reported = claims.added.iter().chain(&claims.read);
        reported.all(|reported| at <= reported.ended).then_some(at)
    }
}
