//! The planner, which assigns slices to failure domains.
//!
//! There is one planner in a deployment, on the VM of one of the stewards.
//! It holds a lease in the key-value service, so that only one steward
//! plans. A VM that plans without the lease, after a pause or by mistake,
//! does no harm: a service's record is written only over the version that
//! was read.

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
    heads::HeadWatch, lease::PlannerLease, lost::LostDomains, round::plan_all,
};
use crate::{context::NodeContext, control::TableSet, store::StoreBackoff};

/// The interval between rounds while slices are moving, in case the update
/// that a domain has released some is lost.
const BUSY_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between rounds while nothing moves, and between attempts of
/// a steward to become the planner.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// The delay between a change and the next round.
///
/// The heads of domains change within milliseconds of each other, and each
/// round reads every service's record.
const GATHER_DELAY: Duration = Duration::from_millis(20);

/// Plans while this VM is its domain's steward and holds the planner's
/// lease.
pub(crate) async fn run_planner(
    context: Arc<NodeContext>,
    store: PlatformClient,
    mut known: watch::Receiver<Arc<TableSet>>,
    mut leading: watch::Receiver<bool>,
) {
    let mut lease = PlannerLease::new(PlannerRecord {
        vm: context.vm().clone(),
        start: context.start,
        address: context.control_address(),
    });
    let mut backoff = StoreBackoff::new();
    let mut heads = HeadWatch::default();
    let mut lost = LostDomains::default();
    loop {
        if !*leading.borrow() {
            heads = HeadWatch::default();
        }
        if leading.wait_for(|leading| *leading).await.is_err() {
            return;
        }
        // A paused VM must not renew: its lease has to expire for another.
        context.faults.wait().await;
        let set = Arc::clone(&known.borrow_and_update());
        let planned = match lease.acquire_or_renew(&store).await {
            Ok(true) => {
                heads.follow(&store, &domains(&set));
                let known_heads = heads.snapshot();
                let stopping = lost.stopping(context.now(), &set);
                let faults = &context.faults;
                plan_all(&store, &set, &known_heads, &stopping, faults).await
            }
            Ok(false) => {
                heads = HeadWatch::default();
                Ok(false)
            }
            Err(error) => Err(error),
        };
        match planned {
            Ok(busy) => {
                backoff.reset();
                wait_for_change(busy, &set, &heads, &mut known).await;
            }
            Err(error) => {
                log::warn!("planner: a call to the store failed: {error}.");
                backoff.wait().await;
            }
        }
    }
}

/// Waits until the next round is due or something has changed.
async fn wait_for_change(
    busy: bool,
    seen: &TableSet,
    heads: &HeadWatch,
    known: &mut watch::Receiver<Arc<TableSet>>,
) {
    let previous = revisions(seen);
    let interval = if busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
    tokio::select! {
        () = tokio::time::sleep(interval) => return,
        () = heads.changed(busy) => {}
        // Which server of a domain owns a slice does not matter here.
        () = wait_for_revisions(known, previous) => {}
    }
    tokio::time::sleep(GATHER_DELAY).await;
}

/// Completes when a ticket or a service's record other than that of
/// `previous` is known.
async fn wait_for_revisions(
    known: &mut watch::Receiver<Arc<TableSet>>,
    previous: (u64, u64),
) {
    if known.wait_for(|set| revisions(set) != previous).await.is_err() {
        // The daemon is stopping, and this task with it.
        std::future::pending::<()>().await;
    }
}

/// A pair that changes with each ticket and each new revision of a
/// service's record.
fn revisions(set: &TableSet) -> (u64, u64) {
    let version = set.config.as_ref().map_or(0, |config| config.version);
    (version, set.homes.values().map(|record| record.revision).sum())
}

/// The names of the failure domains of the configuration.
fn domains(set: &TableSet) -> Vec<DomainName> {
    let domains = set.config.iter().flat_map(|config| &config.domains);
    domains.map(|rules| rules.name.clone()).collect()
}
