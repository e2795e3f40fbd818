//! Executes a load plan.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use goldcrestramp_types::RequestClass;
use rand::{Rng, SeedableRng, rngs::StdRng};
use reqwest::Client;
use tokio::{
    sync::{Semaphore, mpsc},
    time::Instant,
};

use crate::{
    load::{
        call::{CallRequest, send_call},
        draw::StreamDraw,
        plan::{LoadPlan, LoadStream, PlanError},
    },
    records::{CallEntry, CallOutcome, MachineTime},
};

/// How long a caller waits before it resends an order with an unknown outcome.
const RESEND_DELAY: Duration = Duration::from_millis(500);
/// Idle connections that are kept open to each gateway.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Live counts of a run.
#[derive(Debug, Default)]
pub struct LoadProgress {
    /// Requests sent so far.
    pub sent: AtomicU64,
    /// Requests that received a complete response.
    pub done: AtomicU64,
    /// Requests with another outcome.
    pub other: AtomicU64,
}

impl LoadProgress {
    fn count(&self, outcome: &CallOutcome) {
        let counter = match outcome {
            CallOutcome::Done { .. } => &self.done,
            _ => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// State that the tasks of one run share.
#[derive(Debug)]
struct RunContext {
    http: Client,
    targets: Vec<SocketAddr>,
    permits: Arc<Semaphore>,
    progress: Arc<LoadProgress>,
    calls: mpsc::UnboundedSender<CallEntry>,
}

/// Sends the plan's requests; returns all attempts when the last has ended.
///
/// # Errors
///
/// A [`PlanError`] when the plan is not bounded or has a remote target without
/// permission.
pub async fn run_load(
    plan: &LoadPlan,
    progress: Arc<LoadProgress>,
) -> Result<Vec<CallEntry>, PlanError> {
    plan.check()?;
    let http = Client::builder().pool_max_idle_per_host(MAX_IDLE_CONNECTIONS);
    let http = http.build().unwrap_or_default();
    let (calls, mut ended) = mpsc::unbounded_channel();
    let context = Arc::new(RunContext {
        http,
        targets: plan.targets.clone(),
        permits: Arc::new(Semaphore::new(plan.under_way)),
        progress,
        calls,
    });
    let seconds = Duration::from_secs(plan.seconds);
    let mut seed = plan.seed;
    for stream in &plan.streams {
        let sending =
            send_stream(Arc::clone(&context), stream.clone(), seed, seconds);
        tokio::spawn(sending);
        seed = seed.wrapping_add(1);
    }
    drop(context);
    let mut all = Vec::new();
    while let Some(entry) = ended.recv().await {
        all.push(entry);
    }
    Ok(all)
}

/// Sends the requests of one stream when they are due.
async fn send_stream(
    context: Arc<RunContext>,
    stream: LoadStream,
    seed: u64,
    seconds: Duration,
) {
    let mut draw = StreamDraw::new(&stream, seed);
    let mut source = StdRng::seed_from_u64(!seed);
    let start = Instant::now();
    let start_time = MachineTime::now();
    let service: Arc<str> = Arc::from(stream.service.as_str());
    for number in 0_u64.. {
        let drawn = draw.next();
        if drawn.at >= seconds {
            return;
        }
        tokio::time::sleep_until(start + drawn.at).await;
        let call = CallRequest {
            service: Arc::clone(&service),
            class: stream.class,
            caller: format!("caller-{}", drawn.caller),
            id: format!("{}-{seed}-{number}", stream.class.code()),
            key: Arc::from(format!("key-{}", drawn.key)),
            body_bytes: stream.request_bytes,
            deadline_ms: stream.deadline_ms,
            intended: later(start_time, drawn.at),
            resend: false,
        };
        let first = source.random_range(0..context.targets.len());
        send_one(&context, call, first);
    }
}

/// Sends one request in its own task, unless too many are in flight.
fn send_one(context: &Arc<RunContext>, call: CallRequest, first: usize) {
    context.progress.sent.fetch_add(1, Ordering::Relaxed);
    let Ok(permit) = Arc::clone(&context.permits).try_acquire_owned() else {
        let reason = Arc::from("load-full");
        let outcome = CallOutcome::NotRun { reason };
        context.record(call.entry(MachineTime::now(), outcome));
        return;
    };
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let _permit = permit;
        let mut targets = context.targets.clone();
        targets.rotate_left(first);
        let entry = send_call(&context.http, &targets, &call).await;
        let resend = wants_resend(&entry);
        context.record(entry);
        if resend {
            tokio::time::sleep(RESEND_DELAY).await;
            targets.rotate_left(1);
            let call = CallRequest { resend: true, ..call };
            let entry = send_call(&context.http, &targets, &call).await;
            context.record(entry);
        }
    });
}

/// Whether a caller resends: once, after an order with an unknown outcome.
fn wants_resend(entry: &CallEntry) -> bool {
    entry.class == RequestClass::Order
        && matches!(entry.outcome, CallOutcome::Unknown { .. })
}

impl RunContext {
    fn record(&self, entry: CallEntry) {
        self.progress.count(&entry.outcome);
        if self.calls.send(entry).is_err() {
            log::error!("load: the receiver of outcomes is closed.");
        }
    }
}

fn later(start: MachineTime, span: Duration) -> MachineTime {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    MachineTime::from_micros(start.as_micros().saturating_add(micros))
}
