//! Reads and watches the records that assign each service's slices to
//! failure domains.

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
    store::backoff::StoreBackoff,
};

/// How long one watch waits. Each watch counts as one call to the key-value
/// service.
const WATCH_TIMEOUT: TimeSpan = TimeSpan::from_millis(10_000);
/// How often the list of services is compared with the watches.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);

/// Reads a service's record together with its version in the store.
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

/// Watches the record of every service while this VM is the steward.
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
        tokio::time::sleep(COMPARE_INTERVAL).await;
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
    let mut backoff = StoreBackoff::new();
    let mut seen = 0;
    loop {
        // The first call is a read: a watch of a missing value waits until
        // it is written.
        let found = if seen == 0 {
            store.get(&key).await
        } else {
            store.watch(&key, seen, WATCH_TIMEOUT).await
        };
        match found {
            Ok(Some(stored)) => {
                backoff.reset();
                seen = stored.version;
                apply_stored(&store, &key, &mut gate, Some(&stored), &actor)
                    .await;
            }
            Ok(None) if seen == 0 => {
                apply_stored(&store, &key, &mut gate, None, &actor).await;
                backoff.wait().await;
            }
            // The watch timed out, or the value was deleted. The next call
            // is a read, which finds out whether there is a value.
            Ok(None) => {
                backoff.reset();
                seen = 0;
            }
            Err(error) => {
                log::warn!("store: cannot watch {key}: {error}.");
                backoff.wait().await;
            }
        }
    }
}

/// Sends a newer record to the actor, or writes the known record back if
/// the store returned an older one.
async fn apply_stored(
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
            log::warn!("store: {key} has an older revision; writing it back.");
            write_back(store, key, rewrite).await;
        }
        GateVerdict::Forked => {
            log::error!(
                "store: {key} has two different values of one revision."
            );
        }
        GateVerdict::Malformed(error) => {
            log::error!("store: cannot decode {key}: {error}.");
        }
        GateVerdict::Same | GateVerdict::Absent => {}
    }
}

/// Writes the known record back over an older one.
///
/// Several stewards may try and one success is enough, so the outcome is
/// not resolved; the next read shows it.
async fn write_back(store: &PlatformClient, key: &str, rewrite: StoreRewrite) {
    let put = store.put(key, rewrite.condition, rewrite.value, None).await;
    if let Err(error) = put {
        log::warn!("store: cannot write {key} back: {error}.");
    }
}
