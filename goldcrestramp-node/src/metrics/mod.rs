//! Counters, one for each refusal and retry reason.

mod book;
mod domain;

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

use self::{book::MetricBook, domain::DomainMetrics};
use crate::control::MoveTally;

/// The label of a counter that is kept by reason, kind or outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The stable code.
    pub reason: &'static str,
}

/// The label of the bytes that crossed to another region.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct LinkLabel {
    /// The service that answered.
    pub service: String,
    /// The caller; empty for those beyond the bound of the table.
    pub caller: String,
}

/// The counters of one daemon.
#[derive(Debug)]
pub struct NodeMetrics {
    book: MetricBook,
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
    /// Bounds the labels of `link_bytes`.
    link_volume: Mutex<LinkVolume>,
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            book: MetricBook::default(),
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
        metrics.domain.register(&mut metrics.book);
        metrics
    }
}

impl NodeMetrics {
    fn register(&mut self) {
        let registry = &mut self.book;
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

    /// Counts a request that got its whole answer.
    pub fn count_done(&self) {
        self.done.inc();
    }

    /// Counts an answer that was broken off.
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

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.get_or_create(&label(reason.code())).inc();
    }

    /// Counts a request of an operator that was refused.
    pub fn count_operator_refusal(&self, reason: &'static str) {
        self.operators_refused.get_or_create(&label(reason)).inc();
    }

    /// How often requests were refused, for each reason that occurred.
    pub fn not_run_counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let codes = NotRunReason::ALL.iter().map(|reason| reason.code());
        counts(&self.not_run, codes)
    }

    /// How many requests may have run, for each reason that occurred.
    pub fn unknown_counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let codes = UnknownReason::ALL.iter().map(|reason| reason.code());
        counts(&self.unknown, codes)
    }

    /// How often requests were sent again, for each reason that occurred.
    pub fn retry_counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let codes = RetryReason::ALL.iter().map(|reason| reason.code());
        counts(&self.retries, codes)
    }

    /// Shows the calls to the platform that were counted so far.
    pub fn show_store_calls(&self, counts: &CallCounts) {
        for kind in CallKind::ALL {
            let counter = self.store_calls.get_or_create(&label(kind.code()));
            counter.inner().store(counts.get(kind), Ordering::Relaxed);
        }
    }

    /// Counts a control message of this kind, sent or received, of so many
    /// bytes.
    pub fn count_control(&self, kind: &'static str, bytes: usize) {
        self.control_messages.get_or_create(&label(kind)).inc();
        let counter = self.control_bytes.get_or_create(&label(kind));
        counter.inc_by(bytes as u64);
    }

    /// Bytes of control messages of this kind so far, sent and received.
    #[must_use]
    pub fn control_bytes(&self, kind: &'static str) -> u64 {
        self.control_bytes.get_or_create(&label(kind)).get()
    }

    /// Control messages of this kind so far, sent and received.
    #[must_use]
    pub fn control_messages(&self, kind: &'static str) -> u64 {
        self.control_messages.get_or_create(&label(kind)).get()
    }

    /// Counts bytes of an answer that crossed to another region.
    pub fn count_link(
        &self,
        service: &ServiceName,
        caller: &CallerName,
        bytes: u64,
    ) {
        let volume = self.link_volume.lock();
        let by_itself = volume
            .unwrap_or_else(PoisonError::into_inner)
            .add(service, caller, bytes);
        let caller = if by_itself { caller.as_str() } else { "" };
        let service = service.to_string();
        let label = LinkLabel { service, caller: caller.to_owned() };
        self.link_bytes.get_or_create(&label).inc_by(bytes);
    }

    /// Shows how evenly a service's servers work in this failure domain.
    pub fn set_imbalance(&self, service: &ServiceName, ratio: f64) {
        self.domain.set_imbalance(service, ratio);
    }

    /// Shows nothing more of a failure domain whose steward is elsewhere;
    /// the counters stay.
    pub fn forget_domain(&self) {
        self.domain.forget_domain();
    }

    /// Counts slices that came to another server.
    pub fn count_moves(&self, service: &ServiceName, tally: MoveTally) {
        self.domain.count_moves(service, tally);
    }

    /// Counts slices that are not served, and for how long.
    pub fn count_unserved(
        &self,
        service: &ServiceName,
        slices: usize,
        span: TimeSpan,
    ) {
        self.domain.count_unserved(service, slices, span);
    }

    /// Shows whether this VM is the steward.
    pub fn set_leading(&self, leading: bool) {
        self.leading.set(i64::from(leading));
    }

    /// Shows the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// The version of the configuration in force; 0: none yet.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        u64::try_from(self.config_version.get()).unwrap_or(0)
    }

    /// Every name, without the prefix and `_total`.
    #[must_use]
    pub fn names(&self) -> &[&'static str] {
        &self.book.names
    }

    /// All counters in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// [`std::fmt::Error`] if they can't be written as text.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.book.registry)?;
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
