//! Chooses the servers that a VM sends to when a fleet has many VMs.
//!
//! In a fleet with more VMs than a server has room for requests, each VM sees
//! few of the requests to each server: to a VM that may send to all of them
//! each server looks idle. One request from each VM then overflows a server's
//! queue. So each VM sends to a few servers only, and each server gets
//! requests from a few VMs, which see enough of its load to keep its queue
//! short.
//!
//! VMs and servers are placed on a ring in an order on which all VMs agree,
//! and each VM takes a window of the ring. Every server is in as many windows
//! as any other, and a VM or server that joins or leaves shifts each window by
//! a part of its length.

use crate::rate::FleetPosition;

/// The servers that a VM sends to: a window on the ring of all servers.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{FleetPosition, ServerWindow};
///
/// let position = FleetPosition { vms: 80, rank: 79 };
/// let window = ServerWindow::of(position, 40, 4, 1);
/// assert_eq!(window.positions().collect::<Vec<_>>(), [39, 0]);
/// assert_eq!(window.senders(), 4);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerWindow {
    first: usize,
    length: usize,
    servers: usize,
    vms: usize,
}

impl ServerWindow {
    /// The window of the VM at `position` among `servers` servers, of which
    /// each should get requests from about `senders` VMs. It has at least
    /// `min_length` servers, as far as there are so many.
    #[must_use]
    pub fn of(
        position: FleetPosition,
        servers: usize,
        senders: usize,
        min_length: usize,
    ) -> Self {
        let vms = position.vms.max(1);
        let rank = position.rank % vms;
        let length = (servers * senders).div_ceil(vms);
        let length = length.clamp(servers.min(min_length), servers);
        Self { first: rank * servers / vms, length, servers, vms }
    }

    /// The positions of the servers in the window.
    pub fn positions(self) -> impl Iterator<Item = usize> {
        let Self { first, length, servers, .. } = self;
        (first..first + length).map(move |position| position % servers)
    }

    /// The number of VMs that send to each server.
    #[must_use]
    pub fn senders(self) -> usize {
        (self.length * self.vms).div_ceil(self.servers.max(1)).min(self.vms)
    }
}
