//! Operators apply tickets through a store with injected faults.
//!
//! A ticket that is reported as accepted stays in force, one that is reported
//! as refused or not applied never takes effect, and all VMs end with the same
//! state: the accepted tickets in the order of their numbers. Responses are
//! lost after or before the write takes effect, writes arrive late, and the
//! store goes down or is restored with older data.

mod store_fake;

use std::{
    collections::{BTreeMap, BTreeSet},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, Waker},
};

use goldcrestramp_config::{
    CallerRules, ChangeTicket, DeploymentState, RemovalList, merge_states,
};
use goldcrestramp_node::{ApplyOutcome, apply_ticket, restore_config};
use goldcrestramp_types::CallerName;
use proptest::prelude::*;

use crate::store_fake::{StoreFake, WriteFault};

const OPERATORS: usize = 3;
const CALLERS: u8 = 3;

type Weights = BTreeMap<u8, u32>;
/// A ticket's number and digest.
type TicketKey = (u64, u64);

/// One step of a random run.
#[derive(Clone, Debug)]
enum FuzzStep {
    /// An idle operator applies a ticket; weight 0 removes a caller.
    Start { operator: usize, number: u64, weights: Weights },
    /// An operator's call proceeds until its next store call.
    Poll { operator: usize },
    /// The VM of an operator reads the store and writes again what it lost.
    Restore { operator: usize },
    /// The next write fails with this fault.
    Fault(WriteFault),
    /// The late writes arrive.
    Deliver,
    /// The store goes down or up.
    Down(bool),
    /// The store is restored to its state before this number of writes.
    RollBack(usize),
}

fn caller(number: u8) -> CallerName {
    CallerName::new(&format!("caller-{number}")).expect("name is valid")
}

fn ticket(number: u64, weights: &Weights) -> ChangeTicket {
    let kept = weights.iter().filter(|(_, weight)| **weight > 0);
    let callers = kept.map(|(name, weight)| CallerRules {
        name: caller(*name),
        weight: *weight,
    });
    let removed = weights.iter().filter(|(_, weight)| **weight == 0);
    let removed = removed.map(|(name, _)| caller(*name)).collect();
    ChangeTicket {
        ticket: number,
        callers: callers.collect(),
        remove: RemovalList { callers: removed, ..RemovalList::default() },
        ..ChangeTicket::default()
    }
}

type ApplyFuture = Pin<Box<dyn Future<Output = ApplyOutcome>>>;

/// An operator with the VM that it uses.
#[derive(Default)]
struct OperatorModel {
    held: DeploymentState,
    running: Option<(ChangeTicket, ApplyFuture)>,
}

/// A run: the store, the operators, and the outcomes of their tickets.
struct FuzzRun {
    store: Arc<StoreFake>,
    operators: Vec<OperatorModel>,
    tickets: BTreeMap<TicketKey, ChangeTicket>,
    accepted: BTreeSet<TicketKey>,
    denied: BTreeSet<TicketKey>,
    unknown: BTreeSet<TicketKey>,
}

impl FuzzRun {
    fn new() -> Self {
        let operators = (0..OPERATORS).map(|_| OperatorModel::default());
        Self {
            store: Arc::new(StoreFake::default()),
            operators: operators.collect(),
            tickets: BTreeMap::new(),
            accepted: BTreeSet::new(),
            denied: BTreeSet::new(),
            unknown: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: FuzzStep) {
        match step {
            FuzzStep::Start { operator, number, weights } => {
                self.start(operator, ticket(number, &weights));
            }
            FuzzStep::Poll { operator } => self.poll(operator),
            FuzzStep::Restore { operator } => self.restore(operator),
            FuzzStep::Fault(fault) => self.store.fail_next_write(fault),
            FuzzStep::Deliver => self.store.deliver(),
            FuzzStep::Down(down) => self.store.set_down(down),
            FuzzStep::RollBack(writes) => self.roll_back(writes),
        }
    }

    fn start(&mut self, operator: usize, ticket: ChangeTicket) {
        let model = &mut self.operators[operator];
        if model.running.is_some() {
            return;
        }
        let key = (ticket.ticket, ticket.digest());
        self.tickets.insert(key, ticket.clone());
        // Applied again: the previous outcome is about that call alone.
        self.denied.remove(&key);
        let (store, held) = (Arc::clone(&self.store), model.held.clone());
        let applied = ticket.clone();
        let future =
            Box::pin(
                async move { apply_ticket(&*store, &held, &applied).await },
            );
        model.running = Some((ticket, future));
    }

    fn poll(&mut self, operator: usize) {
        let model = &mut self.operators[operator];
        let Some((ticket, mut future)) = model.running.take() else { return };
        let mut context = Context::from_waker(Waker::noop());
        match future.as_mut().poll(&mut context) {
            Poll::Pending => model.running = Some((ticket, future)),
            Poll::Ready(outcome) => self.record(operator, &ticket, outcome),
        }
    }

    fn record(
        &mut self,
        operator: usize,
        ticket: &ChangeTicket,
        outcome: ApplyOutcome,
    ) {
        let key = (ticket.ticket, ticket.digest());
        match outcome {
            ApplyOutcome::Accepted(state)
            | ApplyOutcome::AcceptedAlready(state) => {
                self.accepted.insert(key);
                self.merge(operator, &state);
            }
            ApplyOutcome::Refused { .. } | ApplyOutcome::NotApplied(_) => {
                // The outcome is about this attempt to apply the ticket alone.
                let may_apply = self.accepted.contains(&key)
                    || self.unknown.contains(&key)
                    || self.is_running(key);
                if !may_apply {
                    self.denied.insert(key);
                }
            }
            ApplyOutcome::Unknown(_) => {
                self.unknown.insert(key);
            }
        }
    }

    fn is_running(&self, key: TicketKey) -> bool {
        let running = self.operators.iter().flat_map(|o| &o.running);
        let mut keys = running.map(|(t, _)| (t.ticket, t.digest()));
        keys.any(|other| other == key)
    }

    /// Merges a state into that of a VM; its version may only rise, and it
    /// may lose no accepted ticket.
    fn merge(&mut self, operator: usize, state: &DeploymentState) {
        let held = &mut self.operators[operator].held;
        let joined = merge_states(held, state);
        assert!(joined.version >= held.version, "the version only rises");
        let kept = &joined.tickets.recent;
        let lost = held.tickets.recent.keys().find(|n| !kept.contains_key(n));
        assert_eq!(lost, None, "no accepted ticket is lost");
        *held = joined;
    }

    fn restore(&mut self, operator: usize) {
        let held = self.operators[operator].held.clone();
        let restored = complete(restore_config(&*self.store, &held));
        if let Ok(joined) = restored {
            self.merge(operator, &joined);
        }
    }

    /// Restores older data. This takes longer than any call in flight: each
    /// of these ends while the store is down.
    fn roll_back(&mut self, writes: usize) {
        self.store.set_down(true);
        self.finish_calls();
        self.store.roll_back(writes);
        self.store.set_down(false);
    }

    fn finish_calls(&mut self) {
        for operator in 0..OPERATORS {
            while self.operators[operator].running.is_some() {
                self.poll(operator);
            }
        }
    }

    /// Finishes all calls and lets each VM read the store.
    fn finish(&mut self) {
        self.store.set_down(false);
        self.finish_calls();
        self.store.deliver();
        for operator in (0..OPERATORS).chain(0..OPERATORS) {
            self.restore(operator);
        }
    }
}

/// Runs a future that waits for nothing but the fake store.
fn complete<T>(future: impl Future<Output = T>) -> T {
    let mut future = Box::pin(future);
    let mut context = Context::from_waker(Waker::noop());
    loop {
        if let Poll::Ready(value) = future.as_mut().poll(&mut context) {
            return value;
        }
    }
}

/// The oracle: the state after these tickets, applied completely and in
/// order.
fn expected_callers(
    tickets: impl Iterator<Item = ChangeTicket>,
) -> Vec<CallerRules> {
    let mut callers = BTreeMap::new();
    for ticket in tickets {
        let put = ticket.callers.into_iter();
        callers.extend(put.map(|rules| (rules.name.clone(), rules)));
        for name in &ticket.remove.callers {
            callers.remove(name);
        }
    }
    callers.into_values().collect()
}

fn steps() -> impl Strategy<Value = Vec<FuzzStep>> {
    let weights = prop::collection::btree_map(0..CALLERS, 0_u32..3, 1..3);
    let start = (0..OPERATORS, 1_u64..12, weights).prop_map(
        |(operator, number, weights)| FuzzStep::Start {
            operator,
            number,
            weights,
        },
    );
    let fault = prop_oneof![
        Just(WriteFault::ResponseLost),
        Just(WriteFault::RequestLost),
        Just(WriteFault::Late),
    ];
    let step = prop_oneof![
        4 => start,
        12 => (0..OPERATORS).prop_map(|operator| FuzzStep::Poll { operator }),
        2 => (0..OPERATORS)
            .prop_map(|operator| FuzzStep::Restore { operator }),
        2 => fault.prop_map(FuzzStep::Fault),
        1 => Just(FuzzStep::Deliver),
        1 => any::<bool>().prop_map(FuzzStep::Down),
        1 => (0_usize..4).prop_map(FuzzStep::RollBack),
    ];
    prop::collection::vec(step, 0..120)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x7ac7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn outcomes_of_tickets_hold_whatever_the_store_does(
        steps in steps(),
    ) {
        let mut run = FuzzRun::new();
        for step in steps {
            run.step(step);
        }

        run.finish();

        let last = run.operators[0].held.clone();
        for operator in &run.operators {
            prop_assert_eq!(&operator.held, &last, "all VMs agree");
        }
        let recent = last.tickets.recent.iter();
        let keys: Vec<_> = recent
            .flat_map(|(n, accepted)| accepted.iter().map(|m| (*n, m.digest)))
            .collect();
        let in_force = keys.iter().map(|key| run.tickets[key].clone());
        prop_assert_eq!(&last.callers, &expected_callers(in_force));
        for key in &run.accepted {
            prop_assert!(keys.contains(key), "accepted {:?} stays", key);
        }
        for key in &run.denied {
            prop_assert!(!keys.contains(key), "denied {:?} is in force", key);
        }
    }
}

/// Two operators read the same state, and the first write wins. The second
/// operator's refusal names the ticket that came first.
#[test]
fn the_slower_operator_sees_which_ticket_came_first() {
    let mut run = FuzzRun::new();
    run.start(0, ticket(2, &Weights::from([(0, 1)])));
    run.start(1, ticket(1, &Weights::from([(0, 2)])));
    // The second operator has read the store; then the first runs to its
    // end.
    run.poll(1);
    run.poll(1);
    while run.operators[0].running.is_some() {
        run.poll(0);
    }

    let (_, future) =
        run.operators[1].running.take().expect("call is running");
    let outcome = complete(future);

    let ApplyOutcome::Refused { refusals, raced } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(raced, [2]);
    assert_eq!(refusals[0].reason.code(), "number-too-low");
}

/// The write takes effect, its response is lost, and the store goes down, so
/// the outcome is unknown. Applying the same ticket again reveals it.
#[test]
fn a_lost_response_and_an_outage_leave_it_unknown_until_a_retry() {
    let store = StoreFake::default();
    let (held, one) = (DeploymentState::default(), Weights::from([(0, 1)]));
    store.fail_next_write(WriteFault::ResponseLost);
    store.go_down_after_next_write();

    let first = complete(apply_ticket(&store, &held, &ticket(1, &one)));
    store.set_down(false);
    let again = complete(apply_ticket(&store, &held, &ticket(1, &one)));

    assert!(matches!(first, ApplyOutcome::Unknown(_)), "{first:?}");
    assert!(matches!(again, ApplyOutcome::AcceptedAlready(_)), "{again:?}");
}

/// A value that does not decode comes from a newer version of the program;
/// overwriting it would undo accepted tickets.
#[test]
fn a_stored_value_that_does_not_decode_is_never_overwritten() {
    let store = StoreFake::default();
    store.set_value(b"{ \"version\": 9, \"colour\": \"red\" }");
    let one = ticket(1, &Weights::from([(0, 1)]));

    let outcome =
        complete(apply_ticket(&store, &DeploymentState::default(), &one));

    assert!(matches!(outcome, ApplyOutcome::NotApplied(_)), "{outcome:?}");
    assert!(store.value().starts_with(b"{ \"version\": 9"));
}

/// The store is restored without ticket 2. Ticket 1 of the same caller,
/// applied through a VM that still knows ticket 2, is refused, and the next
/// accepted ticket writes ticket 2 again.
#[test]
fn a_ticket_is_checked_by_what_the_vm_knows_after_a_restore() {
    let store = StoreFake::default();
    let empty = DeploymentState::default();
    let two = ticket(2, &Weights::from([(0, 1)]));
    let ApplyOutcome::Accepted(held) =
        complete(apply_ticket(&store, &empty, &two))
    else {
        panic!("the first ticket");
    };
    store.roll_back(1);

    let late = ticket(1, &Weights::from([(0, 2)]));
    let late = complete(apply_ticket(&store, &held, &late));
    let other = ticket(3, &Weights::from([(1, 2)]));
    let other = complete(apply_ticket(&store, &held, &other));

    assert!(matches!(late, ApplyOutcome::Refused { .. }), "{late:?}");
    let ApplyOutcome::Accepted(state) = other else { panic!("{other:?}") };
    assert_eq!(state.callers.len(), 2);
    assert_eq!(state.version, 2);
    assert!(store.value().windows(8).any(|text| text == b"caller-0"));
}
