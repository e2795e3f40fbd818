//! What a steward measures of its failure domain.

use std::sync::atomic::AtomicU64;

use goldcrestramp_types::{ServiceName, TimeSpan};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
};

use super::book::MetricBook;
use crate::control::MoveTally;

/// The label of all of it.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub(super) struct ServiceLabel {
    /// The service.
    pub service: String,
}

type RatioGauge = Gauge<f64, AtomicU64>;
type SecondsCounter = Counter<f64, AtomicU64>;

/// Imbalance, churn and unavailable time.
#[derive(Debug, Default)]
pub(super) struct DomainMetrics {
    imbalance: Family<ServiceLabel, RatioGauge>,
    moved: Family<ServiceLabel, Counter>,
    needless: Family<ServiceLabel, Counter>,
    unserved: Family<ServiceLabel, Gauge>,
    unserved_seconds: Family<ServiceLabel, SecondsCounter>,
}

impl DomainMetrics {
    pub(super) fn register(&self, registry: &mut MetricBook) {
        registry.register(
            "imbalance",
            "Slot time of the busiest server over the mean, by service",
            self.imbalance.clone(),
        );
        registry.register(
            "slices_moved",
            "Slices that came to another server, by service",
            self.moved.clone(),
        );
        registry.register(
            "slices_moved_needless",
            "Slices that went back to a server that could have kept them",
            self.needless.clone(),
        );
        registry.register(
            "slices_unserved",
            "Slices of this domain that no server surely serves, by service",
            self.unserved.clone(),
        );
        registry.register(
            "unserved_slice_seconds",
            "Unserved slices times seconds, by service",
            self.unserved_seconds.clone(),
        );
    }

    /// Shows how evenly a service's servers work in this failure domain.
    pub(super) fn set_imbalance(&self, service: &ServiceName, ratio: f64) {
        self.imbalance.get_or_create(&of(service)).set(ratio);
    }

    /// Shows nothing more of a failure domain whose steward is elsewhere;
    /// the counters stay.
    pub(super) fn forget_domain(&self) {
        self.imbalance.clear();
        self.unserved.clear();
    }

    /// Counts slices that came to another server.
    pub(super) fn count_moves(&self, service: &ServiceName, tally: MoveTally) {
        let label = of(service);
        self.moved.get_or_create(&label).inc_by(tally.moved);
        self.needless.get_or_create(&label).inc_by(tally.needless);
    }

    /// Counts slices that are not served, and for how long.
    pub(super) fn count_unserved(
        &self,
        service: &ServiceName,
        slices: usize,
        span: TimeSpan,
    ) {
        let label = of(service);
        let count = i64::try_from(slices).unwrap_or(i64::MAX);
        self.unserved.get_or_create(&label).set(count);
        let slices = f64::from(u32::try_from(slices).unwrap_or(u32::MAX));
        let seconds = slices * span.to_std().as_secs_f64();
        self.unserved_seconds.get_or_create(&label).inc_by(seconds);
    }
}

fn of(service: &ServiceName) -> ServiceLabel {
    ServiceLabel { service: service.to_string() }
}
