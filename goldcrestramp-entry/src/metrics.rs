//! Counters, gauges and histograms, served in the `OpenMetrics` text format.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use goldcrestramp_types::TimeSpan;
use http::{Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::{Family, MetricConstructor},
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use tokio::net::TcpListener;

use crate::listen::serve_http;

/// The TCP port at which each VM serves its metrics.
pub const METRICS_PORT: u16 = 9_464;

/// The HTTP path at which the metrics are served.
pub const METRICS_PATH: &str = "/metrics";

/// The label of a counter that is split by reason or outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The stable code of the reason or outcome.
    pub reason: &'static str,
}

/// The label of a gauge that is split by region.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct RegionLabel {
    /// The name of the region.
    pub region: String,
}

/// The labels of a duration: the service and the stage of the request.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct StageLabel {
    /// The name of the service.
    pub service: String,
    /// `waiting` before the first attempt, `server` until the response of an
    /// attempt, or `whole` for the complete request.
    pub stage: &'static str,
}

/// Constructs histograms with buckets from 1 ms to 8 s.
#[derive(Clone, Copy, Debug)]
struct TimeBuckets;

impl MetricConstructor<Histogram> for TimeBuckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(exponential_buckets(0.001, 2.0, 14))
    }
}

/// The metrics of one VM.
pub struct EntryMetrics {
    registry: Registry,
    ends: Family<ReasonLabel, Counter>,
    attempts: Family<ReasonLabel, Counter>,
    times: Family<StageLabel, Histogram, TimeBuckets>,
    passed: Family<ReasonLabel, Counter>,
    news: Family<ReasonLabel, Counter>,
    denied_retries: Family<ReasonLabel, Counter>,
    /// The number of retries that other VMs gave up and this one used.
    pub borrowed_retries: Counter,
    bulk_windows: Family<RegionLabel, Gauge>,
    kept_downloads: Family<ReasonLabel, Counter>,
    /// The number of requests that other VMs passed to this one.
    pub relayed: Counter,
    /// The number of refusals with which a server requested a backoff.
    pub backoffs: Counter,
    /// The age of this VM's copy of the store, in milliseconds.
    pub news_age: Gauge,
    /// The version of the configuration in force.
    pub configuration: Gauge,
    /// The store revision up to which changes are known.
    pub revision: Gauge,
    /// The number of known VMs.
    pub vms: Gauge,
    /// The number of known backend servers.
    pub servers: Gauge,
    /// The number of services whose servers this VM does not reach.
    pub partitions: Gauge,
    /// The number of rounds of probes that failed while responses arrived.
    pub slow_rounds: Counter,
    /// How often this VM began to defer a read of the store.
    pub deferred_reads: Counter,
    /// The bytes that are held for callers and servers.
    pub held_bytes: Gauge,
    /// The number of requests refused for lack of memory.
    pub memory_refusals: Counter,
    /// The number of stalled callers that were closed.
    pub closed_readers: Counter,
    /// The number of responses that were given up after their deadline.
    pub late_responses: Counter,
    /// The number of requests that ended before their deadline with a response
    /// of this VM after an attempt at a server was overdue.
    pub early_ends: Counter,
    connection_ends: Family<ReasonLabel, Counter>,
    /// 1 while this VM plans assignments, else 0.
    pub planning: Gauge,
    /// The number of key ranges that servers released.
    pub moves: Counter,
    /// The number of requests for limited keys that were refused.
    pub admission_refusals: Counter,
    /// The number of limited keys of all services.
    pub limited_keys: Gauge,
    /// The number of pipelined requests that were forwarded before the
    /// requests ahead of them had responses.
    pub pipelined: Counter,
}

impl fmt::Debug for EntryMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryMetrics").finish_non_exhaustive()
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("goldcrestramp"),
            ends: Family::default(),
            attempts: Family::default(),
            times: Family::new_with_constructor(TimeBuckets),
            passed: Family::default(),
            denied_retries: Family::default(),
            borrowed_retries: Counter::default(),
            relayed: Counter::default(),
            backoffs: Counter::default(),
            news: Family::default(),
            bulk_windows: Family::default(),
            kept_downloads: Family::default(),
            news_age: Gauge::default(),
            configuration: Gauge::default(),
            revision: Gauge::default(),
            vms: Gauge::default(),
            servers: Gauge::default(),
            partitions: Gauge::default(),
            slow_rounds: Counter::default(),
            deferred_reads: Counter::default(),
            held_bytes: Gauge::default(),
            memory_refusals: Counter::default(),
            closed_readers: Counter::default(),
            late_responses: Counter::default(),
            early_ends: Counter::default(),
            connection_ends: Family::default(),
            planning: Gauge::default(),
            moves: Counter::default(),
            admission_refusals: Counter::default(),
            limited_keys: Gauge::default(),
            pipelined: Counter::default(),
        };
        metrics.register();
        metrics.register_memory();
        metrics.register_load_control();
        metrics
    }
}

impl EntryMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "configuration_version",
            "The version in force",
            self.configuration.clone(),
        );
        registry.register(
            "news_age_milliseconds",
            "How long ago the store was as this VM knows it",
            self.news_age.clone(),
        );
        registry.register(
            "news",
            "Calls for news by source and by what came of them",
            self.news.clone(),
        );
        registry.register(
            "store_revision",
            "The revision up to which the store is known",
            self.revision.clone(),
        );
        registry.register("vms", "VMs that are known", self.vms.clone());
        registry.register(
            "servers",
            "Backend servers that are known",
            self.servers.clone(),
        );
        registry.register(
            "partitioned_services",
            "Services whose servers this VM does not reach",
            self.partitions.clone(),
        );
        registry.register(
            "planning",
            "1 while this VM plans assignments",
            self.planning.clone(),
        );
        registry.register(
            "late_responses",
            "Responses given up because they did not end in time",
            self.late_responses.clone(),
        );
        registry.register(
            "moves",
            "Runs of keys that servers gave back",
            self.moves.clone(),
        );
        registry.register(
            "pipelined",
            "Pipelined requests served before the ones ahead were answered",
            self.pipelined.clone(),
        );
        registry.register(
            "request_ends",
            "Requests by how they ended",
            self.ends.clone(),
        );
        registry.register(
            "early_request_ends",
            "Requests ended before their deadline after an overdue attempt",
            self.early_ends.clone(),
        );
        registry.register(
            "connection_ends",
            "Callers' connections by how they ended",
            self.connection_ends.clone(),
        );
        registry.register(
            "attempts",
            "Sends to servers by what came of them",
            self.attempts.clone(),
        );
        registry.register(
            "passed_requests",
            "Requests passed to other VMs by what came of them",
            self.passed.clone(),
        );
        registry.register(
            "relayed_requests",
            "Requests that other VMs passed to this one",
            self.relayed.clone(),
        );
        registry.register(
            "server_backoffs",
            "Refusals with which a server requested a backoff",
            self.backoffs.clone(),
        );
        registry.register(
            "request_seconds",
            "Times of requests by service and part of the way",
            self.times.clone(),
        );
    }

    /// Registers the metrics of what callers and servers make the VM hold.
    fn register_memory(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "held_bytes",
            "Bytes held for callers and servers",
            self.held_bytes.clone(),
        );
        registry.register(
            "memory_refusals",
            "Requests refused because their bytes could not be held",
            self.memory_refusals.clone(),
        );
        registry.register(
            "closed_readers",
            "Callers' connections closed because they stalled",
            self.closed_readers.clone(),
        );
    }

    /// Registers the metrics of load control.
    fn register_load_control(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "slow_link_rounds",
            "Rounds of probes that failed while responses arrived",
            self.slow_rounds.clone(),
        );
        registry.register(
            "deferred_store_reads",
            "How often a read of the store was deferred",
            self.deferred_reads.clone(),
        );
        registry.register(
            "admission_refusals",
            "Requests for limited keys that were refused",
            self.admission_refusals.clone(),
        );
        registry.register(
            "limited_keys",
            "Keys of overloaded owners that are limited",
            self.limited_keys.clone(),
        );
        registry.register(
            "denied_retries",
            "Retries denied for lack of budget, by class",
            self.denied_retries.clone(),
        );
        registry.register(
            "borrowed_retries",
            "Retries that other VMs gave up and this one used",
            self.borrowed_retries.clone(),
        );
        registry.register(
            "bulk_window_bytes",
            "Bytes of downloads that may be in flight from a region",
            self.bulk_windows.clone(),
        );
        registry.register(
            "kept_downloads",
            "Downloads that were not sent to another region, by reason",
            self.kept_downloads.clone(),
        );
    }

    /// Counts a request that ended with this reason.
    pub fn record_end(&self, reason: &'static str) {
        self.ends.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a caller's connection that ended in this way.
    pub fn record_connection_end(&self, reason: &'static str) {
        self.connection_ends.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts an attempt at a server that ended with this outcome.
    pub fn record_attempt(&self, reason: &'static str) {
        self.attempts.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a request that was passed to another VM, by its outcome.
    pub fn record_passed(&self, reason: &'static str) {
        self.passed.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a retry that was denied to a request of this class.
    pub fn record_denied_retry(&self, class: &'static str) {
        let label = ReasonLabel { reason: class };
        self.denied_retries.get_or_create(&label).inc();
    }

    /// Counts a request for updates by its source and outcome, such as `peer`
    /// or `peer-slow`.
    pub fn news(&self, reason: &'static str) {
        self.news.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Sets the bytes of downloads that may be in flight from a region.
    pub fn set_bulk_window(&self, region: &str, bytes: u64) {
        let label = RegionLabel { region: region.to_owned() };
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.bulk_windows.get_or_create(&label).set(bytes);
    }

    /// Counts a download that was not sent to another region.
    pub fn record_kept_download(&self, reason: &'static str) {
        self.kept_downloads.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Records the duration of one stage of a request.
    pub fn record_time(
        &self,
        service: &str,
        stage: &'static str,
        duration: TimeSpan,
    ) {
        let label = StageLabel { service: service.to_owned(), stage };
        let seconds = duration.to_std().as_secs_f64();
        self.times.get_or_create(&label).observe(seconds);
    }

    /// Encodes all metrics in the `OpenMetrics` text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` never fails.
        let _written = encode(&mut text, &self.registry);
        text
    }
}

/// Serves the metrics until the task is dropped.
pub async fn serve_metrics(listener: TcpListener, metrics: Arc<EntryMetrics>) {
    serve_http(listener, "metrics", move |request| {
        let known = request.uri().path() == METRICS_PATH;
        let response = respond(known.then(|| metrics.text()));
        async move { response }
    })
    .await;
}

fn respond(text: Option<String>) -> Response<Full<Bytes>> {
    /// The media type of the `OpenMetrics` text format.
    const FORMAT: &str =
        "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let Some(text) = text else {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    let mut response = Response::new(Full::new(text.into()));
    let format = http::HeaderValue::from_static(FORMAT);
    response.headers_mut().insert(CONTENT_TYPE, format);
    response
}
