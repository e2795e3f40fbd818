//! Operators read of each metric on the operations page, and find each that
//! the page names.

use std::collections::BTreeSet;

use goldcrestramp_entry::metrics::EntryMetrics;
use goldcrestramp_types::TimeSpan;

const PAGE: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/OPERATIONS.md");

/// The names in the page's table, as the page gives them.
fn documented() -> BTreeSet<String> {
    let page = std::fs::read_to_string(PAGE).expect("the page");
    let rows = page.lines().filter(|line| line.starts_with("| `goldcrestr"));
    let quoted = rows.flat_map(|row| {
        let first = row.split('|').nth(1).expect("a cell").to_owned();
        let names = first.split('`').skip(1).step_by(2);
        names.map(str::to_owned).collect::<Vec<_>>()
    });
    quoted
        .map(|name| {
            let name = name.split('{').next().expect("a name");
            name.trim_end_matches("_total").to_owned()
        })
        .collect()
}

/// The names that are served once something of each kind has happened.
fn served() -> BTreeSet<String> {
    let metrics = EntryMetrics::default();
    metrics.ended("answered");
    metrics.sent("answered");
    metrics.news("peer");
    metrics.took("stock", "whole", TimeSpan::from_millis(5));
    let text = metrics.text();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types.filter_map(|line| Some(line.split_once(' ')?.0.to_owned())).collect()
}

#[test]
fn the_page_names_what_is_served_and_nothing_else() {
    assert_eq!(documented(), served());
}
