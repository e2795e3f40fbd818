//! How often slices move from server to server within a failure domain.

use goldcrestramp_ownership::{DomainTable, ServiceTable};
use goldcrestramp_types::{FastMap, FastSet, ServerName, ServiceName};

/// Slices that moved between two tables.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MoveTally {
    /// All that came to another server than they had last.
    pub moved: u64,
    /// Those that went back to the server before that one, which had kept
    /// other slices all the time: neither lost nor drained, it could have
    /// kept these.
    pub needless: u64,
}

/// Counts moves from the tables of one failure domain, one after another.
#[derive(Debug, Default)]
pub struct MoveMeter {
    services: FastMap<ServiceName, ServiceMoves>,
}

/// The last two owners of each slice of a service.
#[derive(Debug, Default)]
struct ServiceMoves {
    names: Vec<ServerName>,
    last: Vec<Option<u16>>,
    former: Vec<Option<u16>>,
}

impl MoveMeter {
    /// Takes the next table and tells what moved, by service.
    ///
    /// The first table that names an owner of a slice moves nothing.
    pub fn take(
        &mut self,
        table: &DomainTable,
    ) -> Vec<(ServiceName, MoveTally)> {
        let services = table.services.iter().map(|part| {
            let entry = self.services.entry(part.service.clone());
            (part.service.clone(), entry.or_default().take(part))
        });
        services.collect()
    }
}

impl ServiceMoves {
    fn take(&mut self, part: &ServiceTable) -> MoveTally {
        let places = self.places(part);
        self.last.resize(part.owners.len(), None);
        self.former.resize(part.owners.len(), None);
        let mut tally = MoveTally::default();
        for (slice, owner) in part.owners.iter().enumerate() {
            let owner = owner.and_then(|o| places.get(usize::from(o)));
            let Some(owner) = owner.copied() else {
                continue;
            };
            let last = self.last[slice].replace(owner);
            if last.is_none() || last == Some(owner) {
                continue;
            }
            tally.moved += 1;
            let former = std::mem::replace(&mut self.former[slice], last);
            tally.needless += u64::from(former == Some(owner));
        }
        self.forget_gone(&places);
        tally
    }

    /// The numbers of the table's servers in this book.
    fn places(&mut self, part: &ServiceTable) -> Vec<u16> {
        let mut places = Vec::with_capacity(part.servers.len());
        for server in &part.servers {
            let mut names = self.names.iter();
            let known = names.position(|name| *name == server.server);
            let place = known.unwrap_or_else(|| {
                self.names.push(server.server.clone());
                self.names.len() - 1
            });
            places.push(u16::try_from(place).unwrap_or(u16::MAX));
        }
        places
    }

    /// A server without any slice was lost or drained: what comes to it
    /// later does not go back without need.
    fn forget_gone(&mut self, present: &[u16]) {
        let present: FastSet<u16> = present.iter().copied().collect();
        for former in &mut self.former {
            if former.is_some_and(|former| !present.contains(&former)) {
                *former = None;
            }
        }
    }
}
