//! A single steward with prepared answers of its voters.

use std::sync::Arc;

use goldcrestramp_ownership::{
    ConfirmAnswer, ConfirmAsk, DomainPlan, RosterVoter, Safeguard, Safeguards,
    StewardEffect, StewardEvent, StewardMachine, TermTiming, VoterRoster,
};
use goldcrestramp_types::{DomainName, LocalTime, VmName};

const fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

fn domain() -> DomainName {
    DomainName::new("sierra-a").expect("name is valid")
}

fn voter(number: u64) -> RosterVoter {
    RosterVoter {
        vm: VmName::new(&format!("vm-{number}")).expect("name is valid"),
        address: Arc::from(format!("10.0.0.{number}:1")),
    }
}

/// The steward of `vm-1`, with a plan and a roster of `vm-1` and `vm-2`.
fn steward_of_two(safeguards: Safeguards) -> StewardMachine {
    let timing = TermTiming { safeguards, ..TermTiming::default() };
    let me = voter(1);
    let mut steward =
        StewardMachine::new(at(0), domain(), me.vm, me.address, 7, timing);
    let plan = DomainPlan {
        domain: domain(),
        version: 1,
        services: Vec::new(),
        servers: Vec::new(),
    };
    let voters = vec![voter(1), voter(2)];
    let roster = VoterRoster { domain: domain(), version: 2, voters };
    steward.handle(at(1), StewardEvent::PlanRead(Arc::new(plan)));
    steward.handle(at(1), StewardEvent::RosterRead(Some(roster)));
    steward
}

/// The request to voters among a steward's effects.
fn request(effects: &[StewardEffect]) -> ConfirmAsk {
    let asks = effects.iter().find_map(|effect| match effect {
        StewardEffect::AskVoter { ask, .. } => Some(ask.clone()),
        _ => None,
    });
    asks.expect("steward asks its voters")
}

fn confirmed(number: u64, sent: u64, ask: &ConfirmAsk) -> StewardEvent {
    StewardEvent::Answered {
        voter: voter(number).vm,
        sent: at(sent),
        term: ask.term,
        roster: ask.roster,
        answer: ConfirmAnswer::Confirmed,
    }
}

// A steward is paused past the end of its time. Meanwhile its voter has
// restarted, has lost its confirmation of another steward, and answers an old
// request. If that answer counted, the old term would continue beside the new
// one.
#[test]
fn a_late_answer_does_not_extend_an_ended_term() {
    for (safeguards, continues) in [
        (Safeguards::default(), false),
        (Safeguards::without(Safeguard::LateAnswer), true),
    ] {
        let mut steward = steward_of_two(safeguards);
        let ask = request(&steward.handle(at(2_000), StewardEvent::Tick));
        steward.handle(at(2_001), confirmed(2, 2_000, &ask));
        steward.handle(at(2_002), confirmed(1, 2_001, &ask));
        assert!(steward.leads(at(2_900)));
        let ask = request(&steward.handle(at(2_900), StewardEvent::Tick));

        steward.handle(at(3_100), confirmed(1, 2_900, &ask));
        steward.handle(at(3_100), confirmed(2, 2_900, &ask));

        assert_eq!(steward.leads(at(3_100)), continues);
    }
}
