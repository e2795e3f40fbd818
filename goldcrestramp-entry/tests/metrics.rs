//! The operations page documents every metric that is served, and no other.

use std::collections::BTreeSet;

use goldcrestramp_entry::metrics::EntryMetrics;
use goldcrestramp_types::TimeSpan;

const PAGE: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/OPERATIONS.md");

/// The metric names in the page's table, without labels and `_total`.
fn documented() -> BTreeSet<String> {
    let page = std::fs::read_to_string(PAGE).expect("page is readable");
    let rows = page.lines().filter(|line| line.starts_with("| `goldcrestr"));
    let quoted = rows.flat_map(|row| {
        let first = row.split('|').nth(1).expect("row has a cell").to_owned();
        let names = first.split('`').skip(1).step_by(2);
        names.map(str::to_owned).collect::<Vec<_>>()
    });
    quoted
        .map(|name| {
            let name = name.split('{').next().expect("name is not empty");
            name.trim_end_matches("_total").to_owned()
        })
        .collect()
}

/// The metric names that are served, with one value recorded in each family.
fn served() -> BTreeSet<String> {
    let metrics = EntryMetrics::default();
    metrics.record_end("answered");
    metrics.record_attempt("answered");
    metrics.record_connection_end("completed");
    metrics.record_passed("answered");
    metrics.record_denied_retry("idempotent");
    metrics.news("peer");
    metrics.record_time("stock", "whole", TimeSpan::from_millis(5));
    metrics.set_bulk_window("north", 90_000);
    metrics.record_kept_download("window");
    let text = metrics.text();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types.filter_map(|line| Some(line.split_once(' ')?.0.to_owned())).collect()
}

#[test]
fn the_page_documents_exactly_the_served_metrics() {
    assert_eq!(documented(), served());
}
