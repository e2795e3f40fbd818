//! Compares two saved runs.

use std::{collections::BTreeSet, fmt::Write};

use crate::load::report::LoadReport;

/// Formats the figures of two runs as a table for people.
#[must_use]
pub fn compare_reports(before: &LoadReport, after: &LoadReport) -> String {
    let mut table = String::new();
    let title = ["figure", "before", "after", "change"];
    line(&mut table, title[0], title[1], title[2], title[3]);
    let share = |report: &LoadReport| report.done_share() * 100.0;
    row(&mut table, "done, %", share(before), share(after));
    for (name, sum) in [("not run", true), ("unknown", false)] {
        let count = |report: &LoadReport| {
            let by_reason =
                if sum { &report.not_run } else { &report.unknown };
            to_float(by_reason.values().sum())
        };
        row(&mut table, name, count(before), count(after));
    }
    let services: BTreeSet<&String> =
        before.latency_ms.keys().chain(after.latency_ms.keys()).collect();
    for service in services {
        let [old, new] = [before, after].map(|report| {
            report.latency_ms.get(service).copied().unwrap_or_default()
        });
        row(&mut table, &format!("{service} p50, ms"), old.p50, new.p50);
        row(&mut table, &format!("{service} p99, ms"), old.p99, new.p99);
        row(&mut table, &format!("{service} max, ms"), old.max, new.max);
    }
    table
}

fn row(table: &mut String, name: &str, before: f64, after: f64) {
    let change = if before == 0.0 {
        "-".to_owned()
    } else {
        format!("{:+.1}%", (after / before - 1.0) * 100.0)
    };
    let [before, after] = [before, after].map(|value| format!("{value:.2}"));
    line(table, name, &before, &after, &change);
}

fn line(table: &mut String, name: &str, one: &str, two: &str, three: &str) {
    // Writing to a `String` cannot fail.
    let _written = writeln!(table, "{name:32} {one:>12} {two:>12} {three:>9}");
}

#[expect(clippy::cast_precision_loss, reason = "counts of one run are small")]
const fn to_float(count: u64) -> f64 {
    count as f64
}
