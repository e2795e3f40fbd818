//! Domains that were declared lost, and when their slices may be taken.

use goldcrestramp_types::{DomainName, FastMap, FastSet, LocalTime, TimeSpan};

use crate::control::TableSet;

/// How long a domain that was declared lost is left to stop by itself.
///
/// A ticket is in force everywhere within 8 s, and a grant that is not
/// extended ends a lease of 1 s later; the rest is for clocks. A domain that
/// is truly lost waits that long after its ticket, once or twice a year.
const STOP_WAIT: TimeSpan = TimeSpan::from_millis(10_000);

/// When the slices of each lost domain may be taken without a release.
#[derive(Debug, Default)]
pub(super) struct LostBook {
    take_at: FastMap<DomainName, LocalTime>,
}

impl LostBook {
    /// The lost domains that may not have heard of it yet.
    ///
    /// Counted from when this planner first saw the ticket, so another
    /// planner in its place waits anew.
    pub(super) fn stopping(
        &mut self,
        now: LocalTime,
        set: &TableSet,
    ) -> FastSet<DomainName> {
        let domains = set.config.iter().flat_map(|config| &config.domains);
        let lost: FastSet<_> = domains
            .filter(|rules| rules.lost)
            .map(|rules| rules.name.clone())
            .collect();
        self.take_at.retain(|name, _| lost.contains(name));
        for name in lost {
            self.take_at.entry(name).or_insert(now + STOP_WAIT);
        }
        let waiting = self.take_at.iter().filter(|(_, at)| now < **at);
        waiting.map(|(name, _)| name.clone()).collect()
    }
}
