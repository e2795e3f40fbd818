//! Metrics that a steward exports for its failure domain.

use std::sync::atomic::AtomicU64;

use goldcrestramp_types::{ServiceName, TimeSpan};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
};

use super::registry::MetricRegistry;
use crate::control::MoveTally;

/// The label of the metrics of a failure domain.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub(super) struct ServiceLabel {
    /// The service's name.
    pub service: String,
}

type RatioGauge = Gauge<f64, AtomicU64>;
type SecondsCounter = Counter<f64, AtomicU64>;

/// Load imbalance, moved slices and unserved time, by service.
#[derive(Debug, Default)]
pub(super) struct DomainMetrics {
    imbalance: Family<ServiceLabel, RatioGauge>,
    moved: Family<ServiceLabel, Counter>,
    needless: Family<ServiceLabel, Counter>,
    unserved: Family<ServiceLabel, Gauge>,
    unserved_seconds: Family<ServiceLabel, SecondsCounter>,
}

impl DomainMetrics {
    pub(super) fn register(&self, registry: &mut MetricRegistry) {
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

    /// Sets the load of a service's busiest server in this failure domain
    /// over the mean.
    pub(super) fn set_imbalance(&self, service: &ServiceName, ratio: f64) {
        self.imbalance.get_or_create(&service_label(service)).set(ratio);
    }

    /// Removes the gauges, because another VM is the steward now. The
    /// counters stay.
    pub(super) fn clear_domain(&self) {
        self.imbalance.clear();
        self.unserved.clear();
    }

    /// Adds slices that moved to another server.
    pub(super) fn count_moves(&self, service: &ServiceName, tally: MoveTally) {
        let label = service_label(service);
        self.moved.get_or_create(&label).inc_by(tally.moved);
        self.needless.get_or_create(&label).inc_by(tally.needless);
    }

    /// Sets the number of unserved slices, and adds it times `span` to
    /// their total.
    pub(super) fn count_unserved(
        &self,
        service: &ServiceName,
        slices: usize,
        span: TimeSpan,
    ) {
        let label = service_label(service);
        let count = i64::try_from(slices).unwrap_or(i64::MAX);
        self.unserved.get_or_create(&label).set(count);
        let slices = f64::from(u32::try_from(slices).unwrap_or(u32::MAX));
        let seconds = slices * span.to_std().as_secs_f64();
        self.unserved_seconds.get_or_create(&label).inc_by(seconds);
    }
}

fn service_label(service: &ServiceName) -> ServiceLabel {
    ServiceLabel { service: service.to_string() }
}
