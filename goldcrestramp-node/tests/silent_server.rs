//! What callers receive of answers whose server fell silent half way.

mod small_domain;

use goldcrestramp_standins::server::{ServerBehaviour, WorkTimes};
use reqwest::{Method, Response};
use small_domain::{DomainShape, LIMIT, SmallDomain};

/// A download's deadline; nobody waits for it in this test.
const DEADLINE_MS: u64 = 600_000;

/// A download that has begun, through the first VM.
async fn begin_download(domain: &SmallDomain) -> Response {
    let ask = domain.request_to(0, Method::GET, "book");
    let ask = ask
        .header("goldcrestramp-class", "long")
        .header("goldcrestramp-deadline-ms", DEADLINE_MS);
    let mut answer = ask.send().await.expect("it begins");
    let part = answer.chunk().await.expect("a part");
    assert!(part.is_some());
    answer
}

/// A phone downloads a book, and the server's VM is lost half way: no byte
/// and no end comes. Another server owns the book two seconds later, so the
/// phone must see its answer break off and ask again, long before its
/// deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_download_from_a_lost_server_breaks_off() {
    let work = WorkTimes { long_ms: 20_000.0, ..WorkTimes::fixed(1) };
    let behaviour = ServerBehaviour { work, ..Default::default() };
    let servers = vec![behaviour; 2];
    let shape = DomainShape { seat: 2, nodes: 1, slots: 4, servers };
    let domain = SmallDomain::spawn(shape, |_settings| {}).await;
    let download = begin_download(&domain).await;
    let runs = |number: usize| domain.servers[number].log().executions;
    let owner = usize::from(!runs(0).iter().any(|run| &*run.key == "book"));
    domain.servers[owner].lose();

    let rest = tokio::time::timeout(LIMIT, download.bytes()).await;

    let rest = rest.expect("an end within half a minute");
    assert!(rest.is_err(), "an answer that is not whole must not look so");
}
