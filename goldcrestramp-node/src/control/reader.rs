//! Reads the configuration, the roster and the VM list from the platform,
//! and restores an outdated configuration there.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestramp_config::{DeploymentState, merge_states};
use goldcrestramp_ownership::{
    RosterVoter, ServiceRecord, StewardEvent, domain_plan,
};
use goldcrestramp_platform::{
    PlatformClient, StoreAccess, StoreError, VmEntry,
    records::{StoreRecord, keys},
};
use goldcrestramp_types::{DomainName, TimeSpan};
use tokio::sync::watch;
use xtra::Address;

use crate::{
    control::{
        actor::ControlActor,
        messages::{
            ConfigNotice, HomesNotice, RosterNotice, StewardAsk,
            StewardLocation, VmsNotice,
        },
        tables::TableHub,
    },
    operators::restore_config,
    store::{StoreBackoff, read_division, read_roster},
};

/// How long one watch waits. Each watch counts as one call to the key-value
/// service.
const WATCH_TIMEOUT: TimeSpan = TimeSpan::from_millis(10_000);
/// How long a VM searches for a steward before it reads the roster again.
///
/// It is longer than an election, after which every voter knows the new
/// steward.
const ROSTER_INTERVAL: Duration = Duration::from_secs(2);
/// How often the steward reads the VM list.
const VMS_INTERVAL: Duration = Duration::from_secs(1);

/// The live VMs of a domain, as candidates for its roster.
pub(crate) fn domain_voters(
    vms: &[VmEntry],
    domain: &DomainName,
) -> Vec<RosterVoter> {
    let own = vms.iter().filter(|vm| vm.domain == *domain);
    let live =
        own.filter(|vm| vm.state == goldcrestramp_platform::VmState::Live);
    let voters = live.map(|vm| RosterVoter {
        vm: vm.name.clone(),
        address: Arc::from(vm.address.as_str()),
    });
    voters.collect()
}

/// Reads what a VM needs to start, and retries until it has a plan.
///
/// A VM without a plan never becomes the steward, and only the steward reads
/// the store again. Without retries, a VM would wait forever if it starts
/// before the first ticket, or before the planner has recorded the ticket
/// that brought its lost domain back.
pub(crate) async fn read_at_start(
    store: PlatformClient,
    domain: DomainName,
    actor: Address<ControlActor>,
) {
    let mut backoff = StoreBackoff::new();
    loop {
        let read = read_all(&store, &domain, &actor).await;
        match read {
            Ok(true) => return,
            Ok(false) => log::info!("store: there is no plan yet."),
            Err(error) => {
                log::warn!("store: the read at start failed: {error}.");
            }
        }
        backoff.wait().await;
    }
}

/// Reads the roster again while this VM knows no steward.
///
/// A steward contacts only its voters, so that the other VMs have to find it.
/// When all VMs of a domain start together, those that are no voters find no
/// roster at first. A VM that has run for a long time may know a roster whose
/// voters have all been replaced. Without this, either would never find the
/// steward, keep no server and receive no table.
pub(crate) async fn poll_roster(
    store: PlatformClient,
    domain: DomainName,
    actor: Address<ControlActor>,
) {
    let mut backoff = StoreBackoff::new();
    loop {
        tokio::time::sleep(ROSTER_INTERVAL).await;
        match actor.send(StewardAsk).await {
            Ok(StewardLocation::Unknown) => {}
            Ok(_known) => {
                backoff.reset();
                continue;
            }
            Err(_ended) => return,
        }
        let read = read_roster(store.clone(), domain.clone()).await;
        if let Some(StewardEvent::RosterRead(roster)) = read {
            drop(actor.send(RosterNotice(roster)).await);
        }
        backoff.wait().await;
    }
}

async fn read_all(
    store: &PlatformClient,
    domain: &DomainName,
    actor: &Address<ControlActor>,
) -> Result<bool, StoreError> {
    let vms = store.vms().await?;
    drop(actor.send(VmsNotice(vms)).await);
    let roster = match store.get(&keys::roster(domain)).await? {
        Some(stored) => Some(decode(&stored.value)?),
        None => None,
    };
    drop(actor.send(RosterNotice(roster)).await);
    let Some(stored) = store.get(keys::CONFIG).await? else {
        return Ok(false);
    };
    let applied = apply_config(store, None, &stored.value, actor).await?;
    Ok(domain_plan(&applied.state, domain, &applied.records).is_some())
}

/// Watches the configuration for its domain while this VM is the steward.
pub(crate) async fn watch_config(
    store: PlatformClient,
    hub: Arc<TableHub>,
    mut leading: watch::Receiver<bool>,
    actor: Address<ControlActor>,
) {
    let mut backoff = StoreBackoff::new();
    let mut seen = 0;
    while wait_leading(&mut leading).await {
        match store.watch(keys::CONFIG, seen, WATCH_TIMEOUT).await {
            Ok(Some(stored)) => {
                seen = stored.version;
                backoff.reset();
                let applied =
                    apply_or_restore(&store, &hub, &stored.value, &actor);
                if applied.await.is_err() {
                    seen = 0;
                    backoff.wait().await;
                }
            }
            Ok(None) => backoff.reset(),
            Err(error) => {
                log::warn!("store: cannot watch the configuration: {error}.");
                backoff.wait().await;
            }
        }
    }
}

/// Applies a configuration, or writes back the tickets that the store lost.
///
/// A store that was restored from older data would otherwise give old rules
/// to every VM that starts, while the others follow the newer ones. Versions
/// alone do not show this: tickets accepted since may have brought the store
/// to the same or a higher version, without the lost tickets.
async fn apply_or_restore(
    store: &PlatformClient,
    hub: &TableHub,
    value: &Bytes,
    actor: &Address<ControlActor>,
) -> Result<(), StoreError> {
    let known = hub.set().config.clone();
    let read = decode::<DeploymentState>(value)?;
    let lost = known.filter(|known| merge_states(known, &read) != read);
    if let Some(known) = lost {
        log::warn!("store: it has lost tickets; writing them back.");
        let merged = restore_config(store, &known).await?;
        drop(actor.send(ConfigNotice(Arc::new(merged))).await);
        return Ok(());
    }
    apply_config(store, Some(hub), value, actor).await.map(drop)
}

/// Reads the VM list at intervals while this VM is the steward.
pub(crate) async fn watch_vms(
    store: PlatformClient,
    mut leading: watch::Receiver<bool>,
    actor: Address<ControlActor>,
) {
    while wait_leading(&mut leading).await {
        if let Ok(vms) = store.vms().await {
            drop(actor.send(VmsNotice(vms)).await);
        }
        tokio::time::sleep(VMS_INTERVAL).await;
    }
}

/// Waits until this VM is the steward. Returns `false` if the daemon is
/// stopping.
async fn wait_leading(leading: &mut watch::Receiver<bool>) -> bool {
    loop {
        if *leading.borrow_and_update() {
            return true;
        }
        if leading.changed().await.is_err() {
            return false;
        }
    }
}

/// A configuration, and the records of its services that were read with it.
struct AppliedConfig {
    state: Arc<DeploymentState>,
    records: Vec<Arc<ServiceRecord>>,
}

/// Applies a configuration and the records of its services.
///
/// Records that `hub` has are skipped, since they are watched. Reading them
/// again with each ticket would cost the store a read for each service and
/// domain.
async fn apply_config(
    store: &PlatformClient,
    hub: Option<&TableHub>,
    value: &Bytes,
    actor: &Address<ControlActor>,
) -> Result<AppliedConfig, StoreError> {
    let state = Arc::new(decode::<DeploymentState>(value)?);
    let mut records = Vec::new();
    let known = hub.map(|hub| hub.set().homes.clone()).unwrap_or_default();
    for rules in &state.services {
        if known.contains_key(&rules.name) {
            continue;
        }
        let read = read_division(store, &rules.name).await?;
        if let Some((_, record)) = read {
            let record = Arc::new(record);
            records.push(Arc::clone(&record));
            drop(actor.send(HomesNotice(record)).await);
        }
    }
    drop(actor.send(ConfigNotice(Arc::clone(&state))).await);
    Ok(AppliedConfig { state, records })
}

/// Decodes a value. A malformed value is an error, never "no value".
fn decode<R: StoreRecord>(value: &Bytes) -> Result<R, StoreError> {
    R::decode(value).map_err(|error| StoreError::Refused(error.to_string()))
}
