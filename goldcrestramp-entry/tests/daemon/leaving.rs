//! Servers that state in their responses that they are leaving get no new
//! requests, whatever their entries say.

use std::time::Duration;

use crate::{
    cluster::{Cluster, POOLED, eventually},
    server::ServerBehavior,
};

/// Guards against requests to a server that is about to stop and says so only
/// in its responses.
#[tokio::test]
async fn a_leaving_server_gets_no_new_request() {
    const SLOW: Duration = Duration::from_millis(100);
    let cluster = Cluster::start(POOLED, 2, 1).await;
    let (leaving, other) = (&cluster.servers[0], &cluster.servers[1]);
    other.set_behavior(ServerBehavior::Responds(SLOW));
    leaving.set_leaving(true);
    eventually(async || {
        let response = cluster.get(0, "/list/all").await;
        response.headers().contains_key("server-leaving")
    })
    .await;

    leaving.set_leaving(true);
    for _ in 0..10 {
        let response = cluster.get(0, "/list/all").await;
        assert_eq!(response.status(), 200);
    }

    assert_eq!(leaving.arrivals(), 0);
}
