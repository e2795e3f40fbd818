//! The results of a load run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::records::{CallEntry, CallOutcome, MachineTime};

/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// The longest latency that is recorded exactly, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Latencies of completed requests, in milliseconds from the intended send
/// time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyFigures {
    /// Half of the requests completed within this (the median).
    pub p50: f64,
    /// 99 of 100 requests completed within this.
    pub p99: f64,
    /// 999 of 1,000 requests completed within this.
    pub p999: f64,
    /// All requests completed within this.
    pub max: f64,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondFigures {
    /// Requests due in this second that completed.
    pub done: u64,
    /// Requests due in this second with another outcome.
    pub other: u64,
    /// The latency of 99 of 100 responses, in milliseconds.
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

/// A complete run, as it is saved.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Attempts, resends included.
    pub requests: u64,
    /// Attempts that received a response.
    pub done: u64,
    /// Attempts that ended with "not run", by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Attempts whose outcome is unknown, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Latencies by service.
    pub latency_ms: BTreeMap<String, LatencyFigures>,
    /// The run second by second.
    pub seconds: Vec<SecondFigures>,
    /// The faults of the run.
    pub faults: Vec<FaultMark>,
}

impl LoadReport {
    /// Summarizes the attempts of a run.
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

    /// The share of attempts that received a response, 0 to 1.
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

/// Groups a run by the second in which requests were due.
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

/// Microseconds from the intended send time to the outcome.
const fn latency(call: &CallEntry) -> u64 {
    call.ended.as_micros().saturating_sub(call.intended.as_micros())
}

/// Creates an empty histogram; values above its maximum are recorded as the
/// maximum.
///
/// # Panics
///
/// Never: the bounds are valid constants.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
        .expect("bounds are valid")
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
