//! What control costs a node, by the number of nodes.
//!
//! `cargo bench -p goldcrestramp-node --bench control_cost -- 10 40 160`
//! runs so many daemons in this process, with two servers each, and prints
//! CPU time of the control threads, messages, bytes and memory a node once
//! the deployment has settled. No requests are sent.

#![expect(
    clippy::cast_precision_loss,
    reason = "rates are printed to a few digits"
)]

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use goldcrestramp_config::NodeSettings;
use goldcrestramp_node::NodeHandle;
use goldcrestramp_platform::{CallKind, VmEntry, VmState};
use goldcrestramp_standins::{
    platform::PlatformStandin,
    server::{ServerBehaviour, ServerStandin},
};
use goldcrestramp_types::{DomainName, RegionName, VmName};
use serde_json::json;

/// Servers for each node, about as many as the users have.
const SERVERS_A_NODE: usize = 2;
/// Nodes in one failure domain at the size that is aimed for.
const NODES_A_DOMAIN: usize = 64;
/// Slices of the one service.
const SLICES: u32 = 65_536;
/// Time to elect, place and settle.
const SETTLE: Duration = Duration::from_secs(12);
/// Time that is measured.
const MEASURE: Duration = Duration::from_secs(10);
/// Clock ticks in a second, as the kernel counts a thread's CPU time.
const TICKS_A_SECOND: f64 = 100.0;
/// Kinds of control messages that are counted.
const KINDS: [&str; 7] = [
    "confirm",
    "confirm-answer",
    "permit",
    "permit-answer",
    "grant",
    "grant-reply",
    "table",
];

fn main() {
    let sizes: Vec<usize> =
        std::env::args().filter_map(|arg| arg.parse().ok()).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .thread_name("traffic")
        .enable_all()
        .build()
        .expect("a runtime");
    println!(
        "nodes  cpu_mean_%  cpu_max_%  msgs/s  bytes/s  max_bytes/s  \
         lo_bytes/s  store_calls/s  rss_kb"
    );
    for size in sizes {
        runtime.block_on(measure(size));
    }
}

/// One reading of everything that is counted.
struct CostSample {
    at: Instant,
    ticks: Vec<u64>,
    bytes: Vec<u64>,
    messages: u64,
    loopback: u64,
    calls: u64,
}

async fn measure(size: usize) {
    let platform = PlatformStandin::bind(loopback()).await.expect("bound");
    let mut servers = Vec::new();
    for _ in 0..size * SERVERS_A_NODE {
        let behaviour = ServerBehaviour::default();
        let server = ServerStandin::bind(loopback(), behaviour).await;
        servers.push(server.expect("bound"));
    }
    let with_servers = resident_kb();
    let addresses: Vec<_> =
        servers.iter().map(ServerStandin::address).collect();
    put_config(platform.address(), size, &addresses).await;
    let all: Vec<_> =
        (0..size).map(|n| settings(n, platform.address())).collect();
    platform.set_vms(all.iter().map(entry).collect());
    let mut nodes = Vec::new();
    for settings in all {
        nodes.push(NodeHandle::spawn(settings).await.expect("started"));
    }
    tokio::time::sleep(SETTLE).await;
    let first = sample(&nodes);
    tokio::time::sleep(MEASURE).await;
    let last = sample(&nodes);
    let resident = resident_kb() - with_servers;
    print_costs(size, &first, &last, resident);
    drop(nodes);
    drop(servers);
}

fn print_costs(
    size: usize,
    first: &CostSample,
    last: &CostSample,
    resident: u64,
) {
    let seconds = last.at.duration_since(first.at).as_secs_f64();
    let rate = |from: u64, to: u64| (to - from) as f64 / seconds;
    let cpu: Vec<f64> = first
        .ticks
        .iter()
        .zip(&last.ticks)
        .map(|(from, to)| rate(*from, *to) / TICKS_A_SECOND * 100.0)
        .collect();
    let bytes: Vec<f64> = first
        .bytes
        .iter()
        .zip(&last.bytes)
        .map(|(from, to)| rate(*from, *to))
        .collect();
    let nodes = size as f64;
    let most = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    println!(
        "{size:5}  {:10.3}  {:9.3}  {:6.1}  {:7.0}  {:11.0}  {:10.0}  \
         {:13.2}  {:6}",
        cpu.iter().sum::<f64>() / nodes,
        most(&cpu),
        rate(first.messages, last.messages) / nodes,
        bytes.iter().sum::<f64>() / nodes,
        most(&bytes),
        2.0 * rate(first.loopback, last.loopback) / nodes,
        rate(first.calls, last.calls),
        resident / size as u64,
    );
}

fn sample(nodes: &[NodeHandle]) -> CostSample {
    let metrics = |node: &NodeHandle| node.context().metrics.control_bytes();
    let messages = nodes.iter().flat_map(|node| {
        KINDS.map(|kind| node.context().metrics.control_messages(kind))
    });
    let calls = nodes.iter().flat_map(|node| {
        CallKind::ALL.map(|kind| node.store_calls().get(kind))
    });
    CostSample {
        at: Instant::now(),
        ticks: control_ticks(),
        bytes: nodes.iter().map(metrics).collect(),
        messages: messages.sum(),
        loopback: loopback_bytes(),
        calls: calls.sum(),
    }
}

/// CPU time of each control thread of this process, in clock ticks.
fn control_ticks() -> Vec<u64> {
    let mut threads: Vec<(u64, u64)> = Vec::new();
    for task in fs::read_dir("/proc/self/task").expect("own threads") {
        let path = task.expect("a thread").path().join("stat");
        let stat = fs::read_to_string(path).unwrap_or_default();
        let Some((head, tail)) = stat.rsplit_once(") ") else {
            continue;
        };
        if !head.contains("(control-") {
            continue;
        }
        let id = head.split(' ').next().and_then(|id| id.parse().ok());
        let fields: Vec<&str> = tail.split(' ').collect();
        let tick = |field: usize| fields[field].parse::<u64>().unwrap_or(0);
        threads.push((id.unwrap_or(0), tick(11) + tick(12)));
    }
    threads.sort_unstable();
    threads.into_iter().map(|(_, ticks)| ticks).collect()
}

/// Bytes that the loopback interface has carried, headers included.
fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|line| line.trim().starts_with("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().nth(1));
    bytes.and_then(|bytes| bytes.parse().ok()).unwrap_or(0)
}

/// Resident memory of this process in KiB.
fn resident_kb() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A node's own loopback address: ports of the common one may be taken by
/// connections at any moment.
fn own_address(node: usize, port: u16) -> SocketAddr {
    let high = u8::try_from(node / 200).expect("below 51,000 nodes");
    let low = u8::try_from(node % 200 + 1).expect("below 201");
    SocketAddr::from((Ipv4Addr::new(127, 77, high, low), port))
}

fn domain_of(number: usize) -> String {
    format!("domain-{}", number / NODES_A_DOMAIN)
}

fn settings(number: usize, platform: SocketAddr) -> NodeSettings {
    let value = json!({
        "deployment": "cost",
        "vm": format!("{number}"),
        "domain": domain_of(number),
        "region": "sierra",
        "callers_listen": own_address(number, 7_001),
        "peers_listen": own_address(number, 7_002),
        "control_listen": own_address(number, 7_003),
        "platform_url": format!("http://{platform}"),
        "operators": { "listen": "127.0.0.1:0" },
    });
    serde_json::from_value(value).expect("settings")
}

fn entry(settings: &NodeSettings) -> VmEntry {
    VmEntry {
        name: VmName::new(settings.vm.as_str()).expect("a name"),
        domain: DomainName::new(settings.domain.as_str()).expect("a name"),
        region: RegionName::new("sierra").expect("a name"),
        address: settings.control_listen.to_string(),
        state: VmState::Live,
    }
}

async fn put_config(
    platform: SocketAddr,
    size: usize,
    servers: &[SocketAddr],
) {
    let servers: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(number, address)| {
            json!({
                "name": format!("server-{number}"),
                "service": "stock",
                "domain": domain_of(number / SERVERS_A_NODE),
                "address": address,
                "slots": 4,
                "connections": 120,
                "checks_fence": true,
            })
        })
        .collect();
    let last = (size - 1) / NODES_A_DOMAIN;
    let domains: Vec<_> = (0..=last)
        .map(|n| json!({ "name": format!("domain-{n}"), "region": "sierra" }))
        .collect();
    let state = json!({
        "version": 1,
        "domains": domains,
        "services": [{ "name": "stock", "slices": SLICES }],
        "servers": servers,
    });
    let url = format!("http://{platform}/kv/config");
    let put = reqwest::Client::new().put(url);
    let put = put.header("if-none-match", "*").body(state.to_string());
    let status = put.send().await.expect("an answer").status();
    assert!(status.is_success(), "{status}");
}
