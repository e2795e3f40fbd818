//! Reads and writes a failure domain's record: a head and its shards.

use std::{fmt, sync::Arc};

use goldcrestramp_config::DeploymentState;
use goldcrestramp_ownership::{DomainRecord, DomainView, StewardEvent};
use goldcrestramp_platform::{
    PlatformClient, PutCondition, StoreAccess, StoreError, WriteOutcome,
    records::{
        DomainHead, DomainShard, RecordError, ServerDirectory, StoreRecord,
        keys,
    },
    resolve_write,
};
use goldcrestramp_types::{DomainName, FastMap, ServiceName};
use tokio::sync::Mutex;

/// A shard as last read or written, with its version in the store.
#[derive(Clone, Debug)]
struct KnownShard {
    version: u64,
    shard: DomainShard,
}

/// The record as last read from or written to the store.
#[derive(Clone, Debug, Default)]
struct KnownRecord {
    head: Option<(u64, DomainHead)>,
    shards: FastMap<String, KnownShard>,
    directory: ServerDirectory,
}

/// Why reading or writing a record failed.
#[derive(Debug)]
enum RecordFailure {
    Store(StoreError),
    Record(RecordError),
    /// Another steward has written the record.
    Superseded,
}

impl fmt::Display for RecordFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::Record(error) => error.fmt(f),
            Self::Superseded => f.write_str("another steward wrote it"),
        }
    }
}

impl From<StoreError> for RecordFailure {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<RecordError> for RecordFailure {
    fn from(error: RecordError) -> Self {
        Self::Record(error)
    }
}

/// Reads and writes one domain's record, one call at a time.
///
/// A save writes only the shards that changed. The last known record is
/// cached, so that a save needs no reads. A write fails if the store holds
/// anything else; the cache is then cleared.
#[derive(Clone, Debug)]
pub(crate) struct RecordStore {
    store: PlatformClient,
    domain: DomainName,
    known: Arc<Mutex<Option<KnownRecord>>>,
}

impl RecordStore {
    /// A store whose cache is empty: the first save reads the record.
    pub(crate) fn open(store: PlatformClient, domain: DomainName) -> Self {
        Self { store, domain, known: Arc::default() }
    }

    /// Reads the record for the steward. Returns `None` if the store did
    /// not respond.
    ///
    /// A malformed or torn record is treated as missing. This is safe,
    /// because the steward queries the servers for what they hold before it
    /// decides anything.
    pub(crate) async fn read(self) -> Option<StewardEvent> {
        let mut known = self.known.lock().await;
        *known = None;
        match load(&self.store, &self.domain).await {
            Ok((loaded, record)) => {
                *known = Some(loaded);
                Some(StewardEvent::RecordRead(record))
            }
            Err(RecordFailure::Store(error)) => {
                log::warn!("store: cannot read the domain's record: {error}.");
                None
            }
            Err(error) => {
                log::error!("store: malformed record of the domain: {error}.");
                Some(StewardEvent::RecordRead(None))
            }
        }
    }

    /// Writes the record if it is newer than the stored one.
    pub(crate) async fn save(
        self,
        record: DomainRecord,
        state: Option<Arc<DeploymentState>>,
    ) -> Option<StewardEvent> {
        let mut known = self.known.lock().await;
        let saved =
            self.save_known(&mut known, &record, state.as_deref()).await;
        match saved {
            Ok(()) => Some(StewardEvent::RecordSaved(record.token)),
            Err(error) => {
                log::warn!("store: cannot save the domain's record: {error}.");
                // The content of the store is no longer known.
                *known = None;
                drop(known);
                let superseded = matches!(error, RecordFailure::Superseded);
                if superseded { self.read().await } else { None }
            }
        }
    }

    async fn save_known(
        &self,
        known: &mut Option<KnownRecord>,
        record: &DomainRecord,
        state: Option<&DeploymentState>,
    ) -> Result<(), RecordFailure> {
        if known.is_none() {
            *known = Some(load(&self.store, &self.domain).await?.0);
        }
        let known = known.get_or_insert_default();
        if let Some(state) = state {
            known.directory.add_configuration(state);
        }
        let stored = known.head.as_ref().map(|(_, head)| head.token);
        if stored.is_some_and(|stored| stored > record.token) {
            return Err(RecordFailure::Superseded);
        }
        if stored == Some(record.token) {
            return Ok(());
        }
        let shards =
            DomainHead::split(&self.domain, record, &known.directory)?;
        let mut kept = Vec::with_capacity(shards.len());
        for shard in shards {
            kept.push(self.save_shard(known, shard).await?);
        }
        // The head is written last: a save that fails before it leaves the
        // older token, so that reports of servers count as newer.
        let stranded = record.stranded.clone();
        let domain = self.domain.clone();
        let head = DomainHead::of(domain, record.token, &kept, stranded);
        let previous = known.head.as_ref().map(|(version, _)| *version);
        let key = keys::domain_head(&self.domain);
        let version = self.put(&key, previous, &head).await?;
        known.head = Some((version, head));
        Ok(())
    }

    /// Writes a shard unless the store has its content already. Returns the
    /// stored shard.
    ///
    /// The first save of a term writes every shard, so that a late write of
    /// a previous steward fails on the version.
    async fn save_shard(
        &self,
        known: &mut KnownRecord,
        shard: DomainShard,
    ) -> Result<DomainShard, RecordFailure> {
        let key =
            keys::domain_shard(&shard.domain, &shard.service, shard.shard);
        let previous = known.shards.get(&key);
        if let Some(previous) = previous
            && previous.shard.token.term == shard.token.term
            && previous.shard.same_content(&shard)
        {
            return Ok(previous.shard.clone());
        }
        let previous = previous.map(|known| known.version);
        let version = self.put(&key, previous, &shard).await?;
        let stored = KnownShard { version, shard: shard.clone() };
        known.shards.insert(key, stored);
        Ok(shard)
    }

    async fn put<R: StoreRecord>(
        &self,
        key: &str,
        previous: Option<u64>,
        record: &R,
    ) -> Result<u64, RecordFailure> {
        let value = record.encode()?;
        let condition =
            previous.map_or(PutCondition::Absent, PutCondition::Version);
        let outcome = resolve_write(&self.store, key, condition, value, None);
        match outcome.await? {
            WriteOutcome::Written(version) => Ok(version),
            WriteOutcome::Superseded(_) => Err(RecordFailure::Superseded),
            WriteOutcome::Lost => {
                let reason = "the write was lost".to_owned();
                Err(RecordFailure::Store(StoreError::Unavailable(reason)))
            }
        }
    }
}

/// Reads the head, then every shard that it references.
async fn load(
    store: &PlatformClient,
    domain: &DomainName,
) -> Result<(KnownRecord, Option<DomainRecord>), RecordFailure> {
    let mut known = KnownRecord::default();
    let Some(stored) = store.get(&keys::domain_head(domain)).await? else {
        return Ok((known, None));
    };
    let head = DomainHead::decode(&stored.value)?;
    let mut shards = Vec::with_capacity(head.shards.len());
    for reference in &head.shards {
        let key =
            keys::domain_shard(domain, &reference.service, reference.shard);
        let Some(stored) = store.get(&key).await? else {
            continue;
        };
        let shard = DomainShard::decode(&stored.value)?;
        known.directory.add_shard(&shard);
        let version = stored.version;
        let seen = KnownShard { version, shard: shard.clone() };
        known.shards.insert(key, seen);
        shards.push(shard);
    }
    let record = head.join(&shards)?;
    known.head = Some((stored.version, head));
    Ok((known, Some(record)))
}

/// Reads the part of a domain's record that concerns one service.
///
/// Returns `None` if it could not be read; nothing may be concluded then.
pub(crate) async fn read_view(
    store: &PlatformClient,
    domain: &DomainName,
    service: &ServiceName,
) -> Option<DomainView> {
    let mut view = DomainView::default();
    let stored = store.get(&keys::domain_head(domain)).await.ok()?;
    let Some(stored) = stored else {
        return Some(view);
    };
    let head = DomainHead::decode(&stored.value).ok()?;
    view.stranded = head.stranded.get(service).copied();
    for reference in head.shards.iter().filter(|m| m.service == *service) {
        let key = keys::domain_shard(domain, service, reference.shard);
        let stored = store.get(&key).await.ok()??;
        let shard = DomainShard::decode(&stored.value).ok()?;
        if shard.token < reference.token {
            return None;
        }
        for slices in shard.holders.values() {
            view.held.union_with(slices);
        }
        view.released.union_with(&shard.released);
    }
    Some(view)
}
