//! Tests of the load generator: bounded, open-loop, with latency from the
//! intended send time.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use goldcrestramp_standins::{
    AnswerPattern, CallEntry, CallOutcome, ListenerHandle, MachineTime,
    checker::GuaranteeViolations,
    load::{
        FaultMark, LoadPlan, LoadProgress, LoadReport, LoadStream, PlanError,
        compare_reports, plot_report, run_load,
    },
    server::ServerLog,
};
use goldcrestramp_types::RequestClass;
use warp::{Filter, Reply, http::HeaderMap, reply::Response};

/// The delay of every response of the slow gateway.
const RESPONSE_DELAY: Duration = Duration::from_millis(200);

fn stream() -> LoadStream {
    LoadStream {
        service: "stock".to_owned(),
        class: RequestClass::Lookup,
        requests_per_s: 100.0,
        callers: 4,
        keys: 50,
        zipf_exponent: 0.9,
        hot_keys: 3,
        request_bytes: 10,
        deadline_ms: 5_000,
    }
}

fn plan(target: SocketAddr) -> LoadPlan {
    LoadPlan {
        targets: vec![target],
        streams: vec![stream()],
        seconds: 1,
        seed: 7,
        under_way: 1_000,
        allow_remote: false,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A gateway that responds correctly to every lookup, after a delay.
async fn slow_gateway() -> ListenerHandle {
    let route = warp::path!("v1" / String / String)
        .and(warp::header::headers_cloned())
        .then(
            |_service: String, key: String, headers: HeaderMap| async move {
                tokio::time::sleep(RESPONSE_DELAY).await;
                respond(&key, &headers)
            },
        );
    ListenerHandle::bind(loopback(), route).await.expect("port is free")
}

fn respond(key: &str, headers: &HeaderMap) -> Response {
    let text =
        |name| headers[name].to_str().expect("header is text").to_owned();
    let caller = text("goldcrestramp-caller");
    let id = format!("{caller}/{}", text("goldcrestramp-request"));
    let body = AnswerPattern::new(&id, key, 0, 20).complete().to_vec();
    let body = warp::reply::with_header(body, "goldcrestramp-outcome", "done");
    body.into_response()
}

fn call(service: &str, intended: u64, ended: u64) -> CallEntry {
    let time = |millis: u64| MachineTime::from_micros(millis * 1_000);
    let reason = Arc::from("no-owner");
    CallEntry {
        request: Arc::from(format!("a/{intended}")),
        service: Arc::from(service),
        key: Arc::from("k"),
        class: RequestClass::Lookup,
        intended: time(intended),
        sent: time(ended - 1),
        ended: time(ended),
        outcome: CallOutcome::NotRun { reason },
        error: None,
    }
}

#[tokio::test]
async fn an_unbounded_plan_is_rejected() {
    let local = "127.0.0.1:1".parse().expect("address parses");
    let remote: SocketAddr = "192.0.2.1:80".parse().expect("address parses");
    let no_rate = LoadStream { requests_per_s: 0.0, ..stream() };
    let cases = [
        (plan(remote), PlanError::Remote(remote)),
        (LoadPlan { targets: vec![], ..plan(local) }, PlanError::Empty),
        (
            LoadPlan { seconds: 4_000, ..plan(local) },
            PlanError::OutOfRange("seconds, 1 to 3600"),
        ),
        (
            LoadPlan { streams: vec![no_rate], ..plan(local) },
            PlanError::OutOfRange("requests_per_s, above 0"),
        ),
    ];
    for (plan, expected) in cases {
        let refused = run_load(&plan, Arc::default()).await;

        assert_eq!(refused.expect_err("plan is rejected"), expected);
    }
}

// Guards against a closed loop, in which slow responses delay arrivals. At 100
// lookups a second and 200 ms a response, about twenty requests are in flight.
#[tokio::test]
async fn arrivals_do_not_wait_for_responses() {
    let gateway = slow_gateway().await;
    let progress = Arc::new(LoadProgress::default());

    let plan = plan(gateway.address());
    let calls = run_load(&plan, Arc::clone(&progress)).await;
    let calls = calls.expect("plan is bounded");

    let report = LoadReport::new(&calls, vec![]);
    assert!(report.requests > 50, "{report:?}");
    assert_eq!(report.done, report.requests, "{report:?}");
    assert_eq!(progress.done.load(Ordering::Relaxed), report.done);
    assert!(report.latency_ms["stock"].p50 >= 200.0, "{report:?}");
    let figures = GuaranteeViolations::count(&ServerLog::default(), &calls);
    assert!(figures.is_empty(), "{figures:?}");
}

// Requests beyond the maximum in flight are counted and never wait.
#[tokio::test]
async fn requests_beyond_the_limit_in_flight_are_counted() {
    let gateway = slow_gateway().await;

    let plan = LoadPlan { under_way: 1, ..plan(gateway.address()) };
    let calls =
        run_load(&plan, Arc::default()).await.expect("plan is bounded");

    let report = LoadReport::new(&calls, vec![]);
    assert!(report.not_run["load-full"] > 0, "{report:?}");
}

// A request that was due at the start and completed two seconds later took two
// seconds, whenever it was actually sent.
#[test]
fn latency_is_measured_from_the_intended_send_time() {
    let complete = CallOutcome::Done {
        answer: goldcrestramp_standins::AnswerCheck::Whole { value: 0 },
    };
    let calls = [CallEntry { outcome: complete, ..call("stock", 0, 2_000) }];

    let report = LoadReport::new(&calls, vec![]);

    assert!(report.latency_ms["stock"].max >= 2_000.0, "{report:?}");
}

#[test]
fn a_run_can_be_saved_plotted_and_compared() {
    let calls = [call("stock", 0, 10), call("stock", 1_500, 1_510)];
    let name = "server-loss".to_owned();
    let mark = FaultMark { name, second: 1 };

    let report = LoadReport::new(&calls, vec![mark]);
    let saved = serde_json::to_string(&report).expect("report serializes");
    let read: LoadReport =
        serde_json::from_str(&saved).expect("report parses");
    let picture = plot_report(&read).expect("report is plotted");
    let table = compare_reports(&report, &read);

    assert_eq!(read, report);
    assert_eq!(report.seconds.len(), 2);
    assert!(picture.starts_with("<svg") && picture.contains("server-loss"));
    assert!(table.contains("not run"), "{table}");
}
