//! A stand-in of a backend server, which accepts fenced grants and runs
//! requests.
//!
//! Each request occupies a slot for a time that is drawn from a seed, reads or
//! increments the value of its key, and gets a response whose bytes can be
//! verified. The server logs what it held and executed.

mod behaviour;
mod faults;
mod headers;
mod log;
mod requests;
mod routes;
mod run;
mod shared;
mod state;
mod storage;

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
};

pub use self::{
    behaviour::{ServerBehaviour, WorkTimes},
    faults::ServerFaults,
    log::ServerLog,
    storage::KeyStorage,
};
use self::{
    log::LogWriter, routes::routes, shared::ServerShared, state::ServerState,
    storage::KeyCache,
};
use crate::{listener::ListenerHandle, records::MachineTime};

/// A running stand-in server.
#[derive(Debug)]
pub struct ServerStandin {
    shared: Arc<ServerShared>,
    address: SocketAddr,
    listener: Mutex<Option<ListenerHandle>>,
}

impl ServerStandin {
    /// Binds a server without grants and with storage of its own.
    ///
    /// # Errors
    ///
    /// The system's error when the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        behaviour: ServerBehaviour,
    ) -> std::io::Result<Self> {
        let storage = KeyStorage::default();
        Self::bind_with(address, behaviour, storage, None).await
    }

    /// Binds a server whose keys are stored in `storage`. It also writes its
    /// log to a file if one is given.
    ///
    /// # Errors
    ///
    /// The system's error when the address cannot be bound or the file cannot
    /// be opened.
    pub async fn bind_with(
        address: SocketAddr,
        behaviour: ServerBehaviour,
        storage: KeyStorage,
        log_file: Option<&Path>,
    ) -> std::io::Result<Self> {
        let log = match log_file {
            Some(path) => LogWriter::open(path)?,
            None => LogWriter::default(),
        };
        let run = rand::random();
        let cache = KeyCache::new(storage);
        let state = ServerState::new(run, behaviour.clone(), cache, log);
        let shared = Arc::new(ServerShared::new(run, behaviour, state));
        let routes = routes(Arc::clone(&shared));
        let listener = ListenerHandle::bind(address, routes).await?;
        let address = listener.address();
        Ok(Self { shared, address, listener: Mutex::new(Some(listener)) })
    }

    /// The address that the server is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its executions and grants so far.
    #[must_use]
    pub fn log(&self) -> ServerLog {
        self.shared.state().log.log().clone()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ServerFaults) {
        self.shared.state().faults = faults;
    }

    /// Stops responding until [`Self::thaw`]; its clock continues.
    ///
    /// Requests that arrive meanwhile wait and are checked after the thaw.
    pub fn freeze(&self) {
        self.shared.frozen.send_replace(true);
    }

    /// Continues after [`Self::freeze`].
    pub fn thaw(&self) {
        self.shared.frozen.send_replace(false);
    }

    /// Simulates the loss of the server: it responds to nothing from now on.
    pub fn lose(&self) {
        self.freeze();
        let listener = self.listener.lock();
        let mut listener = listener.unwrap_or_else(PoisonError::into_inner);
        drop(listener.take());
        self.shared.state().log.close(MachineTime::now());
    }
}
