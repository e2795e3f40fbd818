//! The figures that a demo reports.

use std::{collections::BTreeMap, fmt::Write};

use goldcrestramp_standins::{
    checker::{GuaranteeViolations, MoveCount, UnavailableTime},
    load::LatencyFigures,
    platform::CallTally,
};
use serde::Serialize;

/// The figures of a demo, which are printed as a line of JSON.
///
/// The first five figures after `unknown` count violated guarantees: each must
/// be 0.
#[derive(Clone, Debug, Serialize)]
pub(super) struct DemoFigures {
    /// Attempts of callers, resends included.
    pub(super) requests: u64,
    /// Attempts that received a complete response.
    pub(super) done: u64,
    /// Attempts that ended with "not run", by reason.
    pub(super) not_run: BTreeMap<String, u64>,
    /// Attempts with an unknown outcome.
    pub(super) unknown: u64,
    /// Attempts with an unknown outcome, by reason.
    pub(super) unknown_reasons: BTreeMap<String, u64>,
    /// The counts of violated guarantees.
    #[serde(flatten)]
    pub(super) promises: GuaranteeViolations,
    /// Keys whose history no single owner could have produced.
    pub(super) unlinearizable_keys: u64,
    /// How long keys were unavailable, in milliseconds: the longest gap of one
    /// key, and the sum over all keys.
    pub(super) unavailable_ms: UnavailableTime,
    /// The slices that moved between servers, and how many of these moves were
    /// needless.
    pub(super) churn: MoveCount,
    /// The work of a service's busiest server divided by the mean of its
    /// servers, maximized over all services; 1 is perfectly even.
    pub(super) imbalance: f64,
    /// Latencies by service, in milliseconds.
    pub(super) latency_ms: BTreeMap<String, LatencyFigures>,
    /// Calls that the platform accepted, by kind.
    pub(super) store_calls: CallTally,
    /// CPU time of all control threads, in milliseconds.
    pub(super) control_cpu_ms: u64,
}

impl DemoFigures {
    /// Whether no guarantee was violated.
    pub(super) fn is_clean(&self) -> bool {
        self.promises.is_empty() && self.unlinearizable_keys == 0
    }

    /// Formats the figures as a table for people.
    pub(super) fn table(&self) -> String {
        let mut text = String::new();
        self.write_outcomes(&mut text);
        self.write_violations(&mut text);
        self.write_measures(&mut text);
        text
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    fn write_outcomes(&self, text: &mut String) {
        let share = self.done as f64 * 100.0 / self.requests.max(1) as f64;
        row(text, "requests", &self.requests);
        row(text, "done", &format!("{} ({share:.3}%)", self.done));
        for (reason, count) in &self.not_run {
            row(text, &format!("not run, {reason}"), count);
        }
        for (reason, count) in &self.unknown_reasons {
            row(text, &format!("unknown, {reason}"), count);
        }
    }

    fn write_violations(&self, text: &mut String) {
        let promises = &self.promises;
        row(text, "doubled orders", &promises.doubled);
        row(text, "told \"not run\" but ran", &promises.not_run_but_ran);
        row(text, "overlaps of owners", &promises.owner_overlaps);
        row(text, "wrong answers", &promises.wrong_answers);
        row(text, "cut answers shown as whole", &promises.cut_answers);
        row(text, "keys with a broken history", &self.unlinearizable_keys);
    }

    fn write_measures(&self, text: &mut String) {
        let unavailable = &self.unavailable_ms;
        row(text, "unavailable, longest, ms", &unavailable.longest);
        row(text, "unavailable, all keys, ms", &unavailable.total);
        row(text, "slices moved", &self.churn.moved);
        row(text, "of them needless", &self.churn.needless);
        row(text, "imbalance", &format!("{:.2}", self.imbalance));
        for (service, latency) in &self.latency_ms {
            let figures = format!("{:.1} / {:.1}", latency.p50, latency.p99);
            row(text, &format!("{service}, p50 / p99 ms"), &figures);
        }
        let calls = &self.store_calls;
        let calls = format!(
            "{} reads, {} writes, {} watches, {} lease calls, {} lists",
            calls.reads,
            calls.writes,
            calls.watches,
            calls.leases,
            calls.lists
        );
        row(text, "store calls", &calls);
        row(text, "CPU of control, ms", &self.control_cpu_ms);
    }
}

fn row(text: &mut String, name: &str, value: &dyn std::fmt::Display) {
    // Writing to a `String` cannot fail.
    let _written = writeln!(text, "{name:34} {value}");
}

/// Returns the CPU time of this process's control threads, in milliseconds; 0
/// if the system does not report it.
pub(super) fn control_cpu_ms() -> u64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0;
    };
    let nanos: u64 = tasks
        .flatten()
        .filter(|task| is_control(&task.path()))
        .filter_map(|task| cpu_nanos(&task.path()))
        .sum();
    nanos / 1_000_000
}

fn is_control(task: &std::path::Path) -> bool {
    let name = std::fs::read_to_string(task.join("comm"));
    name.is_ok_and(|name| name.starts_with("control-"))
}

/// Reads the first number of `schedstat`, which is the time on a CPU in
/// nanoseconds.
fn cpu_nanos(task: &std::path::Path) -> Option<u64> {
    let text = std::fs::read_to_string(task.join("schedstat")).ok()?;
    text.split_whitespace().next()?.parse().ok()
}
