//! The time until a ticket is in force on every node, and its cost.
//!
//! `cargo bench -p goldcrestramp-node --bench ticket_reach -- 10 40 160`
//! runs these numbers of daemons in this process, in ten failure domains, or
//! in four below 100 nodes. It applies tickets one after another, each at one
//! of the nodes, and prints the time from acceptance until the last node has
//! the ticket in force, with a small configuration and with a large one. Bytes
//! are those of the streams between nodes; calls to the store in an equally
//! long time without tickets are subtracted.

#![expect(
    clippy::cast_precision_loss,
    reason = "rates are printed to a few digits"
)]

mod deployment;

use std::time::{Duration, Instant};

use deployment::{BenchDeployment, DeploymentSize};
use goldcrestramp_node::{NodeHandle, TicketAnswer};
use goldcrestramp_platform::CallKind;
use serde_json::json;

/// Failure domains at the target size, and of a present user.
const DOMAINS: [usize; 2] = [10, 4];
/// Minimum number of nodes for the first of `DOMAINS`.
const MIN_TARGET_NODES: usize = 100;
/// Callers in the large configuration, about half of the allowed maximum.
const CALLERS: usize = 9_000;
/// The deployment is stable when no table was sent for this time.
const QUIET_TIME: Duration = Duration::from_secs(4);
/// Maximum time for elections and placement until the deployment is stable.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(90);
/// Number of tickets that are applied.
const TICKETS: u64 = 20;
/// Pause between tickets, so that their effects do not overlap.
const TICKET_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the nodes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum wait for a ticket; one not in force everywhere by then is counted
/// with this time.
const TIMEOUT: Duration = Duration::from_secs(30);

fn main() {
    let sizes: Vec<usize> =
        std::env::args().filter_map(|arg| arg.parse().ok()).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .thread_name("traffic")
        .enable_all()
        .build()
        .expect("runtime starts");
    println!(
        "nodes  domains  config_kb  p50_ms  max_ms  accept_p50_ms  \
         table_bytes/ticket/node  max_bytes  reads/ticket  writes/ticket  \
         watches/ticket"
    );
    for size in sizes {
        for callers in [0, CALLERS] {
            runtime.block_on(measure(size, callers));
        }
    }
}

async fn measure(nodes: usize, callers: usize) {
    let domains = DOMAINS[usize::from(nodes < MIN_TARGET_NODES)];
    let nodes_per_domain = nodes.div_ceil(domains);
    let size = DeploymentSize { nodes, nodes_per_domain, callers };
    let mut deployment = BenchDeployment::open(size).await;
    deployment.start_nodes(size).await;
    settle(&deployment.nodes).await;
    let mut reach = TicketReach::new(&deployment.nodes);
    let quiet = CallSample::take(&deployment.nodes);
    let started = Instant::now();
    tokio::time::sleep(
        TICKET_INTERVAL * u32::try_from(TICKETS).expect("number is small"),
    )
    .await;
    let before = CallSample::take(&deployment.nodes);
    let bytes = table_bytes(&deployment.nodes);
    let idle = started.elapsed();
    let started = Instant::now();
    for number in 1..=TICKETS {
        reach.apply(number).await;
        tokio::time::sleep(TICKET_INTERVAL).await;
    }
    let scale = started.elapsed().as_secs_f64() / idle.as_secs_f64();
    let after = CallSample::take(&deployment.nodes);
    let calls = after.since(&before).subtract(&before.since(&quiet), scale);
    let bytes = table_bytes(&deployment.nodes)
        .iter()
        .zip(&bytes)
        .map(|(after, before)| after - before)
        .collect::<Vec<_>>();
    let config =
        deployment.nodes[0].status().await.expect("daemon runs").config;
    let config = serde_json::to_vec(&config).expect("JSON is valid").len();
    print_reach(size, config, &reach, &bytes, calls);
}

/// Waits until no table changes; prints the state of the deployment if this
/// takes longer than `MAX_SETTLE_TIME`.
async fn settle(nodes: &[NodeHandle]) {
    let until = Instant::now() + MAX_SETTLE_TIME;
    let mut last = Vec::new();
    while Instant::now() < until {
        tokio::time::sleep(QUIET_TIME).await;
        let bytes = table_bytes(nodes);
        let served = bytes.iter().all(|bytes| *bytes > 0);
        if served && bytes == last {
            return;
        }
        last = bytes;
    }
    println!("not settled: {last:?} bytes of tables");
    for node in nodes {
        let status = node.status().await.expect("daemon runs");
        let steward = status.steward;
        if steward.leading {
            println!(
                "not settled: {}, term {}, {} servers in a move, {} moved",
                node.context().domain(),
                steward.term.number,
                steward.moving,
                steward.moved
            );
        }
    }
}

fn print_reach(
    size: DeploymentSize,
    config: usize,
    reach: &TicketReach<'_>,
    bytes: &[u64],
    calls: CallRates,
) {
    let tickets = TICKETS as f64;
    let mean = bytes.iter().sum::<u64>() as f64 / size.nodes as f64;
    let maximum = bytes.iter().copied().max().unwrap_or(0) as f64;
    println!(
        "{:5}  {:7}  {:9}  {:6.1}  {:6.1}  {:13.1}  {:23.0}  {:9.0}  \
         {:12.1}  {:13.1}  {:14.1}",
        size.nodes,
        size.nodes.div_ceil(size.nodes_per_domain),
        config / 1_000,
        median(&reach.spans),
        reach.spans.iter().copied().fold(0.0, f64::max),
        median(&reach.accepts),
        mean / tickets,
        maximum / tickets,
        calls.reads / tickets,
        calls.writes / tickets,
        calls.watches / tickets,
    );
}

/// Applies tickets and measures their times, in milliseconds.
struct TicketReach<'a> {
    nodes: &'a [NodeHandle],
    http: reqwest::Client,
    /// From the request to the acceptance.
    accepts: Vec<f64>,
    /// From the acceptance until the ticket is in force on the last node.
    spans: Vec<f64>,
}

impl<'a> TicketReach<'a> {
    fn new(nodes: &'a [NodeHandle]) -> Self {
        let http = reqwest::Client::new();
        Self { nodes, http, accepts: Vec::new(), spans: Vec::new() }
    }

    async fn apply(&mut self, number: u64) {
        let index = usize::try_from(number).expect("number is small") * 7;
        let node = &self.nodes[index % self.nodes.len()];
        let ticket = json!({
            "ticket": number,
            "callers": [{ "name": "caller-000001", "weight": number }],
        });
        let url = format!("http://{}/tickets", node.addresses().operators);
        let sent = Instant::now();
        let response = self
            .http
            .post(url)
            .header("content-type", "application/json")
            .body(ticket.to_string())
            .send()
            .await
            .expect("request gets a response");
        let response: TicketAnswer =
            response.json().await.expect("JSON is valid");
        let Some(version) = response.version else {
            panic!("ticket {number}: {response}");
        };
        let accepted = Instant::now();
        while accepted.elapsed() < TIMEOUT && !self.is_in_force(version) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let millis = |span: Duration| span.as_secs_f64() * 1_000.0;
        self.accepts.push(millis(accepted - sent));
        self.spans.push(millis(accepted.elapsed()));
    }

    fn is_in_force(&self, version: u64) -> bool {
        let has = |node: &NodeHandle| {
            node.context().metrics.config_version() >= version
        };
        self.nodes.iter().all(has)
    }
}

/// Total calls of all nodes to the store so far.
struct CallSample {
    counts: [u64; 3],
}

/// Calls of all nodes to the store within an interval.
#[derive(Clone, Copy)]
struct CallRates {
    reads: f64,
    writes: f64,
    watches: f64,
}

impl CallSample {
    fn take(nodes: &[NodeHandle]) -> Self {
        let kinds = [CallKind::Read, CallKind::Write, CallKind::Watch];
        let counts = kinds.map(|kind| {
            nodes.iter().map(|node| node.store_calls().get(kind)).sum()
        });
        Self { counts }
    }

    fn since(&self, before: &Self) -> CallRates {
        let count = |n: usize| (self.counts[n] - before.counts[n]) as f64;
        CallRates { reads: count(0), writes: count(1), watches: count(2) }
    }
}

impl CallRates {
    fn subtract(self, idle: &Self, scale: f64) -> Self {
        Self {
            reads: self.reads - idle.reads * scale,
            writes: self.writes - idle.writes * scale,
            watches: self.watches - idle.watches * scale,
        }
    }
}

fn table_bytes(nodes: &[NodeHandle]) -> Vec<u64> {
    let bytes =
        |node: &NodeHandle| node.context().metrics.control_bytes("table");
    nodes.iter().map(bytes).collect()
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
