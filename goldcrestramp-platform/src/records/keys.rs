//! The keys of the records in the store.

use goldcrestramp_types::{DomainName, ServiceName};

/// The key of the accepted configuration.
pub const CONFIG: &str = "config";

/// The key of the planner's record, which is bound to its lease.
pub const PLANNER: &str = "planner";

/// The key of a failure domain's voters.
#[must_use]
pub fn roster(domain: &DomainName) -> String {
    format!("roster/{domain}")
}

/// The key of the division of a service's slices among failure domains.
#[must_use]
pub fn slices(service: &ServiceName) -> String {
    format!("slices/{service}")
}

/// The key of the head of a failure domain's record.
#[must_use]
pub fn domain_head(domain: &DomainName) -> String {
    format!("domain/{domain}")
}

/// The key of one shard of a failure domain's record.
#[must_use]
pub fn domain_shard(
    domain: &DomainName,
    service: &ServiceName,
    shard: u16,
) -> String {
    format!("domain/{domain}/{service}/{shard}")
}
