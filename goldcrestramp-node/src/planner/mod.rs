//! The planner: one in all, on one of the stewards' VMs.
//!
//! It holds a lease in the key-value service, so that stewards do not all
//! plan. Whoever acts without it, paused or wrongly believing, does no
//! harm: a service's record is written only over the version read.

mod feed;
mod heads;
mod lease;
mod lost;
mod round;

use std::{sync::Arc, time::Duration};

use goldcrestramp_platform::{PlatformClient, records::PlannerRecord};
use goldcrestramp_types::DomainName;
use tokio::sync::watch;

pub(crate) use self::feed::PlacementFeed;
use self::{
    heads::HeadWatch, lease::LeaseHold, lost::LostBook, round::plan_all,
};
use crate::{context::NodeContext, control::TableSet, store::StorePause};

/// How often the planner looks while slices are on the move, should it not
/// be told that a domain has released some.
const BUSY_EVERY: Duration = Duration::from_millis(500);
/// How often it looks when nothing moves, and a steward tries to become it.
const IDLE_EVERY: Duration = Duration::from_secs(2);
/// How long it gathers news before it looks: domains' heads change within
/// milliseconds of each other, and each look reads every service's record.
const GATHER: Duration = Duration::from_millis(20);

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
    let mut heads = HeadWatch::default();
    let mut lost = LostBook::default();
    loop {
        if !*leading.borrow() {
            heads = HeadWatch::default();
        }
        if leading.wait_for(|leading| *leading).await.is_err() {
            return;
        }
        // A paused VM renews nothing: its lease has to end for another.
        context.faults.wait().await;
        let set = Arc::clone(&known.borrow_and_update());
        let planned = match hold.keep(&store).await {
            Ok(true) => {
                heads.follow(&store, &domains(&set));
                let book = heads.look();
                let stopping = lost.stopping(context.now(), &set);
                let faults = &context.faults;
                plan_all(&store, &set, &book, &stopping, faults).await
            }
            Ok(false) => {
                heads = HeadWatch::default();
                Ok(false)
            }
            Err(error) => Err(error),
        };
        match planned {
            Ok(busy) => {
                pause.reset();
                rest(busy, &set, &heads, &mut known).await;
            }
            Err(error) => {
                log::warn!("planner: the store gave no answer: {error}.");
                pause.wait().await;
            }
        }
    }
}

/// Waits until it is time to look again, or something has changed.
async fn rest(
    busy: bool,
    seen: &TableSet,
    heads: &HeadWatch,
    known: &mut watch::Receiver<Arc<TableSet>>,
) {
    let before = mark(seen);
    let limit = if busy { BUSY_EVERY } else { IDLE_EVERY };
    tokio::select! {
        () = tokio::time::sleep(limit) => return,
        () = heads.changed(busy) => {}
        // Who serves what within a domain is no news here.
        () = news(known, before) => {}
    }
    tokio::time::sleep(GATHER).await;
}

/// Completes when a ticket or a division other than that of `before` is
/// known.
async fn news(known: &mut watch::Receiver<Arc<TableSet>>, before: (u64, u64)) {
    if known.wait_for(|set| mark(set) != before).await.is_err() {
        // The daemon ends, and this task with it.
        std::future::pending::<()>().await;
    }
}

/// Rises with each ticket and each change of a service's record.
fn mark(set: &TableSet) -> (u64, u64) {
    let version = set.config.as_ref().map_or(0, |config| config.version);
    (version, set.homes.values().map(|record| record.revision).sum())
}

/// The failure domains of the configuration.
fn domains(set: &TableSet) -> Vec<DomainName> {
    let domains = set.config.iter().flat_map(|config| &config.domains);
    domains.map(|rules| rules.name.clone()).collect()
}
