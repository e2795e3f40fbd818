//! What callers see of a VM that drains.

#[expect(dead_code, reason = "each test file uses a part of the fixture")]
mod one_node;

use std::time::Duration;

use reqwest::Method;

use crate::one_node::OneNode;

/// A VM drains while callers have open connections to it. Until it ends it
/// responds to each request in full, and each response closes its
/// connection: a connection closed later, while idle, may lose the caller's
/// next order.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_draining_vm_closes_connections_with_a_response() {
    let mut one = OneNode::spawn(2, 1).await;
    let before = one.request(Method::GET, "rice", "tienda", 5_000);
    let before = before.send().await.expect("request gets a response");
    assert!(!before.headers().contains_key("connection"));
    drop(before.bytes().await);
    let after = one.request(Method::GET, "rice", "tienda", 5_000);

    // The only VM of its domain has no other VM to hand its server to.
    let stop = tokio::time::timeout(Duration::ZERO, one.node.drain()).await;
    assert!(stop.is_err(), "it waits for another VM");
    let after = after.send().await.expect("request gets a response");

    assert_eq!(after.headers()["connection"], "close");
    assert_eq!(after.headers()["goldcrestramp-outcome"], "done");
    assert!(!after.bytes().await.expect("body is complete").is_empty());
}
