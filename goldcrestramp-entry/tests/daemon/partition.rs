//! VMs that are partitioned from all servers, while callers, the store and the
//! other VMs still reach them.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use reqwest::{
    Method,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use rustix::process::Signal;
use serde_json::json;

use crate::{
    cluster::{Cluster, POOLED, SHARDED, configuration, eventually},
    link::{LinkState, ServerLink},
    node::NodeProcess,
    server::{ServerBehavior, ServerStandin},
    store::StoreStandin,
};

const SERVERS: usize = 4;

/// The time after which a partitioned VM has to serve its callers again.
const CONTACT: Duration = Duration::from_secs(3);

/// The interval between two requests of a load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The VM whose links to the servers are cut, and one whose links stay up.
pub const CUT: usize = 0;
const CONNECTED: usize = 1;

/// A cluster in which one VM reaches the servers over links that can be cut.
pub struct PartitionedCluster {
    pub cluster: Cluster,
    links: Vec<ServerLink>,
    /// The store as VMs with the links see it.
    store: StoreStandin,
}

impl PartitionedCluster {
    /// Starts the VM with the links, which plans, and a VM of another failure
    /// domain, so that neither follows the other.
    pub async fn start(service: &str) -> Self {
        let mut partitioned = Self::start_alone(service).await;
        partitioned.add_connected("vm-1", "north-b").await;
        partitioned
    }

    /// Starts only the VM with the links.
    async fn start_alone(service: &str) -> Self {
        let mut cluster = Cluster::start(service, SERVERS, 0).await;
        let store = cluster.store.with_replaced_addresses().await;
        let mut links = Vec::new();
        for server in &cluster.servers {
            let link = ServerLink::open(server.address);
            store.replace_address(server.address, link.address);
            links.push(link);
        }
        cluster.add_node(NodeProcess::spawn("vm-0", store.address)).await;
        eventually(async || cluster.store.get("router/planner").is_some())
            .await;
        Self { cluster, links, store }
    }

    /// Adds a VM of a failure domain that reaches the servers directly.
    async fn add_connected(&mut self, vm: &str, domain: &str) {
        let connected = self.cluster.spawn_in(vm, domain);
        // Tables from a VM that sees other addresses would be of no use.
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        self.store.replace_address(connected.peers, nowhere);
        self.cluster.add_node(connected).await;
    }

    /// Cuts the links and waits until the VM passes requests on.
    pub async fn cut(&self) {
        self.set_links(LinkState::Reset);
        self.send_load(CUT, CONTACT).await;
        assert!(self.send(CUT, true).await, "a lookup is passed on");
    }

    fn set_links(&self, state: LinkState) {
        for link in &self.links {
            link.set_state(state);
        }
    }

    /// Sends lookups and orders by turns at a constant rate, and returns the
    /// number of requests and of those that succeeded.
    async fn send_load(&self, node: usize, duration: Duration) -> (u32, u32) {
        let requests = duration.as_millis() / REQUEST_INTERVAL.as_millis();
        let requests = u32::try_from(requests).expect("count fits in u32");
        let sent = (0..requests).map(|number| async move {
            tokio::time::sleep(REQUEST_INTERVAL * number).await;
            self.send(node, number % 2 == 0).await
        });
        let served = join_all(sent).await.into_iter().map(u32::from).sum();
        (requests, served)
    }

    /// Sends a lookup or an order; returns whether it succeeded, and checks
    /// that an order ran at most once, and not at all if the response says so.
    async fn send(&self, node: usize, is_lookup: bool) -> bool {
        let cluster = &self.cluster;
        let attempt = cluster.next_attempt();
        let (method, path) = if is_lookup {
            (Method::GET, "/list/all")
        } else {
            (Method::POST, "/order/new")
        };
        let request = cluster.request(node, method, path, &attempt);
        let response = request.send().await.expect("response arrives");
        let status = response.status();
        if !is_lookup {
            let records = cluster.execution_records(&attempt);
            let executions = records.len();
            assert!(executions <= 1, "{executions} executions: {records:?}");
            assert!(status != 503 || executions == 0, "it ran despite 503");
        }
        status == 200
    }
}

/// The headers of a request whose caller waits this many milliseconds.
fn deadline(millis: &'static str) -> HeaderMap {
    let name = HeaderName::from_static("x-deadline-ms");
    HeaderMap::from_iter([(name, HeaderValue::from_static(millis))])
}

async fn assert_callers_are_served(state: LinkState) {
    let partitioned = PartitionedCluster::start(POOLED).await;
    let (sent, served) =
        partitioned.send_load(CUT, Duration::from_secs(1)).await;
    assert_eq!(served, sent, "all are served before the cut");

    partitioned.set_links(state);
    partitioned.send_load(CUT, CONTACT).await;
    let (sent, served) =
        partitioned.send_load(CUT, Duration::from_secs(3)).await;

    assert!(served * 10 >= sent * 9, "{served} of {sent} are served");
}

/// Guards against a VM whose callers fail while other VMs reach the servers.
#[tokio::test]
async fn callers_are_served_while_servers_are_silent_to_their_vm() {
    assert_callers_are_served(LinkState::Silent).await;
}

/// Guards against a VM whose callers fail while other VMs reach the servers.
#[tokio::test]
async fn callers_are_served_while_links_to_servers_are_reset() {
    assert_callers_are_served(LinkState::Reset).await;
}

/// Guards against requests that fail when more connections are needed than
/// are open: open ones work, and new ones are refused.
#[tokio::test]
async fn callers_are_served_while_new_connections_are_refused() {
    const WORK: Duration = Duration::from_millis(150);
    let partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.send_load(CUT, Duration::from_secs(1)).await;

    partitioned.set_links(LinkState::RefusesNew);
    partitioned.cluster.set_behavior(ServerBehavior::Responds(WORK));
    partitioned.send_load(CUT, CONTACT).await;
    let (sent, served) =
        partitioned.send_load(CUT, Duration::from_secs(3)).await;

    assert!(served * 10 >= sent * 9, "{served} of {sent} are served");
}

/// Guards against keys without an owner while the VM that renews their grants
/// reaches no server.
#[tokio::test]
async fn keys_are_served_while_their_planner_reaches_no_server() {
    let partitioned = PartitionedCluster::start(SHARDED).await;
    let cluster = &partitioned.cluster;
    let keys: Vec<u64> = (0..65_536).step_by(4_099).collect();
    for key in &keys {
        cluster.wait_served(CONNECTED, *key).await;
    }

    partitioned.set_links(LinkState::Silent);
    tokio::time::sleep(CONTACT).await;
    let mut served = 0;
    for round in 0..8 {
        for key in &keys {
            let response = cluster.get_key(CONNECTED, *key).await;
            served += usize::from(response.status() == 200);
        }
        assert!(cluster.owners(keys[round]) <= 1);
        tokio::time::sleep(Duration::from_millis(700)).await;
    }

    let sent = 8 * keys.len();
    assert!(served * 10 >= sent * 9, "{served} of {sent} are served");
}

/// Guards against a key with two owners while the planner's role moves from a
/// VM whose links fail and return.
#[tokio::test]
async fn a_key_has_one_owner_while_the_role_moves() {
    let partitioned = PartitionedCluster::start(SHARDED).await;
    let cluster = &partitioned.cluster;
    cluster.wait_served(CONNECTED, 0).await;

    for state in [LinkState::Reset, LinkState::Up, LinkState::Silent] {
        partitioned.set_links(state);
        for _ in 0..150 {
            for key in (0..65_536).step_by(8_191) {
                assert!(cluster.owners(key) <= 1);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    partitioned.set_links(LinkState::Up);
    for key in (0..65_536).step_by(8_191) {
        cluster.wait_served(CUT, key).await;
        assert_eq!(cluster.owners(key), 1);
    }
}

/// Guards against an order that runs twice when its response is lost on the
/// way to the VM that sent it for another one.
#[tokio::test]
async fn a_passed_order_whose_response_is_lost_is_sent_once() {
    let partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.cut().await;
    let cluster = &partitioned.cluster;
    cluster.set_behavior(ServerBehavior::DropsResponses);
    let attempt = cluster.next_attempt();

    let request = cluster.request(CUT, Method::POST, "/order/1", &attempt);
    let response = request.body("one sack of rice").send().await;

    assert_eq!(response.expect("response arrives").status(), 502);
    assert_eq!(cluster.executions_of(&attempt), 1);
}

/// Guards against a lookup that runs on more servers than its route allows:
/// each VM that it is passed to may send it to several.
#[tokio::test]
async fn a_passed_lookup_runs_on_as_many_servers_as_its_route_allows() {
    /// The number in the routes of the test configuration.
    const MAX_ATTEMPTS: u32 = 2;
    let mut partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.add_connected("vm-2", "north-b").await;
    partitioned.cut().await;
    let cluster = &partitioned.cluster;
    cluster.set_behavior(ServerBehavior::Withholds);
    let attempts: Vec<String> =
        (0..5).map(|_| cluster.next_attempt()).collect();

    join_all(attempts.iter().map(async |attempt| {
        let request = cluster.request(CUT, Method::GET, "/list/all", attempt);
        request.send().await.expect("response arrives")
    }))
    .await;

    for attempt in &attempts {
        let executions = cluster.executions_of(attempt);
        assert!(executions <= MAX_ATTEMPTS, "{executions} executions");
    }
}

/// Guards against a refusal of a passed order without `Retry-After`, or one of
/// an order that has run.
#[tokio::test]
async fn a_passed_order_that_every_server_sheds_is_refused() {
    let partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.cut().await;
    let cluster = &partitioned.cluster;
    cluster.set_behavior(ServerBehavior::Sheds);
    let attempt = cluster.next_attempt();

    let request = cluster.request(CUT, Method::POST, "/order/1", &attempt);
    let response = request.send().await.expect("response arrives");

    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(cluster.executions_of(&attempt), 0);
}

/// Guards against a server that is asked again during its backoff by requests
/// that were passed on.
#[tokio::test]
async fn a_passed_request_respects_a_backoff() {
    let partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.cut().await;
    let cluster = &partitioned.cluster;
    for server in &cluster.servers {
        server.shed_with_backoff("60");
    }
    for _ in 0..SERVERS {
        assert!(!partitioned.send(CONNECTED, true).await);
    }

    for _ in 0..10 {
        assert!(!partitioned.send(CUT, true).await);
    }

    for server in &cluster.servers {
        assert!(server.arrivals() <= 1, "{} arrivals", server.arrivals());
    }
}

/// Guards against callers that are refused because a VM to which requests are
/// passed responds more slowly than before: it has limits of its own.
#[tokio::test]
async fn a_slow_vm_gets_as_many_requests_as_before() {
    /// Longer than a server may be silent.
    const WORK: Duration = Duration::from_millis(700);
    const INTERVAL: Duration = Duration::from_millis(60);
    const ORDERS: u32 = 30;
    let partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.cut().await;
    let cluster = &partitioned.cluster;
    cluster.set_behavior(ServerBehavior::Responds(WORK));

    let sent = (0..ORDERS).map(async |number| {
        tokio::time::sleep(INTERVAL * number).await;
        let attempt = cluster.next_attempt();
        let order = cluster.request(CUT, Method::POST, "/order/new", &attempt);
        let response = order.send().await.expect("response arrives");
        response.text().await.expect("body arrives")
    });
    let reasons = join_all(sent).await;

    // The other VM itself may be full.
    let refused = reasons.iter().filter(|text| *text == "unreachable");
    assert_eq!(refused.count(), 0);
}

/// Guards against a backoff that is forgotten with what is forgotten when the
/// links to the servers are back.
#[tokio::test]
async fn a_backoff_outlasts_a_partition() {
    let partitioned = PartitionedCluster::start_alone(POOLED).await;
    let servers = &partitioned.cluster.servers;
    for server in servers {
        server.shed_with_backoff("60");
    }
    for _ in 0..SERVERS {
        assert!(!partitioned.send(CUT, true).await);
    }
    let arrivals =
        || servers.iter().map(ServerStandin::arrivals).sum::<usize>();
    let before = arrivals();

    partitioned.set_links(LinkState::Reset);
    partitioned.send_load(CUT, Duration::from_secs(1)).await;
    partitioned.set_links(LinkState::Up);
    partitioned.send_load(CUT, Duration::from_secs(1)).await;

    assert_eq!(before, SERVERS);
    assert_eq!(arrivals(), before);
}

/// Guards against requests to a leaving server by a VM that has passed on its
/// statement, but was told so by another VM only.
#[tokio::test]
async fn a_vm_that_passed_a_request_on_knows_that_its_server_is_leaving() {
    const SLOW: Duration = Duration::from_millis(60);
    /// More than the other servers take at once, so that none is left out for
    /// its response times.
    const CONCURRENT: usize = 16;
    let partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.cut().await;
    let cluster = &partitioned.cluster;
    cluster.set_behavior(ServerBehavior::Responds(SLOW));
    let leaving = &cluster.servers[0];
    leaving.set_behavior(ServerBehavior::Responds(Duration::ZERO));
    leaving.set_leaving(true);
    eventually(async || {
        let sent = (0..CONCURRENT).map(|_| cluster.get(CUT, "/list/all"));
        let responses = join_all(sent).await;
        let has = |name: &str| {
            responses.iter().any(|one| one.headers().contains_key(name))
        };
        assert!(!has("x-goldcrestramp-leaving"));
        has("server-leaving")
    })
    .await;

    leaving.set_leaving(true);
    partitioned.set_links(LinkState::Up);
    for _ in 0..40 {
        assert_eq!(cluster.get(CUT, "/list/all").await.status(), 200);
    }

    assert_eq!(leaving.arrivals(), 0);
}

/// Guards against a server that goes on working on a passed request after its
/// caller has left.
#[tokio::test]
async fn a_caller_that_leaves_ends_its_passed_request() {
    let partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.cut().await;
    let cluster = &partitioned.cluster;
    cluster.set_behavior(ServerBehavior::Withholds);
    let attempt = cluster.next_attempt();

    let request = cluster.request(CUT, Method::POST, "/order/1", &attempt);
    let sent = tokio::spawn(request.send());
    eventually(async || cluster.executions_of(&attempt) == 1).await;
    sent.abort();

    eventually(async || cluster.abandoned() == 1).await;
}

/// Guards against a planned stop that cuts requests which another VM passed
/// on.
#[tokio::test]
async fn a_stopped_vm_completes_what_was_passed_to_it() {
    // Longer than a stopped VM keeps connections open.
    const WORK: Duration = Duration::from_millis(3_300);
    let mut partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.cut().await;
    let cluster = &mut partitioned.cluster;
    cluster.set_behavior(ServerBehavior::Responds(WORK));
    let attempt = cluster.next_attempt();
    let request = cluster.request(CUT, Method::POST, "/order/1", &attempt);
    let request = request.headers(deadline("4000"));

    let sent = tokio::spawn(request.send());
    eventually(async || cluster.executions_of(&attempt) == 1).await;
    cluster.nodes[CONNECTED].signal(Signal::TERM);

    let response = sent.await.expect("request task does not panic");
    assert_eq!(response.expect("response arrives").status(), 200);
    assert!(cluster.nodes[CONNECTED].wait_for_exit().await.success());
}

/// Guards against a refusal that says "not run" when the grace period of the
/// VM that passed an order on ends before the order's response.
#[tokio::test]
async fn a_stopped_vm_does_not_know_whether_a_passed_order_ran() {
    let mut partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.cut().await;
    let cluster = &mut partitioned.cluster;
    let mut patient = configuration(2, Some("/more/"));
    patient["routes"]["order"]["timeout"] = json!("20s");
    cluster.store.put("op/config", &patient);
    eventually(async || cluster.get(CUT, "/more/all").await.status() == 200)
        .await;
    cluster.set_behavior(ServerBehavior::Withholds);
    let attempt = cluster.next_attempt();
    let request = cluster.request(CUT, Method::POST, "/order/1", &attempt);

    let sent = tokio::spawn(request.headers(deadline("20000")).send());
    eventually(async || cluster.executions_of(&attempt) == 1).await;
    cluster.nodes[CUT].signal(Signal::TERM);

    let response = sent.await.expect("request task does not panic");
    assert_eq!(response.expect("response arrives").status(), 504);
}

/// Guards against a VM that needs others, or avoids its servers, after its
/// links are back.
#[tokio::test]
async fn requests_take_the_direct_way_when_links_are_back() {
    let partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.cut().await;

    partitioned.set_links(LinkState::Up);
    partitioned.send_load(CUT, Duration::from_secs(1)).await;
    partitioned.cluster.nodes[CONNECTED].signal(Signal::KILL);
    let (sent, served) =
        partitioned.send_load(CUT, Duration::from_secs(1)).await;

    assert_eq!(served, sent);
}

/// Guards against a request that leaves its regions on the way to a VM of
/// another one.
#[tokio::test]
async fn a_restricted_request_is_not_passed_to_another_region() {
    let mut partitioned = PartitionedCluster::start_alone(POOLED).await;
    partitioned.add_connected("vm-1", "south-a").await;
    partitioned.cut().await;
    let cluster = &partitioned.cluster;
    let mut restricted = configuration(2, Some("/more/"));
    restricted["routes"]["order"]["allowed_regions"] = json!(["north"]);
    cluster.store.put("op/config", &restricted);
    eventually(async || cluster.get(CUT, "/more/all").await.status() == 200)
        .await;
    let attempt = cluster.next_attempt();

    let request = cluster.request(CUT, Method::POST, "/order/1", &attempt);
    let response = request.send().await.expect("response arrives");

    assert_eq!(response.status(), 503);
    let reason = response.text().await.expect("body is received");
    assert_eq!(reason, "unreachable");
}

/// Guards against requests that circle among VMs of which none reaches a
/// server. One that does would serve this request.
#[tokio::test]
async fn a_passed_request_is_not_passed_on() {
    let partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.cut().await;
    let cluster = &partitioned.cluster;
    let envelope = json!({
        "vm": "vm-2", "route": "list", "service": POOLED, "slice": null,
        "effect": "Idempotent", "timeout": 4_000_000,
        "target_latency": 400_000, "priority": 1, "max_attempts": 2,
        "allowed_regions": null, "elapsed": 0, "tried": [], "counted": true
    });

    let attempt = cluster.next_attempt();
    let url = format!("http://{}/list/all", cluster.nodes[CUT].relay);
    let request = cluster
        .request_to(&url, Method::GET, &attempt)
        .header("x-goldcrestramp-relay", envelope.to_string());
    let response = request.send().await.expect("response arrives");

    assert_eq!(response.status(), 503);
    let end = response.headers()["x-goldcrestramp-end"].to_str();
    let end = end.expect("end is text");
    assert!(end.contains(r#""reason":"unreachable""#), "{end}");
}

/// Guards against requests that wait for their deadlines although no VM
/// reaches a server.
#[tokio::test]
async fn a_request_that_no_vm_can_serve_is_refused() {
    let mut partitioned = PartitionedCluster::start_alone(POOLED).await;
    let other = NodeProcess::spawn("vm-1", partitioned.store.address);
    partitioned.cluster.add_node(other).await;
    partitioned.set_links(LinkState::Reset);
    for node in [CUT, 1] {
        partitioned.send_load(node, Duration::from_secs(1)).await;
    }
    let cluster = &partitioned.cluster;

    let response = cluster.get(CUT, "/list/all").await;

    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    let reason = response.text().await.expect("body is received");
    assert_eq!(reason, "unreachable");
}

/// Guards against a request that ends servers because the VM that its callers
/// reach only passes it on.
#[tokio::test]
async fn a_passed_request_that_ends_servers_is_refused() {
    const MAX_ENDED: usize = 3;
    let partitioned = PartitionedCluster::start(POOLED).await;
    let cluster = &partitioned.cluster;
    cluster.servers.iter().for_each(|server| server.end_on("/fatal"));
    partitioned.cut().await;

    eventually(async || {
        let response = cluster.get(CUT, "/list/fatal").await;
        let is_refused = response.status() == 503;
        let reason = response.text().await.expect("body arrives");
        is_refused && reason == "quarantined"
    })
    .await;

    let ended = cluster.servers.iter().filter(|server| server.has_ended());
    assert!(ended.count() <= MAX_ENDED);
}
