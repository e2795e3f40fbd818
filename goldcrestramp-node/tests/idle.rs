//! CPU use of a daemon without requests.
//!
//! In a file of its own, as the CPU time of the whole process is measured.

mod one_node;

use std::time::Duration;

use futures_util::future::join_all;
use reqwest::Method;
use rustix::time::{ClockId, clock_gettime};

use crate::one_node::OneNode;

/// Longer than the longest grant, which is 2 s and a quarter.
const GRANT_EXPIRED_AFTER: Duration = Duration::from_millis(2_600);
/// How long CPU time is measured.
const MEASURED_TIME: Duration = Duration::from_secs(1);

/// CPU time of this process so far.
fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::try_from(time).expect("time is positive")
}

/// Guards against a busy loop in the keeper's timer: a server is lost, its
/// requests have failed, and nothing waits for it when its grant expires.
/// The timer then woke itself without a pause and used up a thread, in some
/// runs the one that polls the sockets, so that the VM answered nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_keeper_of_a_lost_server_does_not_spin() {
    let one = OneNode::spawn(2, 1).await;
    one.server.lose();
    let requests = (0..8).map(|number| {
        let caller = format!("c{number}");
        one.request(Method::GET, "rice", &caller, 1_000).send()
    });
    for response in join_all(requests).await {
        assert!(
            !response.expect("request gets a response").status().is_success()
        );
    }
    tokio::time::sleep(GRANT_EXPIRED_AFTER).await;

    let before = cpu_time();
    tokio::time::sleep(MEASURED_TIME).await;
    let used = cpu_time().saturating_sub(before);

    // A busy loop uses all of it, unless the machine is so busy that the
    // process gets almost no CPU time.
    assert!(
        used < MEASURED_TIME / 2,
        "{used:?} of CPU time in {MEASURED_TIME:?}"
    );
}
