//! The servers of each service that this VM sends to.

use std::{rc::Rc, sync::Arc};

use goldcrestramp_adapter::ServerEntry;
use goldcrestramp_decisions::{
    FleetPosition, ServerProximity, ServerWindow, is_crowded,
};
use goldcrestramp_types::FastMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    traffic::{position::position_among, state::TrafficState},
    view::FleetView,
};

/// The VMs that send to each server of a crowded fleet, for each of its
/// slots.
const SENDERS_PER_SLOT: usize = 2;

/// The minimum number of servers of each failure domain in the VM's own region
/// that it sends to: with fewer, requests leave the region while a server next
/// to those is idle.
const MIN_NEAR_SERVERS: usize = 3;

/// The seed of the order of VMs on the ring.
const WINDOW_SEED: u64 = 0;

/// A server that this VM sends to.
#[derive(Clone, Debug)]
pub(super) struct SubsetServer {
    pub(super) entry: Arc<ServerEntry>,
    /// The number of VMs that send to it; `None` if the fleet is not crowded
    /// and all do.
    pub(super) senders: Option<usize>,
}

/// The servers that this VM sends to, by service.
pub(super) type SubsetCache = FastMap<Arc<str>, Rc<[SubsetServer]>>;

impl TrafficState {
    /// The servers of a service that this VM sends to: in a crowded fleet a
    /// few of each failure domain, otherwise all.
    pub(super) fn subset(
        &self,
        view: &FleetView,
        service: &Arc<str>,
    ) -> Rc<[SubsetServer]> {
        let mut subsets = self.subsets.borrow_mut();
        if let Some(subset) = subsets.get(service) {
            return Rc::clone(subset);
        }
        let ready = view.ready.get(service).map_or(&[][..], Vec::as_slice);
        let vms = view.vms.iter().map(|vm| &*vm.vm);
        let position = position_among(&self.settings.vm, vms, WINDOW_SEED);
        let subset: Rc<[SubsetServer]> =
            subset_of(self, position, ready).into_iter().collect();
        subsets.insert(Arc::clone(service), Rc::clone(&subset));
        subset
    }
}

fn subset_of(
    state: &TrafficState,
    position: FleetPosition,
    ready: &[Arc<ServerEntry>],
) -> Vec<SubsetServer> {
    let slots = ready.iter().map(|entry| entry.slots as usize).min();
    let slots = slots.unwrap_or(1);
    if !is_crowded(slots, position.vms) {
        let all = ready.iter().cloned();
        return all
            .map(|entry| SubsetServer { entry, senders: None })
            .collect();
    }
    let mut domains: FastMap<&str, Vec<&Arc<ServerEntry>>> =
        FastMap::default();
    for entry in ready {
        domains.entry(&entry.domain).or_default().push(entry);
    }
    let mut subset = Vec::new();
    for servers in domains.values_mut() {
        servers.sort_unstable_by_key(|entry| xxh3_64(entry.id.as_bytes()));
        let senders = slots * SENDERS_PER_SLOT;
        let near = state.proximity_to(servers[0]) != ServerProximity::Remote;
        let min_length = if near { MIN_NEAR_SERVERS } else { 1 };
        let window =
            ServerWindow::of(position, servers.len(), senders, min_length);
        let chosen = window.positions().map(|index| SubsetServer {
            entry: Arc::clone(servers[index]),
            senders: Some(window.senders()),
        });
        subset.extend(chosen);
    }
    subset
}
