//! A daemon on a VM with little memory and few descriptors.

use std::net::SocketAddr;

use reqwest::{Client, Method, RequestBuilder};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Mutex, MutexGuard},
};

use crate::{
    MAX_BODY_BYTES,
    backend::CountingBackend,
    caller::{chunked_body, head, stated_body},
    cluster::{POOLED, configuration, entry_at, eventually},
    link::{LinkState, ServerLink},
    node::NodeProcess,
    store::StoreStandin,
};

/// The limits of a VM.
#[derive(Clone, Copy, Debug)]
pub struct VmLimits {
    pub memory_mb: u64,
    pub descriptors: usize,
}

/// A VM with little memory and few descriptors.
pub const SMALL_VM: VmLimits = VmLimits { memory_mb: 64, descriptors: 800 };

/// A VM with little memory whose descriptors limit nothing.
pub const SMALL_MEMORY: VmLimits =
    VmLimits { memory_mb: 64, descriptors: 10_000 };

/// The same with the memory of the smallest VMs of a deployment.
pub const DEPLOYED_MEMORY: VmLimits =
    VmLimits { memory_mb: 120, descriptors: 10_000 };

impl VmLimits {
    /// The settings of the VM, without load control.
    fn settings(self) -> Value {
        json!({"memory_mb": self.memory_mb, "max_fds": self.descriptors})
    }
}

/// The servers of each service. A VM that reaches none of several passes
/// requests on.
const SERVERS: usize = 4;

/// More requests than any test sends: slots are not what limits them.
const SLOTS: u32 = 4_000;

/// The service of requests without bodies.
const LOOKUPS: &str = "lookups";

/// Waits until no other test of this process runs.
pub async fn run_alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::const_new(());
    ALONE.lock().await
}

/// The configuration, with times that end no request during a test.
fn patient_configuration() -> Value {
    let mut patient = configuration(1, None);
    let routes = patient["routes"].as_object_mut().expect("routes exist");
    routes["list"]["service"] = json!(LOOKUPS);
    for route in routes.values_mut() {
        route["timeout"] = json!("60000ms");
        route["target_latency"] = json!("30000ms");
    }
    patient["services"][LOOKUPS] = json!({"health_path": "/health"});
    patient["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    patient["limits"]["idle_timeout"] = json!("60000ms");
    patient
}

/// A VM, its backend servers and a client of its own.
pub struct CrowdedVm {
    node: NodeProcess,
    backends: Vec<CountingBackend>,
    links: Vec<ServerLink>,
    http: Client,
    store: StoreStandin,
    limits: VmLimits,
    /// The most descriptors that were seen open.
    max_descriptors: usize,
}

impl CrowdedVm {
    /// Starts a VM that reaches its servers.
    pub async fn start() -> Self {
        Self::start_with(SMALL_VM).await
    }

    /// Starts a VM with these limits that reaches its servers.
    pub async fn start_with(limits: VmLimits) -> Self {
        let store = StoreStandin::spawn().await;
        store.put("op/config", &patient_configuration());
        let mut backends = Vec::new();
        for number in 0..2 * SERVERS {
            let service = [POOLED, LOOKUPS][number % 2];
            let backend = CountingBackend::spawn();
            let mut entry = entry_at(backend.address, service, "ready");
            entry["info"]["slots"] = json!(SLOTS);
            store.put(&format!("servers/server-{number}"), &entry);
            backends.push(backend);
        }
        let address = store.address;
        let node = NodeProcess::spawn_sized("vm", address, &limits.settings());
        let mut vm = Self::open(node, store);
        vm.limits = limits;
        vm.backends = backends;
        vm.wait_served().await;
        vm
    }

    /// Starts another VM, which reaches the servers over links of its own.
    pub async fn add_linked(&self) -> Self {
        let store = self.store.with_replaced_addresses().await;
        let mut links = Vec::new();
        for backend in &self.backends {
            let link = ServerLink::open(backend.address);
            store.replace_address(backend.address, link.address);
            links.push(link);
        }
        let (domain, limits) = ("north-b", SMALL_VM.settings());
        let node =
            NodeProcess::spawn_in("vm-2", domain, store.address, &limits);
        let mut vm = Self::open(node, store);
        vm.links = links;
        vm.wait_served().await;
        vm
    }

    /// Cuts the links to the servers, and waits until requests are passed on.
    pub async fn cut_links(&mut self) {
        for link in &self.links {
            link.set_state(LinkState::Reset);
        }
        self.wait_served().await;
    }

    fn open(node: NodeProcess, store: StoreStandin) -> Self {
        // Each request opens a connection, as that of a new caller.
        let http = Client::builder().no_proxy().pool_max_idle_per_host(0);
        let http = http.build().expect("client builds");
        let (backends, links) = (Vec::new(), Vec::new());
        Self {
            node,
            backends,
            links,
            http,
            store,
            limits: SMALL_VM,
            max_descriptors: 0,
        }
    }

    /// The address for callers.
    pub const fn address(&self) -> SocketAddr {
        self.node.traffic
    }

    /// Sets whether the servers read the bodies of requests.
    pub fn set_reading(&self, is_reading: bool) {
        for backend in &self.backends {
            backend.set_reading(is_reading);
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.node.traffic);
        self.http
            .request(method, url)
            .header("Host", "shop.example")
            .header("X-Attempt-Id", path)
            .header("X-Deadline-Ms", "3000")
    }

    async fn is_ok(&mut self, request: RequestBuilder, body: &str) -> bool {
        let open = self.node.descriptors();
        self.max_descriptors = self.max_descriptors.max(open);
        let Ok(response) = request.send().await else { return false };
        let status = response.status();
        status == 200 && response.text().await.is_ok_and(|text| text == body)
    }

    /// Waits until a lookup is served.
    pub async fn wait_looked_up(&mut self) {
        eventually(async || {
            let lookup = self.request(Method::GET, "/list/all");
            self.is_ok(lookup, "0").await
        })
        .await;
    }

    /// Waits until a lookup and a short order are served.
    pub async fn wait_served(&mut self) {
        self.wait_looked_up().await;
        eventually(async || {
            let order = self.request(Method::POST, "/order/short");
            self.is_ok(order.body("two of rice"), "11").await
        })
        .await;
    }

    /// Sends an order with a body, in chunks of a size or with a length, and
    /// returns the status and the body of its response.
    pub async fn order(
        &self,
        bytes: usize,
        chunk: Option<usize>,
    ) -> (u16, String) {
        let mut sent = head("POST /order/new", "calm").into_bytes();
        sent.extend_from_slice(b"Connection: close\r\n");
        sent.extend(match chunk {
            Some(chunk) => chunked_body(bytes, chunk),
            None => stated_body(bytes),
        });
        let stream = TcpStream::connect(self.address()).await;
        let (mut reader, mut writer) = stream.expect("connects").into_split();
        let writing = tokio::spawn(async move {
            // A refusal may come before the end of the body.
            let _closed = writer.write_all(&sent).await;
            writer
        });
        let mut response = Vec::new();
        let mut part = [0; 1_024];
        // A refused body may end with a reset after the response.
        while let Ok(read @ 1..) = reader.read(&mut part).await {
            response.extend_from_slice(&part[..read]);
        }
        drop(writing.await);
        let response = String::from_utf8(response).expect("response is text");
        let (head, body) =
            response.split_once("\r\n\r\n").expect("response has a head");
        let status = head.get(9..12).and_then(|code| code.parse().ok());
        (status.expect("head has a status"), body.to_owned())
    }

    /// Checks that the daemon lives, and has stayed below its limits.
    pub fn assert_within_limits(&mut self) {
        assert!(self.node.is_running(), "the daemon has ended");
        let memory = self.node.peak_memory();
        let descriptors = self.max_descriptors;
        println!("{memory} bytes, {descriptors} descriptors");
        let limits = self.limits;
        assert!(memory < limits.memory_mb * 1_000_000, "{memory} bytes");
        assert!(descriptors < limits.descriptors, "{descriptors} open");
    }
}
