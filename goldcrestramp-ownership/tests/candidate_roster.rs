//! A candidate whose roster is older than the one in the store.

use std::sync::Arc;

use goldcrestramp_ownership::{
    DomainPlan, RosterVoter, StewardEffect, StewardEvent, StewardMachine,
    TermTiming, VoterRoster,
};
use goldcrestramp_types::{DomainName, LocalTime, TimeSpan, VmName};

const TICK: TimeSpan = TimeSpan::from_millis(50);
/// The number of ticks in ten leases.
const TICKS: usize = 200;

fn domain() -> DomainName {
    DomainName::new("sierra-a").expect("name is valid")
}

fn voter(number: usize) -> RosterVoter {
    RosterVoter {
        vm: VmName::new(&format!("vm-{number}")).expect("name is valid"),
        address: Arc::from(format!("10.0.0.{number}:1")),
    }
}

fn roster(version: u64, voters: &[usize]) -> VoterRoster {
    let voters = voters.iter().map(|number| voter(*number)).collect();
    VoterRoster { domain: domain(), version, voters }
}

/// The steward of vm-0 in a domain without servers, with this roster.
fn steward(roster: VoterRoster) -> StewardMachine {
    let voter = voter(0);
    let timing = TermTiming::default();
    let start = LocalTime::default();
    let mut steward = StewardMachine::new(
        start,
        domain(),
        voter.vm,
        voter.address,
        1,
        timing,
    );
    let plan = DomainPlan {
        domain: domain(),
        version: 1,
        services: Vec::new(),
        servers: Vec::new(),
    };
    let events = [
        StewardEvent::RosterRead(Some(roster)),
        StewardEvent::PlanRead(Arc::new(plan)),
    ];
    for event in events {
        steward.handle(start, event);
    }
    steward
}

// The steward, vm-1, wrote a roster with a third VM to the store and was lost
// before it sent it to anyone. vm-0 has the roster of two, of which it is no
// majority. Nobody sends it requests or refusals, so it has to read the store
// itself. It must not do so in every round, because the store accepts few
// reads.
#[test]
fn a_candidate_without_a_majority_reads_the_roster_once_per_lease() {
    let mut steward = steward(roster(2, &[1, 0]));
    let mut now = LocalTime::default();
    let mut reads = 0;

    for _ in 0..TICKS {
        now = now + TICK;
        let effects = steward.handle(now, StewardEvent::Tick);
        let read = |e: &&StewardEffect| matches!(e, StewardEffect::ReadRoster);
        reads += effects.iter().filter(read).count();
    }

    assert!((1..=10).contains(&reads), "{reads} reads in ten leases");
}
