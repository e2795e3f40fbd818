//! The slots of each server that this VM keeps.

use std::sync::{Arc, Mutex, PoisonError};

use goldcrestramp_ownership::ServerOrder;
use goldcrestramp_types::{FastMap, ServerName};
use tokio::sync::Semaphore;

/// The gates of all servers that this VM has kept since it started.
#[derive(Debug, Default)]
pub(crate) struct ServerGates {
    gates: Mutex<FastMap<ServerName, Arc<Semaphore>>>,
}

impl ServerGates {
    /// The gate of a server: as many permits as it has slots.
    pub(crate) fn gate(&self, order: &ServerOrder) -> Arc<Semaphore> {
        let mut gates =
            self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let slots = order.slots as usize;
        let gate = gates
            .entry(order.server.clone())
            .or_insert_with(|| Arc::new(Semaphore::new(slots)));
        Arc::clone(gate)
    }
}
