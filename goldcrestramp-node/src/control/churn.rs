//! Counts the slices that move between servers within a failure domain.

use goldcrestramp_ownership::{DomainTable, ServiceTable};
use goldcrestramp_types::{FastMap, FastSet, ServerName, ServiceName};

/// The slices that moved between two tables.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MoveTally {
    /// Slices whose server differs from their last one.
    pub moved: u64,
    /// Moved slices that returned to the server before their last one,
    /// although that server has held other slices all the time. It was
    /// neither lost nor drained, so that it could have kept them.
    pub needless: u64,
}

/// Counts moves from the successive tables of one failure domain.
#[derive(Debug, Default)]
pub struct MoveMeter {
    services: FastMap<ServiceName, ServiceMoves>,
}

/// The last two owners of each slice of a service, as indexes into
/// `names`.
#[derive(Debug, Default)]
struct ServiceMoves {
    names: Vec<ServerName>,
    last: Vec<Option<u16>>,
    previous: Vec<Option<u16>>,
}

impl MoveMeter {
    /// Records the next table and returns the moves of each service.
    ///
    /// The first known owner of a slice counts as no move.
    pub fn take(
        &mut self,
        table: &DomainTable,
    ) -> Vec<(ServiceName, MoveTally)> {
        let services = table.services.iter().map(|part| {
            let entry = self.services.entry(part.service.clone());
            (part.service.clone(), entry.or_default().record(part))
        });
        services.collect()
    }
}

impl ServiceMoves {
    fn record(&mut self, part: &ServiceTable) -> MoveTally {
        let indexes = self.indexes(part);
        self.last.resize(part.owners.len(), None);
        self.previous.resize(part.owners.len(), None);
        let mut tally = MoveTally::default();
        for (slice, owner) in part.owners.iter().enumerate() {
            let owner = owner.and_then(|o| indexes.get(usize::from(o)));
            let Some(owner) = owner.copied() else {
                continue;
            };
            let last = self.last[slice].replace(owner);
            if last.is_none() || last == Some(owner) {
                continue;
            }
            tally.moved += 1;
            let previous = std::mem::replace(&mut self.previous[slice], last);
            tally.needless += u64::from(previous == Some(owner));
        }
        self.clear_removed(&indexes);
        tally
    }

    /// The indexes of the table's servers in `names`.
    fn indexes(&mut self, part: &ServiceTable) -> Vec<u16> {
        let mut indexes = Vec::with_capacity(part.servers.len());
        for server in &part.servers {
            let mut names = self.names.iter();
            let known = names.position(|name| *name == server.server);
            let index = known.unwrap_or_else(|| {
                self.names.push(server.server.clone());
                self.names.len() - 1
            });
            indexes.push(u16::try_from(index).unwrap_or(u16::MAX));
        }
        indexes
    }

    /// Clears previous owners that the table no longer lists. Such a server
    /// was lost or drained, so that a later move to it is not needless.
    fn clear_removed(&mut self, current: &[u16]) {
        let current: FastSet<u16> = current.iter().copied().collect();
        for previous in &mut self.previous {
            if previous.is_some_and(|previous| !current.contains(&previous)) {
                *previous = None;
            }
        }
    }
}
