//! From where a VM learns what changes in the store, and what it tells.

use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock};

use crate::{
    configuration::ConfigurationUpdate,
    control::{
        ControlActor,
        message::{PeerQueryEnded, PeerUpdate},
        ranking::{fallback_vms, source_vms},
        sync::{UpdateSource, update_as_of},
    },
    peers::{KnownRevisions, PeerCall, PeerReply, StoreUpdate},
};

/// What came of another VM's news.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppliedUpdate {
    /// Whether anything has changed.
    pub(crate) changed: bool,
    /// Whether everything was taken.
    pub(crate) complete: bool,
}

impl ControlActor {
    /// Asks another VM while the store is silent to this one.
    pub(crate) fn query_peer_if_stale(&mut self, now: LocalTime) {
        if self.sync.query_due(now, self.proof) {
            self.query_peer();
        }
    }

    /// From where changes are followed next: from the store by the planning
    /// VM and by those that have nobody to follow, else from another VM.
    pub(crate) fn next_source(&mut self, now: LocalTime) -> UpdateSource {
        let revision = self.mirror.revision();
        let sources = if self.term.is_none() {
            let region = self.regions.get(&self.me.domain);
            let is_near = |domain: &str| self.regions.get(domain) == region;
            source_vms(&self.me, &self.view.vms, is_near)
        } else {
            Vec::new()
        };
        let peers = sources.into_iter().map(|vm| vm.address);
        self.sync.next(now, revision, peers)
    }

    /// What this VM knows of the store.
    pub(crate) fn known_revisions(&self) -> KnownRevisions {
        KnownRevisions {
            revision: self.mirror.revision(),
            tables: self.history.known_revisions(),
            configuration: self.configurations.known_revision(),
        }
    }

    /// What has changed in the store, for a VM that knows so much of it.
    pub(crate) fn update_since(&self, known: &KnownRevisions) -> StoreUpdate {
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

    /// Takes what another VM says has changed.
    ///
    /// Changes of a table or of the configuration that were made for another
    /// version are left aside. The revision then stays, so that what is
    /// missing is asked for again.
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
                // Adopted without them, what is missing would not be asked
                // for.
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
                log::debug!("[control] News were left aside: {error}.");
                AppliedUpdate { changed: false, complete: false }
            }
        }
    }

    /// Asks another VM for the store's contents, one at a time.
    ///
    /// Several answers that are on their way at once bring the same, and each
    /// makes the others take longer on a narrow link.
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
        let call =
            PeerCall::Sync { known: self.known_revisions(), wait: false };
        let (peers, control) = (self.peers.clone(), self.address.clone());
        self.query_in_flight = true;
        tokio::spawn(async move {
            let sent_at = MonotonicClock.now();
            if let Some(PeerReply::Update { update, age, held, .. }) =
                peers.call(address, &call).await
            {
                let as_of = update_as_of(sent_at, held, age);
                // It says nothing of this VM's own way to the store.
                let source = None;
                let update =
                    PeerUpdate { update, as_of, fresh: false, source };
                // The actor is gone only when the process ends.
                let _gone = control.send(update).await;
            }
            // As above.
            let _gone = control.send(PeerQueryEnded).await;
        });
    }
}
