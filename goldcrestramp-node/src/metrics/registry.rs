//! A Prometheus registry that lists the names of its metrics.

use prometheus_client::registry::{Metric, Registry};

/// A registry, and the names of its metrics without prefix and suffix.
#[derive(Debug)]
pub(super) struct MetricRegistry {
    pub(super) registry: Registry,
    pub(super) names: Vec<&'static str>,
}

impl Default for MetricRegistry {
    fn default() -> Self {
        let registry = Registry::with_prefix("goldcrestramp");
        Self { registry, names: Vec::new() }
    }
}

impl MetricRegistry {
    /// Registers a metric. The registry adds the suffix `_total` to the
    /// names of counters.
    pub(super) fn register(
        &mut self,
        name: &'static str,
        help: &'static str,
        metric: impl Metric,
    ) {
        self.names.push(name);
        self.registry.register(name, help, metric);
    }
}
