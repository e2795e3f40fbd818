//! The registry with a list of what is in it.

use prometheus_client::registry::{Metric, Registry};

/// The registry, and the names in it.
#[derive(Debug)]
pub(super) struct MetricBook {
    pub(super) registry: Registry,
    pub(super) names: Vec<&'static str>,
}

impl Default for MetricBook {
    fn default() -> Self {
        let registry = Registry::with_prefix("goldcrestramp");
        Self { registry, names: Vec::new() }
    }
}

impl MetricBook {
    /// Registers a metric; counters get `_total` after the name.
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
