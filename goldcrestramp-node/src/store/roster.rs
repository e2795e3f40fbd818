//! A failure domain's voters.

use goldcrestramp_ownership::{StewardEvent, VoterRoster};
use goldcrestramp_platform::{
    PlatformClient, PutCondition, StoreAccess, WriteOutcome,
    records::{StoreRecord, keys},
    resolve_write,
};
use goldcrestramp_types::DomainName;

/// Reads the roster for the steward.
///
/// `None`: the store did not answer, or holds a value that nobody can
/// read. Taken for "no roster", either would let a VM make a new one of
/// itself beside a majority that acts.
pub(crate) async fn read_roster(
    store: PlatformClient,
    domain: DomainName,
) -> Option<StewardEvent> {
    let stored = store.get(&keys::roster(&domain)).await.ok()?;
    let Some(stored) = stored else {
        return Some(StewardEvent::RosterRead(None));
    };
    match VoterRoster::decode(&stored.value) {
        Ok(roster) => Some(StewardEvent::RosterRead(Some(roster))),
        Err(error) => {
            log::error!("store: the roster of {domain}: {error}.");
            None
        }
    }
}

/// Writes a roster over an older one.
///
/// The one before it, as a rule; after the store came back with older
/// data, whichever older one is there.
pub(crate) async fn save_roster(
    store: PlatformClient,
    roster: VoterRoster,
) -> Option<StewardEvent> {
    let refused = Some(StewardEvent::RosterSaved(Err(())));
    let key = keys::roster(&roster.domain);
    let stored = store.get(&key).await.ok()?;
    let condition = match &stored {
        None => PutCondition::Absent,
        Some(stored) => PutCondition::Version(stored.version),
    };
    if let Some(stored) = stored {
        let before = VoterRoster::decode(&stored.value).ok()?;
        if before.version >= roster.version {
            return refused;
        }
    }
    let value = match roster.encode() {
        Ok(value) => value,
        Err(error) => {
            log::error!("store: a roster is not kept: {error}.");
            return refused;
        }
    };
    match resolve_write(&store, &key, condition, value, None).await {
        Ok(WriteOutcome::Written(_)) => {
            Some(StewardEvent::RosterSaved(Ok(roster)))
        }
        Ok(WriteOutcome::Superseded(_)) => refused,
        // Not written, or not known: the steward reads it again.
        Ok(WriteOutcome::Lost) | Err(_) => None,
    }
}
