//! Faults that the demo and in-process tests switch on.
//!
//! Real processes are killed, frozen and cut off from outside; several
//! daemons in one process need these switches instead.

use std::sync::{
    PoisonError, RwLock,
    atomic::{AtomicU8, Ordering},
};

use goldcrestramp_types::FastSet;
use tokio::sync::watch;

/// A safeguard that a daemon leaves out on purpose.
///
/// A check that cannot fail proves nothing: with one of these, the checks
/// after a run must find what the safeguard prevents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum PlantedFault {
    /// A keeper sends to another server than the owner.
    WrongServer = 1,
    /// An order that may have run is sent again, and its keeper has
    /// forgotten the first.
    StartedRetried,
    /// A caller is told "not run" where nobody knows.
    UnknownDenied,
    /// An answer under another request's id is passed on.
    CrossedPassed,
    /// An answer that broke off ends as if it were whole.
    CutPassed,
}

/// The switches of one daemon; all off at first.
#[derive(Debug, Default)]
pub struct NodeFaults {
    /// A [`PlantedFault`], or 0.
    planted: AtomicU8,
    paused: watch::Sender<bool>,
    cut: RwLock<FastSet<String>>,
}

impl NodeFaults {
    /// Leaves a safeguard out, or none.
    pub fn plant(&self, fault: Option<PlantedFault>) {
        let number = fault.map_or(0, |fault| fault as u8);
        self.planted.store(number, Ordering::Relaxed);
    }

    /// Whether a safeguard is left out.
    pub(crate) fn has(&self, fault: PlantedFault) -> bool {
        self.planted.load(Ordering::Relaxed) == fault as u8
    }

    /// Makes the daemon stand still, as a paused VM does.
    pub fn pause(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Cuts the daemon off from these `IP:port` addresses, and no others.
    pub fn cut(&self, addresses: impl IntoIterator<Item = String>) {
        let mut cut = self.cut.write().unwrap_or_else(PoisonError::into_inner);
        *cut = addresses.into_iter().collect();
    }

    /// Whether the daemon is cut off from `address`.
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
                // No switch is left that could end the pause.
                std::future::pending::<()>().await;
            }
        }
    }
}
