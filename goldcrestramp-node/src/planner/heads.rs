//! The heads of all domains' records, watched while this VM plans.
//!
//! A domain whose last server of a service is lost says so in its head, and
//! so it does when it has released slices. Its keys wait until the planner
//! has seen it: looked for every 2 s, that alone took longer than the 2 s
//! within which a key is to be served again. One watch a domain, each a
//! call in ten seconds, costs the store less than looking.

use std::sync::Arc;

use goldcrestramp_platform::{
    PlatformClient, StoreAccess, StoredValue,
    records::{DomainHead, StoreRecord, keys},
};
use goldcrestramp_types::{
    DomainName, FastMap, FastSet, ServiceName, TimeSpan,
};
use tokio::{sync::watch, task::JoinHandle};

use crate::store::StorePause;

/// How long one watch waits; each is one call for the service to count.
const WATCH_SPAN: TimeSpan = TimeSpan::from_millis(10_000);

/// What the heads said last.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadBook {
    /// Rises with each change of a head.
    pub(super) changes: u64,
    /// The services that each domain has no server for.
    stranded: FastMap<DomainName, FastSet<ServiceName>>,
}

impl HeadBook {
    /// The domains that have no server for `service`.
    pub(super) fn stranded(
        &self,
        service: &ServiceName,
    ) -> FastSet<DomainName> {
        let domains = self.stranded.iter();
        let found = domains.filter(|(_, names)| names.contains(service));
        found.map(|(domain, _)| domain.clone()).collect()
    }

    fn take(&mut self, domain: &DomainName, head: &DomainHead) {
        let names = head.stranded.keys().cloned().collect();
        self.stranded.insert(domain.clone(), names);
        self.changes += 1;
    }

    /// Whether a domain gives other slices up than it did in `before`.
    fn differs(&self, before: &Self) -> bool {
        self.stranded != before.stranded
    }
}

/// A watch that ends when it is dropped.
#[derive(Debug)]
struct WatchTask(JoinHandle<()>);

impl Drop for WatchTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The watches of the heads.
#[derive(Debug, Default)]
pub(super) struct HeadWatch {
    tasks: FastMap<DomainName, WatchTask>,
    book: Arc<watch::Sender<HeadBook>>,
    acted: HeadBook,
}

impl HeadWatch {
    /// Watches these domains' heads and no others.
    pub(super) fn follow(
        &mut self,
        store: &PlatformClient,
        domains: &[DomainName],
    ) {
        self.tasks.retain(|domain, _| domains.contains(domain));
        for domain in domains {
            self.tasks.entry(domain.clone()).or_insert_with(|| {
                let book = Arc::clone(&self.book);
                let watch = watch_one(store.clone(), domain.clone(), book);
                WatchTask(tokio::spawn(watch))
            });
        }
    }

    /// What is known now; what comes later counts as a change.
    pub(super) fn look(&mut self) -> HeadBook {
        self.acted = self.book.borrow().clone();
        self.acted.clone()
    }

    /// Completes when a head has changed since the last look.
    ///
    /// While nothing is on the move only the services that a domain has no
    /// server for count, not what its servers hold.
    pub(super) async fn changed(&self, busy: bool) {
        let mut book = self.book.subscribe();
        let due = |book: &HeadBook| {
            let any = book.changes != self.acted.changes;
            if busy { any } else { book.differs(&self.acted) }
        };
        // The sender lives in this watch, so the wait cannot fail.
        drop(book.wait_for(due).await);
    }
}

async fn watch_one(
    store: PlatformClient,
    domain: DomainName,
    book: Arc<watch::Sender<HeadBook>>,
) {
    let key = keys::domain_head(&domain);
    let mut pause = StorePause::new();
    let mut seen = 0;
    loop {
        // A value that is there already is given at once; one that is not
        // yet, as soon as its domain writes it.
        match store.watch(&key, seen, WATCH_SPAN).await {
            Ok(Some(stored)) => {
                pause.reset();
                seen = stored.version;
                if let Some(head) = decode(&key, &stored) {
                    book.send_modify(|book| book.take(&domain, &head));
                }
            }
            // Unchanged, or gone: what is there is looked at anew.
            Ok(None) => {
                pause.reset();
                seen = 0;
            }
            Err(error) => {
                log::warn!("planner: {key} is not read: {error}.");
                pause.wait().await;
            }
        }
    }
}

/// A head that nobody can read says nothing: what was known stays.
fn decode(key: &str, stored: &StoredValue) -> Option<DomainHead> {
    let head = DomainHead::decode(&stored.value);
    head.inspect_err(|error| log::error!("planner: {key}: {error}.")).ok()
}
