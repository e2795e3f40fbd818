//! One round of planning over every service's record.

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
    planner::heads::KnownHeads,
    store::{read_division, read_view},
};

/// Plans every service once. Returns whether any slices are moving.
pub(super) async fn plan_all(
    store: &PlatformClient,
    set: &TableSet,
    heads: &KnownHeads,
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
        let inputs = ServiceInputs { service, policy, known, stranded };
        busy |= plan_service(store, &inputs, faults).await?;
    }
    Ok(busy)
}

/// What is known about a service before its record is read.
struct ServiceInputs<'a> {
    service: &'a ServiceRules,
    policy: ServicePolicy,
    known: Option<&'a Arc<ServiceRecord>>,
    /// The domains whose last known head lists no server for it.
    stranded: FastSet<DomainName>,
}

/// Reads the service's record, then the parts of the domains' records that
/// the change needs, and writes the change over the record that was read.
async fn plan_service(
    store: &PlatformClient,
    inputs: &ServiceInputs<'_>,
    faults: &NodeFaults,
) -> Result<bool, StoreError> {
    let ServiceInputs { service, policy, known, stranded } = inputs;
    let read = read_division(store, &service.name).await?;
    let revision = read.as_ref().map_or(0, |(_, record)| record.revision);
    if known.is_some_and(|known| known.revision > revision) {
        // The store was restored from older data. The watch writes the newer
        // record back, and nothing is decided on the older one.
        return Ok(true);
    }
    let condition =
        read.as_ref().map_or(PutCondition::Absent, |(version, _)| {
            PutCondition::Version(*version)
        });
    let round = PlannerRound::start(read.map(|(_, record)| record));
    let needed = round.needs(policy, stranded);
    let mut views = FastMap::<DomainName, DomainView>::default();
    for domain in &needed {
        if let Some(view) = read_view(store, domain, &service.name).await {
            views.insert(domain.clone(), view);
        }
    }
    let busy = !needed.is_empty();
    let Some(change) = round.viewed(views).decide(policy, &[]) else {
        return Ok(busy);
    };
    let value = change
        .encode()
        .map_err(|error| StoreError::Refused(error.to_string()))?;
    let key = keys::slices(&service.name);
    // A pause here is the worst case for a test: the change is decided but
    // not written.
    faults.wait().await;
    let outcome = resolve_write(store, &key, condition, value, None).await?;
    log::info!(
        "planner: revision {} of {}: {outcome:?}.",
        change.revision,
        service.name
    );
    Ok(true)
}
