//! Load patterns, judged by the responses that callers receive, against two
//! baselines.
//!
//! Each run is in virtual time with a fixed seed. `--nocapture` prints the
//! reports.

mod policy;
mod report;
mod simulation;

use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

use crate::{
    policy::{FifoPolicy, RouterPolicy, StaticPolicy, TrafficPolicy},
    report::RunReport,
    simulation::{
        CallerLoad, SimOutcome, SimRequest, SlowPeriod, arrivals, run,
    },
};

const SLOTS: usize = 4;
/// The mean service time of a lookup in milliseconds: four slots complete 800
/// a second.
const LOOKUP_MS: f64 = 5.0;
const CAPACITY_PER_S: f64 = 800.0;
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
        service_ms: LOOKUP_MS,
        deadline: DEADLINE,
        keys: 1_000,
        from: at(0),
        until: at(10_000),
    }
}

/// The outcomes of the same requests with the router and with both baselines.
struct Comparison {
    requests: Vec<SimRequest>,
    router: Vec<SimOutcome>,
    fifo: Vec<SimOutcome>,
    fixed: Vec<SimOutcome>,
}

fn compare(loads: &[CallerLoad], periods: &[SlowPeriod]) -> Comparison {
    let requests = arrivals(loads, 20_261_202);
    let servers = 1 + loads.iter().map(|load| load.server).max().unwrap_or(0);
    let outcomes =
        |policy: &mut dyn TrafficPolicy| run(&requests, periods, policy);
    let router = outcomes(&mut RouterPolicy::new(servers, SLOTS));
    let fifo = outcomes(&mut FifoPolicy::new(servers, SLOTS));
    let fixed = outcomes(&mut StaticPolicy::new(servers, SLOTS));
    Comparison { requests, router, fifo, fixed }
}

impl Comparison {
    /// The reports of the router, the FIFO baseline and the static baseline.
    fn reports(
        &self,
        name: &str,
        select: impl Fn(&SimRequest) -> bool,
    ) -> [RunReport; 3] {
        let outcomes = [&self.router, &self.fifo, &self.fixed];
        let reports = outcomes
            .map(|outcomes| RunReport::of(&self.requests, outcomes, &select));
        for (policy, report) in
            ["router", "fifo", "static"].iter().zip(&reports)
        {
            println!("{name:<14} {policy:<6} {report}");
        }
        reports
    }
}

fn overload(times: f64) -> Comparison {
    let share = CAPACITY_PER_S * times / 8.0;
    let loads = CALLERS.map(|caller| lookups(caller, share));
    compare(&loads, &[])
}

/// Whether `part` is at least `percent` of `total`.
fn reaches_percent(part: usize, total: usize, percent: usize) -> bool {
    part * 100 >= total * percent
}

/// Whether at most `max` of ten thousand refusals took more than 5 ms.
fn is_immediate(report: &RunReport, max: usize) -> bool {
    report.slow_refusals * 10_000 <= report.refusals() * max
}

/// Eight callers send once, twice, five and ten times what the server can
/// handle. A FIFO queue fills up, and then each request waits until its
/// response is late.
#[test]
fn overload_keeps_goodput_latency_and_fair_shares() {
    let [base, ..] = overload(1.0).reports("overload 1x", |_| true);
    for times in [2.0, 5.0, 10.0] {
        let comparison = overload(times);
        let name = format!("overload {times}x");
        let [router, fifo, fixed] = comparison.reports(&name, |_| true);
        assert!(reaches_percent(router.good, base.good, 95), "{router}");
        assert!(router.percentile(99) <= 200.0, "{router}");
        assert!(is_immediate(&router, 2), "{router}");
        assert!(router.good > fifo.good, "{router} / {fifo}");
        assert!(reaches_percent(router.good, fixed.good, 95), "{fixed}");
        for caller in CALLERS {
            let own = RunReport::of(
                &comparison.requests,
                &comparison.router,
                |request| request.caller.as_str() == caller,
            );
            let fair = router.good / CALLERS.len();
            assert!(reaches_percent(own.good, fair, 90), "{caller}: {own}");
        }
    }
}

/// One caller sends ten times what the server can handle, and seven send a
/// twentieth each: those are all served, and the first gets the rest.
#[test]
fn a_busy_caller_does_not_affect_the_others() {
    let mut loads =
        CALLERS.map(|caller| lookups(caller, CAPACITY_PER_S / 20.0));
    loads[0].per_second = CAPACITY_PER_S * 10.0;
    let comparison = compare(&loads, &[]);
    let [others, fifo, fixed] =
        comparison.reports("hot: others", |request| request.load != 0);
    let [hot, ..] =
        comparison.reports("hot: itself", |request| request.load == 0);
    assert!(reaches_percent(others.good, others.offered, 99), "{others}");
    assert!(others.good > fifo.good && others.good > fixed.good);
    assert!(reaches_percent(hot.good + others.good, 8_000, 95), "{hot}");
    assert!(is_immediate(&hot, 5), "{hot}");
}

/// A caller requests one key five times as often as the server can respond,
/// and now and then a thousand other keys. The others are still served.
#[test]
fn a_hot_key_does_not_affect_the_other_keys() {
    let mut hot = lookups("a", CAPACITY_PER_S * 5.0);
    hot.keys = 1;
    let loads = [hot, lookups("a", CAPACITY_PER_S / 4.0)];
    let comparison = compare(&loads, &[]);
    let [others, fifo, fixed] =
        comparison.reports("hot key: others", |request| request.load == 1);
    let [all, ..] = comparison.reports("hot key: all", |_| true);
    assert!(reaches_percent(others.good, others.offered, 99), "{others}");
    assert!(others.good > fifo.good && others.good > fixed.good);
    assert!(reaches_percent(all.good, 8_000, 95), "{all}");
    assert!(is_immediate(&all, 1), "{all}");
}

/// Shops open: at a third of the load, about 170 requests arrive within 50 ms.
/// All can be answered within their deadline, and all must be.
#[test]
fn a_burst_is_absorbed() {
    let mut loads =
        CALLERS.map(|c| lookups(c, CAPACITY_PER_S / 24.0)).to_vec();
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
    assert!(reaches_percent(burst.good, burst.offered, 99), "{burst}");
    assert!(reaches_percent(rest.good, rest.offered, 95), "{rest}");
}

/// One of three servers is ten times slower for five seconds. A gateway that
/// counts all its requests together fills with those of the slow server.
#[test]
fn a_slow_server_does_not_affect_the_callers_of_others() {
    let loads = [0, 1, 2].map(|server| CallerLoad {
        server,
        ..lookups(CALLERS[server], CAPACITY_PER_S * 0.6)
    });
    let period = SlowPeriod {
        server: 0,
        factor: 10,
        from: at(2_000),
        until: at(7_000),
    };
    let healthy = compare(&loads, &[]);
    let slowed = compare(&loads, &[period]);
    let [before, ..] = healthy.reports("all well", |r| r.server != 0);
    let [after, _, fixed] = slowed.reports("slow: others", |r| r.server != 0);
    let [slow, ..] = slowed.reports("slow: itself", |r| r.server == 0);
    assert!(after.percentile(99) <= before.percentile(99) * 1.05, "{after}");
    assert_eq!((after.good, after.refusals()), (before.good, 0), "{after}");
    assert!(after.good > fixed.good, "{fixed}");
    assert!(slow.percentile(99) <= 200.0, "{slow}");
    // Requests admitted before the slowness showed are refused later.
    let known = RunReport::of(&slowed.requests, &slowed.router, |request| {
        request.server == 0 && request.arrives >= at(2_500)
    });
    assert!(is_immediate(&known, 10), "{known}");
}

/// Exports of two seconds arrive twice a second, enough to occupy every slot,
/// among lookups at half of the load.
#[test]
fn long_and_short_requests_both_progress() {
    let exports = CallerLoad {
        class: RequestClass::Long,
        service_ms: 2_000.0,
        deadline: TimeSpan::from_millis(60_000),
        until: at(30_000),
        ..lookups("accountant", 2.0)
    };
    let shorts = CallerLoad {
        until: at(30_000),
        deadline: TimeSpan::from_millis(500),
        ..lookups("shop", CAPACITY_PER_S / 8.0)
    };
    let comparison = compare(&[exports, shorts], &[]);
    let class = |class| move |r: &SimRequest| r.class == class;
    let [short, fifo, fixed] =
        comparison.reports("short", class(RequestClass::Lookup));
    let [long, long_fifo, long_fixed] =
        comparison.reports("long", class(RequestClass::Long));
    assert!(reaches_percent(short.good, short.offered, 99), "{short}");
    assert!(short.good > fifo.good && short.good > fixed.good);
    assert!(long.good + long.refusals() == long.offered, "{long}");
    assert!(long.good >= long_fifo.good.min(long_fixed.good), "{long}");
}
