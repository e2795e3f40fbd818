//! Load patterns, judged by what callers receive, against two baselines.
//!
//! Each run is in virtual time with a fixed seed. `--nocapture` prints the
//! figures.

mod policy;
mod report;
mod world;

use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

use crate::{
    policy::{FifoPolicy, RouterPolicy, StaticPolicy, TrafficPolicy},
    report::RunReport,
    world::{CallerLoad, SimEnd, SimRequest, SlowSpell, arrivals, run},
};

const SLOTS: usize = 4;
/// Milliseconds of a lookup: four slots do 800 a second.
const LOOKUP: f64 = 5.0;
const CAPACITY: f64 = 800.0;
const DEADLINE: TimeSpan = TimeSpan::from_millis(200);
const CALLERS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

/// A caller's lookups at `per_second` for ten seconds.
fn lookups(caller: &'static str, per_second: f64) -> CallerLoad {
    CallerLoad {
        caller,
        class: RequestClass::Lookup,
        server: 0,
        per_second,
        service: LOOKUP,
        deadline: DEADLINE,
        keys: 1_000,
        from: at(0),
        until: at(10_000),
    }
}

/// The same requests, ended by the router and by both baselines.
struct Comparison {
    requests: Vec<SimRequest>,
    router: Vec<SimEnd>,
    fifo: Vec<SimEnd>,
    fixed: Vec<SimEnd>,
}

fn compare(loads: &[CallerLoad], spells: &[SlowSpell]) -> Comparison {
    let requests = arrivals(loads, 20_261_202);
    let servers = 1 + loads.iter().map(|load| load.server).max().unwrap_or(0);
    let end = |policy: &mut dyn TrafficPolicy| run(&requests, spells, policy);
    let router = end(&mut RouterPolicy::new(servers, SLOTS));
    let fifo = end(&mut FifoPolicy::new(servers, SLOTS));
    let fixed = end(&mut StaticPolicy::new(servers, SLOTS));
    Comparison { requests, router, fifo, fixed }
}

impl Comparison {
    /// The reports of the router, the FIFO and the static baseline.
    fn reports(
        &self,
        name: &str,
        select: impl Fn(&SimRequest) -> bool,
    ) -> [RunReport; 3] {
        let ends = [&self.router, &self.fifo, &self.fixed];
        let reports =
            ends.map(|ends| RunReport::of(&self.requests, ends, &select));
        for (who, report) in ["router", "fifo", "static"].iter().zip(&reports)
        {
            println!("{name:<14} {who:<6} {report}");
        }
        reports
    }
}

fn overload(times: f64) -> Comparison {
    let each = CAPACITY * times / 8.0;
    let loads = CALLERS.map(|caller| lookups(caller, each));
    compare(&loads, &[])
}

/// Whether `part` is at least `percent` of `whole`.
fn is_percent(part: usize, whole: usize, percent: usize) -> bool {
    part * 100 >= whole * percent
}

/// Whether at most so many in ten thousand refusals took more than 5 ms.
fn is_immediate(report: &RunReport, most: usize) -> bool {
    report.slow_refusals * 10_000 <= report.refusals() * most
}

/// Eight callers ask for once, twice, five and ten times what the server
/// does. First in first out fills its queue, after which each request waits
/// until it is of no use.
#[test]
fn overload_keeps_goodput_latency_and_shares() {
    let [base, ..] = overload(1.0).reports("overload 1x", |_| true);
    for times in [2.0, 5.0, 10.0] {
        let comparison = overload(times);
        let name = format!("overload {times}x");
        let [router, fifo, fixed] = comparison.reports(&name, |_| true);
        assert!(is_percent(router.good, base.good, 95), "{router}");
        assert!(router.percentile(99) <= 200.0, "{router}");
        assert!(is_immediate(&router, 2), "{router}");
        assert!(router.good > fifo.good, "{router} / {fifo}");
        assert!(is_percent(router.good, fixed.good, 95), "{fixed}");
        for caller in CALLERS {
            let own = RunReport::of(
                &comparison.requests,
                &comparison.router,
                |request| request.caller.as_str() == caller,
            );
            let fair = router.good / CALLERS.len();
            assert!(is_percent(own.good, fair, 90), "{caller}: {own}");
        }
    }
}

/// One caller asks for ten times what the server does, seven for a
/// twentieth each: they get all of that, and it gets all the rest.
#[test]
fn a_hot_caller_costs_the_others_nothing() {
    let mut loads = CALLERS.map(|caller| lookups(caller, CAPACITY / 20.0));
    loads[0].per_second = CAPACITY * 10.0;
    let comparison = compare(&loads, &[]);
    let [others, fifo, fixed] =
        comparison.reports("hot: others", |request| request.load != 0);
    let [hot, ..] =
        comparison.reports("hot: itself", |request| request.load == 0);
    assert!(is_percent(others.good, others.offered, 99), "{others}");
    assert!(others.good > fifo.good && others.good > fixed.good);
    assert!(is_percent(hot.good + others.good, 8_000, 95), "{hot}");
    assert!(is_immediate(&hot, 5), "{hot}");
}

/// A caller asks for one key five times as often as the server can answer,
/// and now and then for a thousand others: those are answered all the same.
#[test]
fn a_hot_key_costs_the_other_keys_nothing() {
    let mut hot = lookups("a", CAPACITY * 5.0);
    hot.keys = 1;
    let loads = [hot, lookups("a", CAPACITY / 4.0)];
    let comparison = compare(&loads, &[]);
    let [others, fifo, fixed] =
        comparison.reports("hot key: others", |request| request.load == 1);
    let [all, ..] = comparison.reports("hot key: all", |_| true);
    assert!(is_percent(others.good, others.offered, 99), "{others}");
    assert!(others.good > fifo.good && others.good > fixed.good);
    assert!(is_percent(all.good, 8_000, 95), "{all}");
    assert!(is_immediate(&all, 1), "{all}");
}

/// Shops open: at a third of the load, some 170 requests come within 50 ms. All
/// can be answered within their deadline and all should be.
#[test]
fn a_burst_is_absorbed() {
    let mut loads = CALLERS.map(|c| lookups(c, CAPACITY / 24.0)).to_vec();
    loads.extend(CALLERS.map(|caller| CallerLoad {
        from: at(5_000),
        until: at(5_050),
        deadline: TimeSpan::from_millis(500),
        ..lookups(caller, 500.0)
    }));
    let comparison = compare(&loads, &[]);
    let [burst, ..] = comparison.reports("burst", |request| request.load >= 8);
    let [rest, ..] =
        comparison.reports("burst: others", |request| request.load < 8);
    assert!(is_percent(burst.good, burst.offered, 99), "{burst}");
    assert!(is_percent(rest.good, rest.offered, 95), "{rest}");
}

/// One of three servers is slow by ten times for five seconds. A gateway
/// that counts all its requests together fills with those of the slow one.
#[test]
fn a_slow_server_does_not_touch_the_callers_of_others() {
    let loads = [0, 1, 2].map(|server| CallerLoad {
        server,
        ..lookups(CALLERS[server], CAPACITY * 0.6)
    });
    let spell =
        SlowSpell { server: 0, factor: 10, from: at(2_000), until: at(7_000) };
    let healthy = compare(&loads, &[]);
    let slowed = compare(&loads, &[spell]);
    let [before, ..] = healthy.reports("all well", |r| r.server != 0);
    let [after, _, fixed] = slowed.reports("slow: others", |r| r.server != 0);
    let [slow, ..] = slowed.reports("slow: itself", |r| r.server == 0);
    assert!(after.percentile(99) <= before.percentile(99) * 1.05, "{after}");
    assert_eq!((after.good, after.refusals()), (before.good, 0), "{after}");
    assert!(after.good > fixed.good, "{fixed}");
    assert!(slow.percentile(99) <= 200.0, "{slow}");
    // What was let in before the slowness showed is given up later.
    let known = RunReport::of(&slowed.requests, &slowed.router, |request| {
        request.server == 0 && request.arrives >= at(2_500)
    });
    assert!(is_immediate(&known, 10), "{known}");
}

/// Exports of two seconds come twice a second, as many as would hold every
/// slot, among lookups at half of the load.
#[test]
fn long_answers_and_short_ones_both_get_on() {
    let exports = CallerLoad {
        class: RequestClass::Long,
        service: 2_000.0,
        deadline: TimeSpan::from_millis(60_000),
        until: at(30_000),
        ..lookups("accountant", 2.0)
    };
    let shorts = CallerLoad {
        until: at(30_000),
        deadline: TimeSpan::from_millis(500),
        ..lookups("shop", CAPACITY / 8.0)
    };
    let comparison = compare(&[exports, shorts], &[]);
    let class = |class| move |r: &SimRequest| r.class == class;
    let [short, fifo, fixed] =
        comparison.reports("short", class(RequestClass::Lookup));
    let [long, long_fifo, long_fixed] =
        comparison.reports("long", class(RequestClass::Long));
    assert!(is_percent(short.good, short.offered, 99), "{short}");
    assert!(short.good > fifo.good && short.good > fixed.good);
    assert!(long.good + long.refusals() == long.offered, "{long}");
    assert!(long.good >= long_fifo.good.min(long_fixed.good), "{long}");
}
