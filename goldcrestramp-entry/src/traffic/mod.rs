//! The traffic thread: accepts, queues and forwards requests, and returns the
//! responses.
//!
//! Each VM sends directly to the servers: the servers enforce key ownership
//! themselves, so no VM has to be in between. Only a VM that reaches no server
//! passes requests to another one. The requests that a VM may have in flight
//! at a server are its share of the server's slots, adapted to the server's
//! responses.

mod admission;
mod attempt;
mod attempt_set;
mod body;
mod bulk;
mod caller;
mod choose;
mod chunks;
mod cold;
mod connection;
mod crash;
mod headers;
mod in_flight;
mod listener;
mod memory;
mod notice;
mod permit;
mod pool;
mod position;
mod reason;
mod relay;
mod relay_connection;
mod relay_vms;
mod request;
mod respond;
mod response;
mod retry;
mod serve;
mod server;
mod state;
mod subset;
mod wait;

use std::{rc::Rc, sync::Arc};

use goldcrestramp_adapter::NodeSettings;
use tokio::{net::TcpListener, sync::watch, task::spawn_local};

pub(crate) use crate::traffic::chunks::ChunkList;

use crate::{
    run::StopPhase,
    shared::SharedState,
    traffic::{
        caller::{close_stalled, wait_for_room},
        in_flight::{OpenCount, OpenGuard},
        listener::{serve_caller, serve_listener},
        relay_connection::serve_vm,
        state::TrafficState,
    },
    view::FleetView,
};

/// A handle of the running traffic thread.
#[derive(Clone, Debug)]
pub struct TrafficHandle {
    listeners: Rc<OpenCount>,
    connections: Rc<OpenCount>,
    state: Rc<TrafficState>,
}

impl TrafficHandle {
    /// Waits until the listeners are closed and no caller and no other VM is
    /// connected.
    pub async fn wait_empty(&self) {
        // A listener accepts what waits in its queue before it is closed.
        self.listeners.wait_empty().await;
        self.connections.wait_empty().await;
    }

    /// Logs what is open in a phase of the process's shutdown.
    pub fn log_open(&self, phase: &'static str) {
        log::info!(
            phase = phase,
            connections = self.connections.open(),
            requests = self.state.due.len(),
            attempts = self.state.attempts_in_flight();
            "[stop] Open in this phase."
        );
        self.state.due.log_oldest();
    }
}

/// The sockets on which requests arrive.
#[derive(Debug)]
pub struct TrafficListeners {
    /// For callers.
    pub callers: TcpListener,
    /// For requests that other VMs pass on, if this VM has a port for them.
    pub relayed: Option<TcpListener>,
}

/// Starts accepting and serving requests in the current local task set.
pub fn spawn_traffic(
    settings: Arc<NodeSettings>,
    listeners: TrafficListeners,
    views: watch::Receiver<Arc<FleetView>>,
    phase: watch::Receiver<StopPhase>,
    shared: SharedState,
) -> TrafficHandle {
    let state =
        TrafficState::open(settings, views.clone(), phase.clone(), shared);
    let state = Rc::new(state);
    let accepting = Rc::<OpenCount>::default();
    let connections = Rc::<OpenCount>::default();
    let handle = TrafficHandle {
        listeners: Rc::clone(&accepting),
        connections: Rc::clone(&connections),
        state: Rc::clone(&state),
    };
    spawn_local(follow_views(Rc::clone(&state), views));
    spawn_local(follow_reach(Rc::clone(&state)));
    if state.settings.load_control {
        spawn_local(follow_wanted_retries(Rc::clone(&state)));
    }
    spawn_local(close_stalled(Rc::clone(&state)));
    let TrafficListeners { callers, relayed } = listeners;
    if let Some(relayed) = relayed {
        let (state, stop) = (Rc::clone(&state), phase.clone());
        let serve = move |stream, guard| {
            serve_vm(Rc::clone(&state), stop.clone(), stream, guard)
        };
        let connections = Rc::clone(&connections);
        // Other VMs open as many connections as they pass requests on.
        let served = serve_listener(
            relayed,
            phase.clone(),
            connections,
            async || {},
            serve,
        );
        spawn_local(hold(accepting.enter(), served));
    }
    let (account, open) = (state.memory.clone(), Rc::clone(&connections));
    let room = async move || wait_for_room(&account, &open).await;
    let stop = phase.clone();
    let serve = move |stream, guard| {
        serve_caller(Rc::clone(&state), stop.clone(), stream, guard)
    };
    let served = serve_listener(callers, phase, connections, room, serve);
    spawn_local(hold(accepting.enter(), served));
    handle
}

/// Holds a guard while `work` runs.
async fn hold(_guard: OpenGuard, work: impl Future<Output = ()>) {
    work.await;
}

/// Applies the begin and the end of each partition.
async fn follow_reach(state: Rc<TrafficState>) {
    let mut changes = state.reach.changes();
    while changes.changed().await.is_ok() {
        state.apply_reach();
    }
}

/// Gives up retries for other VMs when the planning VM asks for them.
async fn follow_wanted_retries(state: Rc<TrafficState>) {
    loop {
        let wanted = state.shares.wait_wanted().await;
        state.offer_retries(&wanted);
    }
}

/// Applies each new view and wakes the requests that wait for one.
async fn follow_views(
    state: Rc<TrafficState>,
    mut views: watch::Receiver<Arc<FleetView>>,
) {
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        state.apply_view(&view);
        if views.changed().await.is_err() {
            return;
        }
    }
}
