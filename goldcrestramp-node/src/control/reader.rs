//! What is read from the store and the VM list, and written there.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestramp_config::DeploymentState;
use goldcrestramp_ownership::{
    DomainRecord, RosterVoter, StewardEvent, VoterRoster,
};
use goldcrestramp_platform::{
    PlatformClient, PutCondition, PutOutcome, StoreAccess, StoreError, VmEntry,
};
use goldcrestramp_types::{DomainName, ServiceName, TimeSpan};
use rand::Rng;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use xtra::Address;

use crate::control::{
    actor::ControlActor,
    messages::{ConfigNotice, HomesNotice, RosterNotice, VmsNotice},
    plans::{self, HomesRecord, ServiceHomes},
};

/// The key of the accepted configuration.
const CONFIG_KEY: &str = "config";
/// How long one watch waits; each is one call for the service to count.
const WATCH_SPAN: TimeSpan = TimeSpan::from_millis(10_000);
/// How often the steward reads the VM list.
const VMS_EVERY: Duration = Duration::from_secs(1);
/// The first wait after a failed call; it doubles up to [`BACKOFF_MOST`].
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// The longest wait after failed calls.
const BACKOFF_MOST: Duration = Duration::from_secs(3);

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

/// Reads once what a VM needs to start, until the store answers.
pub(crate) async fn read_at_start(
    store: PlatformClient,
    domain: DomainName,
    actor: Address<ControlActor>,
) {
    let mut wait = Backoff::new();
    loop {
        let read = read_all(&store, &domain, &actor).await;
        match read {
            Ok(()) => return,
            Err(error) => {
                log::warn!("store: cannot be read at start: {error}.");
                wait.pause().await;
            }
        }
    }
}

async fn read_all(
    store: &PlatformClient,
    domain: &DomainName,
    actor: &Address<ControlActor>,
) -> Result<(), StoreError> {
    let vms = store.vms().await?;
    drop(actor.send(VmsNotice(vms)).await);
    let roster = store.get(&roster_key(domain)).await?;
    let roster = roster.and_then(|stored| decode_roster(&stored.value));
    drop(actor.send(RosterNotice(roster)).await);
    if let Some(stored) = store.get(CONFIG_KEY).await? {
        take_config(store, &stored.value, actor).await?;
    }
    Ok(())
}

/// While this VM leads, watches the configuration for its domain.
pub(crate) async fn watch_config(
    store: PlatformClient,
    mut leading: watch::Receiver<bool>,
    actor: Address<ControlActor>,
) {
    let mut wait = Backoff::new();
    let mut seen = 0;
    while wait_leading(&mut leading).await {
        match store.watch(CONFIG_KEY, seen, WATCH_SPAN).await {
            Ok(Some(stored)) => {
                seen = stored.version;
                wait = Backoff::new();
                let taken = take_config(&store, &stored.value, &actor);
                if taken.await.is_err() {
                    seen = 0;
                    wait.pause().await;
                }
            }
            Ok(None) => wait = Backoff::new(),
            Err(error) => {
                log::warn!("store: configuration not read: {error}.");
                wait.pause().await;
            }
        }
    }
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

/// Takes a configuration with the divisions of its services.
async fn take_config(
    store: &PlatformClient,
    value: &Bytes,
    actor: &Address<ControlActor>,
) -> Result<(), StoreError> {
    let Some(state) = decode::<DeploymentState>(value) else {
        log::error!("store: the configuration is malformed.");
        return Ok(());
    };
    let state = Arc::new(state);
    for rules in &state.services {
        let homes = read_homes(store, &state, &rules.name).await?;
        if let Some(homes) = homes {
            drop(actor.send(HomesNotice(homes)).await);
        }
    }
    drop(actor.send(ConfigNotice(state)).await);
    Ok(())
}

/// Reads a service's division; writes the first one if there is none.
async fn read_homes(
    store: &PlatformClient,
    state: &DeploymentState,
    service: &ServiceName,
) -> Result<Option<ServiceHomes>, StoreError> {
    let key = format!("slices/{service}");
    if let Some(stored) = store.get(&key).await? {
        let record = decode::<HomesRecord>(&stored.value);
        return Ok(record.map(|record| ServiceHomes {
            service: service.clone(),
            version: stored.version,
            record,
        }));
    }
    let Some(rules) = state.services.iter().find(|s| s.name == *service)
    else {
        return Ok(None);
    };
    let record = plans::first_homes(state, rules);
    if record.domains.is_empty() {
        return Ok(None);
    }
    let put = store.put(&key, PutCondition::Absent, encode(&record), None);
    // Whoever wrote first, what the store holds is read again.
    let _outcome = put.await?;
    let stored = store.get(&key).await?;
    Ok(stored.and_then(|stored| {
        let record = decode(&stored.value)?;
        let version = stored.version;
        Some(ServiceHomes { service: service.clone(), version, record })
    }))
}

fn roster_key(domain: &DomainName) -> String {
    format!("roster/{domain}")
}

/// Reads the roster for the steward; `None`: the store did not answer.
pub(crate) async fn read_roster(
    store: PlatformClient,
    domain: DomainName,
) -> Option<StewardEvent> {
    let stored = store.get(&roster_key(&domain)).await.ok()?;
    let roster = stored.and_then(|stored| decode_roster(&stored.value));
    Some(StewardEvent::RosterRead(roster))
}

/// Writes a roster if the store still has the one before it.
pub(crate) async fn save_roster(
    store: PlatformClient,
    roster: VoterRoster,
) -> Option<StewardEvent> {
    let key = roster_key(&roster.domain);
    let stored = store.get(&key).await.ok()?;
    let condition = match &stored {
        None => PutCondition::Absent,
        Some(stored) => PutCondition::Version(stored.version),
    };
    let before = stored.and_then(|s| decode_roster(&s.value));
    let before = before.map_or(0, |roster| roster.version);
    if before + 1 != roster.version {
        return Some(StewardEvent::RosterSaved(Err(())));
    }
    let value = encode(&RosterJson::from(&roster));
    match store.put(&key, condition, value, None).await {
        Ok(PutOutcome::Written(_)) => {
            Some(StewardEvent::RosterSaved(Ok(roster)))
        }
        Ok(PutOutcome::Conflict) => Some(StewardEvent::RosterSaved(Err(()))),
        // Whether it took effect is read back, never guessed.
        Err(_error) => read_roster(store, roster.domain).await,
    }
}

/// Reads the domain's record; `None`: the store did not answer.
pub(crate) async fn read_record(
    store: PlatformClient,
    domain: DomainName,
) -> Option<StewardEvent> {
    let stored = store.get(&record_key(&domain)).await.ok()?;
    let record = stored.and_then(|stored| decode_record(&stored.value));
    Some(StewardEvent::RecordRead(record))
}

/// Writes the domain's record if it is newer than the stored one.
pub(crate) async fn save_record(
    store: PlatformClient,
    domain: DomainName,
    record: DomainRecord,
) -> Option<StewardEvent> {
    let key = record_key(&domain);
    let stored = store.get(&key).await.ok()?;
    let condition = match &stored {
        None => PutCondition::Absent,
        Some(stored) => PutCondition::Version(stored.version),
    };
    let before = stored.and_then(|s| decode_record(&s.value));
    if before.is_some_and(|before| before.token >= record.token) {
        return None;
    }
    let token = record.token;
    let value = encode(&RecordJson::from(&record));
    match store.put(&key, condition, value, None).await {
        Ok(PutOutcome::Written(_)) => Some(StewardEvent::RecordSaved(token)),
        _ => None,
    }
}

fn record_key(domain: &DomainName) -> String {
    format!("domain/{domain}")
}

/// A roster as it is stored.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct RosterJson {
    domain: DomainName,
    version: u64,
    voters: Vec<(goldcrestramp_types::VmName, String)>,
}

impl From<&VoterRoster> for RosterJson {
    fn from(roster: &VoterRoster) -> Self {
        let voters = roster.voters.iter();
        let voters = voters.map(|v| (v.vm.clone(), v.address.to_string()));
        Self {
            domain: roster.domain.clone(),
            version: roster.version,
            voters: voters.collect(),
        }
    }
}

fn decode_roster(value: &Bytes) -> Option<VoterRoster> {
    let json: RosterJson = decode(value)?;
    let voters = json
        .voters
        .into_iter()
        .map(|(vm, address)| RosterVoter { vm, address: Arc::from(address) });
    Some(VoterRoster {
        domain: json.domain,
        version: json.version,
        voters: voters.collect(),
    })
}

/// A domain's record as it is stored.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct RecordJson {
    token: goldcrestramp_types::FenceToken,
    holders:
        Vec<(goldcrestramp_types::ServerName, goldcrestramp_types::SliceSet)>,
    released: Vec<(ServiceName, goldcrestramp_types::SliceSet)>,
}

impl From<&DomainRecord> for RecordJson {
    fn from(record: &DomainRecord) -> Self {
        let holders = record.holders.iter();
        let released = record.released.iter();
        Self {
            token: record.token,
            holders: holders.map(|(k, v)| (k.clone(), v.clone())).collect(),
            released: released.map(|(k, v)| (k.clone(), v.clone())).collect(),
        }
    }
}

fn decode_record(value: &Bytes) -> Option<DomainRecord> {
    let json: RecordJson = decode(value)?;
    Some(DomainRecord {
        token: json.token,
        holders: json.holders.into_iter().collect(),
        released: json.released.into_iter().collect(),
    })
}

fn decode<T: DeserializeOwned>(value: &Bytes) -> Option<T> {
    serde_json::from_slice(value).ok()
}

fn encode<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// Waits that double, each a random part of its bound.
///
/// Without the random part, all nodes would return together when the store
/// does, and their calls would bring it down again.
#[derive(Debug)]
struct Backoff {
    bound: Duration,
}

impl Backoff {
    const fn new() -> Self {
        Self { bound: BACKOFF_FIRST }
    }

    async fn pause(&mut self) {
        let part = rand::rng().random_range(0.1..1.0);
        tokio::time::sleep(self.bound.mul_f64(part)).await;
        self.bound = (self.bound * 2).min(BACKOFF_MOST);
    }
}
