//! Stops in series under long lookups.
//!
//! VMs are stopped one after the other, faster than they start again. Half of
//! the callers keep their connections, half open one per lookup. No lookup may
//! end before its timeout without the response of a server that has begun it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use reqwest::Client;
use rustix::process::Signal;
use serde_json::json;
use tokio::{sync::Mutex, time::sleep};

use crate::{
    cluster::{POOLED, configuration, entry},
    node::NodeProcess,
    server::{ServerBehavior, ServerStandin},
    store::StoreStandin,
};

/// The timeout of the route.
const TIMEOUT: Duration = Duration::from_secs(2);

const SERVERS: usize = 5;

/// How long a server keeps its pace.
const PACE_TIME: Duration = Duration::from_millis(120);

/// How long a VM runs before its first stop.
const START_TIME: Duration = Duration::from_millis(1_500);

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct SeriesSize {
    pub vms: usize,
    pub callers_per_vm: usize,
    /// How often each VM is stopped.
    pub rounds: usize,
}

struct SeriesFleet {
    servers: Vec<ServerStandin>,
    vms: Vec<Mutex<NodeProcess>>,
    /// The addresses of the VMs for callers.
    addresses: Vec<SocketAddr>,
    is_over: AtomicBool,
    lookups: AtomicU64,
    responses: AtomicU64,
    violations: Mutex<Vec<String>>,
}

/// Runs a seed and returns the number of responses, or the violations.
pub async fn run_series(
    seed: u64,
    size: SeriesSize,
) -> Result<u64, Vec<String>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = StoreStandin::spawn().await;
    let fleet = Arc::new(start(&store, size));
    sleep(START_TIME).await;
    let mut tasks = vec![tokio::spawn(vary_pace(
        Arc::clone(&fleet),
        StdRng::seed_from_u64(!seed),
    ))];
    for caller in 0..size.vms * size.callers_per_vm {
        tasks.push(tokio::spawn(run_caller(Arc::clone(&fleet), caller)));
    }
    let mut stops = Vec::new();
    for _round in 0..size.rounds {
        for vm in 0..size.vms {
            let gap = rng.random_range(200..800);
            sleep(Duration::from_millis(gap)).await;
            stops.push(tokio::spawn(stop(Arc::clone(&fleet), vm)));
        }
    }
    for stop in stops {
        stop.await.expect("stop does not panic");
    }
    fleet.is_over.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.expect("task does not panic");
    }
    let violations = std::mem::take(&mut *fleet.violations.lock().await);
    if violations.is_empty() {
        return Ok(fleet.responses.load(Ordering::Relaxed));
    }
    Err(violations)
}

fn start(store: &StoreStandin, size: SeriesSize) -> SeriesFleet {
    let mut routes = configuration(1, None);
    let lookups = &mut routes["routes"]["list"];
    lookups["timeout"] = json!(format!("{}ms", TIMEOUT.as_millis()));
    lookups["target_latency"] = json!("1000ms");
    lookups["max_attempts"] = json!(3);
    store.put("op/config", &routes);
    let servers = (0..SERVERS).map(|number| {
        let id = format!("server-{number}");
        let server = ServerStandin::spawn(&id, false);
        let listed = entry(&server, POOLED, "ready");
        store.put(&format!("servers/{id}"), &listed);
        server
    });
    let servers = servers.collect();
    let vms = (0..size.vms).map(|number| {
        NodeProcess::spawn(&format!("vm-{number}"), store.address)
    });
    let vms: Vec<NodeProcess> = vms.collect();
    SeriesFleet {
        servers,
        addresses: vms.iter().map(|vm| vm.traffic).collect(),
        vms: vms.into_iter().map(Mutex::new).collect(),
        is_over: AtomicBool::new(false),
        lookups: AtomicU64::new(0),
        responses: AtomicU64::new(0),
        violations: Mutex::default(),
    }
}

/// Stops a VM and starts it again; a second stop waits for the first one.
async fn stop(fleet: Arc<SeriesFleet>, vm: usize) {
    let mut vm = fleet.vms[vm].lock().await;
    vm.signal(Signal::TERM);
    vm.wait_for_exit().await;
    vm.restart();
}

/// Varies the work of lookups; some of it is longer than the target latency.
async fn vary_pace(fleet: Arc<SeriesFleet>, mut rng: StdRng) {
    while !fleet.is_over.load(Ordering::Relaxed) {
        for server in &fleet.servers {
            let millis = if rng.random_ratio(1, 8) {
                1_500
            } else {
                rng.random_range(150..450)
            };
            let work = Duration::from_millis(millis);
            server.set_behavior(ServerBehavior::Responds(work));
        }
        sleep(PACE_TIME).await;
    }
}

async fn run_caller(fleet: Arc<SeriesFleet>, caller: usize) {
    let keeps = caller.is_multiple_of(2);
    let http = Client::builder().no_proxy();
    let http = http.pool_max_idle_per_host(usize::from(keeps));
    let http = http.build().expect("client builds");
    while !fleet.is_over.load(Ordering::Relaxed) {
        let vm = rand::random_range(0..fleet.vms.len());
        send_lookup(&fleet, &http, vm).await;
        sleep(Duration::from_millis(10)).await;
    }
}

async fn send_lookup(fleet: &SeriesFleet, http: &Client, vm: usize) {
    let number = fleet.lookups.fetch_add(1, Ordering::Relaxed);
    let attempt = format!("lookup-{number}");
    let traffic = fleet.addresses[vm];
    let sent_at = Instant::now();
    let request = http
        .get(format!("http://{traffic}/list/all"))
        .header("Host", "shop.example")
        .header("X-Attempt-Id", &attempt)
        .header("X-Deadline-Ms", "4000");
    let ended = match request.send().await {
        Ok(response)
            if response.headers().contains_key("x-response-stamp") =>
        {
            match response.bytes().await {
                Ok(_whole) => {
                    fleet.responses.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                Err(error) => format!("{error:?}"),
            }
        }
        Ok(response) => format!("own response {}", response.status()),
        Err(error) => format!("{error:?}"),
    };
    let took = sent_at.elapsed();
    let runs = fleet.servers.iter().map(|s| s.executions_of(&attempt));
    let runs: u32 = runs.sum();
    if runs > 0 && took < TIMEOUT {
        let ms = took.as_millis();
        let what = format!("{attempt}: {ended} after {ms} ms, runs {runs}");
        fleet.violations.lock().await.push(what);
    }
}
