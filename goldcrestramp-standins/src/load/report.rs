//! What a load run came to.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::records::{CallEntry, CallOutcome, MachineTime};

/// The digits to which latencies are kept.
const LATENCY_DIGITS: u8 = 3;

/// The longest latency that is told apart, in microseconds.
const LATENCY_LIMIT: u64 = 3_600_000_000;

/// Latencies of answered requests, in milliseconds from when the caller
/// meant to send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyFigures {
    /// Half of the requests were answered within this.
    pub p50: f64,
    /// 99 of 100 were.
    pub p99: f64,
    /// 999 of 1,000 were.
    pub p999: f64,
    /// All were.
    pub max: f64,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondFigures {
    /// Requests that were meant to be sent in it and got their answer.
    pub done: u64,
    /// Requests that were meant to be sent in it and got another outcome.
    pub other: u64,
    /// The latency of 99 of 100 answers, in milliseconds.
    pub p99: f64,
}

/// A fault and the second at which it began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultMark {
    /// Its name.
    pub name: String,
    /// Seconds from the start of the run.
    pub second: u64,
}

/// A whole run, as it is saved.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Attempts, resends included.
    pub requests: u64,
    /// Attempts that got their answer.
    pub done: u64,
    /// Attempts that were told "not run", by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Attempts whose outcome was left open, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Latencies by service.
    pub latency_ms: BTreeMap<String, LatencyFigures>,
    /// The run second by second.
    pub seconds: Vec<SecondFigures>,
    /// The faults of the run.
    pub faults: Vec<FaultMark>,
}

impl LoadReport {
    /// Sums up the attempts of a run.
    #[must_use]
    pub fn new(calls: &[CallEntry], faults: Vec<FaultMark>) -> Self {
        let mut report = Self { faults, ..Self::default() };
        let mut latencies: BTreeMap<&str, Histogram<u64>> = BTreeMap::new();
        for call in calls {
            report.count(call);
            if let CallOutcome::Done { .. } = call.outcome {
                let histogram =
                    latencies.entry(&call.service).or_insert_with(histogram);
                histogram.saturating_record(latency(call));
            }
        }
        let figures = latencies.iter();
        report.latency_ms = figures
            .map(|(service, h)| ((*service).to_owned(), figures_of(h)))
            .collect();
        report.seconds = by_second(calls);
        report
    }

    /// The share of attempts that got their answer, 0 to 1.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn done_share(&self) -> f64 {
        self.done as f64 / self.requests.max(1) as f64
    }

    fn count(&mut self, call: &CallEntry) {
        self.requests += 1;
        match &call.outcome {
            CallOutcome::Done { .. } => self.done += 1,
            CallOutcome::NotRun { reason } => {
                *self.not_run.entry(reason.to_string()).or_default() += 1;
            }
            CallOutcome::Unknown { reason } => {
                *self.unknown.entry(reason.to_string()).or_default() += 1;
            }
        }
    }
}

/// Sums the run up by the second in which requests were meant to be sent.
fn by_second(calls: &[CallEntry]) -> Vec<SecondFigures> {
    let start = calls.iter().map(|call| call.intended).min();
    let start = start.unwrap_or_default();
    let mut seconds: Vec<(SecondFigures, Histogram<u64>)> = Vec::new();
    for call in calls {
        let at = second_of(start, call.intended);
        while seconds.len() <= at {
            seconds.push((SecondFigures::default(), histogram()));
        }
        let (figures, latencies) = &mut seconds[at];
        if let CallOutcome::Done { .. } = call.outcome {
            figures.done += 1;
            latencies.saturating_record(latency(call));
        } else {
            figures.other += 1;
        }
    }
    let seconds = seconds.into_iter();
    seconds
        .map(|(figures, h)| SecondFigures {
            p99: quantile(&h, 0.99),
            ..figures
        })
        .collect()
}

fn second_of(start: MachineTime, at: MachineTime) -> usize {
    usize::try_from(at.millis_since(start) / 1_000).unwrap_or(0)
}

/// Microseconds from when a caller meant to send to the outcome.
const fn latency(call: &CallEntry) -> u64 {
    call.ended.as_micros().saturating_sub(call.intended.as_micros())
}

/// An empty histogram; what is above its limit is kept as the limit.
///
/// # Panics
///
/// Never: the bounds are constants that are allowed.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_LIMIT, LATENCY_DIGITS)
        .expect("allowed bounds")
}

fn figures_of(histogram: &Histogram<u64>) -> LatencyFigures {
    LatencyFigures {
        p50: quantile(histogram, 0.5),
        p99: quantile(histogram, 0.99),
        p999: quantile(histogram, 0.999),
        max: quantile(histogram, 1.0),
    }
}

/// A quantile in milliseconds.
#[expect(clippy::cast_precision_loss, reason = "latencies are small")]
fn quantile(histogram: &Histogram<u64>, share: f64) -> f64 {
    histogram.value_at_quantile(share) as f64 / 1_000.0
}
