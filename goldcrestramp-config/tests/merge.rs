//! Joining states that grew apart, against the plain order of tickets.
//!
//! A store restored from older data takes new tickets while nodes still
//! hold later ones. What operators must see: every accepted ticket stays in
//! force, as if all had been accepted in the order of their numbers.

use std::collections::BTreeMap;

use goldcrestramp_config::{
    AcceptOutcome, CallerRules, ChangeTicket, DeploymentState, RemovalList,
    accept_ticket, merge_states,
};
use goldcrestramp_types::CallerName;
use proptest::prelude::*;

const CALLERS: u8 = 5;

/// What a ticket does: callers and their weights, 0 to remove one.
type Plan = BTreeMap<u8, u32>;

fn caller(number: u8) -> CallerName {
    CallerName::new(&format!("caller-{number}")).expect("a name")
}

fn ticket(number: u64, plan: &Plan) -> ChangeTicket {
    let kept = plan.iter().filter(|(_, weight)| **weight > 0);
    let callers = kept.map(|(name, weight)| CallerRules {
        name: caller(*name),
        weight: *weight,
    });
    let gone = plan.iter().filter(|(_, weight)| **weight == 0);
    let gone = gone.map(|(name, _)| caller(*name)).collect();
    ChangeTicket {
        ticket: number,
        callers: callers.collect(),
        remove: RemovalList { callers: gone, ..RemovalList::default() },
        ..ChangeTicket::default()
    }
}

/// Offers the tickets in turn; gives the state and what was accepted.
fn branch(
    base: &DeploymentState,
    tickets: &[(u64, Plan)],
) -> (DeploymentState, Vec<(u64, Plan)>) {
    let mut state = base.clone();
    let mut taken = Vec::new();
    for (number, plan) in tickets {
        let outcome = accept_ticket(&state, &ticket(*number, plan));
        if let AcceptOutcome::Accepted(next) = outcome {
            state = *next;
            taken.push((*number, plan.clone()));
        }
    }
    (state, taken)
}

/// The oracle: all accepted tickets in the order of their numbers, and of
/// their digests where two sides accepted one number.
fn in_order(mut tickets: Vec<(u64, Plan)>) -> BTreeMap<String, u32> {
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

fn plans() -> impl Strategy<Value = Vec<Plan>> {
    let plan = prop::collection::btree_map(0..CALLERS, 0_u32..4, 1..4);
    prop::collection::vec(plan, 0..8)
}

/// Gives each plan of both branches a number of its own, mixed.
fn numbered(plans: Vec<Plan>, offset: u64) -> Vec<(u64, Plan)> {
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

    #[test]
    fn a_merge_is_all_accepted_tickets_in_their_order(
        shared in plans(), lost in plans(), fresh in plans(), late in 0..9_u64,
    ) {
        let shared = (1_u64..).zip(shared).collect::<Vec<_>>();
        let (base, mut all) = branch(&DeploymentState::default(), &shared);
        let (left, taken) = branch(&base, &numbered(lost, 0));
        all.extend(taken);
        let (right, taken) = branch(&base, &numbered(fresh, 2 * late + 1));
        all.extend(taken);

        let merged = merge_states(&left, &right);

        prop_assert_eq!(weights(&merged), in_order(all));
        prop_assert_eq!(&merged, &merge_states(&right, &left));
        let again = merge_states(&merged, &left);
        prop_assert_eq!(&again, &merged);
        for side in [&left, &right] {
            let differs = *side != merged;
            prop_assert!(!differs || merged.version > side.version);
        }
    }

    #[test]
    fn a_number_used_on_both_sides_is_two_tickets_in_one_order(
        lost in plans(), fresh in plans(),
    ) {
        let base = DeploymentState::default();
        let (left, of_left) = branch(&base, &numbered(lost, 0));
        let (right, of_right) = branch(&base, &numbered(fresh, 0));

        let merged = merge_states(&left, &right);

        prop_assert_eq!(&merged, &merge_states(&right, &left));
        let both = of_left.into_iter().chain(of_right).collect();
        prop_assert_eq!(weights(&merged), in_order(both));
    }
}
