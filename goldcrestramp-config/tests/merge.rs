//! Compares merged states with the tickets accepted in order.
//!
//! A store that was restored from older data accepts new tickets while nodes
//! still have later ones. After the merge, every accepted ticket must be in
//! effect, as if all had been accepted in the order of their numbers.

use std::collections::BTreeMap;

use goldcrestramp_config::{
    AcceptOutcome, CallerRules, ChangeTicket, DeploymentState, RemovalList,
    accept_ticket, merge_states,
};
use goldcrestramp_types::CallerName;
use proptest::prelude::*;

const CALLERS: u8 = 5;

/// The callers of a ticket with their weights; 0 removes a caller.
type TicketPlan = BTreeMap<u8, u32>;

fn caller(number: u8) -> CallerName {
    CallerName::new(&format!("caller-{number}")).expect("name is valid")
}

fn ticket(number: u64, plan: &TicketPlan) -> ChangeTicket {
    let kept = plan.iter().filter(|(_, weight)| **weight > 0);
    let callers = kept.map(|(name, weight)| CallerRules {
        name: caller(*name),
        weight: *weight,
    });
    let removed = plan.iter().filter(|(_, weight)| **weight == 0);
    let removed = removed.map(|(name, _)| caller(*name)).collect();
    ChangeTicket {
        ticket: number,
        callers: callers.collect(),
        remove: RemovalList { callers: removed, ..RemovalList::default() },
        ..ChangeTicket::default()
    }
}

/// Submits the tickets in order; returns the state and the accepted ones.
fn branch(
    base: &DeploymentState,
    tickets: &[(u64, TicketPlan)],
) -> (DeploymentState, Vec<(u64, TicketPlan)>) {
    let mut state = base.clone();
    let mut accepted = Vec::new();
    for (number, plan) in tickets {
        let outcome = accept_ticket(&state, &ticket(*number, plan));
        if let AcceptOutcome::Accepted(next) = outcome {
            state = *next;
            accepted.push((*number, plan.clone()));
        }
    }
    (state, accepted)
}

/// The expected weights: those of all accepted tickets in the order of their
/// numbers, or of their digests where both sides accepted the same number.
fn expected_weights(
    mut tickets: Vec<(u64, TicketPlan)>,
) -> BTreeMap<String, u32> {
    tickets.sort_by_key(|(number, plan)| {
        (*number, ticket(*number, plan).digest())
    });
    let mut weights = BTreeMap::new();
    for (name, weight) in tickets.into_iter().flat_map(|(_, plan)| plan) {
        weights.insert(caller(name).to_string(), weight);
    }
    weights.retain(|_, weight| *weight > 0);
    weights
}

fn weights(state: &DeploymentState) -> BTreeMap<String, u32> {
    let callers = state.callers.iter();
    callers.map(|c| (c.name.to_string(), c.weight)).collect()
}

fn plans() -> impl Strategy<Value = Vec<TicketPlan>> {
    let plan = prop::collection::btree_map(0..CALLERS, 0_u32..4, 1..4);
    prop::collection::vec(plan, 0..8)
}

/// Numbers the plans; the two offsets 0 and 1 interleave both branches.
fn numbered(plans: Vec<TicketPlan>, offset: u64) -> Vec<(u64, TicketPlan)> {
    let numbers = (0_u64..).map(|n| 100 + 2 * n + offset);
    numbers.zip(plans).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x601d),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an accepted ticket that is lost, or overrides a later
    /// one, when a store was restored from older data.
    #[test]
    fn a_merge_equals_all_accepted_tickets_in_order(
        shared in plans(), lost in plans(), fresh in plans(), late in 0..9_u64,
    ) {
        let shared = (1_u64..).zip(shared).collect::<Vec<_>>();
        let (base, mut all) = branch(&DeploymentState::default(), &shared);
        let (left, accepted) = branch(&base, &numbered(lost, 0));
        all.extend(accepted);
        let (right, accepted) = branch(&base, &numbered(fresh, 2 * late + 1));
        all.extend(accepted);

        let merged = merge_states(&left, &right);

        prop_assert_eq!(weights(&merged), expected_weights(all));
        prop_assert_eq!(&merged, &merge_states(&right, &left));
        let again = merge_states(&merged, &left);
        prop_assert_eq!(&again, &merged);
        for side in [&left, &right] {
            let differs = *side != merged;
            prop_assert!(!differs || merged.version > side.version);
        }
    }

    #[test]
    fn digests_order_two_tickets_with_the_same_number(
        lost in plans(), fresh in plans(),
    ) {
        let base = DeploymentState::default();
        let (left, accepted_left) = branch(&base, &numbered(lost, 0));
        let (right, accepted_right) = branch(&base, &numbered(fresh, 0));

        let merged = merge_states(&left, &right);

        prop_assert_eq!(&merged, &merge_states(&right, &left));
        let both = accepted_left.into_iter().chain(accepted_right).collect();
        prop_assert_eq!(weights(&merged), expected_weights(both));
    }
}
