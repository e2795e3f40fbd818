//! The size of the messages of a large idle failure domain.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use goldcrestramp_ownership::{
    DomainPlan, GrantHolder, KeeperMachine, KeeperReport, PermitAnswer,
    RosterVoter, ServerPlan, ServicePlan, StewardEffect, StewardEvent,
    StewardMachine, TermTiming, VoterRoster, VoterState,
};
use goldcrestramp_types::{
    FastMap, LocalTime, ServerName, ServerTime, SliceCount, SliceSet, VmName,
};

use crate::nodes::{domain_name, service_name};

const VMS: u64 = 64;
const SERVERS: u64 = 300;
const SLICES: u32 = 65_536;

/// One steward that elects itself, with keepers and servers but no network.
struct LargeDomain {
    millis: u64,
    steward: StewardMachine,
    voter: VoterState,
    keepers: Vec<KeeperMachine>,
    holders: FastMap<ServerName, GrantHolder>,
    /// The contents of the messages so far: server states, slices in orders,
    /// and slice sets in replies.
    states: usize,
    order_slices: usize,
    reply_sets: usize,
    /// The computing time of the steward and of all keepers, the latter
    /// including the steward's.
    steward_took: Duration,
    keepers_took: Duration,
}

fn vm_name(vm: u64) -> VmName {
    VmName::new(&format!("vm-{vm}")).expect("name is valid")
}

fn server_name(server: u64) -> ServerName {
    ServerName::new(&format!("s-{server}")).expect("name is valid")
}

fn plan() -> DomainPlan {
    let count = SliceCount::new(SLICES).expect("count is a power of two");
    let servers = (0..SERVERS).map(|server| ServerPlan {
        server: server_name(server),
        service: service_name(),
        address: Arc::from("10.0.0.1:1"),
        slots: 4,
        connections: 8,
        checks_fence: true,
        draining: false,
    });
    DomainPlan {
        domain: domain_name(),
        version: 1,
        services: vec![ServicePlan {
            service: service_name(),
            count,
            slices: count.indices().collect(),
            leaving: SliceSet::new(),
        }],
        servers: servers.collect(),
    }
}

impl LargeDomain {
    fn new() -> Self {
        let timing = TermTiming::default();
        let address: Arc<str> = Arc::from("10.0.0.1:1");
        let start = LocalTime::default();
        let mut steward = StewardMachine::new(
            start,
            domain_name(),
            vm_name(0),
            Arc::clone(&address),
            1,
            timing,
        );
        let mut voter = VoterState::new(start, timing);
        voter.learn_roster(1);
        let me = RosterVoter { vm: vm_name(0), address: Arc::clone(&address) };
        let (domain, voters) = (domain_name(), vec![me]);
        let roster = VoterRoster { domain, version: 1, voters };
        steward.handle(start, StewardEvent::RosterRead(Some(roster)));
        steward.handle(start, StewardEvent::PlanRead(Arc::new(plan())));
        let keeper = |vm| {
            KeeperMachine::new(vm_name(vm), Arc::clone(&address), vm, timing)
        };
        let holder =
            |server| (server_name(server), GrantHolder::new(server, true));
        Self {
            millis: 0,
            steward,
            voter,
            keepers: (0..VMS).map(keeper).collect(),
            holders: (0..SERVERS).map(holder).collect(),
            states: 0,
            order_slices: 0,
            reply_sets: 0,
            steward_took: Duration::ZERO,
            keepers_took: Duration::ZERO,
        }
    }

    fn now(&self) -> LocalTime {
        LocalTime::from_micros(self.millis * 1_000)
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.millis += 10;
            if self.millis.is_multiple_of(50) {
                let started = Instant::now();
                self.handle(StewardEvent::Tick);
                self.steward_took += started.elapsed();
            }
            for keeper in 0..self.keepers.len() {
                self.round(keeper);
            }
        }
    }

    fn handle(&mut self, event: StewardEvent) {
        let now = self.now();
        for effect in self.steward.handle(now, event) {
            match effect {
                StewardEffect::AskVoter { voter, ask } => {
                    let answer = self.voter.confirm(now, &ask);
                    self.handle(StewardEvent::Answered {
                        voter: voter.vm,
                        sent: now,
                        term: ask.term,
                        roster: ask.roster,
                        answer,
                    });
                }
                StewardEffect::ReadRecord => {
                    self.handle(StewardEvent::RecordRead(None));
                }
                StewardEffect::SaveRecord(record) => {
                    self.handle(StewardEvent::RecordSaved(record.token));
                }
                _ => {}
            }
        }
    }

    /// Processes a keeper's report, permit, orders and replies that are due.
    fn round(&mut self, keeper: usize) {
        let now = self.now();
        let started = Instant::now();
        if now >= self.keepers[keeper].poll_at() {
            let report = self.keepers[keeper].report(now);
            self.count_report(&report);
            let asked = Instant::now();
            let answer = self.steward.permit(now, report);
            self.steward_took += asked.elapsed();
            self.count_answer(&answer);
            self.keepers[keeper].permitted(now, now, answer);
        }
        for (server, _, order) in self.keepers[keeper].orders(now) {
            let time = ServerTime::from_micros(now.as_micros());
            let holder =
                self.holders.get_mut(&server).expect("server is known");
            let reply = holder.apply(time, &order);
            self.reply_sets += usize::from(reply.held.is_some());
            self.keepers[keeper].replied(now, now, &server, &reply);
        }
        self.keepers_took += started.elapsed();
    }

    fn count_report(&mut self, report: &KeeperReport) {
        let full = report.servers.iter().filter(|s| s.state.is_some());
        self.states += full.count();
    }

    fn count_answer(&mut self, answer: &PermitAnswer) {
        let PermitAnswer::Permitted { orders, .. } = answer else { return };
        self.order_slices +=
            orders.iter().map(|o| o.slices.len()).sum::<usize>();
    }
}

// 65,536 slices at 300 servers, kept by 64 VMs, without any change. Guards
// against renewals, of which there are several a second for each server, that
// contain sets of slices.
#[test]
fn a_domain_at_rest_sends_no_slices() {
    let mut domain = LargeDomain::new();
    domain.run(10_000);
    let status = domain.steward.status(domain.now());
    let placed: usize = status.holders.values().map(SliceSet::len).sum();
    (domain.states, domain.order_slices, domain.reply_sets) = (0, 0, 0);
    domain.steward_took = Duration::ZERO;
    domain.keepers_took = Duration::ZERO;

    domain.run(10_000);

    let carried = (domain.states, domain.order_slices, domain.reply_sets);
    assert_eq!(placed, SLICES as usize);
    assert_eq!(carried, (0, 0, 0));
    println!(
        "10 s at rest: steward {:?}, {VMS} keepers {:?}",
        domain.steward_took,
        domain.keepers_took.saturating_sub(domain.steward_took)
    );
}
