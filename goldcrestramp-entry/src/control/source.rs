//! Chooses the source of a VM's store updates, builds updates for other VMs
//! and applies theirs.

use std::net::SocketAddr;

use goldcrestramp_decisions::{StoreReadInputs, StoreReadStep};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};

use crate::{
    configuration::ConfigurationUpdate,
    control::{
        ControlActor,
        message::{PeerQueryEnded, PeerUpdate},
        ranking::{fallback_vms, neighbor_vms, source_vms, starting_vms},
        sync::{UpdateSource, update_as_of},
    },
    peers::{
        KnownRevisions, PeerCall, PeerReply, StoreUpdate, SyncReply,
        SyncRequest,
    },
};

/// The result of applying another VM's update.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppliedUpdate {
    /// Whether anything has changed.
    pub(crate) changed: bool,
    /// Whether the full update was applied.
    pub(crate) complete: bool,
}

impl ControlActor {
    /// Queries another VM if the store or the followed VM has not responded in
    /// time.
    pub(crate) fn query_peer_if_stale(&mut self, now: LocalTime) {
        if self.sync.query_due(now, self.proof) {
            self.query_peer();
        }
    }

    /// The source to follow next. The planning VM and VMs without another VM
    /// to follow use the store; all others use another VM. `None` if this VM
    /// waits while another one reads the store.
    pub(crate) fn next_source(
        &mut self,
        now: LocalTime,
    ) -> Option<UpdateSource> {
        let revision = self.mirror.revision();
        let vms = &self.view.vms;
        let sources = if self.term.is_some() {
            Vec::new()
        } else if revision == 0 {
            starting_vms(&self.me, vms)
        } else {
            let region = self.regions.get(&self.me.domain);
            let is_near = |domain: &str| self.regions.get(domain) == region;
            source_vms(&self.me, vms, is_near)
        };
        let has_sources = !sources.is_empty();
        let peers = sources.into_iter().map(|vm| vm.address);
        let source = self.sync.next(now, revision, peers);
        let may_defer = self.load_control && has_sources && revision > 0;
        if may_defer { self.defer_read(now, source) } else { Some(source) }
    }

    /// The source to follow in place of `source`, so that few VMs read the
    /// store while their update sources fail. A VM without sources follows the
    /// store for its failure domain and never comes here.
    fn defer_read(
        &mut self,
        now: LocalTime,
        source: UpdateSource,
    ) -> Option<UpdateSource> {
        if matches!(source, UpdateSource::Peer(..)) {
            self.record_deferral(now, false);
            return Some(source);
        }
        let region = self.regions.get(&self.me.domain);
        let is_near = |domain: &str| self.regions.get(domain) == region;
        let neighbors = neighbor_vms(&self.me, &self.view.vms, is_near);
        let mut addresses = neighbors.into_iter().map(|vm| vm.address);
        let neighbor =
            addresses.find(|address| !self.sync.has_failed(*address));
        let step = self.store_read_inputs(now, neighbor.is_some()).step();
        self.record_deferral(now, step != StoreReadStep::Read);
        if step == StoreReadStep::Read {
            return Some(source);
        }
        self.sync.record_deferral();
        let revision = self.mirror.revision();
        neighbor.map(|address| UpdateSource::Peer(address, revision))
    }

    /// What this VM knows when it chooses where to read.
    fn store_read_inputs(
        &self,
        now: LocalTime,
        has_neighbor: bool,
    ) -> StoreReadInputs {
        let own = self.me.duty_rank();
        let before = self.view.vms.iter().filter(|vm| {
            vm.domain == self.me.domain
                && vm.duty_rank() > own
                && !self.sync.has_failed(vm.address)
        });
        StoreReadInputs {
            age: self.sync.age(now),
            limit: self.configuration_limit,
            rank: before.count(),
            has_neighbor,
        }
    }

    /// Logs when this VM begins and ends to defer reads of the store, and
    /// counts how often it begins.
    fn record_deferral(&mut self, now: LocalTime, defers: bool) {
        match (self.deferred_since, defers) {
            (None, true) => {
                self.deferred_since = Some(now);
                self.metrics.deferred_reads.inc();
                log::info!(
                    "[store] No update source responds; VMs of this region \
                     are asked before the store."
                );
            }
            (Some(since), false) => {
                self.deferred_since = None;
                log::info!(
                    took_ms = now.since(since).as_millis();
                    "[store] Updates arrive again, or the store may be read."
                );
            }
            (Some(_), true) | (None, false) => {}
        }
    }

    /// How long to wait for a response that is arriving before the next source
    /// is asked as well; `None` for the default time.
    pub(crate) fn response_time(&self, now: LocalTime) -> Option<TimeSpan> {
        let known = self.load_control && self.mirror.revision() > 0;
        known.then(|| self.store_read_inputs(now, true).response_time())
    }

    /// The address at which a source states whether it is busy, if it is a VM
    /// that does.
    pub(crate) fn busy_address(
        &self,
        source: UpdateSource,
    ) -> Option<SocketAddr> {
        let UpdateSource::Peer(address, _revision) = source else {
            return None;
        };
        let mut vms = self.view.vms.iter();
        vms.find(|vm| vm.address == address)?.relay_address
    }

    /// The revisions of the store's contents that this VM knows.
    pub(crate) fn known_revisions(&self) -> KnownRevisions {
        KnownRevisions {
            revision: self.mirror.revision(),
            tables: self.history.known_revisions(),
            configuration: self.configurations.known_revision(),
        }
    }

    /// The reply to a VM that requests the changes since the revisions in
    /// `known`.
    pub(crate) fn sync_reply(
        &self,
        now: LocalTime,
        known: &KnownRevisions,
    ) -> SyncReply {
        SyncReply {
            update: self.update_since(known),
            age: self.sync.age(now),
            held: TimeSpan::ZERO,
            fresh: self.sync.may_be_followed(now, self.proof),
        }
    }

    /// The changes of the store for a VM that knows the revisions in `known`.
    fn update_since(&self, known: &KnownRevisions) -> StoreUpdate {
        let tables = self.history.update_for(&known.tables);
        let configuration =
            self.configurations.update_for(known.configuration);
        let is_known = self.mirror.revision() <= known.revision;
        if is_known && tables.is_empty() && configuration.is_none() {
            return StoreUpdate::Unchanged;
        }
        if let Some(items) = self.mirror.delta_since(known.revision) {
            return StoreUpdate::Delta { items, tables, configuration };
        }
        let items = self.mirror.without_tables();
        StoreUpdate::Snapshot { items, tables, configuration }
    }

    /// Applies another VM's update.
    ///
    /// Patches of a table or of the configuration that have another base
    /// version are skipped. The revision then stays as it is, so that the
    /// missing changes are requested again.
    pub(crate) fn apply_update(
        &mut self,
        now: LocalTime,
        update: StoreUpdate,
    ) -> AppliedUpdate {
        match update {
            StoreUpdate::Unchanged => {
                AppliedUpdate { changed: false, complete: true }
            }
            StoreUpdate::Delta { items, tables, configuration } => {
                let tables = self.apply_tables(now, tables);
                let applied = self.apply_configuration(configuration);
                let complete = tables && applied.complete;
                let changed = self.mirror.apply_delta(items, complete);
                if applied.changed {
                    self.mirror.record_change();
                }
                AppliedUpdate { changed: changed || applied.changed, complete }
            }
            StoreUpdate::Snapshot { items, tables, configuration } => {
                let tables = self.apply_tables(now, tables);
                let applied = self.apply_configuration(configuration);
                let complete = tables && applied.complete;
                // If the items were adopted without the tables and the
                // configuration, the missing parts would not be requested
                // again.
                let changed = complete && self.mirror.adopt(items);
                AppliedUpdate { changed: changed || applied.changed, complete }
            }
        }
    }

    fn apply_configuration(
        &mut self,
        update: Option<ConfigurationUpdate>,
    ) -> AppliedUpdate {
        let Some(update) = update else {
            return AppliedUpdate { changed: false, complete: true };
        };
        match self.configurations.apply_update(update) {
            Ok(changed) => AppliedUpdate { changed, complete: true },
            Err(error) => {
                log::debug!(
                    "[control] Skipped a configuration update: {error}."
                );
                AppliedUpdate { changed: false, complete: false }
            }
        }
    }

    /// Queries another VM for the store's contents, one at a time.
    ///
    /// Several responses in flight at once carry the same data, and each slows
    /// the others down on a narrow link.
    pub(crate) fn query_peer(&mut self) {
        if self.query_in_flight {
            return;
        }
        let others = fallback_vms(&self.me, &self.view.vms);
        if others.is_empty() {
            return;
        }
        let chosen = rand::random_range(0..others.len());
        let address = others[chosen].address;
        let known = self.known_revisions();
        let call = PeerCall::Sync(SyncRequest { known, wait: false });
        let (peers, control) = (self.peers.clone(), self.address.clone());
        self.query_in_flight = true;
        tokio::spawn(async move {
            let sent_at = MonotonicClock.now();
            let reply = peers.call(address, &call).await;
            if let Some(received) = reply.and_then(PeerReply::into_update) {
                let SyncReply { update, age, held, .. } = received;
                let as_of = update_as_of(sent_at, held, age);
                // The response does not show whether this VM reaches the
                // store.
                let source = None;
                let update =
                    PeerUpdate { update, as_of, fresh: false, source };
                // Sending fails only when the process stops.
                let _gone = control.send(update).await;
            }
            // As above.
            let _gone = control.send(PeerQueryEnded).await;
        });
    }
}
