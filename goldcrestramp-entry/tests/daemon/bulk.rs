//! Downloads from another region, with and without load control.

use std::time::Duration;

use futures_util::future::join_all;
use reqwest::Method;
use serde_json::json;

use crate::{
    cluster::{Cluster, POOLED, configuration, entry_in, eventually},
    node::NodeProcess,
    server::{ServerBehavior, ServerStandin},
};

/// The requests that are sent at once.
const CONCURRENT: usize = 12;

/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(200);

/// Starts a VM in `north-a`, and servers in these failure domains. The route
/// `/list/` is a download, and `/more/` a lookup.
async fn start(domains: &[&str], load_control: bool) -> Cluster {
    let mut cluster = Cluster::start(POOLED, 0, 0).await;
    let mut with_downloads = configuration(2, Some("/more/"));
    with_downloads["routes"]["list"]["kind"] = json!("download");
    cluster.store.put("op/config", &with_downloads);
    for domain in domains {
        let id = format!("server-{domain}");
        let server = ServerStandin::spawn(&id, false);
        let entry = entry_in(server.address, POOLED, "ready", domain);
        cluster.store.put(&format!("servers/{id}"), &entry);
        cluster.servers.push(server);
    }
    let store = cluster.store.address;
    let node = if load_control {
        NodeProcess::spawn_controlled("vm-0", "north-a", store)
    } else {
        NodeProcess::spawn("vm-0", store)
    };
    cluster.add_node(node).await;
    // A VM may report that it is ready just before it listens for callers.
    eventually(async || {
        let attempt = cluster.next_attempt();
        let first = cluster.request(0, Method::GET, "/more/first", &attempt);
        first.send().await.is_ok_and(|r| r.status() == 200)
    })
    .await;
    cluster.set_behavior(ServerBehavior::Responds(WORK));
    cluster
}

/// Sends requests at once; returns how many were served.
async fn send(cluster: &Cluster, path: &str) -> usize {
    let requests = (0..CONCURRENT).map(|_| cluster.get(0, path));
    let responses = join_all(requests).await;
    responses.iter().filter(|r| r.status() == 200).count()
}

/// The most requests that arrived at a server while it worked on one.
fn most_at_once(server: &ServerStandin) -> usize {
    let arrivals = server.all_arrivals();
    let at_once = arrivals.iter().map(|(_, first)| {
        let within = arrivals.iter().filter(|(_, at)| {
            at.checked_duration_since(*first).is_some_and(|d| d < WORK)
        });
        within.count()
    });
    at_once.max().unwrap_or(0)
}

/// Guards against downloads that are all requested at once over the link
/// between regions, and against requests that are never served because of
/// that.
#[tokio::test]
async fn downloads_from_another_region_are_sent_one_by_one_at_first() {
    let cluster = start(&["south-a"], true).await;

    let served = send(&cluster, "/list/all").await;

    assert!(served >= 2, "{served} are served");
    let at_once = most_at_once(&cluster.servers[0]);
    assert!(at_once <= 2, "{at_once} at once");
}

/// Guards against small responses that are limited like downloads.
#[tokio::test]
async fn lookups_from_another_region_are_not_limited() {
    let cluster = start(&["south-a"], true).await;

    let served = send(&cluster, "/more/all").await;

    assert!(served >= 4, "{served} are served");
    let at_once = most_at_once(&cluster.servers[0]);
    assert!(at_once >= 4, "{at_once} at once");
}

/// Guards against limits where the settings do not ask for load control.
#[tokio::test]
async fn downloads_are_not_limited_without_load_control() {
    let cluster = start(&["south-a"], false).await;

    let served = send(&cluster, "/list/all").await;

    assert!(served >= 4, "{served} are served");
    let at_once = most_at_once(&cluster.servers[0]);
    assert!(at_once >= 4, "{at_once} at once");
}

/// Guards against downloads that cross the link although the servers of the
/// other region respond no sooner.
#[tokio::test]
async fn downloads_stay_in_a_region_that_is_as_fast_as_the_other() {
    let cluster = start(&["north-b", "south-a"], true).await;
    let before = cluster.servers[1].executions();

    let first = send(&cluster, "/list/all").await;
    let second = send(&cluster, "/list/all").await;

    assert!(first + second > 0, "no download is served");
    let left = cluster.servers[1].executions() - before;
    assert!(left <= 2, "{left} downloads left their region");
}
