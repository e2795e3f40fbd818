//! The record of which failure domain holds each slice of a service.

use goldcrestramp_config::EntityRevision;
use goldcrestramp_types::{
    DomainName, ServiceName, SliceCount, SliceIndex, SliceSet,
};

/// The holder of one slice, and the target of its move if it moves.
///
/// Both are indices into [`ServiceRecord::domains`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SliceHolding {
    /// The failure domain that holds the slice.
    pub domain: u16,
    /// The domain that becomes the holder once the current holder has released
    /// the slice.
    pub target: Option<u16>,
}

/// A failure domain in a service's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordDomain {
    /// Its name.
    pub name: DomainName,
    /// The last ticket that touched the domain and was known to the planner
    /// that wrote the record.
    ///
    /// A domain that returns after it was declared lost acts on the record
    /// only once this is the ticket that brought it back. Until then a planner
    /// that knows only of the loss may still take its slices.
    pub ticket: EntityRevision,
}

/// The division of one service's slices among failure domains.
///
/// A slice has one holding, so two domains never hold it at once. The record
/// changes only by compare-and-swap, and each change increases the revision.
/// So if two planners act on the same state, one of them fails.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRecord {
    /// The service.
    pub service: ServiceName,
    /// Increases by one with each change, also across a restored store.
    pub revision: u64,
    /// The failure domains to which `slices` refers, each once.
    pub domains: Vec<RecordDomain>,
    /// One holding per slice, in the order of the slices.
    pub slices: Vec<SliceHolding>,
}

impl ServiceRecord {
    /// The number of slices; `None` if the record is malformed.
    #[must_use]
    pub fn count(&self) -> Option<SliceCount> {
        let length = u32::try_from(self.slices.len()).ok()?;
        SliceCount::new(length)
    }

    /// The holding of a slice.
    #[must_use]
    pub fn holding(&self, slice: SliceIndex) -> Option<SliceHolding> {
        self.slices.get(slice.position()).copied()
    }

    /// The domain that holds a slice.
    #[must_use]
    pub fn domain_of(&self, slice: SliceIndex) -> Option<&DomainName> {
        let holding = self.holding(slice)?;
        self.name_at(holding.domain)
    }

    /// The domain to which a slice moves; `None` if it does not move.
    #[must_use]
    pub fn target_of(&self, slice: SliceIndex) -> Option<&DomainName> {
        let target = self.holding(slice)?.target?;
        self.name_at(target)
    }

    /// The last ticket that touched `domain` and that the record takes into
    /// account.
    #[must_use]
    pub fn ticket_of(&self, domain: &DomainName) -> Option<EntityRevision> {
        let position = self.position(domain)?;
        Some(self.domains[usize::from(position)].ticket)
    }

    fn name_at(&self, position: u16) -> Option<&DomainName> {
        Some(&self.domains.get(usize::from(position))?.name)
    }

    /// All slices that `domain` holds, including those that leave it.
    #[must_use]
    pub fn held_by(&self, domain: &DomainName) -> SliceSet {
        let Some(position) = self.position(domain) else {
            return SliceSet::new();
        };
        self.select(|holding| holding.domain == position)
    }

    /// The slices that `domain` holds and has to release.
    #[must_use]
    pub fn leaving(&self, domain: &DomainName) -> SliceSet {
        let Some(position) = self.position(domain) else {
            return SliceSet::new();
        };
        self.select(|holding| {
            holding.domain == position && holding.target.is_some()
        })
    }

    /// The index of `domain` in [`domains`](Self::domains).
    #[must_use]
    pub fn position(&self, domain: &DomainName) -> Option<u16> {
        let found = self.domains.iter().position(|d| d.name == *domain);
        u16::try_from(found?).ok()
    }

    fn select(&self, wanted: impl Fn(&SliceHolding) -> bool) -> SliceSet {
        let numbered = (0_u32..).zip(&self.slices);
        numbered
            .filter(|(_, holding)| wanted(holding))
            .filter_map(|(number, _)| SliceIndex::new(number))
            .collect()
    }
}
