//! The daemon's metrics, with a counter for each reason of a refusal or
//! retry.

mod domain;
mod registry;

use std::sync::{Mutex, PoisonError, atomic::Ordering};

use goldcrestramp_decisions::LinkVolume;
use goldcrestramp_platform::{CallCounts, CallKind};
use goldcrestramp_types::{
    CallerName, NotRunReason, RetryReason, ServiceName, TimeSpan,
    UnknownReason,
};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
};

use self::{domain::DomainMetrics, registry::MetricRegistry};
use crate::control::MoveTally;

/// The label of a counter by reason, kind or outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The stable code of the reason, kind or outcome.
    pub reason: &'static str,
}

/// The label of the bytes sent to another region.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct LinkLabel {
    /// The service that sent the response.
    pub service: String,
    /// The caller; empty for callers beyond the bound of [`LinkVolume`].
    pub caller: String,
}

/// The metrics of one daemon.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: MetricRegistry,
    done: Counter,
    cut: Counter,
    not_run: Family<ReasonLabel, Counter>,
    unknown: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    operators_refused: Family<ReasonLabel, Counter>,
    store_calls: Family<ReasonLabel, Counter>,
    control_messages: Family<ReasonLabel, Counter>,
    control_bytes: Family<ReasonLabel, Counter>,
    leading: Gauge,
    config_version: Gauge,
    link_bytes: Family<LinkLabel, Counter>,
    domain: DomainMetrics,
    /// Bounds the number of labels of `link_bytes`.
    link_volume: Mutex<LinkVolume>,
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: MetricRegistry::default(),
            done: Counter::default(),
            cut: Counter::default(),
            not_run: Family::default(),
            unknown: Family::default(),
            retries: Family::default(),
            operators_refused: Family::default(),
            store_calls: Family::default(),
            control_messages: Family::default(),
            control_bytes: Family::default(),
            leading: Gauge::default(),
            config_version: Gauge::default(),
            link_bytes: Family::default(),
            domain: DomainMetrics::default(),
            link_volume: Mutex::default(),
        };
        metrics.register();
        metrics.domain.register(&mut metrics.registry);
        metrics
    }
}

impl NodeMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests_done",
            "Requests that got their whole answer",
            self.done.clone(),
        );
        registry.register(
            "answers_broken_off",
            "Answers that were broken off after they had begun",
            self.cut.clone(),
        );
        registry.register(
            "requests_not_run",
            "Requests refused before they ran, by reason",
            self.not_run.clone(),
        );
        registry.register(
            "requests_unknown",
            "Requests that may have run, by reason",
            self.unknown.clone(),
        );
        registry.register(
            "retries",
            "Requests sent again or elsewhere, by reason",
            self.retries.clone(),
        );
        registry.register(
            "operators_refused",
            "Requests of operators that were refused, by reason",
            self.operators_refused.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the platform, by kind",
            self.store_calls.clone(),
        );
        registry.register(
            "control_messages",
            "Control messages sent and received, by kind",
            self.control_messages.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes of control messages, without framing, by kind",
            self.control_bytes.clone(),
        );
        registry.register(
            "steward_leading",
            "1 while this VM is its failure domain's steward",
            self.leading.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force here; 0: none yet",
            self.config_version.clone(),
        );
        registry.register(
            "link_bytes",
            "Bytes of answers sent to other regions, by service and caller",
            self.link_bytes.clone(),
        );
    }

    /// Counts a request that received its complete response.
    pub fn count_done(&self) {
        self.done.inc();
    }

    /// Counts a response that was truncated.
    pub fn count_cut(&self) {
        self.cut.inc();
    }

    /// Counts a request that did not run.
    pub fn count_not_run(&self, reason: NotRunReason) {
        self.not_run.get_or_create(&label(reason.code())).inc();
    }

    /// Counts a request that may have run.
    pub fn count_unknown(&self, reason: UnknownReason) {
        self.unknown.get_or_create(&label(reason.code())).inc();
    }

    /// Counts a retry by its reason.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.get_or_create(&label(reason.code())).inc();
    }

    /// Counts a refused request of an operator, by its code.
    pub fn count_operator_refusal(&self, reason: &'static str) {
        self.operators_refused.get_or_create(&label(reason)).inc();
    }

    /// The number of requests that did not run, for each reason that
    /// occurred.
    pub fn not_run_counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let codes = NotRunReason::ALL.iter().map(|reason| reason.code());
        counts(&self.not_run, codes)
    }

    /// The number of requests that may have run, for each reason that
    /// occurred.
    pub fn unknown_counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let codes = UnknownReason::ALL.iter().map(|reason| reason.code());
        counts(&self.unknown, codes)
    }

    /// The number of retries, for each reason that occurred.
    pub fn retry_counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let codes = RetryReason::ALL.iter().map(|reason| reason.code());
        counts(&self.retries, codes)
    }

    /// Sets the counters of calls to the platform to these totals.
    pub fn show_store_calls(&self, counts: &CallCounts) {
        for kind in CallKind::ALL {
            let counter = self.store_calls.get_or_create(&label(kind.code()));
            counter.inner().store(counts.get(kind), Ordering::Relaxed);
        }
    }

    /// Counts a control message of this kind and size, sent or received.
    pub fn count_control(&self, kind: &'static str, bytes: usize) {
        self.control_messages.get_or_create(&label(kind)).inc();
        let counter = self.control_bytes.get_or_create(&label(kind));
        counter.inc_by(bytes as u64);
    }

    /// The bytes of control messages of this kind, sent and received.
    #[must_use]
    pub fn control_bytes(&self, kind: &'static str) -> u64 {
        self.control_bytes.get_or_create(&label(kind)).get()
    }

    /// The number of control messages of this kind, sent and received.
    #[must_use]
    pub fn control_messages(&self, kind: &'static str) -> u64 {
        self.control_messages.get_or_create(&label(kind)).get()
    }

    /// Counts bytes of a response that were sent to another region.
    pub fn count_link(
        &self,
        service: &ServiceName,
        caller: &CallerName,
        bytes: u64,
    ) {
        let volume = self.link_volume.lock();
        let has_own_label = volume
            .unwrap_or_else(PoisonError::into_inner)
            .add(service, caller, bytes);
        let caller = if has_own_label { caller.as_str() } else { "" };
        let service = service.to_string();
        let label = LinkLabel { service, caller: caller.to_owned() };
        self.link_bytes.get_or_create(&label).inc_by(bytes);
    }

    /// Sets the load of a service's busiest server in this failure domain
    /// over the mean.
    pub fn set_imbalance(&self, service: &ServiceName, ratio: f64) {
        self.domain.set_imbalance(service, ratio);
    }

    /// Removes the gauges of the failure domain, because another VM is the
    /// steward now. The counters stay.
    pub fn clear_domain(&self) {
        self.domain.clear_domain();
    }

    /// Adds slices that moved to another server.
    pub fn count_moves(&self, service: &ServiceName, tally: MoveTally) {
        self.domain.count_moves(service, tally);
    }

    /// Sets the number of unserved slices, and adds it times `span` to
    /// their total.
    pub fn count_unserved(
        &self,
        service: &ServiceName,
        slices: usize,
        span: TimeSpan,
    ) {
        self.domain.count_unserved(service, slices, span);
    }

    /// Sets whether this VM is the steward.
    pub fn set_leading(&self, leading: bool) {
        self.leading.set(i64::from(leading));
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// The version of the configuration in force, or 0 if there is none yet.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        u64::try_from(self.config_version.get()).unwrap_or(0)
    }

    /// The names of all metrics, without the prefix and `_total`.
    #[must_use]
    pub fn names(&self) -> &[&'static str] {
        &self.registry.names
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns [`std::fmt::Error`] if a metric cannot be written as text.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry.registry)?;
        Ok(text)
    }
}

const fn label(reason: &'static str) -> ReasonLabel {
    ReasonLabel { reason }
}

fn counts(
    family: &Family<ReasonLabel, Counter>,
    codes: impl Iterator<Item = &'static str>,
) -> impl Iterator<Item = (&'static str, u64)> {
    codes.filter_map(|code| {
        let counter = family.get(&label(code))?;
        Some((code, counter.get()))
    })
}
