//! The cost of control per node, by the number of nodes.
//!
//! `cargo bench -p goldcrestramp-node --bench control_cost -- 10 40 160`
//! runs these numbers of daemons in this process, with two servers each, and
//! prints CPU time of the control threads, messages, bytes and memory per node
//! once the deployment is stable. No requests are sent.

#![expect(
    clippy::cast_precision_loss,
    reason = "rates are printed to a few digits"
)]

mod deployment;

use std::{
    fs,
    time::{Duration, Instant},
};

use deployment::{BenchDeployment, DeploymentSize};
use goldcrestramp_node::NodeHandle;
use goldcrestramp_platform::CallKind;

/// Nodes in one failure domain at the target size.
const NODES_PER_DOMAIN: usize = 64;
/// Time for elections and placement until the deployment is stable.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Clock ticks per second, the kernel's unit of a thread's CPU time.
const TICKS_PER_SECOND: f64 = 100.0;
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
        .expect("runtime starts");
    println!(
        "nodes  cpu_mean_%  cpu_max_%  msgs/s  bytes/s  max_bytes/s  \
         lo_bytes/s  store_calls/s  rss_kb"
    );
    for size in sizes {
        runtime.block_on(measure(size));
    }
}

/// A sample of all counters.
struct CostSample {
    at: Instant,
    ticks: Vec<u64>,
    bytes: Vec<u64>,
    messages: u64,
    loopback: u64,
    calls: u64,
}

async fn measure(nodes: usize) {
    let size = DeploymentSize {
        nodes,
        nodes_per_domain: NODES_PER_DOMAIN,
        callers: 0,
    };
    let mut deployment = BenchDeployment::open(size).await;
    let with_servers = resident_kb();
    deployment.start_nodes(size).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let first = sample(&deployment.nodes);
    tokio::time::sleep(MEASURE_TIME).await;
    let last = sample(&deployment.nodes);
    let resident = resident_kb() - with_servers;
    print_costs(nodes, &first, &last, resident);
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
        .map(|(from, to)| rate(*from, *to) / TICKS_PER_SECOND * 100.0)
        .collect();
    let bytes: Vec<f64> = first
        .bytes
        .iter()
        .zip(&last.bytes)
        .map(|(from, to)| rate(*from, *to))
        .collect();
    let nodes = size as f64;
    let maximum = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    println!(
        "{size:5}  {:10.3}  {:9.3}  {:6.1}  {:7.0}  {:11.0}  {:10.0}  \
         {:13.2}  {:6}",
        cpu.iter().sum::<f64>() / nodes,
        maximum(&cpu),
        rate(first.messages, last.messages) / nodes,
        bytes.iter().sum::<f64>() / nodes,
        maximum(&bytes),
        2.0 * rate(first.loopback, last.loopback) / nodes,
        rate(first.calls, last.calls),
        resident / size as u64,
    );
}

fn sample(nodes: &[NodeHandle]) -> CostSample {
    let metrics = |node: &NodeHandle| {
        let metrics = &node.context().metrics;
        KINDS.map(|kind| metrics.control_bytes(kind)).iter().sum()
    };
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
    for task in fs::read_dir("/proc/self/task").expect("threads are listed") {
        let path = task.expect("thread is readable").path().join("stat");
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
