//! Division of a service's slices in proportion to capacity.

use goldcrestramp_types::DomainName;

use super::{
    policy::{DomainShare, ServicePolicy},
    record::{ServiceRecord, SliceHolding},
};

/// The number of slices that each domain has once all moves are complete.
#[derive(Clone, Debug)]
pub(super) struct DivisionTally<'a> {
    shares: Vec<(&'a DomainShare, u64)>,
}

impl<'a> DivisionTally<'a> {
    /// Counts the slices that `record` assigns to each domain. A slice that
    /// moves counts for its target.
    pub(super) fn of(
        policy: &'a ServicePolicy,
        record: &ServiceRecord,
    ) -> Self {
        let mut counts = vec![0_u64; record.domains.len()];
        for holding in &record.slices {
            let index = holding.target.unwrap_or(holding.domain);
            counts[usize::from(index)] += 1;
        }
        let shares = policy.shares.iter().map(|share| {
            let position = record.position(&share.domain);
            let held = position.map_or(0, |p| counts[usize::from(p)]);
            (share, held)
        });
        Self { shares: shares.collect() }
    }

    /// Assigns one more slice to the domain with the fewest slices for its
    /// capacity, among those that `usable` accepts.
    ///
    /// Returns `None` if no such domain has capacity.
    pub(super) fn assign_next(
        &mut self,
        usable: impl Fn(&DomainName) -> bool,
    ) -> Option<DomainName> {
        let eligible =
            |share: &DomainShare| share.capacity > 0 && usable(&share.domain);
        let shares =
            self.shares.iter_mut().filter(|(share, _)| eligible(share));
        // (held + 1) / capacity, compared without division.
        let (share, held) = shares.min_by(|(a, a_held), (b, b_held)| {
            let left = (*a_held + 1) * u64::from(b.capacity);
            let right = (*b_held + 1) * u64::from(a.capacity);
            left.cmp(&right)
        })?;
        *held += 1;
        Some(share.domain.clone())
    }
}

/// Creates the first division of a service.
///
/// Each domain gets a contiguous block, so that the record has few ranges.
/// Returns `None` while no domain has capacity.
pub(super) fn divide(policy: &ServicePolicy) -> Option<ServiceRecord> {
    let mut record = ServiceRecord {
        service: policy.service.clone(),
        revision: 1,
        domains: Vec::new(),
        slices: Vec::new(),
    };
    for share in &policy.shares {
        record.domains.push(policy.record_domain(&share.domain));
    }
    let mut tally = DivisionTally::of(policy, &record);
    for _ in policy.count.indices() {
        tally.assign_next(|_| true)?;
    }
    let blocks = (0_u16..).zip(tally.shares);
    for (domain, (_, length)) in blocks {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let holding = SliceHolding { domain, target: None };
        record.slices.extend(std::iter::repeat_n(holding, length));
    }
    Some(record)
}
