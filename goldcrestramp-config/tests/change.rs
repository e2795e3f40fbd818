//! Compares the result of applying changes with the full states.

use std::collections::BTreeMap;

use goldcrestramp_config::{
    AcceptOutcome, CallerRules, ChangeTicket, DeploymentState, DomainRules,
    RemovalList, StateChange, accept_ticket, merge_states,
};
use goldcrestramp_types::{CallerName, DomainName, RegionName};
use proptest::prelude::*;

/// The callers of a ticket with their weights (0 removes one), and its
/// failure domains with `lost` (`None` removes one).
#[derive(Clone, Debug)]
struct TicketPlan {
    callers: BTreeMap<u8, u32>,
    domains: BTreeMap<u8, Option<bool>>,
}

fn caller(number: u8) -> CallerName {
    CallerName::new(&format!("caller-{number}")).expect("name is valid")
}

fn domain(number: u8) -> DomainName {
    DomainName::new(&format!("domain-{number}")).expect("name is valid")
}

fn ticket(number: u64, plan: &TicketPlan) -> ChangeTicket {
    let mut ticket =
        ChangeTicket { ticket: number, ..ChangeTicket::default() };
    let mut remove = RemovalList::default();
    for (name, weight) in &plan.callers {
        let (name, weight) = (caller(*name), *weight);
        match weight {
            0 => remove.callers.push(name),
            _ => ticket.callers.push(CallerRules { name, weight }),
        }
    }
    let region = RegionName::new("sierra").expect("name is valid");
    for (name, lost) in &plan.domains {
        let (name, region) = (domain(*name), region.clone());
        match *lost {
            None => remove.domains.push(name),
            Some(lost) => {
                ticket.domains.push(DomainRules { name, region, lost });
            }
        }
    }
    ChangeTicket { remove, ..ticket }
}

/// Returns the states after each accepted ticket, beginning with `base`.
fn history(
    base: DeploymentState,
    plans: &[(u64, TicketPlan)],
) -> Vec<DeploymentState> {
    let mut states = vec![base];
    for (number, plan) in plans {
        let last = states.last().expect("history is not empty");
        let outcome = accept_ticket(last, &ticket(*number, plan));
        if let AcceptOutcome::Accepted(next) = outcome {
            states.push(*next);
        }
    }
    states
}

fn plans() -> impl Strategy<Value = Vec<(u64, TicketPlan)>> {
    let callers = prop::collection::btree_map(0_u8..5, 0_u32..4, 0..4);
    let lost = prop::option::of(any::<bool>());
    let domains = prop::collection::btree_map(0_u8..4, lost, 0..3);
    let plan = (callers, domains)
        .prop_map(|(callers, domains)| TicketPlan { callers, domains });
    prop::collection::vec(plan, 0..8)
        .prop_map(|plans| (1_u64..).zip(plans).collect())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0xc4a6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A lossy change would leave a VM with rules that differ from the store.
    #[test]
    fn applying_a_change_gives_the_next_state(plans in plans()) {
        let states = history(DeploymentState::default(), &plans);
        for (index, old) in states.iter().enumerate() {
            for new in &states[index + 1..] {
                let change = StateChange::between(old, new)
                    .expect("change is small");
                let text = serde_json::to_vec(&change)
                    .expect("change encodes as JSON");
                let change: StateChange =
                    serde_json::from_slice(&text).expect("change decodes");

                prop_assert_eq!(&change.apply(old), &Some(new.clone()));
            }
        }
    }

    /// A VM that missed a ticket must detect the gap and ask for the full
    /// state.
    #[test]
    fn a_change_does_not_apply_to_other_states(plans in plans()) {
        let states = history(DeploymentState::default(), &plans);
        for pair in states.windows(2) {
            let change = StateChange::between(&pair[0], &pair[1]);
            let change = change.expect("change is small");
            for other in states.iter().filter(|state| **state != pair[0]) {
                prop_assert_eq!(change.apply(other), None);
            }
        }
    }

    /// A store that was restored from older data accepts other tickets, so two
    /// states have the same version. A change applied to the wrong one would
    /// create a state that no operator has accepted.
    #[test]
    fn a_change_never_turns_a_fork_into_an_unaccepted_state(
        shared in plans(), lost in plans(), fresh in plans(),
    ) {
        let later = |plans: Vec<(u64, TicketPlan)>, offset| {
            let plans = plans.into_iter();
            plans.map(|(n, plan)| (100 + 2 * n + offset, plan))
                .collect::<Vec<_>>()
        };
        let base = history(DeploymentState::default(), &shared).pop();
        let base = base.expect("history is not empty");
        let left = history(base.clone(), &later(lost, 0));
        let right = history(base, &later(fresh, 1));
        let merged =
            merge_states(&left[left.len() - 1], &right[right.len() - 1]);
        for from in &left {
            let Some(change) = StateChange::between(from, &merged) else {
                continue;
            };
            for other in &right {
                let result = change.apply(other);

                prop_assert!(
                    result.is_none() || result == Some(merged.clone())
                );
            }
        }
    }
}

/// Without the limit, a large change would cost more than the full state.
#[test]
fn large_changes_are_sent_as_full_states() {
    let callers = |count: u32| {
        let callers = (0..count).map(|number| CallerRules {
            name: CallerName::new(&format!("c{number:05}"))
                .expect("name is valid"),
            weight: 2,
        });
        callers.collect()
    };
    let old = DeploymentState { version: 1, ..Default::default() };
    let few =
        DeploymentState { version: 2, callers: callers(9), ..old.clone() };
    let many =
        DeploymentState { version: 2, callers: callers(2_000), ..old.clone() };

    assert!(StateChange::between(&old, &few).is_some());
    assert_eq!(StateChange::between(&old, &many), None);
}
