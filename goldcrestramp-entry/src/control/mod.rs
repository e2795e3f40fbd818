//! The control thread: learns the state of the store, plans which server owns
//! which keys, and sends orders to servers.
//!
//! One actor holds the state. Separate tasks make the calls and send it the
//! results, so no decision waits for a socket.

mod activity;
mod actor;
mod admission;
mod claim;
mod crashes;
mod demand;
mod follow;
mod handlers;
mod lease;
mod load;
mod message;
mod order;
mod pace;
mod permits;
mod ranking;
mod reach;
mod retries;
mod service;
mod source;
mod speed;
mod start;
mod sync;
mod tables;
mod term;

use std::{sync::Arc, time::Duration};

use goldcrestramp_adapter::NodeSettings;
use goldcrestramp_types::{ClockSource, MonotonicClock};
use tokio::{net::TcpListener, time::MissedTickBehavior};
use xtra::{Address, Mailbox};

pub use crate::control::{
    activity::ControlActivity,
    actor::ControlActor,
    admission::KeyLimits,
    demand::{
        DemandReport, FleetShares, KeyLimit, KeyShare, RetryCounts, ShareBoard,
    },
    lease::LeaseTerms,
    load::{LoadRecorder, LoadReport, ResponseTotals, ServiceLoad},
    pace::CommitPace,
    permits::{PermitGrants, PermitMailbox, PermitRequests},
    ranking::{
        claim_delay, fallback_vms, is_large, neighbor_vms, source_vms,
        starting_vms,
    },
    retries::{RetryOffers, RetryRecorder, RetryTicket, WantedRetries},
    sync::{FreshnessClock, SyncState, UpdateSource, update_as_of},
};
use crate::{
    control::{
        crashes::CrashReporter, follow::StoreFollower, lease::keep_lease,
        message::ControlTick, message::StopControl,
    },
    peers::{PeerClient, PeerSource, serve_peers},
    records::{VmInstance, domain_prefix},
    shared::SharedState,
    store::StoreClient,
    view::FleetView,
};

/// How often the actor looks for due orders, claims and reports. Grants are
/// renewed at intervals of more than a second, so a tenth of a second is
/// precise enough.
const TICK: Duration = Duration::from_millis(100);

/// A handle to the running control actor of a VM.
#[derive(Clone, Debug)]
pub struct ControlHandle(Address<ControlActor>);

impl ControlHandle {
    /// Stops planning and ends the lease, so that another VM takes over at
    /// once.
    pub async fn stop(&self) {
        // Sending fails only when the process stops.
        let _gone = self.0.send(StopControl).await;
    }
}

/// Starts the control actor and its tasks on the current runtime.
pub fn spawn_control(
    settings: &NodeSettings,
    me: VmInstance,
    peers: TcpListener,
    shared: SharedState,
    views: tokio::sync::watch::Sender<Arc<FleetView>>,
) -> ControlHandle {
    let store = Arc::new(StoreClient::open(settings.store_address));
    let (address, mailbox) = Mailbox::unbounded();
    let crashes = shared.crashes.clone();
    let actor = ControlActor::new(
        me.clone(),
        settings,
        Arc::clone(&store),
        shared.clone(),
        views,
        address.clone(),
    );
    let reporter = CrashReporter {
        me: me.clone(),
        board: crashes,
        peers: PeerClient::open(),
        store: Arc::clone(&store),
        views: actor.views(),
    };
    tokio::spawn(reporter.run());
    let revisions = actor.revisions();
    let terms = actor.wanted_terms();
    tokio::spawn(xtra::run(mailbox, actor));
    let follower = StoreFollower {
        store: Arc::clone(&store),
        peers: PeerClient::open(),
        control: address.clone(),
        metrics: shared.metrics,
        vm_prefix: domain_prefix(&me.domain),
        followed: None,
        slow_response: None,
    };
    tokio::spawn(follower.run());
    let min_ttl = settings.min_lease_ttl;
    tokio::spawn(keep_lease(store, me, min_ttl, terms, address.clone()));
    let source = PeerSource { control: address.clone(), revisions };
    tokio::spawn(serve_peers(peers, source));
    tokio::spawn(tick(address.clone(), shared.activity));
    ControlHandle(address)
}

async fn tick(control: Address<ControlActor>, activity: ControlActivity) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if control.send(ControlTick).await.is_err() {
            return;
        }
        activity.record_sign(MonotonicClock.now());
    }
}
