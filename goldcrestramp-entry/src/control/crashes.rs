//! Lets all VMs know of the requests under which servers ended.
//!
//! A caller that repeats such a request reaches another VM each time, and no
//! VM sees enough by itself. So each request has one VM that collects what the
//! others saw of it: all VMs choose the same by a hash. As soon as the request
//! is to be refused, that VM tells all others, and stores it for those that
//! start later. No VM is asked before a request is sent, and the others are
//! not told of requests under which one server ended, which are many after the
//! loss of a failure domain.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestramp_adapter::{
    StoreCall, StoreReply, StoreTransaction, StoreWrite,
};
use goldcrestramp_types::{ClockSource, FastMap, MonotonicClock, TimeSpan};
use tokio::{sync::watch, time::sleep};

use crate::{
    crashes::{ChangeOrigin, CrashBoard, CrashChange, CrashReport, vm_rank},
    fingerprint::RequestFingerprint,
    peers::{PeerCall, PeerClient},
    records::{QUARANTINE_PREFIX, VmInstance},
    store::{StoreClient, StoreFailure},
    view::FleetView,
};

/// How long the store names a request as refused. VMs that saw it end servers
/// try it again earlier, and remove it if it is served.
const STORED_TIME: TimeSpan = TimeSpan::from_millis(120_000);

/// How long a refusal is not stored yet: a VM that knows of a later response
/// says so within this time.
const STORE_DELAY: Duration = Duration::from_millis(300);

/// How often a write to the store is tried, and the time between two tries:
/// long enough for a short outage.
const MAX_STORE_CALLS: usize = 20;
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Tells other VMs what this one learns of requests that end servers.
#[derive(Debug)]
pub(super) struct CrashReporter {
    pub(super) me: VmInstance,
    pub(super) board: CrashBoard,
    pub(super) peers: PeerClient,
    pub(super) store: Arc<StoreClient>,
    pub(super) views: watch::Receiver<Arc<FleetView>>,
}

impl CrashReporter {
    /// Reports changes until the task is dropped.
    pub(super) async fn run(self) {
        loop {
            let changes = self.board.next_changes().await;
            let view = Arc::clone(&self.views.borrow());
            self.report_seen(&view, &changes);
            self.publish(&view, &changes);
        }
    }

    /// Reports what this VM saw to the VMs that collect it.
    fn report_seen(&self, view: &FleetView, changes: &[CrashChange]) {
        let mut requests: FastMap<_, Vec<RequestFingerprint>> =
            FastMap::default();
        for change in changes {
            let collectors = collectors(&change.request, view, &self.me);
            if change.origin == ChangeOrigin::Local
                && collectors[0] != self.me.address
            {
                let known = requests.entry(collectors).or_default();
                known.push(change.request);
            }
        }
        for (collectors, requests) in requests {
            let call = self.call(false, requests);
            let peers = self.peers.clone();
            tokio::spawn(async move {
                for collector in collectors {
                    if peers.call(collector, &call).await.is_some() {
                        return;
                    }
                }
                log::info!("[crash] No VM took a report.");
            });
        }
    }

    /// Tells all VMs what they should know of.
    fn publish(&self, view: &FleetView, changes: &[CrashChange]) {
        let public = changes.iter().filter(|change| {
            let collects = change.origin == ChangeOrigin::Reported
                || collectors(&change.request, view, &self.me)[0]
                    == self.me.address;
            let is_confirmed = collects && self.board.confirm(&change.request);
            is_confirmed || change.is_public
        });
        let requests: Vec<_> = public.map(|c| c.request).collect();
        if requests.is_empty() {
            return;
        }
        for request in &requests {
            self.store_quarantine(request);
        }
        let call = Arc::new(self.call(true, requests));
        let others = view.vms.iter().filter(|vm| vm.vm != self.me.vm);
        for vm in others {
            let (address, call) = (vm.address, Arc::clone(&call));
            let peers = self.peers.clone();
            tokio::spawn(async move {
                if peers.call(address, &call).await.is_none() {
                    log::info!("[crash] No response of VM at {address}.");
                }
            });
        }
    }

    /// Stores that a request is refused, or no longer is, for VMs that start
    /// later.
    fn store_quarantine(&self, request: &RequestFingerprint) {
        let (board, store) = (self.board.clone(), Arc::clone(&self.store));
        let request = *request;
        tokio::spawn(async move {
            if board.is_quarantined(&request) {
                sleep(STORE_DELAY).await;
            }
            for _ in 0..MAX_STORE_CALLS {
                let key = format!("{QUARANTINE_PREFIX}{request}").into();
                let stored = if board.is_quarantined(&request) {
                    write_with_lease(&store, key).await
                } else {
                    remove(&store, key).await
                };
                let Err(failure) = stored else { return };
                log::info!("[crash] A quarantine was not stored: {failure}.");
                sleep(STORE_RETRY_DELAY).await;
            }
        });
    }

    fn call(
        &self,
        is_collected: bool,
        requests: Vec<RequestFingerprint>,
    ) -> PeerCall {
        let requests = self.board.report(MonotonicClock.now(), requests);
        PeerCall::Crashes(CrashReport { is_collected, requests })
    }
}

/// Writes a key that expires after [`STORED_TIME`].
async fn write_with_lease(
    store: &StoreClient,
    key: Arc<str>,
) -> Result<(), StoreFailure> {
    let open = StoreCall::OpenLease { span: STORED_TIME };
    let reply = store.call(&open).await?;
    let StoreReply::Leased { lease, .. } = reply else {
        return Err(StoreFailure::Unknown);
    };
    let write = StoreWrite { key, value: Bytes::from_static(b"{}"), lease };
    let transaction = StoreTransaction {
        writes: vec![write],
        ..StoreTransaction::default()
    };
    store.call(&StoreCall::Commit(transaction)).await.map(drop)
}

async fn remove(
    store: &StoreClient,
    key: Arc<str>,
) -> Result<(), StoreFailure> {
    let transaction = StoreTransaction {
        removals: vec![key],
        ..StoreTransaction::default()
    };
    store.call(&StoreCall::Commit(transaction)).await.map(drop)
}

/// The VM that collects what is known of a request, and the one that replaces
/// it if it does not respond.
fn collectors(
    request: &RequestFingerprint,
    view: &FleetView,
    me: &VmInstance,
) -> [SocketAddr; 2] {
    let rank = |vm: &VmInstance| (vm_rank(request, &vm.vm), vm.address);
    let mut first = (0, me.address);
    let mut second = first;
    for vm in &view.vms {
        let rank = rank(vm);
        if rank > first {
            second = first;
            first = rank;
        } else if rank > second {
            second = rank;
        }
    }
    [first.1, second.1]
}
