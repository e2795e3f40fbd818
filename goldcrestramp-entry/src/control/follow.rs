//! Follows the changes in the store.
//!
//! Each call to the store has a cost, and the heartbeats of servers change the
//! store all the time. So one VM of each failure domain follows the store, and
//! the others follow that VM. A VM whose sources fail follows the store
//! itself.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use goldcrestramp_adapter::{StoreCall, StoreReply};
use goldcrestramp_types::{ClockSource, MonotonicClock, TimeSpan};
use tokio::{
    task::{JoinError, JoinHandle},
    time::{Instant, sleep, sleep_until, timeout_at},
};
use xtra::Address;

use crate::{
    control::{
        ControlActor, UpdateSource,
        message::{
            HistoryLost, NextSource, NextStep, PeerTimedOut, PeerUpdate,
            StoreChanges, StoreSnapshot, StoreTimedOut, VmPage,
        },
        update_as_of,
    },
    metrics::EntryMetrics,
    peers::{
        BusySource, PeerCall, PeerClient, PeerReply, SyncReply, SyncRequest,
    },
    store::{StoreClient, StoreFailure},
};

/// How long a watch waits for changes.
///
/// A watch that begins while the store discards its history gets no events
/// until its wait ends, and a new configuration is not in force for that time.
/// The age of an update counts from when its watch was sent, so on a quiet
/// store a long wait also makes updates look old. Heartbeats end most watches
/// sooner, so the short wait adds hardly any calls.
const WATCH_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// The minimum time between two watches; changes within it are delivered
/// together. It takes a quarter of the time within which a change must be in
/// force everywhere. Tables reach all VMs without it.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(450);

/// How long a VM that is queried for the first time may take to respond before
/// the next source replaces it.
const FIRST_RESPONSE_TIMEOUT: TimeSpan = TimeSpan::from_millis(600);

/// How long to wait for a full response before the next source is queried as
/// well. The link of the first source may carry only a few kilobytes per
/// second.
const HEDGE_DELAY: Duration = Duration::from_millis(1_200);

/// How often a starting VM checks whether its own entry is in the store.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How often a VM that waits for another one to read the store checks whether
/// it is to read the store itself.
const DEFERRAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delays after a failure. The first is short, because one lost response is
/// not an outage. All VMs reconnect at the same time, so jitter spreads
/// each delay over half of its length.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The task that follows the store for the control actor.
#[derive(Debug)]
pub(crate) struct StoreFollower {
    pub(crate) store: Arc<StoreClient>,
    pub(crate) peers: PeerClient,
    pub(crate) control: Address<ControlActor>,
    pub(crate) metrics: Arc<EntryMetrics>,
    /// The prefix of the keys of this failure domain's VMs.
    pub(crate) vm_prefix: Arc<str>,
    /// The VM that responded to the last call.
    pub(crate) followed: Option<SocketAddr>,
    /// The call whose response was too slow to wait for; it may still be in
    /// flight.
    pub(crate) slow_response: Option<JoinHandle<bool>>,
}

/// A call to another VM that fetches its updates.
struct UpdateFetch {
    peers: PeerClient,
    control: Address<ControlActor>,
    address: SocketAddr,
    call: PeerCall,
    /// How long the response may take to begin while the VM is not busy;
    /// `None` for the default timeout.
    head_timeout: Option<TimeSpan>,
    source: BusySource,
}

impl UpdateFetch {
    /// Fetches an update and sends it to the actor; returns whether there was
    /// a response.
    async fn run(self) -> bool {
        let Self { peers, control, address, call, head_timeout, source } =
            self;
        let sent_at = MonotonicClock.now();
        let reply =
            peers.call_while_busy(address, &call, head_timeout, source).await;
        let Some(received) = reply.and_then(PeerReply::into_update) else {
            return false;
        };
        let SyncReply { update, age, held, fresh } = received;
        let as_of = update_as_of(sent_at, held, age);
        let source = Some(address);
        let update = PeerUpdate { update, as_of, fresh, source };
        control.send(update).await.is_ok()
    }
}

/// The control actor has stopped, because the process is stopping.
struct ActorStopped;

impl StoreFollower {
    /// Follows the store until the actor stops.
    pub(crate) async fn run(mut self) {
        let mut delay = INITIAL_RETRY_DELAY;
        while let Ok(step) = self.control.send(NextSource).await {
            match self.follow(step).await {
                Ok(true) => delay = INITIAL_RETRY_DELAY,
                Ok(false) => {
                    let jitter = rand::random_range(0.5..1.0);
                    sleep(delay.mul_f64(jitter)).await;
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
                Err(ActorStopped) => return,
            }
        }
    }

    /// Fetches the next changes; returns `false` if the source failed.
    async fn follow(&mut self, step: NextStep) -> Result<bool, ActorStopped> {
        let next = Instant::now() + MIN_WATCH_INTERVAL;
        let Some(source) = step.source else {
            sleep(DEFERRAL_CHECK_INTERVAL).await;
            return Ok(true);
        };
        let outcome = match source {
            UpdateSource::Peer(address, _revision) => {
                return self.query_peer(address, step).await;
            }
            UpdateSource::AwaitEntry => {
                sleep(ENTRY_CHECK_INTERVAL).await;
                return Ok(true);
            }
            UpdateSource::StoreVms => self.read_vms().await?,
            UpdateSource::FullStore => self.read_all().await?,
            UpdateSource::StoreChanges(after) => self.watch(after).await?,
        };
        if let Err(failure) = outcome {
            self.metrics.news("store-failed");
            log::debug!(
                "[store] A call that follows the store failed: {failure}."
            );
            self.notify(StoreTimedOut).await?;
            return Ok(false);
        }
        self.metrics.news("store");
        if source != UpdateSource::StoreVms {
            sleep_until(next).await;
        }
        Ok(true)
    }

    /// Queries another VM. If its response is slow, the next source is used
    /// while the call runs until it completes or times out. At most one such
    /// call is left in flight.
    async fn query_peer(
        &mut self,
        address: SocketAddr,
        step: NextStep,
    ) -> Result<bool, ActorStopped> {
        let NextStep { known, busy_address, response_time, .. } = step;
        let response_time = response_time
            .map_or(HEDGE_DELAY, |span| span.to_std().max(HEDGE_DELAY));
        // A VM that is queried for the first time responds at once, so several
        // that do not respond cost little time.
        let wait = self.followed == Some(address);
        let head_timeout =
            (!wait && known.revision > 0).then_some(FIRST_RESPONSE_TIMEOUT);
        let busy = self.peers.busy_source(busy_address);
        let fetch = UpdateFetch {
            peers: self.peers.clone(),
            control: self.control.clone(),
            address,
            call: PeerCall::Sync(SyncRequest { known, wait }),
            head_timeout,
            source: busy.clone(),
        };
        self.followed = None;
        let mut task = tokio::spawn(fetch.run());
        let responded =
            match await_response(&mut task, &busy, response_time).await {
                Some(responded) => responded,
                None if self.has_slow_response() => task.await,
                None => {
                    self.metrics.news("peer-slow");
                    self.slow_response = Some(task);
                    self.notify(PeerTimedOut(address)).await?;
                    return Ok(true);
                }
            };
        if busy.busy_at().is_some() {
            self.metrics.news("peer-busy");
            log::info!("[store] VM {address} was busy with a change.");
        }
        if responded.unwrap_or(false) {
            self.metrics.news("peer");
            self.followed = Some(address);
        } else {
            self.metrics.news("peer-failed");
            self.notify(PeerTimedOut(address)).await?;
        }
        Ok(true)
    }

    /// Whether a response that was too slow to wait for is still in flight.
    fn has_slow_response(&self) -> bool {
        self.slow_response.as_ref().is_some_and(|task| !task.is_finished())
    }

    async fn read_vms(
        &self,
    ) -> Result<Result<(), StoreFailure>, ActorStopped> {
        match self.store.read_all(&self.vm_prefix).await {
            Ok(page) => self.notify(VmPage(page)).await.map(Ok),
            Err(failure) => Ok(Err(failure)),
        }
    }

    async fn read_all(
        &self,
    ) -> Result<Result<(), StoreFailure>, ActorStopped> {
        let sent_at = MonotonicClock.now();
        match self.store.read_all("").await {
            Ok(page) => {
                self.notify(StoreSnapshot { sent_at, page }).await.map(Ok)
            }
            Err(failure) => Ok(Err(failure)),
        }
    }

    async fn watch(
        &self,
        after: u64,
    ) -> Result<Result<(), StoreFailure>, ActorStopped> {
        let prefix = "".into();
        let call = StoreCall::Watch { prefix, after, wait: WATCH_TIMEOUT };
        let sent_at = MonotonicClock.now();
        match self.store.call(&call).await {
            Ok(StoreReply::Changes { events, revision }) => {
                let changes = StoreChanges { sent_at, events, revision };
                self.notify(changes).await.map(Ok)
            }
            Ok(StoreReply::HistoryLost) => {
                log::info!(
                    "[store] The history after revision {after} is lost."
                );
                self.notify(HistoryLost).await.map(Ok)
            }
            Ok(_) => Ok(Err(StoreFailure::Unknown)),
            Err(failure) => Ok(Err(failure)),
        }
    }

    async fn notify<Message>(
        &self,
        message: Message,
    ) -> Result<(), ActorStopped>
    where
        ControlActor: xtra::Handler<Message, Return = ()>,
        Message: Send + 'static,
    {
        self.control.send(message).await.map_err(|_stopped| ActorStopped)
    }
}

/// Waits for a response, for `response_time` or for [`HEDGE_DELAY`] since its
/// source was last known to be busy; `None` if it takes longer.
async fn await_response(
    task: &mut JoinHandle<bool>,
    busy: &BusySource,
    response_time: Duration,
) -> Option<Result<bool, JoinError>> {
    let mut limit = Instant::now() + response_time;
    loop {
        if let Ok(responded) = timeout_at(limit, &mut *task).await {
            return Some(responded);
        }
        let extended = busy.busy_at()? + HEDGE_DELAY;
        if extended <= limit {
            return None;
        }
        limit = extended;
    }
}
