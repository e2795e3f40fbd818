//! The metrics of a daemon, and that the operators' page documents them.

mod one_node;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use goldcrestramp_node::{MoveMeter, MoveTally, NodeMetrics, OperatorRefusal};
use goldcrestramp_ownership::{DomainTable, ServiceTable, TableServer};
use goldcrestramp_types::{
    DomainName, NotRunReason, RetryReason, ServerName, ServiceName,
    SliceCount, TableVersion, UnknownReason, VmName,
};
use one_node::OneNode;

const PAGE: &str = include_str!("../../docs/OPERATORS.md");
const SLICES: u32 = 4;
/// Longer than any wait in these tests; only a failed test reaches it.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The section of the page about counters.
fn counters_section() -> &'static str {
    let (_, from) = PAGE.split_once("## Counters").expect("section exists");
    from.split_once("\n## ").expect("another section follows").0
}

/// The names in the first column of the table of counters.
fn documented() -> BTreeSet<&'static str> {
    let rows =
        counters_section().lines().filter(|line| line.starts_with("| `"));
    let cells = rows.filter_map(|row| row.split('|').nth(1));
    cells.flat_map(|cell| cell.split('`').skip(1).step_by(2)).collect()
}

// Each counter of the page must be exposed, and each exposed one must be on
// the page with its meaning.
#[test]
fn the_operators_page_names_each_metric_and_no_other() {
    let metrics = NodeMetrics::default();

    let exposed: BTreeSet<&str> = metrics.names().iter().copied().collect();

    assert_eq!(exposed, documented());
}

#[test]
fn the_operators_page_names_each_reason() {
    let not_run = NotRunReason::ALL.iter().map(|reason| reason.code());
    let unknown = UnknownReason::ALL.iter().map(|reason| reason.code());
    let retries = RetryReason::ALL.iter().map(|reason| reason.code());
    let operators = OperatorRefusal::ALL.iter().map(|reason| reason.code());
    let all = not_run.chain(unknown).chain(retries).chain(operators);

    let missing =
        all.filter(|code| !counters_section().contains(&format!("`{code}`")));

    assert_eq!(missing.collect::<Vec<_>>(), Vec::<&str>::new());
}

/// A table in which `owners` are the owners of the slices, in order.
fn table(owners: [Option<&str>; SLICES as usize]) -> DomainTable {
    let mut names: Vec<&str> = owners.into_iter().flatten().collect();
    names.sort_unstable();
    names.dedup();
    let servers = names.iter().map(|name| TableServer {
        server: ServerName::new(name).expect("name is valid"),
        keeper: VmName::new("vm-0").expect("name is valid"),
        address: Arc::from("10.0.0.1:1"),
    });
    let position = |owner: &str| {
        let position = names.iter().position(|name| *name == owner);
        position.and_then(|position| u16::try_from(position).ok())
    };
    let service_table = ServiceTable {
        service: ServiceName::new("stock").expect("name is valid"),
        count: SliceCount::new(SLICES).expect("count is a power of two"),
        servers: servers.collect(),
        owners: owners.iter().map(|owner| position((*owner)?)).collect(),
    };
    DomainTable {
        domain: DomainName::new("sierra-a").expect("name is valid"),
        version: TableVersion::default(),
        services: vec![service_table],
    }
}

/// The moves that are counted for the last of these tables.
fn last_move(tables: &[[Option<&str>; SLICES as usize]]) -> MoveTally {
    let mut meter = MoveMeter::default();
    let tallies = tables.iter().map(|owners| meter.take(&table(*owners))[0].1);
    tallies.last().expect("there is a table")
}

#[test]
fn a_move_is_counted_once_and_needless_when_it_goes_back() {
    let a = Some("a");
    let b = Some("b");
    let initial = [a, a, a, b];
    let tally = |moved, needless| MoveTally { moved, needless };

    assert_eq!(last_move(&[initial]), tally(0, 0));
    assert_eq!(last_move(&[initial, initial]), tally(0, 0));
    assert_eq!(last_move(&[initial, [a, a, b, b]]), tally(1, 0));
    let back = last_move(&[initial, [a, a, b, b], initial]);
    assert_eq!(back, tally(1, 1));
    let gap = last_move(&[initial, [a, a, None, b], [a, a, b, b]]);
    assert_eq!(gap, tally(1, 0), "a slice without an owner between two");
}

// A server that was lost or drained owns no slice for a while. The moves back
// when it returns are not needless: another server had to own its slices
// meanwhile.
#[test]
fn what_a_returning_server_gets_back_is_not_needless() {
    let a = Some("a");
    let b = Some("b");

    let back = last_move(&[[a, a, b, b], [b, b, b, b], [a, a, b, b]]);

    assert_eq!(back, MoveTally { moved: 2, needless: 0 });
}

/// The value of a metric of the service, from the daemon's exposition.
fn value(metrics: &NodeMetrics, name: &str) -> Option<f64> {
    let text = metrics.encode().expect("metrics are encoded");
    let line = format!("goldcrestramp_{name}{{service=\"stock\"}} ");
    let mut lines = text.lines();
    let value = lines.find_map(|l| l.strip_prefix(&line));
    value.and_then(|value| value.parse().ok())
}

// The only server is lost. Once that is detected none of the 64 slices is
// served, and the time counts until a server serves them again.
#[tokio::test]
async fn the_time_without_a_server_is_counted() {
    let one = OneNode::spawn(4, 1).await;
    let unserved = || {
        let metrics = &one.node.context().metrics;
        value(metrics, "slices_unserved")
    };
    let seconds = || {
        let metrics = &one.node.context().metrics;
        value(metrics, "unserved_slice_seconds_total").unwrap_or(0.0)
    };
    wait_until(|| unserved() == Some(0.0)).await;
    let before = seconds();

    one.server.freeze();

    wait_until(|| unserved() == Some(64.0) && seconds() > before).await;
    one.server.thaw();
    wait_until(|| unserved() == Some(0.0)).await;
    let after = seconds();
    tokio::time::sleep(POLL_INTERVAL * 10).await;
    assert!(seconds() <= after, "the time still counts");
}

async fn wait_until(reached: impl Fn() -> bool) {
    let waiting = async {
        while !reached() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, waiting)
        .await
        .expect("condition is met in time");
}
