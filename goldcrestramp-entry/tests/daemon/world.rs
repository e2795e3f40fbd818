//! A store, servers and daemons, with callers' requests.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use reqwest::{Client, Method, RequestBuilder, Response};
use serde_json::{Value, json};

use crate::{
    node::NodeProcess,
    server::{ServerManner, ServerStandin},
    store::StoreStandin,
};

/// The longest that a test waits for something that has to come.
const PATIENCE: Duration = Duration::from_secs(30);

/// A service that any server serves, and one that is divided by key.
pub const POOLED: &str = "orders";
pub const DIVIDED: &str = "stock";

pub struct World {
    pub store: StoreStandin,
    pub servers: Vec<ServerStandin>,
    pub nodes: Vec<NodeProcess>,
    http: Client,
    attempts: AtomicU64,
}

/// The configuration, with a version and one more route if there is one.
pub fn configuration(version: u64, more: Option<&str>) -> Value {
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
        "stock": route("/stock/", "safe", DIVIDED),
    });
    if let Some(prefix) = more {
        routes["more"] = route(prefix, "safe", POOLED);
    }
    json!({
        "version": version,
        "routes": routes,
        "services": {
            POOLED: {"health_path": "/health"},
            DIVIDED: {"health_path": "/health", "sharded": true},
        },
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
            "header_timeout": "3000ms", "idle_timeout": "15000ms"
        }
    })
}

/// The configuration with so many routes more: `/route-0/`, `/route-1/`.
#[allow(dead_code, reason = "not every test binary has large ones")]
pub fn large_configuration(version: u64, more: usize) -> Value {
    let mut large = configuration(version, Some("/more/"));
    let routes = large["routes"].as_object_mut().expect("routes");
    let route = routes["more"].clone();
    for number in 0..more {
        let mut route = route.clone();
        route["path_prefix"] = json!(format!("/route-{number}/"));
        routes.insert(format!("route-{number}"), route);
    }
    large
}

/// The entry of a server.
pub fn entry(server: &ServerStandin, service: &str, state: &str) -> Value {
    entry_at(server.address, service, state)
}

/// The entry of a server that is reached at an address.
pub fn entry_at(address: SocketAddr, service: &str, state: &str) -> Value {
    json!({
        "address": address.to_string(), "born": 1_700_000_000_000_u64,
        "info": {
            "service": service, "version": "v1", "zone": "north-a",
            "slots": 4
        },
        "status": {"state": state, "seq": 1, "cold_left": "0ms"}
    })
}

impl World {
    /// Opens a world with servers of one service and so many daemons.
    pub async fn open(service: &str, servers: usize, nodes: usize) -> Self {
        Self::open_on(StoreStandin::spawn().await, service, servers, nodes)
            .await
    }

    /// Opens a world on a store.
    pub async fn open_on(
        store: StoreStandin,
        service: &str,
        servers: usize,
        nodes: usize,
    ) -> Self {
        store.put("op/config", &configuration(1, None));
        let mut started = Vec::new();
        for number in 0..servers {
            let id = format!("server-{number}");
            let divided = service == DIVIDED;
            let server = ServerStandin::spawn(&id, divided).await;
            let key = format!("servers/{id}");
            store.put(&key, &entry(&server, service, "ready"));
            started.push(server);
        }
        let address = store.address;
        let nodes = (0..nodes).map(|number| {
            NodeProcess::spawn(&format!("vm-{number}"), address)
        });
        let world = Self {
            store,
            servers: started,
            nodes: nodes.collect(),
            http: Client::builder().no_proxy().build().expect("a client"),
            attempts: AtomicU64::new(0),
        };
        for node in &world.nodes {
            world.wait_ready(node.ready).await;
        }
        world
    }

    /// Adds a daemon and waits until it is ready.
    #[allow(dead_code, reason = "not every test binary adds one")]
    pub async fn add_node(&mut self, node: NodeProcess) {
        self.wait_ready(node.ready).await;
        self.nodes.push(node);
    }

    async fn wait_ready(&self, ready: SocketAddr) {
        eventually(async || self.says_ready(ready).await).await;
    }

    async fn says_ready(&self, ready: SocketAddr) -> bool {
        let url = format!("http://{ready}/v1/ready");
        let answer = self.http.get(&url).send().await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Whether a daemon says that it is ready.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub async fn is_ready(&self, node: usize) -> bool {
        self.says_ready(self.nodes[node].ready).await
    }

    /// Requests that daemons gave up while servers held their answers back.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn abandoned(&self) -> u32 {
        self.servers.iter().map(ServerStandin::abandoned).sum()
    }

    /// A fresh id of an attempt.
    pub fn attempt(&self) -> String {
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
        self.http
            .request(method, url)
            .header("Host", "shop.example")
            .header("X-Attempt-Id", attempt)
            .header("X-Deadline-Ms", "3000")
    }

    pub async fn get(&self, node: usize, path: &str) -> Response {
        let attempt = self.attempt();
        let request = self.request(node, Method::GET, path, &attempt);
        request.send().await.expect("an answer")
    }

    /// Asks for a key of the divided service.
    pub async fn ask_key(&self, node: usize, key: u64) -> Response {
        let attempt = self.attempt();
        let request = self
            .request(node, Method::GET, "/stock/rice", &attempt)
            .header("X-Shard-Key", key.to_string());
        request.send().await.expect("an answer")
    }

    /// Waits until a key is served.
    pub async fn wait_served(&self, node: usize, key: u64) {
        eventually(async || self.ask_key(node, key).await.status() == 200)
            .await;
    }

    /// Has all servers behave in one manner.
    #[allow(dead_code, reason = "not every test binary does")]
    pub fn set_manner(&self, manner: ServerManner) {
        for server in &self.servers {
            server.set_manner(manner);
        }
    }

    /// How many servers hold a key.
    pub fn holders(&self, key: u64) -> usize {
        self.servers.iter().filter(|server| server.holds(key)).count()
    }

    /// How often all servers together ran an attempt.
    pub fn runs_of(&self, attempt: &str) -> u32 {
        self.servers.iter().map(|server| server.runs_of(attempt)).sum()
    }
}

/// Waits until something holds.
pub async fn eventually(mut holds: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < end, "it never came");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}
