//! From where a VM learns what changes in the store, and what it tells.

use std::net::SocketAddr;

use goldcrestramp_types::LocalTime;

use crate::{
    control::{ControlActor, message::PeerNews, news::NewsSource},
    history::TableMark,
    peers::{PeerCall, PeerReply, StoreNews},
    records::{DutyRank, VmRun},
};

impl ControlActor {
    /// Asks another VM while the store is silent to this one.
    pub(crate) fn ask_if_silent(&mut self, now: LocalTime) {
        if self.news.ask_due(now, self.proof) {
            self.ask_peer();
        }
    }

    /// From where changes are followed next: from the store by one VM of
    /// each failure domain and by the planning one, else from that VM.
    pub(crate) fn next_source(&mut self, now: LocalTime) -> NewsSource {
        let revision = self.mirror.revision();
        let peers =
            if self.term.is_none() { self.source_vms() } else { Vec::new() };
        self.news.next(now, revision, peers.into_iter())
    }

    /// The VMs of this failure domain that go before this one in following
    /// the store, best first.
    fn source_vms(&self) -> Vec<SocketAddr> {
        let own = self.me.duty_rank();
        let vms = self.view.vms.iter();
        let mut ranked: Vec<(DutyRank, SocketAddr)> = vms
            .filter(|vm| vm.domain == self.me.domain)
            .map(|vm| (vm.duty_rank(), vm.address))
            .filter(|(rank, _address)| *rank > own)
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        ranked.into_iter().map(|(_rank, address)| address).collect()
    }

    /// What has changed in the store since a revision, for a VM that has
    /// these versions of the tables.
    pub(crate) fn news_since(
        &self,
        revision: u64,
        tables: &[TableMark],
    ) -> StoreNews {
        let tables = self.history.news_for(tables);
        if self.mirror.revision() <= revision && tables.is_empty() {
            return StoreNews::None;
        }
        match self.mirror.delta_since(revision) {
            Some(delta) => StoreNews::Changes(delta, tables),
            None => StoreNews::Whole(self.mirror.clone()),
        }
    }

    /// Asks another VM for the store's contents.
    pub(crate) fn ask_peer(&self) {
        let others: Vec<&VmRun> =
            self.view.vms.iter().filter(|vm| vm.vm != self.me.vm).collect();
        if others.is_empty() {
            return;
        }
        let chosen = rand::random_range(0..others.len());
        let address = others[chosen].address;
        let revision = self.mirror.revision();
        let tables = self.history.marks();
        let call = PeerCall::Sync { revision, tables, wait: false };
        let (peers, control) = (self.peers.clone(), self.address.clone());
        tokio::spawn(async move {
            if let Some(PeerReply::News { news, age, .. }) =
                peers.call(address, &call).await
            {
                // It says nothing of this VM's own way to the store.
                let source = None;
                let news = PeerNews { news, age, fresh: false, source };
                // The actor is gone only when the process ends.
                let _gone = control.send(news).await;
            }
        });
    }
}
