//! A change sent in place of the whole state, against the states
//! themselves.

use std::collections::BTreeMap;

use goldcrestramp_config::{
    AcceptOutcome, CallerRules, ChangeTicket, DeploymentState, DomainRules,
    RemovalList, StateChange, accept_ticket, merge_states,
};
use goldcrestramp_types::{CallerName, DomainName, RegionName};
use proptest::prelude::*;

/// What a ticket does to callers (weight 0: removed) and failure domains
/// (`None`: removed).
#[derive(Clone, Debug)]
struct Plan {
    callers: BTreeMap<u8, u32>,
    domains: BTreeMap<u8, Option<bool>>,
}

fn caller(number: u8) -> CallerName {
    CallerName::new(&format!("caller-{number}")).expect("a name")
}

fn domain(number: u8) -> DomainName {
    DomainName::new(&format!("domain-{number}")).expect("a name")
}

fn ticket(number: u64, plan: &Plan) -> ChangeTicket {
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
    let region = RegionName::new("sierra").expect("a name");
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

/// Every state of a run of tickets, the first among them.
fn history(
    base: DeploymentState,
    plans: &[(u64, Plan)],
) -> Vec<DeploymentState> {
    let mut states = vec![base];
    for (number, plan) in plans {
        let last = states.last().expect("the first state");
        let outcome = accept_ticket(last, &ticket(*number, plan));
        if let AcceptOutcome::Accepted(next) = outcome {
            states.push(*next);
        }
    }
    states
}

fn plans() -> impl Strategy<Value = Vec<(u64, Plan)>> {
    let callers = prop::collection::btree_map(0_u8..5, 0_u32..4, 0..4);
    let lost = prop::option::of(any::<bool>());
    let domains = prop::collection::btree_map(0_u8..4, lost, 0..3);
    let plan = (callers, domains)
        .prop_map(|(callers, domains)| Plan { callers, domains });
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

    #[test]
    fn a_state_and_its_change_make_the_next_state(plans in plans()) {
        let states = history(DeploymentState::default(), &plans);
        for (place, old) in states.iter().enumerate() {
            for new in &states[place + 1..] {
                let change = StateChange::between(old, new).expect("small");
                let text = serde_json::to_vec(&change).expect("JSON");
                let change: StateChange =
                    serde_json::from_slice(&text).expect("a change");

                prop_assert_eq!(&change.apply(old), &Some(new.clone()));
            }
        }
    }

    #[test]
    fn a_change_of_a_state_that_is_not_there_is_a_gap(plans in plans()) {
        let states = history(DeploymentState::default(), &plans);
        for pair in states.windows(2) {
            let change = StateChange::between(&pair[0], &pair[1]);
            let change = change.expect("small");
            for other in states.iter().filter(|state| **state != pair[0]) {
                prop_assert_eq!(change.apply(other), None);
            }
        }
    }

    /// A store came back with older data and took other tickets: two states
    /// have one version, and only one of them may be changed.
    #[test]
    fn no_fork_is_changed_into_a_state_that_nobody_accepted(
        shared in plans(), lost in plans(), fresh in plans(),
    ) {
        let later = |plans: Vec<(u64, Plan)>, offset| {
            let plans = plans.into_iter();
            plans.map(|(n, plan)| (100 + 2 * n + offset, plan))
                .collect::<Vec<_>>()
        };
        let base = history(DeploymentState::default(), &shared).pop();
        let base = base.expect("the first state");
        let left = history(base.clone(), &later(lost, 0));
        let right = history(base, &later(fresh, 1));
        let merged =
            merge_states(&left[left.len() - 1], &right[right.len() - 1]);
        for from in &left {
            let Some(change) = StateChange::between(from, &merged) else {
                continue;
            };
            for other in &right {
                let made = change.apply(other);

                prop_assert!(made.is_none() || made == Some(merged.clone()));
            }
        }
    }
}

#[test]
fn a_change_of_very_much_is_sent_whole() {
    let callers = |count: u32| {
        let callers = (0..count).map(|number| CallerRules {
            name: CallerName::new(&format!("c{number:05}")).expect("a name"),
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
