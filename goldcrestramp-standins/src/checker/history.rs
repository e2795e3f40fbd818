//! Whether each key's history could be that of one register.
//!
//! An order adds one and tells the result, a lookup reads. So the moments at
//! which the value rose follow each other, and each lies between bounds that
//! the calls give. Taking each as early as it can be finds in one pass what
//! a search over all orders of the calls finds in exponential time; a broken
//! history would keep such a search busy for hours.

use std::collections::{BTreeMap, VecDeque};

use goldcrestramp_types::{FastMap, RequestClass};

use crate::records::{AnswerCheck, CallEntry, CallOutcome, MachineTime};

/// The time over which one operation may have taken effect.
#[derive(Clone, Copy, Debug)]
struct EffectTime {
    sent: MachineTime,
    ended: MachineTime,
}

/// What the calls tell of one value of a key.
#[derive(Clone, Debug, Default)]
struct ValueClaims {
    /// Orders that were told this result.
    added: Vec<EffectTime>,
    /// Lookups that read it.
    read: Vec<EffectTime>,
}

/// The history of one key.
#[derive(Clone, Debug, Default)]
struct KeyHistory {
    values: BTreeMap<u64, ValueClaims>,
    /// When orders were sent of which no caller knows whether they ran.
    open: Vec<MachineTime>,
}

/// All attempts of one order.
#[derive(Clone, Copy, Debug)]
struct OrderAttempts {
    sent: MachineTime,
    /// The result, and when its caller was told.
    told: Option<(u64, MachineTime)>,
    /// Whether it ran for all its caller knows.
    may_have_run: bool,
}

/// The keys whose history no single owner could have produced.
///
/// All attempts of an order are one operation: it takes effect once, between
/// the first sending and the answer, or at any later time if there was none.
/// Requests that were told "not run" have no place in a history, so one that
/// ran shows as a value that nobody wrote.
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
            order.or_insert_with(|| OrderAttempts::new(call)).note(call);
        } else if let Some(value) = told_value(call) {
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

/// The value that a whole answer tells.
const fn told_value(call: &CallEntry) -> Option<u64> {
    match call.outcome {
        CallOutcome::Done { answer: AnswerCheck::Whole { value } } => {
            Some(value)
        }
        _ => None,
    }
}

impl OrderAttempts {
    const fn new(call: &CallEntry) -> Self {
        Self { sent: call.sent, told: None, may_have_run: false }
    }

    fn note(&mut self, call: &CallEntry) {
        self.sent = self.sent.min(call.sent);
        if let Some(value) = told_value(call) {
            self.told = Some((value, call.ended));
        }
        let denied = matches!(call.outcome, CallOutcome::NotRun { .. });
        self.may_have_run |= !denied;
    }
}

impl KeyHistory {
    fn add(&mut self, order: &OrderAttempts) {
        let sent = order.sent;
        match order.told {
            Some((value, ended)) => {
                let claims = self.values.entry(value).or_default();
                claims.added.push(EffectTime { sent, ended });
            }
            None if order.may_have_run => self.open.push(sent),
            None => {}
        }
    }

    /// Takes each rise of the value as early as the calls allow.
    ///
    /// Open orders differ in nothing but when they were sent, so the one
    /// that was sent first is used first.
    fn is_linearizable(&self) -> bool {
        let last = self.values.keys().next_back().copied().unwrap_or(0);
        if !self.is_possible(last) {
            return false;
        }
        let mut open: VecDeque<MachineTime> =
            self.open.iter().copied().collect();
        let mut risen = MachineTime::default();
        for value in 1..=last {
            let Some(at) = self.rise(value, risen, &mut open) else {
                return false;
            };
            risen = at;
        }
        true
    }

    /// Whether the value can have risen as often as the calls tell.
    ///
    /// The first value is zero, and no two orders have the same result.
    fn is_possible(&self, last: u64) -> bool {
        let added = self.values.values().map(|claims| claims.added.len());
        let unique = added.clone().all(|orders| orders <= 1);
        let orders = added.sum::<usize>() + self.open.len();
        let first = self.values.get(&0);
        let zero_added = first.is_some_and(|claims| !claims.added.is_empty());
        unique && !zero_added && last <= orders as u64
    }

    /// The earliest moment at which the value can have risen to `value`.
    fn rise(
        &self,
        value: u64,
        risen: MachineTime,
        open: &mut VecDeque<MachineTime>,
    ) -> Option<MachineTime> {
        let empty = ValueClaims::default();
        let claims = self.values.get(&value).unwrap_or(&empty);
        let before = self.values.get(&(value - 1)).unwrap_or(&empty);
        let sent = match claims.added.first() {
            Some(order) => order.sent,
            None => open.pop_front()?,
        };
        // What read the value before had been sent before it rose.
        let reads = before.read.iter().map(|read| read.sent);
        let at = reads.fold(risen.max(sent), MachineTime::max);
        // What was told the new value was told so after it had risen.
        let mut told = claims.added.iter().chain(&claims.read);
        told.all(|told| at <= told.ended).then_some(at)
    }
}
