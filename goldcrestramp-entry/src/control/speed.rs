//! Estimates the work per request of a service's servers.

use std::sync::Arc;

use goldcrestramp_adapter::ServerEntry;
use goldcrestramp_decisions::WorkEstimate;
use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

use crate::control::load::ResponseTotals;

/// The assumed work per request until servers have responded, in seconds.
const INITIAL_WORK_S: f32 = 0.1;

/// A server that has just started takes about twice the time.
const COLD_FACTOR: f32 = 2.0;

/// The estimate for one server.
#[derive(Debug)]
struct ServerSpeed {
    estimate: WorkEstimate,
    /// The estimate at its last decay, in seconds. It is computed once per
    /// rebalancing round and read with each plan.
    work_s: Option<f32>,
}

/// The estimates for the servers of a service, by server id.
#[derive(Debug, Default)]
pub(crate) struct SpeedEstimates(FastMap<Arc<str>, ServerSpeed>);

impl SpeedEstimates {
    /// Records the responses of a server.
    pub(crate) fn record(
        &mut self,
        now: LocalTime,
        server: &Arc<str>,
        totals: ResponseTotals,
    ) {
        let unknown =
            || ServerSpeed { estimate: WorkEstimate::open(now), work_s: None };
        let speed = self.0.entry(Arc::clone(server)).or_insert_with(unknown);
        let span = TimeSpan::from_millis(u64::from(totals.millis));
        speed.estimate.record(totals.responses, span.to_std().as_secs_f32());
    }

    /// Updates the estimates from the recorded responses, and removes servers
    /// that are no longer ready.
    pub(crate) fn decay(
        &mut self,
        now: LocalTime,
        ready: &[Arc<ServerEntry>],
    ) {
        let mut known = std::mem::take(&mut self.0);
        for entry in ready {
            let Some(mut speed) = known.remove(&entry.id) else { continue };
            speed.estimate.decay(now);
            speed.work_s = speed.estimate.seconds(entry.slots);
            self.0.insert(Arc::clone(&entry.id), speed);
        }
    }

    /// The median work of the servers per request, in seconds.
    pub(crate) fn typical_work_s(&self, ready: &[Arc<ServerEntry>]) -> f32 {
        let known = ready.iter().filter_map(|entry| self.known_work_s(entry));
        let mut sorted: Vec<f32> = known.collect();
        sorted.sort_by(f32::total_cmp);
        sorted.get(sorted.len() / 2).copied().unwrap_or(INITIAL_WORK_S)
    }

    /// The work of a server per request, in seconds. `typical` is used where
    /// there is no estimate.
    pub(crate) fn work_s(&self, entry: &ServerEntry, typical: f32) -> f32 {
        let work = self.known_work_s(entry);
        if entry.warmup_remaining > TimeSpan::ZERO {
            return work.unwrap_or(0.0).max(typical * COLD_FACTOR);
        }
        work.unwrap_or(typical)
    }

    /// The work of a server per request by its own responses, in seconds.
    pub(crate) fn known_work_s(&self, entry: &ServerEntry) -> Option<f32> {
        self.0.get(&entry.id)?.work_s
    }
}
