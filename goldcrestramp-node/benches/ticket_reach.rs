//! How soon a ticket is in force on every node, and what it costs.
//!
//! `cargo bench -p goldcrestramp-node --bench ticket_reach -- 10 40 160`
//! runs so many daemons in this process, in ten failure domains, four below
//! 100 nodes, applies tickets one after another at one of them and prints
//! the time from the acceptance until the last node has each in force. It
//! does so with a small configuration and with a large one. Bytes are those
//! of the streams between nodes; calls to the store are counted against as
//! long a time without tickets.

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

/// Failure domains at the size that is aimed for, and of a user today.
const DOMAINS: [usize; 2] = [10, 4];
/// Nodes from which on there are as many domains as are aimed for.
const MANY_NODES: usize = 100;
/// Callers of the large configuration, about half of what is allowed.
const CALLERS: usize = 9_000;
/// Nothing moves any more when no table was sent for so long.
const QUIET: Duration = Duration::from_secs(4);
/// Time to elect, place and settle, at most.
const SETTLE: Duration = Duration::from_secs(90);
/// Tickets that are applied.
const TICKETS: u64 = 20;
/// Time from ticket to ticket, so that each is alone.
const PAUSE: Duration = Duration::from_millis(500);
/// How often the nodes are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(1);
/// A ticket that is not everywhere by then is printed as late.
const LIMIT: Duration = Duration::from_secs(30);

fn main() {
    let sizes: Vec<usize> =
        std::env::args().filter_map(|arg| arg.parse().ok()).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .thread_name("traffic")
        .enable_all()
        .build()
        .expect("a runtime");
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
    let domains = DOMAINS[usize::from(nodes < MANY_NODES)];
    let nodes_a_domain = nodes.div_ceil(domains);
    let size = DeploymentSize { nodes, nodes_a_domain, callers };
    let mut deployment = BenchDeployment::open(size).await;
    deployment.start_nodes(size).await;
    settle(&deployment.nodes).await;
    let mut reach = TicketReach::new(&deployment.nodes);
    let quiet = CallSample::take(&deployment.nodes);
    let started = Instant::now();
    tokio::time::sleep(PAUSE * u32::try_from(TICKETS).expect("few")).await;
    let before = CallSample::take(&deployment.nodes);
    let bytes = table_bytes(&deployment.nodes);
    let idle = started.elapsed();
    let started = Instant::now();
    for number in 1..=TICKETS {
        reach.apply(number).await;
        tokio::time::sleep(PAUSE).await;
    }
    let stretch = started.elapsed().as_secs_f64() / idle.as_secs_f64();
    let after = CallSample::take(&deployment.nodes);
    let calls = after.since(&before).less(&before.since(&quiet), stretch);
    let bytes = table_bytes(&deployment.nodes)
        .iter()
        .zip(&bytes)
        .map(|(after, before)| after - before)
        .collect::<Vec<_>>();
    let config = deployment.nodes[0].status().await.expect("running").config;
    let config = serde_json::to_vec(&config).expect("JSON").len();
    print_reach(size, config, &reach, &bytes, calls);
}

/// Waits until no table changes.
async fn settle(nodes: &[NodeHandle]) {
    let until = Instant::now() + SETTLE;
    let mut last = Vec::new();
    while Instant::now() < until {
        tokio::time::sleep(QUIET).await;
        let bytes = table_bytes(nodes);
        let served = bytes.iter().all(|bytes| *bytes > 0);
        if served && bytes == last {
            return;
        }
        last = bytes;
    }
    println!("not settled: {last:?} bytes of tables");
    for node in nodes {
        let status = node.status().await.expect("running");
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
    let most = bytes.iter().copied().max().unwrap_or(0) as f64;
    println!(
        "{:5}  {:7}  {:9}  {:6.1}  {:6.1}  {:13.1}  {:23.0}  {:9.0}  \
         {:12.1}  {:13.1}  {:14.1}",
        size.nodes,
        size.nodes.div_ceil(size.nodes_a_domain),
        config / 1_000,
        middle(&reach.spans),
        reach.spans.iter().copied().fold(0.0, f64::max),
        middle(&reach.accepts),
        mean / tickets,
        most / tickets,
        calls.reads / tickets,
        calls.writes / tickets,
        calls.watches / tickets,
    );
}

/// Applies tickets and takes their times, in milliseconds.
struct TicketReach<'a> {
    nodes: &'a [NodeHandle],
    http: reqwest::Client,
    /// From the question to the acceptance.
    accepts: Vec<f64>,
    /// From the acceptance until it is in force on the last node.
    spans: Vec<f64>,
}

impl<'a> TicketReach<'a> {
    fn new(nodes: &'a [NodeHandle]) -> Self {
        let http = reqwest::Client::new();
        Self { nodes, http, accepts: Vec::new(), spans: Vec::new() }
    }

    async fn apply(&mut self, number: u64) {
        let place = usize::try_from(number).expect("few") * 7;
        let node = &self.nodes[place % self.nodes.len()];
        let ticket = json!({
            "ticket": number,
            "callers": [{ "name": "caller-000001", "weight": number }],
        });
        let url = format!("http://{}/tickets", node.addresses().operators);
        let asked = Instant::now();
        let answer = self
            .http
            .post(url)
            .header("content-type", "application/json")
            .body(ticket.to_string())
            .send()
            .await
            .expect("an answer");
        let answer: TicketAnswer = answer.json().await.expect("JSON");
        let Some(version) = answer.version else {
            panic!("ticket {number}: {answer}");
        };
        let accepted = Instant::now();
        while accepted.elapsed() < LIMIT && !self.is_in_force(version) {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        let millis = |span: Duration| span.as_secs_f64() * 1_000.0;
        self.accepts.push(millis(accepted - asked));
        self.spans.push(millis(accepted.elapsed()));
    }

    fn is_in_force(&self, version: u64) -> bool {
        let has = |node: &NodeHandle| {
            node.context().metrics.config_version() >= version
        };
        self.nodes.iter().all(has)
    }
}

/// Calls to the store so far, of all nodes.
struct CallSample {
    counts: [u64; 3],
}

/// Calls to the store in a time, of all nodes.
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
    fn less(self, idle: &Self, stretch: f64) -> Self {
        Self {
            reads: self.reads - idle.reads * stretch,
            writes: self.writes - idle.writes * stretch,
            watches: self.watches - idle.watches * stretch,
        }
    }
}

fn table_bytes(nodes: &[NodeHandle]) -> Vec<u64> {
    let bytes =
        |node: &NodeHandle| node.context().metrics.control_bytes("table");
    nodes.iter().map(bytes).collect()
}

fn middle(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
