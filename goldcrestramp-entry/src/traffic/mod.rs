//! The traffic thread: takes, queues, sends and answers requests.
//!
//! Each VM sends directly to the servers: they enforce themselves who owns
//! a key, so no VM has to stand between. What a VM may have under way at a
//! server is its share of the server's slots, learnt from its answers.

mod attempt;
mod choose;
mod connection;
mod headers;
mod listener;
mod permit;
mod reason;
mod request;
mod response;
mod serve;
mod server;
mod state;
mod wait;

use std::{rc::Rc, sync::Arc};

use goldcrestramp_adapter::NodeSettings;
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    task::spawn_local,
};

use crate::{
    run::StopPhase,
    shared::SharedState,
    traffic::{listener::serve_listener, state::TrafficState},
    view::FleetView,
};

/// The running traffic part of a VM.
#[derive(Clone, Debug)]
pub struct TrafficHandle {
    connections: Rc<ConnectionCount>,
}

/// Connections of callers that are open.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCount {
    open: std::cell::Cell<usize>,
    changed: Notify,
}

impl ConnectionCount {
    /// Counts a connection until the guard is dropped.
    pub(crate) fn enter(self: &Rc<Self>) -> ConnectionGuard {
        self.open.set(self.open.get() + 1);
        ConnectionGuard(Rc::clone(self))
    }
}

/// One open connection.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(Rc<ConnectionCount>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.changed.notify_waiters();
    }
}

impl TrafficHandle {
    /// Waits until no caller is connected.
    pub async fn wait_empty(&self) {
        loop {
            let changed = self.connections.changed.notified();
            if self.connections.open.get() == 0 {
                return;
            }
            changed.await;
        }
    }
}

/// Starts the traffic part in the current local set.
pub fn spawn_traffic(
    settings: Arc<NodeSettings>,
    listener: TcpListener,
    views: watch::Receiver<Arc<FleetView>>,
    phase: watch::Receiver<StopPhase>,
    shared: SharedState,
) -> TrafficHandle {
    let state =
        TrafficState::open(settings, views.clone(), phase.clone(), shared);
    let state = Rc::new(state);
    let connections = Rc::<ConnectionCount>::default();
    let gate = TrafficHandle { connections: Rc::clone(&connections) };
    spawn_local(follow_views(Rc::clone(&state), views));
    spawn_local(serve_listener(state, listener, phase, connections));
    gate
}

/// Takes each new view, and wakes whoever waits for one.
async fn follow_views(
    state: Rc<TrafficState>,
    mut views: watch::Receiver<Arc<FleetView>>,
) {
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        state.take_view(&view);
        if views.changed().await.is_err() {
            return;
        }
    }
}
