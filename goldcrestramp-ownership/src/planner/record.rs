//! Which failure domain holds each slice of a service.

use goldcrestramp_config::EntityRevision;
use goldcrestramp_types::{
    DomainName, ServiceName, SliceCount, SliceIndex, SliceSet,
};

/// Who holds one slice, and where it is to go.
///
/// The numbers are positions in [`ServiceRecord::domains`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SliceHolding {
    /// The failure domain that holds the slice.
    pub domain: u16,
    /// The domain that gets it once the holder has released it.
    pub target: Option<u16>,
}

/// A failure domain in a service's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordDomain {
    /// Its name.
    pub name: DomainName,
    /// The last ticket that touched it, as far as the planner knew that
    /// wrote the record.
    ///
    /// A domain that was declared lost and returns acts on the record only
    /// once this names the ticket that brought it back: until then a
    /// planner that knows only of the loss may still take its slices.
    pub ticket: EntityRevision,
}

/// The division of one service's slices among failure domains.
///
/// A slice has one holding, so two domains never hold it at once. The
/// record changes by compare-and-swap only, each time with a higher
/// revision, so of two planners that act on the same state one fails.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRecord {
    /// The service.
    pub service: ServiceName,
    /// Rises by one with each change, also across a restored store.
    pub revision: u64,
    /// The failure domains that stand in `slices`, each once.
    pub domains: Vec<RecordDomain>,
    /// One holding a slice, in the order of the slices.
    pub slices: Vec<SliceHolding>,
}

impl ServiceRecord {
    /// The number of slices, if the record is well formed.
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

    /// The domain to which a slice is to move.
    #[must_use]
    pub fn target_of(&self, slice: SliceIndex) -> Option<&DomainName> {
        let target = self.holding(slice)?.target?;
        self.name_at(target)
    }

    /// The last ticket about `domain` that the record takes account of.
    #[must_use]
    pub fn ticket_of(&self, domain: &DomainName) -> Option<EntityRevision> {
        let position = self.position(domain)?;
        Some(self.domains[usize::from(position)].ticket)
    }

    fn name_at(&self, position: u16) -> Option<&DomainName> {
        Some(&self.domains.get(usize::from(position))?.name)
    }

    /// Every slice that `domain` holds, leaving ones included.
    #[must_use]
    pub fn held_by(&self, domain: &DomainName) -> SliceSet {
        let Some(position) = self.position(domain) else {
            return SliceSet::new();
        };
        self.select(|holding| holding.domain == position)
    }

    /// The slices that `domain` holds and is to release.
    #[must_use]
    pub fn leaving(&self, domain: &DomainName) -> SliceSet {
        let Some(position) = self.position(domain) else {
            return SliceSet::new();
        };
        self.select(|holding| {
            holding.domain == position && holding.target.is_some()
        })
    }

    /// The position of `domain` in the record.
    #[must_use]
    pub fn position(&self, domain: &DomainName) -> Option<u16> {
        let found = self.domains.iter().position(|d| d.name == *domain);
        u16::try_from(found?).ok()
    }

    /// The slices whose holding satisfies `wanted`.
    fn select(&self, wanted: impl Fn(&SliceHolding) -> bool) -> SliceSet {
        let numbered = (0_u32..).zip(&self.slices);
        numbered
            .filter(|(_, holding)| wanted(holding))
            .filter_map(|(number, _)| SliceIndex::new(number))
            .collect()
    }
}
