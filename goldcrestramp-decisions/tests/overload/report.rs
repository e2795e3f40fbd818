//! Reports of the responses that the callers of a run received.

use std::{collections::BTreeMap, fmt};

use goldcrestramp_types::TimeSpan;

use crate::simulation::{SimOutcome, SimRequest};

/// A refusal is slow if it takes longer than this after the arrival.
const MAX_REFUSAL_TIME: TimeSpan = TimeSpan::from_millis(5);

/// The totals of a selection of the requests of a run.
#[derive(Default)]
pub(crate) struct RunReport {
    pub(crate) offered: usize,
    /// Responses within the deadline.
    pub(crate) good: usize,
    /// Responses after the deadline.
    pub(crate) late: usize,
    pub(crate) refused: BTreeMap<&'static str, usize>,
    /// Refusals that took more than 5 ms.
    pub(crate) slow_refusals: usize,
    latencies: Vec<TimeSpan>,
}

impl RunReport {
    /// Creates the report of the requests for which `select` holds.
    pub(crate) fn of(
        requests: &[SimRequest],
        outcomes: &[SimOutcome],
        select: impl Fn(&SimRequest) -> bool,
    ) -> Self {
        let mut report = Self::default();
        let pairs = requests.iter().zip(outcomes);
        for (request, outcome) in pairs.filter(|(request, _)| select(request))
        {
            report.record(request, *outcome);
        }
        report.latencies.sort();
        report
    }

    fn record(&mut self, request: &SimRequest, outcome: SimOutcome) {
        self.offered += 1;
        match outcome {
            SimOutcome::Done(time) => {
                self.latencies.push(time.since(request.arrives));
                if time <= request.deadline {
                    self.good += 1;
                } else {
                    self.late += 1;
                }
            }
            SimOutcome::Refused(time, reason) => {
                *self.refused.entry(reason.code()).or_default() += 1;
                let is_slow = time.since(request.arrives) > MAX_REFUSAL_TIME;
                self.slow_refusals += usize::from(is_slow);
            }
        }
    }

    /// The latency in milliseconds that `percent` of the responses did not
    /// exceed.
    pub(crate) fn percentile(&self, percent: usize) -> f64 {
        let last = self.latencies.len().saturating_sub(1);
        let position = last * percent / 100;
        let latency = self.latencies.get(position).copied();
        let micros = latency.unwrap_or(TimeSpan::ZERO).as_micros();
        f64::from(u32::try_from(micros).unwrap_or(u32::MAX)) / 1e3
    }

    pub(crate) fn refusals(&self) -> usize {
        self.refused.values().sum()
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "offered {} good {} late {} p50 {:.1} p99 {:.1} ms, \
             refused {:?} slowly {}",
            self.offered,
            self.good,
            self.late,
            self.percentile(50),
            self.percentile(99),
            self.refused,
            self.slow_refusals,
        )
    }
}
