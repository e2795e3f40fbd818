//! Each check after a run can fail: a daemon with a planted fault, which
//! leaves out one safeguard, violates a guarantee that the same daemon without
//! the fault keeps.
//!
//! Callers, daemon and servers use sockets. The runs with and without the
//! planted fault have the same requests and the same faults of the servers.

mod small_domain;

use std::sync::Arc;

use goldcrestramp_node::PlantedFault;
use goldcrestramp_standins::{
    checker::{GuaranteeViolations, unlinearizable_keys},
    load::{LoadPlan, LoadStream, run_load},
    server::{ServerBehaviour, ServerFaults, ServerLog, WorkTimes},
};
use goldcrestramp_types::RequestClass;
use small_domain::{DomainShape, SmallDomain};

/// Faulty responses of each server; after many more in a row its keeper would
/// treat it as lost, and the run would have nothing to check.
const FAULTY_RESPONSES: u32 = 4;
/// How long requests are sent, in seconds.
const SECONDS: u64 = 3;

/// All classes.
const ALL: [RequestClass; 3] =
    [RequestClass::Lookup, RequestClass::Order, RequestClass::Long];
/// Orders only: each faulty response is one to an order.
const ORDERS: [RequestClass; 1] = [RequestClass::Order];

/// The violations that the checks found in a run.
#[derive(Clone, Copy, Debug)]
struct RunViolations {
    violations: GuaranteeViolations,
    invalid_histories: usize,
}

impl RunViolations {
    fn is_empty(&self) -> bool {
        self.violations.is_empty() && self.invalid_histories == 0
    }
}

/// Sends requests of these classes through one daemon to two servers.
async fn run(
    test_id: u8,
    planted: Option<PlantedFault>,
    faults: &ServerFaults,
    classes: &[RequestClass],
) -> RunViolations {
    let work = WorkTimes::fixed(5);
    let behaviour = |number| ServerBehaviour {
        name: format!("stock-{number}"),
        slots: 100,
        work,
        long_bytes: 20_000,
        ..ServerBehaviour::default()
    };
    let servers = vec![behaviour(0), behaviour(1)];
    let shape = DomainShape { test_id, nodes: 1, slots: 4, servers };
    let domain = SmallDomain::spawn(shape, |_settings| {}).await;
    domain.nodes[0].context().faults.plant(planted);
    for server in &domain.servers {
        server.set_faults(faults.clone());
    }

    let calls = run_load(&plan(&domain, classes), Arc::default()).await;

    let calls = calls.expect("plan is bounded");
    let mut log = ServerLog::default();
    for server in &domain.servers {
        log.append(server.log());
    }
    RunViolations {
        violations: GuaranteeViolations::count(&log, &calls),
        invalid_histories: unlinearizable_keys(&calls).len(),
    }
}

fn plan(domain: &SmallDomain, classes: &[RequestClass]) -> LoadPlan {
    let stream = |class: &RequestClass| LoadStream {
        service: "stock".to_owned(),
        class: *class,
        requests_per_s: 40.0,
        callers: 10,
        keys: 20,
        zipf_exponent: 0.5,
        hot_keys: 0,
        request_bytes: 100,
        deadline_ms: 5_000,
    };
    LoadPlan {
        targets: vec![domain.nodes[0].addresses().callers],
        streams: classes.iter().map(stream).collect(),
        seconds: SECONDS,
        seed: 7,
        under_way: 1_000,
        allow_remote: false,
    }
}

/// A keeper sends requests to a server that does not own their keys.
///
/// Servers that check the grant and its fence token refuse them all; servers
/// that ignore the token run them concurrently with the owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn work_beside_the_owner_is_detected() {
    let checked = ServerFaults::default();
    let ignored = ServerFaults { ignores_fence: true, ..checked.clone() };
    let planted = Some(PlantedFault::WrongServer);

    let without_fault = run(2, None, &ignored, &ALL).await;
    let fenced = run(3, planted, &checked, &ALL).await;
    let with_fault = run(4, planted, &ignored, &ALL).await;

    assert!(without_fault.is_empty(), "{without_fault:?}");
    assert!(fenced.is_empty(), "{fenced:?}");
    assert!(with_fault.violations.owner_overlaps > 0, "{with_fault:?}");
}

/// The server's responses to started orders are crossed. A daemon that retries
/// such an order runs it twice, and the key's value rises by two where its
/// caller ordered once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_retried_started_order_is_detected() {
    let faults =
        ServerFaults { crossed: FAULTY_RESPONSES, ..ServerFaults::default() };

    let without_fault = run(5, None, &faults, &ORDERS).await;
    let with_fault =
        run(6, Some(PlantedFault::StartedRetried), &faults, &ORDERS).await;

    assert!(without_fault.is_empty(), "{without_fault:?}");
    assert!(with_fault.violations.doubled > 0, "{with_fault:?}");
    assert!(with_fault.invalid_histories > 0, "{with_fault:?}");
}

/// The same responses are crossed. A daemon that reports "not run" for an
/// unknown outcome makes callers send their orders again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_denied_started_order_is_detected() {
    let faults =
        ServerFaults { crossed: FAULTY_RESPONSES, ..ServerFaults::default() };

    let without_fault = run(7, None, &faults, &ORDERS).await;
    let with_fault =
        run(8, Some(PlantedFault::UnknownDenied), &faults, &ORDERS).await;

    assert!(without_fault.is_empty(), "{without_fault:?}");
    assert!(with_fault.violations.not_run_but_ran > 0, "{with_fault:?}");
    assert!(with_fault.invalid_histories > 0, "{with_fault:?}");
}

/// A server crosses responses. A daemon that does not check their request ids
/// sends one caller another's data.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_response_to_another_request_is_detected() {
    let faults =
        ServerFaults { crossed: FAULTY_RESPONSES, ..ServerFaults::default() };

    let without_fault = run(9, None, &faults, &ALL).await;
    let with_fault =
        run(10, Some(PlantedFault::CrossedPassed), &faults, &ALL).await;

    assert!(without_fault.is_empty(), "{without_fault:?}");
    assert!(with_fault.violations.wrong_answers > 0, "{with_fault:?}");
}

/// Responses break off half way. A daemon that ends them normally makes
/// callers take an incomplete response for a complete one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_truncated_response_passed_as_complete_is_detected() {
    let faults = ServerFaults {
        truncated: FAULTY_RESPONSES,
        ..ServerFaults::default()
    };

    let without_fault = run(11, None, &faults, &ALL).await;
    let with_fault =
        run(12, Some(PlantedFault::CutPassed), &faults, &ALL).await;

    assert!(without_fault.is_empty(), "{without_fault:?}");
    assert!(with_fault.violations.cut_answers > 0, "{with_fault:?}");
}
