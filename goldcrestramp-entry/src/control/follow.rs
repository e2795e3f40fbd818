//! Follows the changes in the store.

use std::{sync::Arc, time::Duration};

use goldcrestramp_adapter::{StoreCall, StoreReply};
use goldcrestramp_types::TimeSpan;
use tokio::time::{Instant, sleep, sleep_until};
use xtra::Address;

use crate::{
    control::{
        ControlActor,
        message::{StoreChanges, StoreReading, StoreSilent},
    },
    store::{StoreClient, StoreFailure},
};

/// A watch waits so long for changes. Each one is a call that is paid for;
/// one that went silent without a break is found by its connection's
/// probes before this.
const WATCH_WAIT: TimeSpan = TimeSpan::from_millis(10_000);

/// Changes that follow each other sooner are told together: the start of a
/// fleet makes some hundred changes in a second, and each VM would pay a
/// call for each. It takes a tenth of the time in which a change has to be
/// in force.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Pauses after a failure: the first is short, as one lost answer is no
/// outage; all VMs come back together, so they spread over half of it.
const RETRY_FIRST: Duration = Duration::from_millis(100);
const RETRY_MOST: Duration = Duration::from_millis(800);

/// Follows the store until the actor is gone.
pub(crate) async fn follow_store(
    store: Arc<StoreClient>,
    control: Address<ControlActor>,
) {
    let mut revision = None;
    let mut pause = RETRY_FIRST;
    loop {
        let next = Instant::now() + WATCH_PAUSE;
        let followed = match revision {
            None => read_all(&store, &control).await,
            Some(after) => watch(&store, &control, after).await,
        };
        match followed {
            Ok(known) => {
                revision = known;
                pause = RETRY_FIRST;
                sleep_until(next).await;
            }
            Err(failure) => {
                log::debug!("[store] Following failed: {failure}.");
                if control.send(StoreSilent).await.is_err() {
                    return;
                }
                sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                pause = (pause * 2).min(RETRY_MOST);
            }
        }
        if !control.is_connected() {
            return;
        }
    }
}

async fn read_all(
    store: &StoreClient,
    control: &Address<ControlActor>,
) -> Result<Option<u64>, StoreFailure> {
    let page = store.read_all("").await?;
    let revision = page.revision;
    // The actor is gone only when the process ends.
    let _gone = control.send(StoreReading(page)).await;
    Ok(Some(revision))
}

async fn watch(
    store: &StoreClient,
    control: &Address<ControlActor>,
    after: u64,
) -> Result<Option<u64>, StoreFailure> {
    let call = StoreCall::Watch { prefix: "".into(), after, wait: WATCH_WAIT };
    match store.call(&call).await? {
        StoreReply::Changes { events, revision } => {
            let changes = StoreChanges { events, revision };
            // The actor is gone only when the process ends.
            let _gone = control.send(changes).await;
            Ok(Some(revision.max(after)))
        }
        StoreReply::HistoryLost => {
            log::info!("[store] History after {after} is lost; reading all.");
            Ok(None)
        }
        _ => Err(StoreFailure::Unknown),
    }
}
