//! One run: a fleet, its callers and its faults.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use reqwest::{Client, Method};
use rustix::process::Signal;
use tokio::{
    sync::{Mutex, RwLock},
    time::{Instant, sleep},
};

use crate::{
    node::NodeProcess,
    oracle::{Oracle, OrderAnswer},
    plan::{Fault, plan},
    relay::{Relay, RelayManner},
    server::{ServerManner, ServerStandin},
    store::StoreStandin,
    world::{DIVIDED, POOLED, configuration, entry_at},
};

const NODES: usize = 3;
const SERVERS: usize = 6;
const CALLERS: u64 = 6;

/// After the last fault everything is served again within this: the holds
/// of a lost server, the waits of a new planner, and a start.
const RECOVERY: Duration = Duration::from_secs(30);

/// A process that has ended is missed after this.
const SUPERVISION: Duration = Duration::from_millis(100);

/// The route that every second configuration adds.
const ADDED: &str = "/more/";

/// A backend server behind its relay.
struct Backend {
    id: String,
    service: &'static str,
    server: ServerStandin,
    relay: Relay,
}

/// A daemon behind its relay to the store.
struct Daemon {
    process: Mutex<NodeProcess>,
    relay: Relay,
    traffic: std::net::SocketAddr,
    ready: std::net::SocketAddr,
}

struct Stage {
    store: StoreStandin,
    daemons: Vec<Daemon>,
    backends: RwLock<Vec<Backend>>,
    /// Servers that have left; what they ran counts.
    former: RwLock<Vec<Backend>>,
    oracle: Oracle,
    numbers: AtomicU64,
    version: AtomicU64,
    over: AtomicBool,
    seed: u64,
}

/// Plays a seed; the number of successes, or the broken promises.
pub async fn play(seed: u64, length: Duration) -> Result<u64, Vec<String>> {
    let stage = Arc::new(Stage::open(seed).await);
    stage.wait_served().await;
    let mut tasks = Vec::new();
    for caller in 0..CALLERS {
        tasks.push(tokio::spawn(call(Arc::clone(&stage), caller)));
    }
    tasks.push(tokio::spawn(watch_owners(Arc::clone(&stage))));
    let mut faults = Vec::new();
    for planned in plan(seed, length, NODES, SERVERS) {
        sleep(planned.after).await;
        let stage = Arc::clone(&stage);
        faults.push(tokio::spawn(async move {
            stage.happen(planned.fault).await;
        }));
    }
    for fault in faults {
        fault.await.expect("no fault panics");
    }
    stage.wait_served().await;
    stage.over.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.expect("no caller panics");
    }
    let (now, former) =
        (stage.backends.read().await, stage.former.read().await);
    let all = now.iter().chain(former.iter());
    let all: Vec<&ServerStandin> = all.map(|b| &b.server).collect();
    stage.oracle.check_orders(&all);
    stage.oracle.verdict()
}

impl Stage {
    async fn open(seed: u64) -> Self {
        let store = StoreStandin::spawn().await;
        store.put("op/config", &configuration(1, None));
        let stage = Self {
            daemons: Vec::new(),
            backends: RwLock::default(),
            former: RwLock::default(),
            oracle: Oracle::default(),
            numbers: AtomicU64::new(0),
            version: AtomicU64::new(1),
            over: AtomicBool::new(false),
            seed,
            store,
        };
        for place in 0..SERVERS {
            let service = if place % 2 == 0 { POOLED } else { DIVIDED };
            let backend = stage.new_backend(service).await;
            stage.backends.write().await.push(backend);
        }
        let mut daemons = Vec::new();
        for number in 0..NODES {
            let relay = Relay::spawn(stage.store.address).await;
            let name = format!("vm-{number}");
            let process = NodeProcess::spawn(&name, relay.address);
            let (traffic, ready) = (process.traffic, process.ready);
            let process = Mutex::new(process);
            daemons.push(Daemon { process, relay, traffic, ready });
        }
        Self { daemons, ..stage }
    }

    async fn new_backend(&self, service: &'static str) -> Backend {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let id = format!("server-{number}");
        let server = ServerStandin::spawn(&id, service == DIVIDED).await;
        let relay = Relay::spawn(server.address).await;
        let entry = entry_at(relay.address, service, "ready");
        self.store.put(&format!("servers/{id}"), &entry);
        Backend { id, service, server, relay }
    }

    /// Does a fault and undoes it.
    async fn happen(&self, fault: Fault) {
        match fault {
            Fault::Kill { node, down } => {
                let mut process = self.daemons[node].process.lock().await;
                process.signal(Signal::KILL);
                sleep(down).await;
                process.restart();
            }
            Fault::Stop { node } => {
                let mut process = self.daemons[node].process.lock().await;
                process.signal(Signal::TERM);
                process.ended().await;
                process.restart();
            }
            Fault::Pause { node, span } => {
                let process = self.daemons[node].process.lock().await;
                process.signal(Signal::STOP);
                sleep(span).await;
                process.signal(Signal::CONT);
            }
            Fault::Reload { node } => {
                let mut process = self.daemons[node].process.lock().await;
                process.signal(Signal::HUP);
                sleep(SUPERVISION).await;
                // It may have been sent before the program's first line
                // ran. Whatever ends is started again.
                if !process.runs() {
                    process.restart();
                }
            }
            Fault::Store { node, manner, span } => {
                self.daemons[node].relay.set(manner);
                sleep(span).await;
                self.daemons[node].relay.set(RelayManner::Passes);
            }
            Fault::Way { server, manner, span } => {
                self.backends.read().await[server].relay.set(manner);
                sleep(span).await;
                let backends = self.backends.read().await;
                backends[server].relay.set(RelayManner::Passes);
            }
            Fault::Server { server, manner, span } => {
                self.backends.read().await[server].server.set_manner(manner);
                sleep(span).await;
                let usual = ServerManner::Works(Duration::ZERO);
                self.backends.read().await[server].server.set_manner(usual);
            }
            Fault::Replace { server } => self.replace(server).await,
            Fault::Configure => self.configure(),
        }
    }

    async fn replace(&self, place: usize) {
        /// Longer than a leaving server may get new requests.
        const DRAIN: Duration = Duration::from_millis(2_300);
        let (id, service, address) = {
            let backend = &self.backends.read().await[place];
            (backend.id.clone(), backend.service, backend.relay.address)
        };
        let key = format!("servers/{id}");
        let draining = entry_at(address, service, "draining");
        self.store.put(&key, &draining);
        sleep(DRAIN).await;
        let next = self.new_backend(service).await;
        let mut backends = self.backends.write().await;
        // Another fault of the same kind may have been sooner.
        if backends[place].id != id {
            self.store.remove(&format!("servers/{}", next.id));
            self.former.write().await.push(next);
            return;
        }
        self.store.remove(&key);
        let former = std::mem::replace(&mut backends[place], next);
        // It ends: its connections break, and nobody answers there.
        former.relay.set(RelayManner::Resets);
        former.server.end();
        self.former.write().await.push(former);
    }

    fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let added = version.is_multiple_of(2).then_some(ADDED);
        self.store.put("op/config", &configuration(version, added));
    }

    /// Waits until every daemon serves every kind of request and the
    /// newest configuration is in force.
    async fn wait_served(&self) {
        let end = Instant::now() + RECOVERY;
        let http = client();
        let version = self.version.load(Ordering::Relaxed);
        let added = if version.is_multiple_of(2) { 200 } else { 404 };
        for daemon in &self.daemons {
            let url = |path: &str| format!("http://{}{path}", daemon.traffic);
            let ready = format!("http://{}/v1/ready", daemon.ready);
            let mut wanted = vec![
                (ready, 0, 200),
                (url("/list/all"), 0, 200),
                (url("/more/all"), 0, added),
            ];
            for key in (0..65_536).step_by(9_001) {
                wanted.push((url("/stock/rice"), key, 200));
            }
            for (url, key, status) in wanted {
                while ask(&http, &url, key).await != Some(status) {
                    if Instant::now() > end {
                        let what = format!("{url} key {key}: not {status}");
                        self.oracle.break_promise(what);
                        return;
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }
}

fn client() -> Client {
    let limit = Duration::from_secs(5);
    Client::builder().no_proxy().timeout(limit).build().expect("a client")
}

async fn ask(http: &Client, url: &str, key: u64) -> Option<u16> {
    let request = http
        .get(url)
        .header("Host", "shop.example")
        .header("X-Attempt-Id", format!("look-{:x}", rand::random::<u64>()))
        .header("X-Deadline-Ms", "2000")
        .header("X-Shard-Key", key.to_string());
    Some(request.send().await.ok()?.status().as_u16())
}

/// A caller: one request after the other over kept connections.
async fn call(stage: Arc<Stage>, caller: u64) {
    let http = client();
    let mut turn = 0_u64;
    while !stage.over.load(Ordering::Relaxed) {
        turn += 1;
        let attempt = format!("{}-{caller}-{turn}", stage.seed);
        let daemon = &stage.daemons[rand::random_range(0..NODES)];
        let (method, path) = match turn % 3 {
            0 => (Method::POST, "/order/1"),
            1 => (Method::GET, "/list/all"),
            _ => (Method::GET, "/stock/rice"),
        };
        let order = method == Method::POST;
        let request = http
            .request(method, format!("http://{}{path}", daemon.traffic))
            .header("Host", "shop.example")
            .header("X-Attempt-Id", &attempt)
            .header("X-Deadline-Ms", "1500")
            .header("X-Shard-Key", rand::random::<u16>().to_string());
        let told = match request.send().await {
            Ok(answer) => stage.oracle.check_answer(&attempt, answer).await,
            Err(_lost) => OrderAnswer::Unknown,
        };
        if order {
            stage.oracle.note_order(attempt, told);
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Looks all the time whether a key has two owners.
async fn watch_owners(stage: Arc<Stage>) {
    while !stage.over.load(Ordering::Relaxed) {
        {
            let backends = stage.backends.read().await;
            let servers: Vec<&ServerStandin> =
                backends.iter().map(|b| &b.server).collect();
            for key in (0..65_536).step_by(1_021) {
                stage.oracle.check_owner(&servers, key);
            }
        }
        sleep(Duration::from_millis(3)).await;
    }
}
