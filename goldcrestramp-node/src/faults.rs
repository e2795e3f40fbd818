//! Faults that the demo and in-process tests switch on.
//!
//! Real processes are killed, frozen and cut off from outside; several
//! daemons in one process need these switches instead.

use std::sync::{PoisonError, RwLock};

use goldcrestramp_types::FastSet;
use tokio::sync::watch;

/// The switches of one daemon; all off at first.
#[derive(Debug, Default)]
pub struct NodeFaults {
    paused: watch::Sender<bool>,
    cut: RwLock<FastSet<String>>,
}

impl NodeFaults {
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
