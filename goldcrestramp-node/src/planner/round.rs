//! One look at every service's record.

use std::sync::Arc;

use goldcrestramp_config::ServiceRules;
use goldcrestramp_ownership::{
    DomainView, PlannerRound, ServicePolicy, ServiceRecord,
};
use goldcrestramp_platform::{
    PlatformClient, PutCondition, StoreError,
    records::{StoreRecord, keys},
    resolve_write,
};
use goldcrestramp_types::{DomainName, FastMap, FastSet};

use crate::{
    control::TableSet,
    faults::NodeFaults,
    planner::heads::HeadBook,
    store::{read_division, read_view},
};

/// Plans every service once; `true`: something is on the move.
pub(super) async fn plan_all(
    store: &PlatformClient,
    set: &TableSet,
    heads: &HeadBook,
    stopping: &FastSet<DomainName>,
    faults: &NodeFaults,
) -> Result<bool, StoreError> {
    let Some(config) = &set.config else {
        return Ok(false);
    };
    let mut busy = false;
    for service in &config.services {
        let policy = ServicePolicy::of(config, service);
        let policy = policy.with_stopping(stopping.clone());
        let known = set.homes.get(&service.name);
        let stranded = heads.stranded(&service.name);
        let look = ServiceLook { service, policy, known, stranded };
        busy |= plan_service(store, &look, faults).await?;
    }
    Ok(busy)
}

/// What is known of a service before its record is read.
struct ServiceLook<'a> {
    service: &'a ServiceRules,
    policy: ServicePolicy,
    known: Option<&'a Arc<ServiceRecord>>,
    /// The domains that were last heard to have no server for it.
    stranded: FastSet<DomainName>,
}

/// Reads the service's record, then what the change needs of domains'
/// records, and writes the change over the record that was read.
async fn plan_service(
    store: &PlatformClient,
    look: &ServiceLook<'_>,
    faults: &NodeFaults,
) -> Result<bool, StoreError> {
    let ServiceLook { service, policy, known, stranded } = look;
    let read = read_division(store, &service.name).await?;
    let revision = read.as_ref().map_or(0, |(_, record)| record.revision);
    if known.is_some_and(|known| known.revision > revision) {
        // The store came back with older data; the watch writes the newer
        // record again, and nothing is decided on the older one.
        return Ok(true);
    }
    let condition =
        read.as_ref().map_or(PutCondition::Absent, |(version, _)| {
            PutCondition::Version(*version)
        });
    let stage = PlannerRound::start(read.map(|(_, record)| record));
    let needed = stage.needs(policy, stranded);
    let mut views = FastMap::<DomainName, DomainView>::default();
    for domain in &needed {
        if let Some(view) = read_view(store, domain, &service.name).await {
            views.insert(domain.clone(), view);
        }
    }
    let busy = !needed.is_empty();
    let Some(change) = stage.viewed(views).decide(policy, &[]) else {
        return Ok(busy);
    };
    let value = change
        .encode()
        .map_err(|error| StoreError::Refused(error.to_string()))?;
    let key = keys::slices(&service.name);
    // A pause here is the worst one: the decision is made, not written.
    faults.wait().await;
    let fate = resolve_write(store, &key, condition, value, None).await?;
    log::info!(
        "planner: revision {} of {}: {fate:?}.",
        change.revision,
        service.name
    );
    Ok(true)
}
