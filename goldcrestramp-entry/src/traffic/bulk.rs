//! Limits the downloads that this VM requests from other regions.
//!
//! Keeps a window per region while load control is on; without it there is
//! none, and nothing is limited.

use std::{cell::RefCell, io, rc::Rc, sync::Arc};

use goldcrestramp_adapter::NodeSettings;
use goldcrestramp_decisions::{BulkWindow, ResponseTimes, is_clearly_sooner};
use goldcrestramp_types::{
    ClockSource, FastMap, LocalTime, MonotonicClock, TimeSpan,
};

use crate::{
    metrics::EntryMetrics,
    traffic::{
        choose::{Destination, QueueKind},
        server::RequestQueue,
        wait::RequestEnd,
    },
};

/// Why a download is not sent to a region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum KeepReason {
    /// The window is used up. It may admit a download after this time; `None`
    /// if only after one in flight has ended.
    Window(Option<TimeSpan>),
    /// The servers there do not respond clearly sooner.
    NoGain,
}

impl KeepReason {
    /// The stable code in counters.
    const fn code(self) -> &'static str {
        match self {
            Self::Window(_) => "window",
            Self::NoGain => "no-gain",
        }
    }
}

/// The other regions, by failure domain.
#[derive(Debug, Default)]
pub(super) struct BulkRegions(FastMap<Arc<str>, Rc<BulkRegion>>);

impl BulkRegions {
    /// Opens a window for each other region if load control is on.
    pub(super) fn open(
        settings: &NodeSettings,
        metrics: &Arc<EntryMetrics>,
    ) -> Self {
        let own = settings.region_of(&settings.domain);
        let mut regions: FastMap<&Arc<str>, Rc<BulkRegion>> =
            FastMap::default();
        let mut domains = FastMap::default();
        if !settings.load_control || own.is_none() {
            return Self::default();
        }
        let others = settings.regions.iter();
        for (domain, name) in others.filter(|(_, name)| Some(*name) != own) {
            let region = regions.entry(name).or_insert_with(|| {
                Rc::new(BulkRegion::open(Arc::clone(name), metrics))
            });
            domains.insert(Arc::clone(domain), Rc::clone(region));
        }
        Self(domains)
    }

    /// The region of a failure domain, if downloads from there are limited.
    pub(super) fn of_domain(&self, domain: &str) -> Option<&Rc<BulkRegion>> {
        self.0.get(domain)
    }

    /// Whether no region is limited.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The downloads of this VM from one region.
#[derive(Debug)]
pub(super) struct BulkRegion {
    name: Arc<str>,
    state: RefCell<RegionState>,
    /// The downloads that wait for the window, as only a server of the region
    /// owns their key.
    queue: Rc<RefCell<RequestQueue>>,
    metrics: Arc<EntryMetrics>,
}

#[derive(Debug)]
struct RegionState {
    window: BulkWindow,
    /// The response times of downloads from this region, by route.
    times: ResponseTimes,
    /// Whether the log says that the window limits.
    is_logged: bool,
}

impl BulkRegion {
    fn open(name: Arc<str>, metrics: &Arc<EntryMetrics>) -> Self {
        let window = BulkWindow::new(MonotonicClock.now());
        metrics.set_bulk_window(&name, window.bytes());
        let state = RegionState {
            window,
            times: ResponseTimes::default(),
            is_logged: false,
        };
        let state = RefCell::new(state);
        let (queue, metrics) = (Rc::default(), Arc::clone(metrics));
        Self { name, state, queue, metrics }
    }

    /// Why a download is not to be sent here, if it is not. `near` is the
    /// typical response time of the servers of the own region, if there are
    /// any that may be sent to.
    pub(super) fn keep_reason(
        &self,
        now: LocalTime,
        route: &str,
        near: Option<TimeSpan>,
    ) -> Option<KeepReason> {
        let state = self.state.borrow();
        let is_sooner = |near| {
            let known = state.times.typical_for(route);
            known.is_some_and(|time| is_clearly_sooner(time, near))
        };
        let gains = near.is_none_or(is_sooner);
        if !gains && !state.window.may_explore(now) {
            return Some(KeepReason::NoGain);
        }
        match state.window.wait_time(now) {
            Some(TimeSpan::ZERO) => None,
            wait => Some(KeepReason::Window(wait)),
        }
    }

    /// The next step of a download whose key a server of this region owns, if
    /// the window does not admit it now. It waits only if it can be expected
    /// to be sent in time.
    pub(super) fn wait_for_window(
        &self,
        now: LocalTime,
        remaining: TimeSpan,
    ) -> Option<Destination> {
        let window = &self.state.borrow().window;
        let wait = window.wait_time(now);
        if wait == Some(TimeSpan::ZERO) {
            let queue = &mut self.queue.borrow_mut();
            if queue.is_empty() {
                queue.record_progress();
            }
            return None;
        }
        let (slots, latency) = (window.capacity(), window.interval());
        if let Some(pause) = wait
            && pause.plus(latency) > remaining
        {
            return Some(Destination::Refused(RequestEnd::in_pause(pause)));
        }
        let queue = QueueKind::Region(Rc::clone(&self.queue));
        Some(Destination::Wait { queue, slots, latency })
    }

    /// Records that a download was not sent here; `is_first` unless it was
    /// counted before.
    pub(super) fn record_kept(
        &self,
        now: LocalTime,
        reason: KeepReason,
        is_first: bool,
    ) {
        if is_first {
            self.metrics.record_kept_download(reason.code());
        }
        if matches!(reason, KeepReason::Window(_)) {
            self.update(now, |state| state.window.record_denied(now));
        }
    }

    /// Whether the next download is to open a new connection, which shows the
    /// delay of the link.
    pub(super) fn needs_sample(&self, now: LocalTime) -> bool {
        self.state.borrow().window.needs_sample(now)
    }

    /// Records the outcome of a connection to a server that was begun at
    /// `began_at`. A refusal takes a round trip, too. Other errors than those
    /// of the path say nothing about it.
    pub(super) fn record_connection(
        &self,
        began_at: LocalTime,
        error: Option<io::ErrorKind>,
    ) {
        let now = MonotonicClock.now();
        self.update(now, |state| match error {
            None | Some(io::ErrorKind::ConnectionRefused) => {
                state.window.record_connected(now, now.since(began_at));
            }
            Some(
                io::ErrorKind::TimedOut
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable,
            ) => state.window.record_unconnected(now, began_at),
            Some(_) => {}
        });
    }

    /// Records that a connection that was begun at `began_at` is abandoned, as
    /// its request has no time left.
    pub(super) fn record_abandoned(&self, began_at: LocalTime) {
        let now = MonotonicClock.now();
        self.update(now, |state| state.window.record_abandoned(now, began_at));
    }

    /// Starts a download; it ends when the transfer is dropped.
    pub(super) fn start(
        self: &Rc<Self>,
        now: LocalTime,
        route: &Arc<str>,
    ) -> BulkTransfer {
        let mut bytes = 0;
        self.update(now, |state| {
            bytes = state.window.record_start(now, rand::random());
        });
        BulkTransfer {
            region: Rc::clone(self),
            route: Arc::clone(route),
            started_at: now,
            bytes,
            is_received: false,
        }
    }

    fn update(&self, now: LocalTime, work: impl FnOnce(&mut RegionState)) {
        let mut state = self.state.borrow_mut();
        work(&mut state);
        let bytes = state.window.bytes();
        self.metrics.set_bulk_window(&self.name, bytes);
        let limits = state.window.is_limiting(now);
        if limits != state.is_logged {
            state.is_logged = limits;
            let does = if limits { "limits" } else { "no longer limits" };
            log::info!(
                region = &*self.name,
                window = bytes;
                "[bulk] The window {does} downloads from another region."
            );
        }
    }
}

/// A download in flight from another region.
#[derive(Debug)]
pub(super) struct BulkTransfer {
    region: Rc<BulkRegion>,
    route: Arc<str>,
    started_at: LocalTime,
    bytes: u64,
    is_received: bool,
}

impl BulkTransfer {
    /// Records the size of the response, which has begun to arrive.
    pub(super) fn record_size(&mut self, bytes: u64) {
        let mut state = self.region.state.borrow_mut();
        state.window.record_size(self.bytes, bytes);
        self.bytes = bytes;
    }

    /// Records that the response was received, or so much of it that the rest
    /// is streamed.
    pub(super) fn record_received(&mut self, now: LocalTime) {
        let mut state = self.region.state.borrow_mut();
        let took = now.since(self.started_at);
        state.times.record(&self.route, took);
        self.is_received = true;
    }
}

impl Drop for BulkTransfer {
    fn drop(&mut self) {
        let now = MonotonicClock.now();
        let took = self.is_received.then(|| now.since(self.started_at));
        self.region.update(now, |state| {
            state.window.record_end(now, self.bytes, took);
        });
        let waker = self.region.queue.borrow_mut().wake();
        // The receiver is closed if the request's caller has disconnected.
        let _left = waker.map(|waker| waker.send(()));
    }
}
