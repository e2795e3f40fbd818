//! The latency that the router adds to a call, and its calls per core.
//!
//! `cargo bench -p goldcrestramp-node --bench router_cost` runs a daemon, a
//! stand-in server that responds at once and a caller in this process, each
//! on its own threads, and prints:
//!
//! * latency of one lookup at a time, alternating between direct calls to the
//!   server and calls through the router;
//! * calls per second with many in flight, and the CPU time of the daemon's
//!   threads per call.

#![expect(
    clippy::cast_precision_loss,
    reason = "figures are printed to a few digits"
)]

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use goldcrestramp_config::NodeSettings;
use goldcrestramp_node::NodeHandle;
use goldcrestramp_standins::{
    platform::{PlatformStandin, live_entry},
    server::{ServerBehaviour, ServerFaults, ServerStandin, WorkTimes},
};
use goldcrestramp_types::FenceToken;
use goldcrestramp_wire::server::{
    HEADER_CLASS, HEADER_DEADLINE, HEADER_KEY, HEADER_REQUEST, HEADER_SERVICE,
    HEADER_SLICE, HEADER_START_BY, HEADER_TOKEN, encode_token,
};
use serde_json::json;
use tokio::runtime::{Builder, Runtime};

/// The allocator of the daemon; with the system's allocator, a sixth of its
/// CPU time was spent there.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Pairs of a direct and a routed call whose latencies are measured.
const PAIRS: u32 = 2_000;
/// Calls in flight at a time.
const IN_FLIGHT: u32 = 64;
/// Duration of the throughput measurement.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Slots of the stand-in: enough that it is not the bottleneck.
const SLOTS: usize = 256;
/// Name of the daemon's threads, by which they are found in `/proc`.
const ROUTER: &str = "router";
/// Clock ticks per second, the kernel's unit of a thread's CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    let others = runtime("standin", 4);
    let router = runtime(ROUTER, 2);
    let caller = runtime("caller", 4);
    let (platform, server) = others.block_on(start_others());
    let settings = settings(platform.address());
    platform.set_vms(vec![live_entry(&settings)]);
    let node =
        router.block_on(NodeHandle::spawn(settings)).expect("daemon starts");
    let target = CallTarget {
        http: reqwest::Client::new(),
        server: server.address(),
        gateway: node.addresses().callers,
    };
    caller.block_on(target.wait_until_served());
    caller.block_on(print_latencies(&target));
    caller.block_on(print_throughput(&target));
}

fn runtime(name: &str, threads: usize) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    let builder = builder.worker_threads(threads).thread_name(name);
    builder.enable_all().build().expect("runtime starts")
}

async fn start_others() -> (PlatformStandin, ServerStandin) {
    let platform =
        PlatformStandin::bind(loopback()).await.expect("address binds");
    let behaviour = ServerBehaviour {
        slots: SLOTS,
        work: WorkTimes::fixed(0),
        ..ServerBehaviour::default()
    };
    let server = ServerStandin::bind(loopback(), behaviour).await;
    let server = server.expect("address binds");
    // Direct calls have no grant; the server runs them too.
    server.set_faults(ServerFaults {
        ignores_fence: true,
        ..ServerFaults::default()
    });
    put_config(platform.address(), server.address()).await;
    (platform, server)
}

/// The addresses that calls are sent to.
#[derive(Clone)]
struct CallTarget {
    http: reqwest::Client,
    server: SocketAddr,
    gateway: SocketAddr,
}

impl CallTarget {
    async fn wait_until_served(&self) {
        while !self.routed(0).await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends one lookup through the router; returns whether it succeeded.
    async fn routed(&self, number: u32) -> bool {
        let url = format!("http://{}/v1/stock/k{number}", self.gateway);
        let call = self.http.get(url).header("goldcrestramp-caller", "bench");
        read(call).await
    }

    /// Sends the same lookup directly to the server.
    async fn direct(&self, number: u32) -> bool {
        let call = self
            .http
            .post(format!("http://{}/run", self.server))
            .header(HEADER_REQUEST, format!("bench/direct-{number}"))
            .header(HEADER_KEY, format!("k{number}"))
            .header(HEADER_SLICE, 0)
            .header(HEADER_SERVICE, "stock")
            .header(HEADER_TOKEN, encode_token(FenceToken::default()))
            .header(HEADER_START_BY, u64::MAX)
            .header(HEADER_DEADLINE, u64::MAX)
            .header(HEADER_CLASS, "lookup");
        read(call).await
    }
}

async fn read(call: reqwest::RequestBuilder) -> bool {
    let Ok(response) = call.send().await else { return false };
    response.status().is_success() && response.bytes().await.is_ok()
}

async fn print_latencies(target: &CallTarget) {
    let mut direct = Vec::new();
    let mut routed = Vec::new();
    for number in 0..PAIRS {
        let start = Instant::now();
        assert!(target.direct(number).await, "the server responds");
        direct.push(start.elapsed());
        let start = Instant::now();
        assert!(target.routed(number).await, "the router responds");
        routed.push(start.elapsed());
    }
    let (direct, routed) = (Percentiles::of(direct), Percentiles::of(routed));
    println!("latency        p50_us   p99_us");
    println!("direct       {:8.0} {:8.0}", direct.p50, direct.p99);
    println!("routed       {:8.0} {:8.0}", routed.p50, routed.p99);
    let added = (routed.p50 - direct.p50, routed.p99 - direct.p99);
    println!("added        {:8.0} {:8.0}", added.0, added.1);
}

/// Percentiles of latencies, in microseconds.
struct Percentiles {
    p50: f64,
    p99: f64,
}

impl Percentiles {
    fn of(mut latencies: Vec<Duration>) -> Self {
        latencies.sort_unstable();
        let at = |percent: usize| {
            latencies[(latencies.len() - 1) * percent / 100].as_secs_f64()
                * 1e6
        };
        Self { p50: at(50), p99: at(99) }
    }
}

async fn print_throughput(target: &CallTarget) {
    let ticks = router_ticks();
    let start = Instant::now();
    let tasks: Vec<_> = (0..IN_FLIGHT)
        .map(|task| tokio::spawn(call_until(target.clone(), task, start)))
        .collect();
    let mut calls = 0;
    for task in tasks {
        calls += task.await.expect("task does not panic");
    }
    let seconds = start.elapsed().as_secs_f64();
    let cpu = (router_ticks() - ticks) as f64 / TICKS_PER_SECOND;
    let calls = f64::from(calls);
    println!("calls/s      {:8.0}", calls / seconds);
    println!("cores        {:8.2}", cpu / seconds);
    println!("cpu_us/call  {:8.1}", cpu * 1e6 / calls);
    println!("calls/s/core {:8.0}", calls / cpu);
}

/// Sends calls one after another until `LOAD_TIME` has passed; returns how
/// many succeeded.
async fn call_until(target: CallTarget, task: u32, start: Instant) -> u32 {
    let mut calls = 0;
    while start.elapsed() < LOAD_TIME {
        let is_success = target.routed(task * 1_000 + calls % 1_000).await;
        calls += u32::from(is_success);
    }
    calls
}

/// CPU time of the daemon's traffic threads, in clock ticks.
fn router_ticks() -> u64 {
    let tasks = fs::read_dir("/proc/self/task").expect("threads are listed");
    let stats = tasks.flatten().filter_map(|task| {
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        let (name, rest) = stat.split_once(") ")?;
        name.ends_with(&format!("({ROUTER}")).then(|| ticks_of(rest))
    });
    stats.sum()
}

/// User and system time: the 14th and 15th field of `stat`, whose first two
/// are not part of `rest`.
fn ticks_of(rest: &str) -> u64 {
    let fields = rest.split(' ').skip(11).take(2);
    fields.filter_map(|field| field.parse::<u64>().ok()).sum()
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn settings(platform: SocketAddr) -> NodeSettings {
    // A loopback host of this process alone: no connection takes a port
    // before the daemon binds it.
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 64 + (high & 0x3f), low, 9);
    let listeners: [TcpListener; 4] = std::array::from_fn(|_| {
        TcpListener::bind((host, 0)).expect("port is free")
    });
    let listen = listeners
        .each_ref()
        .map(|one| one.local_addr().expect("address binds"));
    let value = json!({
        "deployment": "bench",
        "vm": "vm-0",
        "domain": "sierra-a",
        "region": "sierra",
        "callers_listen": listen[0],
        "peers_listen": listen[1],
        "control_listen": listen[2],
        "platform_url": format!("http://{platform}"),
        "operators": { "listen": listen[3] },
    });
    serde_json::from_value(value).expect("settings are valid")
}

async fn put_config(platform: SocketAddr, server: SocketAddr) {
    let state = json!({
        "version": 1,
        "domains": [{ "name": "sierra-a", "region": "sierra" }],
        "services": [{ "name": "stock", "slices": 1_024 }],
        "servers": [{
            "name": "stock-0",
            "service": "stock",
            "domain": "sierra-a",
            "address": server,
            "slots": SLOTS,
            "connections": 1_000,
            "checks_fence": true,
        }],
    });
    let url = format!("http://{platform}/kv/config");
    let put = reqwest::Client::new().put(url);
    let put = put.header("if-none-match", "*").body(state.to_string());
    let status = put.send().await.expect("request gets a response").status();
    assert!(status.is_success());
}
