//! Encodes the record of which failure domain holds each slice of a service.

use std::collections::BTreeSet;

use goldcrestramp_config::EntityRevision;
use goldcrestramp_ownership::{RecordDomain, ServiceRecord, SliceHolding};
use goldcrestramp_types::{DomainName, ServiceName, SliceCount};
use serde::{Deserialize, Serialize};

use super::{
    codec::StoreRecord,
    error::RecordError,
    runs::{from_runs, to_runs},
};

/// The maximum number of slices of a service.
const MAX_SLICES: usize = 65_536;

/// The maximum number of failure domains in one record.
///
/// With positions of two digits, the largest record (65,536 runs of one
/// slice, all of them moving) stays below a megabyte, and below 530 KB if
/// few slices move.
const MAX_DOMAINS: usize = 100;

/// A service's record in JSON.
///
/// `held` has one run `[length, domain]` for each block of slices that a
/// domain holds, and `moving` one `[slice, target]` for each slice that is to
/// move. Domains are given as positions in `domains`, which has one
/// `[name, ticket]` for each domain, with the revision that its last
/// ticket gave it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceForm {
    service: ServiceName,
    count: SliceCount,
    revision: u64,
    domains: Vec<(DomainName, EntityRevision)>,
    held: Vec<(u32, u16)>,
    moving: Vec<(u16, u16)>,
}

impl StoreRecord for ServiceRecord {
    type Form = ServiceForm;

    fn to_form(&self) -> Result<ServiceForm, RecordError> {
        check(self)?;
        let count =
            self.count().ok_or(RecordError::OutOfRange("slice count"))?;
        let held = to_runs(self.slices.iter().map(|s| s.domain));
        let numbered = (0_u16..=u16::MAX).zip(&self.slices);
        let moving = numbered
            .filter_map(|(slice, holding)| Some((slice, holding.target?)));
        let domains = self.domains.iter().map(|d| (d.name.clone(), d.ticket));
        Ok(ServiceForm {
            service: self.service.clone(),
            count,
            revision: self.revision,
            domains: domains.collect(),
            held,
            moving: moving.collect(),
        })
    }

    fn from_form(form: ServiceForm) -> Result<Self, RecordError> {
        let held = from_runs(&form.held, MAX_SLICES)?;
        if held.len() != form.count.get() as usize {
            return Err(RecordError::OutOfRange("number of held slices"));
        }
        let mut slices: Vec<SliceHolding> = held
            .into_iter()
            .map(|domain| SliceHolding { domain, target: None })
            .collect();
        for (slice, target) in form.moving {
            let holding = slices
                .get_mut(usize::from(slice))
                .ok_or(RecordError::OutOfRange("moving slice"))?;
            if holding.target.replace(target).is_some() {
                return Err(RecordError::Duplicate(format!("slice {slice}")));
            }
        }
        let domains = form
            .domains
            .into_iter()
            .map(|(name, ticket)| RecordDomain { name, ticket });
        let record = Self {
            service: form.service,
            revision: form.revision,
            domains: domains.collect(),
            slices,
        };
        check(&record)?;
        Ok(record)
    }
}

/// Checks that domains are distinct, and every reference to them is valid.
fn check(record: &ServiceRecord) -> Result<(), RecordError> {
    if record.domains.len() > MAX_DOMAINS {
        return Err(RecordError::TooMany("failure domains"));
    }
    let mut names = BTreeSet::new();
    for domain in &record.domains {
        if !names.insert(&domain.name) {
            return Err(RecordError::Duplicate(domain.name.to_string()));
        }
    }
    let length = record.domains.len();
    let known = |position: u16| usize::from(position) < length;
    let sound = |holding: &SliceHolding| {
        let target = holding.target;
        known(holding.domain)
            && target.is_none_or(known)
            && target != Some(holding.domain)
    };
    if record.slices.iter().all(sound) {
        Ok(())
    } else {
        Err(RecordError::OutOfRange("failure domain of a slice"))
    }
}
