//! What callers see of a VM that is being stopped.

#[expect(dead_code, reason = "each test file uses a part of the fixture")]
mod one_node;

use std::time::Duration;

use reqwest::Method;

use crate::one_node::OneNode;

/// A VM is told to stop while callers hold connections to it. Until it has
/// ended it answers whatever they send, whole, and each answer ends its
/// connection: one that is closed later, while idle, may take a caller's
/// next order with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_vm_ends_connections_with_an_answer() {
    let mut one = OneNode::spawn(2, 1).await;
    let before = one.request(Method::GET, "rice", "tienda", 5_000);
    let before = before.send().await.expect("an answer");
    assert!(!before.headers().contains_key("connection"));
    drop(before.bytes().await);
    let after = one.request(Method::GET, "rice", "tienda", 5_000);

    // The only VM of its domain has nobody to hand its server to.
    let stop = tokio::time::timeout(Duration::ZERO, one.node.drain()).await;
    assert!(stop.is_err(), "it waits for another VM");
    let after = after.send().await.expect("an answer");

    assert_eq!(after.headers()["connection"], "close");
    assert_eq!(after.headers()["goldcrestramp-outcome"], "done");
    assert!(!after.bytes().await.expect("a whole body").is_empty());
}
