//! A stand-in of the platform: key-value service and VM list, in memory.
//!
//! It can be made to fail in process, by the methods of
//! [`PlatformStandin`], or over HTTP:
//!
//! | call | meaning |
//! | --- | --- |
//! | `GET /faults`, `POST /faults` | the [`PlatformFaults`] as JSON |
//! | `POST /snapshot` | keeps a copy of all values |
//! | `POST /restore` | puts the copy back, versions too |
//! | `GET /counts` | the [`CallTally`] as JSON |
//! | `PUT /vms` | replaces the true VM list |
//!
//! These calls go to [`PlatformStandin::admin_address`], which no outage
//! reaches.

mod admin;
mod faults;
mod front;
mod listing;
mod rates;
mod routes;
mod serve;
mod shared;
mod state;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use goldcrestramp_platform::VmEntry;

pub use self::{
    faults::{LossKind, OutageKind, PlatformFaults},
    listing::live_entry,
    rates::CallTally,
};
use self::{front::FrontHandle, routes::routes, shared::PlatformShared};
use crate::listener::ListenerHandle;

/// A running stand-in platform; the last clone to go ends it.
#[derive(Clone, Debug)]
pub struct PlatformStandin {
    shared: PlatformShared,
    front: Arc<FrontHandle>,
    inner: Arc<ListenerHandle>,
}

impl PlatformStandin {
    /// Binds a platform that holds nothing yet, and its admin calls to any
    /// free port.
    ///
    /// # Errors
    ///
    /// The system's error when an address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let admin = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::bind_with_admin(address, admin).await
    }

    /// Binds a platform that holds nothing yet, and its admin calls.
    ///
    /// # Errors
    ///
    /// The system's error when an address cannot be bound.
    pub async fn bind_with_admin(
        address: SocketAddr,
        admin: SocketAddr,
    ) -> std::io::Result<Self> {
        let shared = PlatformShared::new();
        let inner =
            ListenerHandle::bind(admin, routes(shared.clone())).await?;
        let outage = shared.outage.subscribe();
        let front = FrontHandle::bind(
            address,
            inner.address(),
            outage,
            &shared.cutter,
        )
        .await?;
        Ok(Self { shared, front: Arc::new(front), inner: Arc::new(inner) })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Where its admin calls go, also during an outage.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.inner.address()
    }

    /// Replaces the true VM list; the shown one may lag or be wrong.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.shared.set_vms(vms);
    }

    /// What is wrong with it at the moment.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.shared.state().faults.clone()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.set_faults(faults);
    }

    /// Keeps a copy of all values.
    pub fn snapshot(&self) {
        self.shared.state().save();
    }

    /// Puts the kept copy back: values and versions are the older ones.
    pub fn restore(&self) {
        self.shared.restore();
    }

    /// The calls taken and refused so far.
    #[must_use]
    pub fn counts(&self) -> CallTally {
        self.shared.state().tally
    }
}
