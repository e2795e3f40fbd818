//! Every check after a run can fail: each promise is broken by a daemon
//! that leaves a safeguard out, and kept by the same daemon that does not.
//!
//! Callers, daemon and servers talk over sockets, and both runs of a test
//! have the same requests and the same faults of the servers.

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

/// Answers of each server that go wrong; after many more in a row its
/// keeper would take it as lost, and nothing would be left to judge.
const BAD_ANSWERS: u32 = 4;
/// How long requests arrive.
const SECONDS: u64 = 3;

/// Every class.
const ALL: [RequestClass; 3] =
    [RequestClass::Lookup, RequestClass::Order, RequestClass::Long];
/// Orders alone: each bad answer is one of theirs.
const ORDERS: [RequestClass; 1] = [RequestClass::Order];

/// What the checks say of a run.
#[derive(Clone, Copy, Debug)]
struct RunFigures {
    promises: GuaranteeViolations,
    broken_histories: usize,
}

impl RunFigures {
    fn kept(&self) -> bool {
        self.promises.is_empty() && self.broken_histories == 0
    }
}

/// Puts requests of these classes through a daemon and two servers.
async fn run(
    seat: u8,
    planted: Option<PlantedFault>,
    faults: &ServerFaults,
    classes: &[RequestClass],
) -> RunFigures {
    let work = WorkTimes::fixed(5);
    let behaviour = |number| ServerBehaviour {
        name: format!("stock-{number}"),
        slots: 100,
        work,
        long_bytes: 20_000,
        ..ServerBehaviour::default()
    };
    let servers = vec![behaviour(0), behaviour(1)];
    let shape = DomainShape { seat, nodes: 1, slots: 4, servers };
    let domain = SmallDomain::spawn(shape, |_settings| {}).await;
    domain.nodes[0].context().faults.plant(planted);
    for server in &domain.servers {
        server.set_faults(faults.clone());
    }

    let calls = run_load(&plan(&domain, classes), Arc::default()).await;

    let calls = calls.expect("a bounded plan");
    let mut log = ServerLog::default();
    for server in &domain.servers {
        log.append(server.log());
    }
    RunFigures {
        promises: GuaranteeViolations::count(&log, &calls),
        broken_histories: unlinearizable_keys(&calls).len(),
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
/// Servers that look at the grant and its token refuse them all; servers
/// that ignore the token run them beside the owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn work_beside_the_owner_shows() {
    let heeded = ServerFaults::default();
    let ignored = ServerFaults { ignores_fence: true, ..heeded.clone() };
    let planted = Some(PlantedFault::WrongServer);

    let kept = run(2, None, &ignored, &ALL).await;
    let fenced = run(3, planted, &heeded, &ALL).await;
    let broken = run(4, planted, &ignored, &ALL).await;

    assert!(kept.kept(), "{kept:?}");
    assert!(fenced.kept(), "{fenced:?}");
    assert!(broken.promises.owner_overlaps > 0, "{broken:?}");
}

/// The server's answers to started orders are lost on the way: a daemon
/// that sends such an order again makes the shop receive it twice, and the
/// key's value rises by two where its caller ordered once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_started_order_that_is_sent_again_shows() {
    let faults =
        ServerFaults { crossed: BAD_ANSWERS, ..ServerFaults::default() };

    let kept = run(2, None, &faults, &ORDERS).await;
    let broken =
        run(3, Some(PlantedFault::StartedRetried), &faults, &ORDERS).await;

    assert!(kept.kept(), "{kept:?}");
    assert!(broken.promises.doubled > 0, "{broken:?}");
    assert!(broken.broken_histories > 0, "{broken:?}");
}

/// The same answers are lost: a daemon that says "not run" of what it does
/// not know makes callers order again what they have ordered.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_started_order_that_is_denied_shows() {
    let faults =
        ServerFaults { crossed: BAD_ANSWERS, ..ServerFaults::default() };

    let kept = run(2, None, &faults, &ORDERS).await;
    let broken =
        run(3, Some(PlantedFault::UnknownDenied), &faults, &ORDERS).await;

    assert!(kept.kept(), "{kept:?}");
    assert!(broken.promises.not_run_but_ran > 0, "{broken:?}");
    assert!(broken.broken_histories > 0, "{broken:?}");
}

/// A server mixes answers up: a daemon that does not look whose they are
/// shows one shop another's data.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_to_another_request_shows() {
    let faults =
        ServerFaults { crossed: BAD_ANSWERS, ..ServerFaults::default() };

    let kept = run(2, None, &faults, &ALL).await;
    let broken =
        run(3, Some(PlantedFault::CrossedPassed), &faults, &ALL).await;

    assert!(kept.kept(), "{kept:?}");
    assert!(broken.promises.wrong_answers > 0, "{broken:?}");
}

/// Answers break off half way: a daemon that ends them as if they were
/// whole lets callers take a part for the whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_cut_answer_that_is_passed_as_whole_shows() {
    let faults =
        ServerFaults { truncated: BAD_ANSWERS, ..ServerFaults::default() };

    let kept = run(2, None, &faults, &ALL).await;
    let broken = run(3, Some(PlantedFault::CutPassed), &faults, &ALL).await;

    assert!(kept.kept(), "{kept:?}");
    assert!(broken.promises.cut_answers > 0, "{broken:?}");
}
