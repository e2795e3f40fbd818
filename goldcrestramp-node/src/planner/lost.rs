//! Domains that were declared lost, and when their slices may be reassigned.

use goldcrestramp_types::{DomainName, FastMap, FastSet, LocalTime, TimeSpan};

use crate::control::TableSet;

/// How long the planner waits for a domain that was declared lost to stop.
///
/// A ticket is in force everywhere within 8 s, and a grant that is not
/// extended expires one lease of 1 s later. The rest covers clock drift. The
/// slices of a domain that is really lost wait for this time after its
/// ticket, once or twice a year.
const STOP_DELAY: TimeSpan = TimeSpan::from_millis(10_000);

/// When the slices of each lost domain may be reassigned without a release.
#[derive(Debug, Default)]
pub(super) struct LostDomains {
    reclaim_at: FastMap<DomainName, LocalTime>,
}

impl LostDomains {
    /// The lost domains that may not have applied the ticket yet.
    ///
    /// The wait starts when this planner first sees the ticket, so a planner
    /// that replaces it waits again.
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
        self.reclaim_at.retain(|name, _| lost.contains(name));
        for name in lost {
            self.reclaim_at.entry(name).or_insert(now + STOP_DELAY);
        }
        let waiting = self.reclaim_at.iter().filter(|(_, at)| now < **at);
        waiting.map(|(name, _)| name.clone()).collect()
    }
}
