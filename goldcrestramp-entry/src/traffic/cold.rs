//! Requests to cold servers.

use std::sync::Arc;

use goldcrestramp_adapter::{ColdLimit, ServerEntry};
use goldcrestramp_decisions::FleetPosition;
use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    traffic::{
        position::position_among, server::ServerState, state::TrafficState,
    },
    view::FleetView,
};

/// How long a VM without an entry still counts as one that may be chosen. The
/// entries of all VMs expire while the store is away, and each VM would then
/// take itself for the only one.
const MEMBER_RETENTION: TimeSpan = TimeSpan::from_millis(30_000);

/// How long a VM's position among the senders is kept.
const POSITION_TTL: TimeSpan = TimeSpan::from_millis(1_000);

/// A VM that has an entry, or had one recently.
#[derive(Debug)]
struct FleetMember {
    domain: Arc<str>,
    retained_until: LocalTime,
}

/// The VMs that may be chosen to send to a cold server, by name.
#[derive(Debug, Default)]
pub(super) struct FleetMembers(FastMap<Arc<str>, FleetMember>);

impl FleetMembers {
    /// Records the VMs that have an entry.
    pub(super) fn record(&mut self, now: LocalTime, view: &FleetView) {
        self.0.retain(|_vm, member| member.retained_until > now);
        for vm in &view.vms {
            let domain = Arc::clone(&vm.domain);
            let retained_until = now + MEMBER_RETENTION;
            let member = FleetMember { domain, retained_until };
            self.0.insert(Arc::clone(&vm.vm), member);
        }
    }

    /// The position of `vm` among the VMs that may be chosen for a server:
    /// those of its failure domain, or all if there are none. The order
    /// differs from server to server.
    fn position(&self, vm: &str, server: &str, domain: &str) -> FleetPosition {
        let is_near = |member: &FleetMember| *member.domain == *domain;
        let any_near = self.0.values().any(is_near);
        let candidates = self.0.iter();
        let candidates = candidates
            .filter(|(_vm, member)| !any_near || is_near(member))
            .map(|(vm, _member)| &**vm);
        let seed = xxh3_64(server.as_bytes());
        let position = position_among(vm, candidates, seed);
        if any_near && !self.0.get(vm).is_some_and(is_near) {
            // The last rank: a VM of another failure domain is never chosen.
            return FleetPosition { rank: position.vms, ..position };
        }
        position
    }
}

impl TrafficState {
    /// Whether a server may get a request now. A warm one always may.
    pub(super) fn may_send_cold(
        &self,
        now: LocalTime,
        view: &FleetView,
        entry: &ServerEntry,
        server: &ServerState,
    ) -> bool {
        let Some(limit) = view.cold_limit(now, entry) else {
            server.cold_position.set(None);
            return true;
        };
        let position = match server.cold_position.get() {
            Some((position, until)) if until > now => position,
            _ => {
                let members = self.members.borrow();
                let vm = &self.settings.vm;
                let position = members.position(vm, &entry.id, &entry.domain);
                let until = now + POSITION_TTL;
                server.cold_position.set(Some((position, until)));
                position
            }
        };
        let allowance = server.cold_allowance.get();
        allowance.may_send(now, self.started, position, limit.per_s())
    }

    /// The requests per second that the owner of keys accepts from all VMs
    /// while it is cold; `None` if it is warm, states no limit or owns no
    /// keys.
    ///
    /// Only one server serves a key, so all VMs send to it, by permits.
    pub(super) fn cold_rate(
        &self,
        now: LocalTime,
        server: &str,
    ) -> Option<f64> {
        let view = self.view();
        let entry = view.servers.get(server)?;
        let routes = view.routes.as_ref();
        routes.filter(|routes| routes.is_sharded(&entry.service))?;
        view.cold_limit(now, entry).map(ColdLimit::per_s)
    }
}

impl ServerState {
    /// Records a request to this server, which may be cold.
    pub(super) fn record_cold_send(&self, now: LocalTime, view: &FleetView) {
        let Some((position, _until)) = self.cold_position.get() else {
            return;
        };
        let entry = view.servers.get(&self.instance.id);
        let limit = entry.and_then(|entry| view.cold_limit(now, entry));
        if let Some(limit) = limit {
            let mut allowance = self.cold_allowance.get();
            allowance.record_send(now, position, limit.per_s());
            self.cold_allowance.set(allowance);
        }
    }
}
