//! Reads and writes the voter roster of a failure domain.

use goldcrestramp_ownership::{StewardEvent, VoterRoster};
use goldcrestramp_platform::{
    PlatformClient, PutCondition, StoreAccess, WriteOutcome,
    records::{StoreRecord, keys},
    resolve_write,
};
use goldcrestramp_types::DomainName;

/// Reads the roster for the steward.
///
/// Returns `None` if the store did not respond or its value is malformed.
/// Treating either as "no roster" would let a VM create a roster of its own
/// beside a majority that is still active.
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
            log::error!(
                "store: cannot decode the roster of {domain}: {error}."
            );
            None
        }
    }
}

/// Writes a roster over an older one.
///
/// The older one is normally the direct predecessor. After a restore of the
/// store from older data it can be any older version.
pub(crate) async fn save_roster(
    store: PlatformClient,
    roster: VoterRoster,
) -> Option<StewardEvent> {
    let rejected = Some(StewardEvent::RosterSaved(Err(())));
    let key = keys::roster(&roster.domain);
    let stored = store.get(&key).await.ok()?;
    let condition = match &stored {
        None => PutCondition::Absent,
        Some(stored) => PutCondition::Version(stored.version),
    };
    if let Some(stored) = stored {
        let previous = VoterRoster::decode(&stored.value).ok()?;
        if previous.version >= roster.version {
            return rejected;
        }
    }
    let value = match roster.encode() {
        Ok(value) => value,
        Err(error) => {
            log::error!("store: cannot encode a roster: {error}.");
            return rejected;
        }
    };
    match resolve_write(&store, &key, condition, value, None).await {
        Ok(WriteOutcome::Written(_)) => {
            Some(StewardEvent::RosterSaved(Ok(roster)))
        }
        Ok(WriteOutcome::Superseded(_)) => rejected,
        // Not written, or the outcome is unknown: the steward reads it.
        Ok(WriteOutcome::Lost) | Err(_) => None,
    }
}
