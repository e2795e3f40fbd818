//! The names of the keys.

use goldcrestramp_types::{DomainName, ServiceName};

/// The accepted configuration.
pub const CONFIG: &str = "config";

/// The planner's lease.
pub const PLANNER: &str = "planner";

/// The voters of a failure domain.
#[must_use]
pub fn roster(domain: &DomainName) -> String {
    format!("roster/{domain}")
}

/// The division of a service's slices among failure domains.
#[must_use]
pub fn slices(service: &ServiceName) -> String {
    format!("slices/{service}")
}

/// The head of a failure domain's record.
#[must_use]
pub fn domain_head(domain: &DomainName) -> String {
    format!("domain/{domain}")
}

/// One shard of a failure domain's record.
#[must_use]
pub fn domain_shard(
    domain: &DomainName,
    service: &ServiceName,
    shard: u16,
) -> String {
    format!("domain/{domain}/{service}/{shard}")
}
