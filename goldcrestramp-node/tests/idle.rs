//! What a daemon does while nobody asks for anything.
//!
//! In a file of its own: the CPU time is that of the whole process.

mod one_node;

use std::time::Duration;

use futures_util::future::join_all;
use reqwest::Method;
use rustix::time::{ClockId, clock_gettime};

use crate::one_node::OneNode;

/// Longer than the longest hold, 2 s and a quarter.
const HOLD_OVER: Duration = Duration::from_millis(2_600);
/// How long the daemon is looked at.
const LOOK: Duration = Duration::from_secs(1);

/// CPU time of this process so far.
fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::try_from(time).expect("a time since the start")
}

/// A server is lost, and the requests that were sent to it fail. Nothing
/// waits for it any more when its hold ends. Its keeper's timer then woke
/// itself without a pause: it took a thread, in some runs the one on which
/// all others waited for their sockets, and the VM answered nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_keeper_of_a_lost_server_rests() {
    let one = OneNode::spawn(2, 1).await;
    one.server.lose();
    let asks = (0..8).map(|number| {
        let caller = format!("c{number}");
        one.request(Method::GET, "rice", &caller, 1_000).send()
    });
    for answer in join_all(asks).await {
        assert!(!answer.expect("an answer").status().is_success());
    }
    tokio::time::sleep(HOLD_OVER).await;

    let before = cpu_time();
    tokio::time::sleep(LOOK).await;
    let used = cpu_time().saturating_sub(before);

    // A thread that never rests uses all of it, unless the machine is so
    // busy that the process gets next to nothing.
    assert!(used < LOOK / 2, "{used:?} of CPU time in {LOOK:?}");
}
