//! A stand-in of the platform: an in-memory key-value service and VM list.
//!
//! Faults are injected in process, by the methods of [`PlatformStandin`], or
//! over HTTP:
//!
//! | call | meaning |
//! | --- | --- |
//! | `GET /faults`, `POST /faults` | the [`PlatformFaults`] as JSON |
//! | `POST /snapshot` | saves a copy of all values |
//! | `POST /restore` | restores the copy, including versions |
//! | `GET /counts` | the [`CallTally`] as JSON |
//! | `PUT /vms` | replaces the true VM list |
//!
//! These calls are served at [`PlatformStandin::admin_address`], which no
//! outage affects.

mod admin;
mod faults;
mod listing;
mod proxy;
mod rates;
mod routes;
mod serve;
mod shared;
mod state;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use bytes::Bytes;
use goldcrestramp_platform::VmEntry;

pub use self::{
    faults::{LossKind, OutageKind, PlatformFaults},
    listing::live_entry,
    rates::CallTally,
};
use self::{proxy::ProxyHandle, routes::routes, shared::PlatformShared};
use crate::listener::ListenerHandle;

/// A running stand-in platform; it stops when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct PlatformStandin {
    shared: PlatformShared,
    proxy: Arc<ProxyHandle>,
    inner: Arc<ListenerHandle>,
}

impl PlatformStandin {
    /// Binds an empty platform, and its admin calls to any free port.
    ///
    /// # Errors
    ///
    /// The system's error when an address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let admin = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::bind_with_admin(address, admin).await
    }

    /// Binds an empty platform and its admin calls.
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
        let proxy = ProxyHandle::bind(
            address,
            inner.address(),
            outage,
            &shared.cutter,
        )
        .await?;
        Ok(Self { shared, proxy: Arc::new(proxy), inner: Arc::new(inner) })
    }

    /// The address of the platform's calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// The address of the admin calls, reachable also during an outage.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.inner.address()
    }

    /// Replaces the true VM list; the published one may lag or be wrong.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.shared.set_vms(vms);
    }

    /// The active faults.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.shared.state().faults.clone()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.set_faults(faults);
    }

    /// Saves a copy of all values.
    pub fn snapshot(&self) {
        self.shared.state().save();
    }

    /// Restores the saved copy: values and versions are the older ones.
    pub fn restore(&self) {
        self.shared.restore();
    }

    /// Like `restore`; returns the value that `key` has then, before any
    /// client of the store can write it again.
    #[must_use]
    pub fn restore_and_read(&self, key: &str) -> Option<Bytes> {
        self.shared.restore_and_read(key)
    }

    /// The calls accepted and refused so far.
    #[must_use]
    pub fn counts(&self) -> CallTally {
        self.shared.state().tally
    }
}
