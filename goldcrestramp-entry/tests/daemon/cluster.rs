//! A cluster of a store, servers and daemons, and the requests of callers.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use reqwest::{Client, Method, RequestBuilder, Response};
use serde_json::{Value, json};

use crate::{
    node::NodeProcess,
    server::{ExecutionRecord, ServerBehavior, ServerStandin},
    store::StoreStandin,
};

/// The time after which an awaited condition counts as a failure.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A service whose requests any of its servers may run, and one that is
/// sharded by key.
pub const POOLED: &str = "orders";
pub const SHARDED: &str = "stock";

pub struct Cluster {
    /// Names the cluster in the records of servers, of all test processes.
    name: String,
    pub store: StoreStandin,
    pub servers: Vec<ServerStandin>,
    pub nodes: Vec<NodeProcess>,
    http: Client,
    attempts: AtomicU64,
}

/// A configuration of this version; `extra` is the path prefix of an optional
/// additional route.
pub fn configuration(version: u64, extra: Option<&str>) -> Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "host": "shop.example", "path_prefix": prefix, "kind": kind,
            "timeout": "4000ms", "target_latency": "400ms", "priority": 1,
            "service": service, "max_attempts": 2
        })
    };
    let mut routes = json!({
        "order": route("/order/", "unsafe", POOLED),
        "list": route("/list/", "safe", POOLED),
        "stock": route("/stock/", "safe", SHARDED),
    });
    if let Some(prefix) = extra {
        routes["more"] = route(prefix, "safe", POOLED);
    }
    json!({
        "version": version,
        "routes": routes,
        "services": {
            POOLED: {"health_path": "/health"},
            SHARDED: {"health_path": "/health", "sharded": true},
        },
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
            "header_timeout": "3000ms", "idle_timeout": "15000ms"
        }
    })
}

/// A configuration with `extra` additional routes: `/route-0/`, `/route-1/`
/// and so on.
#[allow(dead_code, reason = "not every test binary has large ones")]
pub fn large_configuration(version: u64, extra: usize) -> Value {
    let mut large = configuration(version, Some("/more/"));
    let routes =
        large["routes"].as_object_mut().expect("routes are an object");
    let route = routes["more"].clone();
    for number in 0..extra {
        let mut route = route.clone();
        route["path_prefix"] = json!(format!("/route-{number}/"));
        routes.insert(format!("route-{number}"), route);
    }
    large
}

/// The store entry of a server in a state such as `ready`.
pub fn entry(server: &ServerStandin, service: &str, state: &str) -> Value {
    entry_at(server.address, service, state)
}

/// The store entry of a server that is reached at this address.
pub fn entry_at(address: SocketAddr, service: &str, state: &str) -> Value {
    entry_in(address, service, state, "north-a")
}

/// The store entry of a server in a failure domain.
pub fn entry_in(
    address: SocketAddr,
    service: &str,
    state: &str,
    domain: &str,
) -> Value {
    json!({
        "address": address.to_string(), "born": 1_700_000_000_000_u64,
        "info": {
            "service": service, "version": "v1", "zone": domain,
            "slots": 4
        },
        "status": {"state": state, "seq": 1, "cold_left": "0ms"}
    })
}

impl Cluster {
    /// Starts a cluster with servers of one service, and waits until its
    /// daemons are ready.
    pub async fn start(service: &str, servers: usize, nodes: usize) -> Self {
        Self::start_on(StoreStandin::spawn().await, service, servers, nodes)
            .await
    }

    /// Starts a cluster with an existing store.
    pub async fn start_on(
        store: StoreStandin,
        service: &str,
        servers: usize,
        nodes: usize,
    ) -> Self {
        store.put("op/config", &configuration(1, None));
        let mut started = Vec::new();
        for number in 0..servers {
            let id = format!("server-{number}");
            let sharded = service == SHARDED;
            let server = ServerStandin::spawn(&id, sharded);
            let key = format!("servers/{id}");
            store.put(&key, &entry(&server, service, "ready"));
            started.push(server);
        }
        let address = store.address;
        let nodes = (0..nodes).map(|number| {
            NodeProcess::spawn(&format!("vm-{number}"), address)
        });
        let cluster = Self {
            name: next_cluster_name(),
            store,
            servers: started,
            nodes: nodes.collect(),
            http: Client::builder().no_proxy().build().expect("client builds"),
            attempts: AtomicU64::new(0),
        };
        for node in &cluster.nodes {
            cluster.wait_ready(node.ready).await;
        }
        cluster
    }

    /// Starts a daemon on a VM of a failure domain; [`Self::add_node`] waits
    /// until it is ready.
    #[allow(dead_code, reason = "not every test binary has several domains")]
    pub fn spawn_in(&self, vm: &str, domain: &str) -> NodeProcess {
        NodeProcess::spawn_in(vm, domain, self.store.address, &json!({}))
    }

    /// Adds a daemon and waits until it is ready.
    #[allow(dead_code, reason = "not every test binary adds one")]
    pub async fn add_node(&mut self, node: NodeProcess) {
        self.wait_ready(node.ready).await;
        self.nodes.push(node);
    }

    /// Waits until all daemons are ready.
    #[allow(dead_code, reason = "not every test binary restarts one")]
    pub async fn wait_all_ready(&self) {
        for node in &self.nodes {
            self.wait_ready(node.ready).await;
        }
    }

    async fn wait_ready(&self, ready: SocketAddr) {
        eventually(async || self.probe_ready(ready).await).await;
    }

    async fn probe_ready(&self, ready: SocketAddr) -> bool {
        let url = format!("http://{ready}/v1/ready");
        let response = self.http.get(&url).send().await;
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Whether a daemon reports that it is ready.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub async fn is_ready(&self, node: usize) -> bool {
        self.probe_ready(self.nodes[node].ready).await
    }

    /// The number of requests whose connection a daemon closed while a server
    /// withheld the response.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn abandoned(&self) -> u32 {
        self.servers.iter().map(ServerStandin::abandoned).sum()
    }

    /// Returns an unused attempt id.
    pub fn next_attempt(&self) -> String {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        format!("attempt-{number}")
    }

    pub fn request(
        &self,
        node: usize,
        method: Method,
        path: &str,
        attempt: &str,
    ) -> RequestBuilder {
        let url = format!("http://{}{path}", self.nodes[node].traffic);
        self.request_to(&url, method, attempt)
    }

    /// A request of a caller, to any address.
    pub fn request_to(
        &self,
        url: &str,
        method: Method,
        attempt: &str,
    ) -> RequestBuilder {
        self.http
            .request(method, url)
            .header("Host", "shop.example")
            .header("X-Attempt-Id", attempt)
            .header("X-Deadline-Ms", "3000")
            .header("X-Test-Cluster", &self.name)
    }

    pub async fn get(&self, node: usize, path: &str) -> Response {
        let attempt = self.next_attempt();
        let request = self.request(node, Method::GET, path, &attempt);
        request.send().await.expect("response arrives")
    }

    /// Sends a request for a key of the sharded service.
    pub async fn get_key(&self, node: usize, key: u64) -> Response {
        let attempt = self.next_attempt();
        let request = self
            .request(node, Method::GET, "/stock/rice", &attempt)
            .header("X-Shard-Key", key.to_string());
        request.send().await.expect("response arrives")
    }

    /// Waits until requests for a key succeed.
    pub async fn wait_served(&self, node: usize, key: u64) {
        eventually(async || self.get_key(node, key).await.status() == 200)
            .await;
    }

    /// Sets the behavior of all servers.
    #[allow(dead_code, reason = "not every test binary does")]
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        for server in &self.servers {
            server.set_behavior(behavior);
        }
    }

    /// The number of servers that own a key.
    pub fn owners(&self, key: u64) -> usize {
        self.servers.iter().filter(|server| server.owns(key)).count()
    }

    /// The executions of an attempt at all servers.
    pub fn execution_records(&self, attempt: &str) -> Vec<ExecutionRecord> {
        let servers = self.servers.iter();
        servers.flat_map(|server| server.execution_records(attempt)).collect()
    }

    /// The number of executions of an attempt at all servers.
    pub fn executions_of(&self, attempt: &str) -> u32 {
        self.servers.iter().map(|server| server.executions_of(attempt)).sum()
    }
}

/// Returns a name that no other cluster of a running test process has.
fn next_cluster_name() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("cluster-{}-{number}", std::process::id())
}

/// Polls a condition until it holds.
pub async fn eventually(mut condition: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < end, "timed out");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}
