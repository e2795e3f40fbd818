//! What callers receive when a server falls silent during its response.

mod small_domain;

use goldcrestramp_standins::server::{ServerBehaviour, WorkTimes};
use reqwest::{Method, Response};
use small_domain::{DomainShape, SmallDomain, TIMEOUT};

/// A download's deadline; the test ends long before it.
const DEADLINE_MS: u64 = 600_000;

/// Starts a download through the first VM and reads its first part.
async fn start_download(domain: &SmallDomain) -> Response {
    let request = domain.request_to(0, Method::GET, "book");
    let request = request
        .header("goldcrestramp-class", "long")
        .header("goldcrestramp-deadline-ms", DEADLINE_MS);
    let mut response = request.send().await.expect("download begins");
    let part = response.chunk().await.expect("part is readable");
    assert!(part.is_some());
    response
}

/// A server is lost during a download: neither a byte nor an end follows.
/// Another server owns the key two seconds later, so the response must break
/// off long before its deadline, and the caller can retry.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_download_from_a_lost_server_breaks_off() {
    let work = WorkTimes { long_ms: 20_000.0, ..WorkTimes::fixed(1) };
    let behaviour = ServerBehaviour { work, ..Default::default() };
    let servers = vec![behaviour; 2];
    let shape = DomainShape { test_id: 2, nodes: 1, slots: 4, servers };
    let domain = SmallDomain::spawn(shape, |_settings| {}).await;
    let download = start_download(&domain).await;
    let runs = |number: usize| domain.servers[number].log().executions;
    let owner = usize::from(!runs(0).iter().any(|run| &*run.key == "book"));
    domain.servers[owner].lose();

    let rest = tokio::time::timeout(TIMEOUT, download.bytes()).await;

    let rest = rest.expect("download ends within half a minute");
    assert!(rest.is_err(), "an incomplete response must not look complete");
}
