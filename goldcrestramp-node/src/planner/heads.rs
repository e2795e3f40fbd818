//! Watches the heads of all domains' records while this VM is the planner.
//!
//! A domain's head changes when the domain loses its last server of a
//! service, and when it has released slices. The keys are not served until
//! the planner has read the head. Polling every 2 s alone took longer than
//! the 2 s within which a key is to be served again. A watch for each
//! domain, with one call in 10 s, also costs the store less than polling.

use std::sync::Arc;

use goldcrestramp_platform::{
    PlatformClient, StoreAccess, StoredValue,
    records::{DomainHead, StoreRecord, keys},
};
use goldcrestramp_types::{
    DomainName, FastMap, FastSet, ServiceName, TimeSpan,
};
use tokio::{sync::watch, task::JoinHandle};

use crate::store::StoreBackoff;

/// How long one watch waits. Each watch counts as one call to the key-value
/// service.
const WATCH_TIMEOUT: TimeSpan = TimeSpan::from_millis(10_000);

/// The last known content of the heads.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownHeads {
    /// The number of changes of heads.
    pub(super) changes: u64,
    /// The services for which each domain has no server.
    stranded: FastMap<DomainName, FastSet<ServiceName>>,
}

impl KnownHeads {
    /// The domains that have no server for `service`.
    pub(super) fn stranded(
        &self,
        service: &ServiceName,
    ) -> FastSet<DomainName> {
        let domains = self.stranded.iter();
        let found = domains.filter(|(_, names)| names.contains(service));
        found.map(|(domain, _)| domain.clone()).collect()
    }

    fn record(&mut self, domain: &DomainName, head: &DomainHead) {
        let names = head.stranded.keys().cloned().collect();
        self.stranded.insert(domain.clone(), names);
        self.changes += 1;
    }

    /// Whether a domain has no server for other services than in `before`.
    fn differs_from(&self, before: &Self) -> bool {
        self.stranded != before.stranded
    }
}

/// The task of a watch. Dropping it aborts the task.
#[derive(Debug)]
struct WatchTask(JoinHandle<()>);

impl Drop for WatchTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The watches of the heads, one for each domain.
#[derive(Debug, Default)]
pub(super) struct HeadWatch {
    tasks: FastMap<DomainName, WatchTask>,
    known: Arc<watch::Sender<KnownHeads>>,
    planned_with: KnownHeads,
}

impl HeadWatch {
    /// Watches the heads of exactly these domains.
    pub(super) fn follow(
        &mut self,
        store: &PlatformClient,
        domains: &[DomainName],
    ) {
        self.tasks.retain(|domain, _| domains.contains(domain));
        for domain in domains {
            self.tasks.entry(domain.clone()).or_insert_with(|| {
                let known = Arc::clone(&self.known);
                let watch = watch_head(store.clone(), domain.clone(), known);
                WatchTask(tokio::spawn(watch))
            });
        }
    }

    /// Returns what is known now. [`Self::changed`] compares with it.
    pub(super) fn snapshot(&mut self) -> KnownHeads {
        self.planned_with = self.known.borrow().clone();
        self.planned_with.clone()
    }

    /// Completes when a head has changed since the last snapshot.
    ///
    /// Unless `busy`, only a change of the services for which a domain has
    /// no server counts, not a change of what its servers hold.
    pub(super) async fn changed(&self, busy: bool) {
        let mut known = self.known.subscribe();
        let due = |known: &KnownHeads| {
            let any = known.changes != self.planned_with.changes;
            if busy { any } else { known.differs_from(&self.planned_with) }
        };
        // `self` owns the sender, so the wait cannot fail.
        drop(known.wait_for(due).await);
    }
}

async fn watch_head(
    store: PlatformClient,
    domain: DomainName,
    known: Arc<watch::Sender<KnownHeads>>,
) {
    let key = keys::domain_head(&domain);
    let mut backoff = StoreBackoff::new();
    let mut seen = 0;
    loop {
        // With version 0, the watch returns an existing value at once, and
        // a missing one as soon as its domain writes it.
        match store.watch(&key, seen, WATCH_TIMEOUT).await {
            Ok(Some(stored)) => {
                backoff.reset();
                seen = stored.version;
                if let Some(head) = decode(&key, &stored) {
                    known.send_modify(|known| known.record(&domain, &head));
                }
            }
            // Unchanged or deleted: read whatever is there.
            Ok(None) => {
                backoff.reset();
                seen = 0;
            }
            Err(error) => {
                log::warn!("planner: cannot watch {key}: {error}.");
                backoff.wait().await;
            }
        }
    }
}

/// Decodes a head. A malformed head is ignored, and the last known one
/// stays.
fn decode(key: &str, stored: &StoredValue) -> Option<DomainHead> {
    let head = DomainHead::decode(&stored.value);
    head.inspect_err(|error| log::error!("planner: {key}: {error}.")).ok()
}
