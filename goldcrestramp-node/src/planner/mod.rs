//! The planner: one in all, on one of the stewards' VMs.
//!
//! It holds a lease in the key-value service, so that stewards do not all
//! plan. Whoever acts without it, paused or wrongly believing, does no
//! harm: a service's record is written only over the version read.

mod feed;
mod lease;
mod round;

use std::{sync::Arc, time::Duration};

use goldcrestramp_platform::{PlatformClient, records::PlannerRecord};
use tokio::sync::watch;

pub(crate) use self::feed::PlacementFeed;
use self::{lease::LeaseHold, round::plan_all};
use crate::{context::NodeContext, control::TableSet, store::StorePause};

/// How often the planner looks while something changes.
const BUSY_EVERY: Duration = Duration::from_millis(300);
/// How often it looks when nothing does, and a steward tries to become it.
const IDLE_EVERY: Duration = Duration::from_secs(2);

/// Plans while this VM leads its domain and holds the planner's lease.
pub(crate) async fn run_planner(
    context: Arc<NodeContext>,
    store: PlatformClient,
    mut known: watch::Receiver<Arc<TableSet>>,
    mut leading: watch::Receiver<bool>,
) {
    let mut hold = LeaseHold::new(PlannerRecord {
        vm: context.vm().clone(),
        start: context.start,
        address: context.control_address(),
    });
    let mut pause = StorePause::new();
    loop {
        if leading.wait_for(|leading| *leading).await.is_err() {
            return;
        }
        // A paused VM renews nothing: its lease has to end for another.
        context.faults.wait().await;
        let set = Arc::clone(&known.borrow_and_update());
        let planned = match hold.keep(&store).await {
            Ok(true) => plan_all(&store, &set, &context.faults).await,
            Ok(false) => Ok(false),
            Err(error) => Err(error),
        };
        match planned {
            Ok(busy) => {
                pause.reset();
                rest(busy, &mut known).await;
            }
            Err(error) => {
                log::warn!("planner: the store gave no answer: {error}.");
                pause.wait().await;
            }
        }
    }
}

/// Waits until it is time to look again, or something has changed.
async fn rest(busy: bool, known: &mut watch::Receiver<Arc<TableSet>>) {
    if busy {
        tokio::time::sleep(BUSY_EVERY).await;
        return;
    }
    let changed = tokio::time::timeout(IDLE_EVERY, known.changed()).await;
    if changed.is_ok() {
        // Several changes come together; one look answers them all.
        tokio::time::sleep(BUSY_EVERY).await;
    }
}
