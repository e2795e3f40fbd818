//! A keeper with one server, whose messages arrive late or are lost.

use std::sync::Arc;

use goldcrestramp_ownership::{
    GrantHolder, KeeperMachine, PassTable, PermitAnswer, Safeguard,
    Safeguards, ServerOrder, TermTiming,
};
use goldcrestramp_types::{
    FenceToken, LocalTime, ServerName, ServerTime, ServiceName, SliceIndex,
    SliceSet, TermId, TimeSpan, VmName,
};
use goldcrestramp_wire::server::GrantOrder;

const fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

const fn clock(millis: u64) -> ServerTime {
    ServerTime::from_micros(millis * 1_000)
}

fn slice() -> SliceIndex {
    SliceIndex::new(1).expect("slice is in range")
}

fn token(sequence: u64) -> FenceToken {
    let term = TermId { number: 1, vm: 1, start: 1 };
    FenceToken { term, sequence }
}

fn server() -> ServerName {
    ServerName::new("s-1").expect("name is valid")
}

/// A keeper, and the server without fences that it keeps.
struct KeptPair {
    keeper: KeeperMachine,
    holder: GrantHolder,
}

impl KeptPair {
    fn new(safeguards: Safeguards) -> Self {
        let timing = TermTiming { safeguards, ..TermTiming::default() };
        let vm = VmName::new("vm-1").expect("name is valid");
        let address = Arc::from("10.0.0.1:1");
        let keeper = KeeperMachine::new(vm, address, 1, timing);
        Self { keeper, holder: GrantHolder::new(7, false) }
    }

    /// The keeper receives a permit for 1 s, with the order to hold `slices`.
    fn permit(&mut self, now: u64, sequence: u64, slices: &[SliceIndex]) {
        self.permit_for(now, 1_000, sequence, slices);
    }

    fn permit_for(
        &mut self,
        now: u64,
        valid: u64,
        sequence: u64,
        slices: &[SliceIndex],
    ) {
        let report = self.keeper.report(at(now));
        let order = ServerOrder {
            server: server(),
            service: ServiceName::new("stock").expect("name is valid"),
            address: Arc::from("10.1.0.1:1"),
            checks_fence: false,
            slots: 4,
            connections: 8,
            token: token(sequence),
            extend_only: false,
            slices: slices.iter().copied().collect(),
            release: SliceSet::new(),
            ask_only: false,
            retire: false,
            seen: 0,
        };
        let answer = PermitAnswer::Permitted {
            term: token(1).term,
            sequence: report.sequence,
            valid: TimeSpan::from_millis(valid),
            delay: TimeSpan::from_millis(200),
            orders: vec![order],
        };
        self.keeper.permitted(at(now), at(now), answer);
    }

    /// The order that the keeper sends now.
    fn order(&mut self, now: u64) -> GrantOrder {
        let orders = self.keeper.orders(at(now));
        orders.into_iter().next().expect("order is due").2
    }

    /// An order reaches the server; its reply is lost.
    fn deliver(&mut self, now: u64, order: &GrantOrder) {
        self.holder.apply(clock(now), order);
    }

    /// The keeper sends the order that is due, and the server replies at once.
    fn exchange(&mut self, now: u64) {
        let order = self.order(now);
        let reply = self.holder.apply(clock(now), &order);
        self.keeper.replied(at(now), at(now), &server(), &reply);
    }
}

// A grant gets no reply, and a later order takes its slice away and is
// answered. Then the grant arrives late. The next extension must not prolong
// it, because its slice moves to another owner once its deadline has passed.
#[test]
fn an_extension_does_not_prolong_a_late_grant() {
    for (safeguards, prolonged) in [
        (Safeguards::default(), false),
        (Safeguards::without(Safeguard::NamedSet), true),
    ] {
        let mut pair = KeptPair::new(safeguards);
        pair.permit(5_000, 1, &[slice()]);
        pair.exchange(5_000);
        pair.permit(5_010, 1, &[slice()]);
        let late = pair.order(5_010);
        pair.keeper.record_no_reply(at(5_210), at(5_010), &server());
        pair.permit(5_300, 2, &[]);
        pair.exchange(5_300);
        pair.deliver(5_310, &late);
        assert!(pair.holder.may_start(clock(5_320), slice(), token(2)));

        pair.permit(5_500, 2, &[]);
        let renewal = pair.order(5_500);
        pair.deliver(5_500, &renewal);

        let after = late.deadline.as_micros() / 1_000 + 1;
        let starts = pair.holder.may_start(clock(after), slice(), token(2));
        assert_eq!(starts, prolonged);
    }
}

// A steward adds a voter that confirmed it long ago, so its next permit is
// shorter than the one before. The server's grant outlives the shorter permit.
// A keeper that forgot the server then would report that it holds nothing.
#[test]
fn a_shorter_permit_does_not_make_the_keeper_forget_a_grant() {
    for (safeguards, remembers) in [
        (Safeguards::default(), true),
        (Safeguards::without(Safeguard::LongestPermit), false),
    ] {
        let mut pair = KeptPair::new(safeguards);
        pair.permit(5_000, 1, &[slice()]);
        pair.exchange(5_000);
        pair.permit(5_010, 1, &[slice()]);
        pair.exchange(5_010);
        pair.permit_for(5_020, 100, 1, &[slice()]);

        let report = pair.keeper.report(at(5_300));

        assert!(pair.holder.may_start(clock(5_300), slice(), token(1)));
        assert_eq!(report.servers.len() == 1, remembers);
    }
}

// A slice is released, or a grant is renewed late, while requests are on their
// way. The server refuses them, which must not be taken for overload: a keeper
// that did so halved the slots of servers while another one was drained.
#[test]
fn a_pass_is_not_current_after_a_release_or_its_end() {
    let mut pair = KeptPair::new(Safeguards::default());
    pair.permit(5_000, 1, &[slice()]);
    pair.exchange(5_000);
    pair.permit(5_010, 1, &[slice()]);
    pair.exchange(5_010);
    let sent = pair.keeper.passes(at(5_020));
    let sent = sent.pass(at(5_020), &server(), slice());
    let sent = sent.expect("slice is held");
    let is_current = |passes: &PassTable, now: u64| {
        passes.is_current(at(now), &server(), slice(), &sent)
    };
    let mut passes = pair.keeper.passes(at(5_500));
    assert!(is_current(&passes, 5_500));

    let kept = passes.servers.get_mut(&server()).expect("server is kept");
    Arc::make_mut(kept).slices = Arc::default();
    assert!(!is_current(&passes, 5_500), "the slice is released");

    pair.permit(5_600, 1, &[slice()]);
    pair.exchange(5_600);
    let end = sent.start_by.as_micros().div_ceil(1_000);
    let renewed = pair.keeper.passes(at(5_610));
    assert!(is_current(&renewed, end - 1));
    let newer = renewed.pass(at(end), &server(), slice());
    assert!(newer.expect("pass is renewed").start_by > sent.start_by);
    assert!(!is_current(&renewed, end), "the request has the former pass");
}
