//! What is measured, and that the operators' page names it.

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
/// Longer than anything here takes; only a failed test sees it.
const LIMIT: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(50);

/// The page's part about counters.
fn counters() -> &'static str {
    let (_, from) = PAGE.split_once("## Counters").expect("the part");
    from.split_once("\n## ").expect("a next part").0
}

/// The names in the first column of the table of counters.
fn documented() -> BTreeSet<&'static str> {
    let rows = counters().lines().filter(|line| line.starts_with("| `"));
    let cells = rows.filter_map(|row| row.split('|').nth(1));
    cells.flat_map(|cell| cell.split('`').skip(1).step_by(2)).collect()
}

// An operator who looks for a counter of the page must find it, and must
// find on the page what each exposed one means.
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
        all.filter(|code| !counters().contains(&format!("`{code}`")));

    assert_eq!(missing.collect::<Vec<_>>(), Vec::<&str>::new());
}

/// A table in which slice by slice these servers are the owners.
fn table(owners: [Option<&str>; SLICES as usize]) -> DomainTable {
    let mut names: Vec<&str> = owners.into_iter().flatten().collect();
    names.sort_unstable();
    names.dedup();
    let servers = names.iter().map(|name| TableServer {
        server: ServerName::new(name).expect("a name"),
        keeper: VmName::new("vm-0").expect("a name"),
        address: Arc::from("10.0.0.1:1"),
    });
    let place = |owner: &str| {
        let place = names.iter().position(|name| *name == owner);
        place.and_then(|place| u16::try_from(place).ok())
    };
    let part = ServiceTable {
        service: ServiceName::new("stock").expect("a name"),
        count: SliceCount::new(SLICES).expect("a power of two"),
        servers: servers.collect(),
        owners: owners.iter().map(|owner| place((*owner)?)).collect(),
    };
    DomainTable {
        domain: DomainName::new("sierra-a").expect("a name"),
        version: TableVersion::default(),
        services: vec![part],
    }
}

/// What the last of these tables moved.
fn last_move(tables: &[[Option<&str>; SLICES as usize]]) -> MoveTally {
    let mut meter = MoveMeter::default();
    let tallies = tables.iter().map(|owners| meter.take(&table(*owners))[0].1);
    tallies.last().expect("a table")
}

#[test]
fn a_move_is_counted_once_and_needless_when_it_goes_back() {
    let a = Some("a");
    let b = Some("b");
    let begin = [a, a, a, b];
    let tally = |moved, needless| MoveTally { moved, needless };

    assert_eq!(last_move(&[begin]), tally(0, 0));
    assert_eq!(last_move(&[begin, begin]), tally(0, 0));
    assert_eq!(last_move(&[begin, [a, a, b, b]]), tally(1, 0));
    let back = last_move(&[begin, [a, a, b, b], begin]);
    assert_eq!(back, tally(1, 1));
    let gap = last_move(&[begin, [a, a, None, b], [a, a, b, b]]);
    assert_eq!(gap, tally(1, 0), "a slice between two owners");
}

// A server that was lost or drained has no slice for a while. What it gets
// when it is back is no needless move: somebody had to have it meanwhile.
#[test]
fn what_a_returning_server_gets_back_is_not_needless() {
    let a = Some("a");
    let b = Some("b");

    let back = last_move(&[[a, a, b, b], [b, b, b, b], [a, a, b, b]]);

    assert_eq!(back, MoveTally { moved: 2, needless: 0 });
}

/// The value of a metric of the daemon's own page.
fn value(metrics: &NodeMetrics, name: &str) -> Option<f64> {
    let text = metrics.encode().expect("text");
    let line = format!("goldcrestramp_{name}{{service=\"stock\"}} ");
    let mut lines = text.lines();
    let value = lines.find_map(|l| l.strip_prefix(&line));
    value.and_then(|value| value.parse().ok())
}

// The only server is lost: from when that is noticed none of the 64 slices
// is served, and the time counts until somebody serves them again.
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
    tokio::time::sleep(PAUSE * 10).await;
    assert!(seconds() <= after, "it counts on");
}

async fn wait_until(reached: impl Fn() -> bool) {
    let waiting = async {
        while !reached() {
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(LIMIT, waiting).await.expect("in time");
}
