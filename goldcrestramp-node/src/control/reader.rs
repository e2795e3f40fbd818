//! What is read from the store and the VM list, and written there.

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
            ConfigNotice, HomesNotice, RosterNotice, StewardAsk, StewardPlace,
            VmsNotice,
        },
        tables::TableHub,
    },
    operators::restore_config,
    store::{StorePause, read_division, read_roster},
};

/// How long one watch waits; each is one call for the service to count.
const WATCH_SPAN: TimeSpan = TimeSpan::from_millis(10_000);
/// How long a VM looks for a steward before it reads the roster again.
///
/// Longer than an election, after which every voter names the new one.
const ROSTER_EVERY: Duration = Duration::from_secs(2);
/// How often the steward reads the VM list.
const VMS_EVERY: Duration = Duration::from_secs(1);

/// The VMs of a domain as candidates for its roster.
pub(crate) fn domain_voters(
    vms: &[VmEntry],
    domain: &DomainName,
) -> Vec<RosterVoter> {
    let mine = vms.iter().filter(|vm| vm.domain == *domain);
    let live =
        mine.filter(|vm| vm.state == goldcrestramp_platform::VmState::Live);
    let voters = live.map(|vm| RosterVoter {
        vm: vm.name.clone(),
        address: Arc::from(vm.address.as_str()),
    });
    voters.collect()
}

/// Reads what a VM needs to start, until it has a plan.
///
/// Without one it never leads, and only who leads reads the store again:
/// a VM that starts before the first ticket, or before the planner has
/// noted the ticket that brought its lost domain back, would wait for ever.
pub(crate) async fn read_at_start(
    store: PlatformClient,
    domain: DomainName,
    actor: Address<ControlActor>,
) {
    let mut pause = StorePause::new();
    loop {
        let read = read_all(&store, &domain, &actor).await;
        match read {
            Ok(true) => return,
            Ok(false) => log::info!("store: there is no plan yet."),
            Err(error) => {
                log::warn!("store: cannot be read at start: {error}.");
            }
        }
        pause.wait().await;
    }
}

/// Reads the roster again while this VM knows no steward.
///
/// A steward asks its voters alone. Of a domain that starts as a whole, the
/// VMs that are no voters find no roster at first; those that run for long
/// know one whose voters have all been replaced. Either would never learn
/// who leads, and would keep no server and get no table for ever.
pub(crate) async fn read_roster_again(
    store: PlatformClient,
    domain: DomainName,
    actor: Address<ControlActor>,
) {
    let mut pause = StorePause::new();
    loop {
        tokio::time::sleep(ROSTER_EVERY).await;
        match actor.send(StewardAsk).await {
            Ok(StewardPlace::Unknown) => {}
            Ok(_known) => {
                pause.reset();
                continue;
            }
            Err(_ended) => return,
        }
        let read = read_roster(store.clone(), domain.clone()).await;
        if let Some(StewardEvent::RosterRead(roster)) = read {
            drop(actor.send(RosterNotice(roster)).await);
        }
        pause.wait().await;
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
    let taken = take_config(store, None, &stored.value, actor).await?;
    Ok(domain_plan(&taken.state, domain, &taken.records).is_some())
}

/// While this VM leads, watches the configuration for its domain.
pub(crate) async fn watch_config(
    store: PlatformClient,
    hub: Arc<TableHub>,
    mut leading: watch::Receiver<bool>,
    actor: Address<ControlActor>,
) {
    let mut pause = StorePause::new();
    let mut seen = 0;
    while wait_leading(&mut leading).await {
        match store.watch(keys::CONFIG, seen, WATCH_SPAN).await {
            Ok(Some(stored)) => {
                seen = stored.version;
                pause.reset();
                let taken = take_newer(&store, &hub, &stored.value, &actor);
                if taken.await.is_err() {
                    seen = 0;
                    pause.wait().await;
                }
            }
            Ok(None) => pause.reset(),
            Err(error) => {
                log::warn!("store: configuration not read: {error}.");
                pause.wait().await;
            }
        }
    }
}

/// Takes a configuration, or writes back what the store has lost.
///
/// A store that came back with older data would otherwise hand old rules to
/// every VM that starts, while the others follow the newer ones. Versions
/// alone do not tell: tickets accepted since may have brought the store to
/// the same version or a higher one, without those that it lost.
async fn take_newer(
    store: &PlatformClient,
    hub: &TableHub,
    value: &Bytes,
    actor: &Address<ControlActor>,
) -> Result<(), StoreError> {
    let held = hub.set().config.clone();
    let read = decode::<DeploymentState>(value)?;
    let lost = held.filter(|held| merge_states(held, &read) != read);
    if let Some(held) = lost {
        log::warn!("store: it came back with an older configuration.");
        let joined = restore_config(store, &held).await?;
        drop(actor.send(ConfigNotice(Arc::new(joined))).await);
        return Ok(());
    }
    take_config(store, Some(hub), value, actor).await.map(drop)
}

/// While this VM leads, reads the VM list for its domain.
pub(crate) async fn watch_vms(
    store: PlatformClient,
    mut leading: watch::Receiver<bool>,
    actor: Address<ControlActor>,
) {
    while wait_leading(&mut leading).await {
        if let Ok(vms) = store.vms().await {
            drop(actor.send(VmsNotice(vms)).await);
        }
        tokio::time::sleep(VMS_EVERY).await;
    }
}

/// Waits until this VM leads; `false`: the daemon ends.
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

/// A configuration with the divisions of its services.
struct TakenConfig {
    state: Arc<DeploymentState>,
    records: Vec<Arc<ServiceRecord>>,
}

/// Takes a configuration with the divisions of its services.
///
/// Those that `hub` has are watched already: reading them again with each
/// ticket would cost the store a read for each service and domain.
async fn take_config(
    store: &PlatformClient,
    hub: Option<&TableHub>,
    value: &Bytes,
    actor: &Address<ControlActor>,
) -> Result<TakenConfig, StoreError> {
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
    Ok(TakenConfig { state, records })
}

/// A value that nobody can read is an error, never "no value".
fn decode<R: StoreRecord>(value: &Bytes) -> Result<R, StoreError> {
    R::decode(value).map_err(|error| StoreError::Refused(error.to_string()))
}
