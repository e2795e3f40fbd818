//! A failure domain's record: a head and its shards.

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

/// A shard as it was last seen in the store, with the store's version.
#[derive(Clone, Debug)]
struct KnownShard {
    version: u64,
    shard: DomainShard,
}

/// What the store was last seen to hold.
#[derive(Clone, Debug, Default)]
struct KnownRecord {
    head: Option<(u64, DomainHead)>,
    shards: FastMap<String, KnownShard>,
    directory: ServerDirectory,
}

/// Why a record was not read or written.
#[derive(Debug)]
enum RecordFailure {
    Store(StoreError),
    Record(RecordError),
    /// Another steward has written.
    Overtaken,
}

impl fmt::Display for RecordFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::Record(error) => error.fmt(f),
            Self::Overtaken => f.write_str("another steward has written"),
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
/// Only what changed is written. What was last seen is kept, so that a
/// save takes no reads; a write over anything else fails and forgets it.
#[derive(Clone, Debug)]
pub(crate) struct RecordStore {
    store: PlatformClient,
    domain: DomainName,
    known: Arc<Mutex<Option<KnownRecord>>>,
}

impl RecordStore {
    /// A record that has not been read yet.
    pub(crate) fn open(store: PlatformClient, domain: DomainName) -> Self {
        Self { store, domain, known: Arc::default() }
    }

    /// Reads the record for the steward; `None`: the store did not answer.
    ///
    /// A malformed or torn record counts as none: servers know best what
    /// they hold, and are asked before anything is decided.
    pub(crate) async fn read(self) -> Option<StewardEvent> {
        let mut known = self.known.lock().await;
        *known = None;
        match load(&self.store, &self.domain).await {
            Ok((loaded, record)) => {
                *known = Some(loaded);
                Some(StewardEvent::RecordRead(record))
            }
            Err(RecordFailure::Store(error)) => {
                log::warn!("store: the domain's record: {error}.");
                None
            }
            Err(error) => {
                log::error!("store: the domain's record: {error}.");
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
                log::warn!("store: the record is not saved: {error}.");
                // What the store holds now is not known any more.
                *known = None;
                drop(known);
                let overtaken = matches!(error, RecordFailure::Overtaken);
                if overtaken { self.read().await } else { None }
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
            return Err(RecordFailure::Overtaken);
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
        // The head goes last: a save that breaks off before it leaves the
        // older token, by which what servers report counts as newer.
        let stranded = record.stranded.clone();
        let domain = self.domain.clone();
        let head = DomainHead::of(domain, record.token, &kept, stranded);
        let before = known.head.as_ref().map(|(version, _)| *version);
        let key = keys::domain_head(&self.domain);
        let version = self.put(&key, before, &head).await?;
        known.head = Some((version, head));
        Ok(())
    }

    /// Writes a shard unless the store has it; gives what is stored then.
    ///
    /// The first save of a term writes all of them: a late write of a
    /// former steward then fails on the version.
    async fn save_shard(
        &self,
        known: &mut KnownRecord,
        shard: DomainShard,
    ) -> Result<DomainShard, RecordFailure> {
        let key =
            keys::domain_shard(&shard.domain, &shard.service, shard.shard);
        let before = known.shards.get(&key);
        if let Some(before) = before
            && before.shard.token.term == shard.token.term
            && before.shard.same_content(&shard)
        {
            return Ok(before.shard.clone());
        }
        let before = before.map(|known| known.version);
        let version = self.put(&key, before, &shard).await?;
        let stored = KnownShard { version, shard: shard.clone() };
        known.shards.insert(key, stored);
        Ok(shard)
    }

    async fn put<R: StoreRecord>(
        &self,
        key: &str,
        before: Option<u64>,
        record: &R,
    ) -> Result<u64, RecordFailure> {
        let value = record.encode()?;
        let condition =
            before.map_or(PutCondition::Absent, PutCondition::Version);
        let fate = resolve_write(&self.store, key, condition, value, None);
        match fate.await? {
            WriteOutcome::Written(version) => Ok(version),
            WriteOutcome::Superseded(_) => Err(RecordFailure::Overtaken),
            WriteOutcome::Lost => {
                let why = "the write was lost".to_owned();
                Err(RecordFailure::Store(StoreError::Unavailable(why)))
            }
        }
    }
}

/// Reads the head, then every shard that it names.
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
    for mark in &head.shards {
        let key = keys::domain_shard(domain, &mark.service, mark.shard);
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

/// What a domain's record says of one service.
///
/// `None`: it could not be read, so nothing may be concluded from it.
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
    for mark in head.shards.iter().filter(|m| m.service == *service) {
        let key = keys::domain_shard(domain, service, mark.shard);
        let stored = store.get(&key).await.ok()??;
        let shard = DomainShard::decode(&stored.value).ok()?;
        if shard.token < mark.token {
            return None;
        }
        for slices in shard.holders.values() {
            view.held.union_with(slices);
        }
        view.released.union_with(&shard.released);
    }
    Some(view)
}
