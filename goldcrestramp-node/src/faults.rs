//! Fault injection for the demo and for tests with daemons in one process.
//!
//! Separate processes are killed, paused and disconnected from outside.
//! Several daemons in one process need these switches instead.

use std::sync::{
    PoisonError, RwLock,
    atomic::{AtomicU8, Ordering},
};

use goldcrestramp_types::FastSet;
use tokio::sync::watch;

/// A safeguard that a daemon disables on purpose.
///
/// These faults test the checks themselves: with one of them planted, the
/// checks after a run must find what the safeguard prevents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum PlantedFault {
    /// A keeper sends a request to a server that is not the owner.
    WrongServer = 1,
    /// A non-idempotent request that may have run is retried, and its
    /// keeper has no record of the first attempt.
    StartedRetried,
    /// A caller gets "not run" for a request whose outcome is unknown.
    UnknownDenied,
    /// A response with the id of another request is forwarded.
    CrossedPassed,
    /// A truncated response ends as if it were complete.
    CutPassed,
}

/// The fault switches of one daemon; initially, all are off.
#[derive(Debug, Default)]
pub struct NodeFaults {
    /// The number of a [`PlantedFault`], or 0 for none.
    planted: AtomicU8,
    paused: watch::Sender<bool>,
    cut: RwLock<FastSet<String>>,
}

impl NodeFaults {
    /// Disables one safeguard, or enables all of them for `None`.
    pub fn plant(&self, fault: Option<PlantedFault>) {
        let number = fault.map_or(0, |fault| fault as u8);
        self.planted.store(number, Ordering::Relaxed);
    }

    /// Returns whether this fault is planted.
    pub(crate) fn has(&self, fault: PlantedFault) -> bool {
        self.planted.load(Ordering::Relaxed) == fault as u8
    }

    /// Pauses or resumes the daemon, as if its VM were paused or resumed.
    pub fn pause(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Disconnects the daemon from these `IP:port` addresses. The set
    /// replaces that of an earlier call.
    pub fn cut(&self, addresses: impl IntoIterator<Item = String>) {
        let mut cut = self.cut.write().unwrap_or_else(PoisonError::into_inner);
        *cut = addresses.into_iter().collect();
    }

    /// Returns whether the daemon is disconnected from `address`.
    #[must_use]
    pub fn is_cut(&self, address: &str) -> bool {
        let cut = self.cut.read().unwrap_or_else(PoisonError::into_inner);
        !cut.is_empty() && cut.contains(address)
    }

    /// Waits while the daemon is paused.
    pub async fn wait(&self) {
        let mut paused = self.paused.subscribe();
        while *paused.borrow_and_update() {
            if paused.changed().await.is_err() {
                // The sender is dropped, so nothing can end the pause.
                std::future::pending::<()>().await;
            }
        }
    }
}
