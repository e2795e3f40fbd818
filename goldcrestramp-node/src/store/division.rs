//! Which failure domain holds each slice, as the store tells it.

use std::{sync::Arc, time::Duration};

use goldcrestramp_ownership::ServiceRecord;
use goldcrestramp_platform::{
    GateVerdict, PlatformClient, StoreAccess, StoreError, StoreRewrite,
    StoredValue, VersionGate,
    records::{StoreRecord, keys},
};
use goldcrestramp_types::{FastMap, ServiceName, TimeSpan};
use tokio::{sync::watch, task::JoinHandle};
use xtra::Address;

use crate::{
    control::{ControlActor, HomesNotice, TableSet},
    store::pause::StorePause,
};

/// How long one watch waits; each is one call for the service to count.
const WATCH_SPAN: TimeSpan = TimeSpan::from_millis(10_000);
/// How often the list of services is compared with the watches.
const COMPARE_EVERY: Duration = Duration::from_millis(500);

/// Reads a service's record with the store's version.
pub(crate) async fn read_division(
    store: &PlatformClient,
    service: &ServiceName,
) -> Result<Option<(u64, ServiceRecord)>, StoreError> {
    let Some(stored) = store.get(&keys::slices(service)).await? else {
        return Ok(None);
    };
    let record = ServiceRecord::decode(&stored.value).map_err(|error| {
        StoreError::Refused(format!("slices of {service}: {error}"))
    })?;
    Ok(Some((stored.version, record)))
}

/// While this VM leads, watches every service's record for its domain.
pub(crate) async fn watch_divisions(
    store: PlatformClient,
    known: watch::Receiver<Arc<TableSet>>,
    leading: watch::Receiver<bool>,
    actor: Address<ControlActor>,
) {
    let mut watches = FastMap::<ServiceName, WatchTask>::default();
    while leading.has_changed().is_ok() {
        let wanted = wanted_services(&known, *leading.borrow());
        watches.retain(|service, _| wanted.contains(service));
        for service in wanted {
            watches.entry(service.clone()).or_insert_with(|| {
                let known = known.borrow().homes.get(&service).cloned();
                let store = store.clone();
                let actor = actor.clone();
                WatchTask(tokio::spawn(watch_one(
                    store, service, known, actor,
                )))
            });
        }
        tokio::time::sleep(COMPARE_EVERY).await;
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

fn wanted_services(
    known: &watch::Receiver<Arc<TableSet>>,
    leading: bool,
) -> Vec<ServiceName> {
    let set = known.borrow();
    let Some(config) = set.config.as_ref().filter(|_| leading) else {
        return Vec::new();
    };
    config.services.iter().map(|service| service.name.clone()).collect()
}

async fn watch_one(
    store: PlatformClient,
    service: ServiceName,
    known: Option<Arc<ServiceRecord>>,
    actor: Address<ControlActor>,
) {
    let key = keys::slices(&service);
    let mut gate = VersionGate::<ServiceRecord>::new();
    if let Some(known) = known {
        gate.observe(known.as_ref());
    }
    let mut pause = StorePause::new();
    let mut seen = 0;
    loop {
        // The first look is a read: a watch would wait for a change.
        let found = if seen == 0 {
            store.get(&key).await
        } else {
            store.watch(&key, seen, WATCH_SPAN).await
        };
        match found {
            Ok(Some(stored)) => {
                pause.reset();
                seen = stored.version;
                take(&store, &key, &mut gate, Some(&stored), &actor).await;
            }
            Ok(None) if seen == 0 => {
                take(&store, &key, &mut gate, None, &actor).await;
                pause.wait().await;
            }
            // A watch that ends unchanged; a value that went is read again
            // now and then.
            Ok(None) => {
                pause.reset();
                seen = 0;
            }
            Err(error) => {
                log::warn!("store: {key} is not read: {error}.");
                pause.wait().await;
            }
        }
    }
}

/// Passes a newer record on; writes the newer known one over an older.
async fn take(
    store: &PlatformClient,
    key: &str,
    gate: &mut VersionGate<ServiceRecord>,
    found: Option<&StoredValue>,
    actor: &Address<ControlActor>,
) {
    match gate.check(found) {
        GateVerdict::Newer(record) => {
            drop(actor.send(HomesNotice(Arc::new(record))).await);
        }
        GateVerdict::Older(rewrite) => {
            log::warn!("store: {key} came back older; written again.");
            write_again(store, key, rewrite).await;
        }
        GateVerdict::Forked => {
            log::error!("store: {key} has two values of one revision.");
        }
        GateVerdict::Malformed(error) => {
            log::error!("store: {key}: {error}.");
        }
        GateVerdict::Same | GateVerdict::Absent => {}
    }
}

/// Whoever is first is enough; the next look tells what became of it.
async fn write_again(store: &PlatformClient, key: &str, write: StoreRewrite) {
    let put = store.put(key, write.condition, write.value, None).await;
    if let Err(error) = put {
        log::warn!("store: {key} is not written again: {error}.");
    }
}
