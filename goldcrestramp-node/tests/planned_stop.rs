//! What callers see of a VM that drains.

#[expect(dead_code, reason = "each test file uses a part of the fixture")]
mod one_domain;
#[expect(dead_code, reason = "each test file uses a part of the fixture")]
mod one_node;

use std::time::Duration;

use reqwest::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{one_domain::OneDomain, one_node::OneNode};

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

/// Guards against an order that is lost because its caller sent it on an idle
/// connection that a draining VM had closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_draining_vm_serves_requests_on_idle_connections() {
    const IDLE_TIME: Duration = Duration::from_secs(4);
    const ORDER: &[u8] = b"POST /v1/stock/rice HTTP/1.1\r\n\
        host: tienda.example\r\n\
        goldcrestramp-caller: tienda\r\n\
        goldcrestramp-request: order-1\r\n\
        content-length: 0\r\n\r\n";
    let mut domain = OneDomain::spawn(23, 2).await;
    let mut stopped = domain.nodes.remove(0);
    let callers = stopped.addresses().callers;
    let mut caller =
        TcpStream::connect(callers).await.expect("connection succeeds");
    let drained = tokio::spawn(async move { stopped.drain().await });
    tokio::time::sleep(IDLE_TIME).await;

    caller.write_all(ORDER).await.expect("order is sent");
    let mut response = Vec::new();
    caller.read_to_end(&mut response).await.expect("response arrives");
    let response = String::from_utf8_lossy(&response);

    assert!(response.contains("goldcrestramp-outcome: done"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    assert_eq!(domain.runs("order-1").iter().sum::<usize>(), 1);
    drained.await.expect("drain does not panic");
}
