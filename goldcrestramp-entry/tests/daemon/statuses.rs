//! Responses whose status is none that a response can have.

use reqwest::{Method, Response};

use crate::{
    cluster::{Cluster, POOLED},
    partition::{CUT, PartitionedCluster},
    server::ServerBehavior,
};

/// Statuses that no final response has.
const INVALID: [&str; 6] = [
    "000 Nothing",
    "001 Nothing",
    "099 Nothing",
    "101 Switching Protocols",
    "600 Nothing",
    "999 Nothing",
];

async fn send(cluster: &Cluster, method: Method, path: &str) -> Response {
    let attempt = cluster.next_attempt();
    let request = cluster.request(0, method, path, &attempt);
    request.send().await.expect("the response is one of HTTP")
}

/// Checks that a VM takes none of the statuses for a response.
async fn assert_not_delivered(cluster: &Cluster) {
    for status in INVALID {
        cluster.set_behavior(ServerBehavior::RespondsWith(status));

        let lookup = send(cluster, Method::GET, "/list/all").await;
        let order = send(cluster, Method::POST, "/order/new").await;

        for response in [lookup, order] {
            assert_eq!(response.status(), 502, "{status}");
            let headers = response.headers();
            assert!(!headers.contains_key("x-response-stamp"), "{status}");
        }
    }
}

/// Guards against a faulty server's status that a caller takes for a response.
#[tokio::test]
async fn invalid_statuses_are_not_delivered() {
    let cluster = Cluster::start(POOLED, 4, 1).await;

    assert_not_delivered(&cluster).await;
}

/// The same for a response that another VM gets.
#[tokio::test]
async fn invalid_statuses_are_not_passed_on() {
    let partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.cut().await;

    assert_eq!(CUT, 0, "requests go to the VM that is cut");
    assert_not_delivered(&partitioned.cluster).await;
}
