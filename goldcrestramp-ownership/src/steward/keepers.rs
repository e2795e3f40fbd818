//! The assignment of servers to the VMs that keep them.
//!
//! A change of keeper redirects the server's requests, so a server stays
//! with its keeper while that VM reports and is not leaving.

use std::{collections::BTreeMap, sync::Arc};

use goldcrestramp_types::{FastMap, LocalTime, ServerName, VmName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    message::KeeperReport, safeguard::Safeguard,
    steward::domain_server::DomainServer, timing::TermTiming,
};

/// A VM that reports as a keeper.
#[derive(Clone, Debug)]
pub(super) struct KnownKeeper {
    pub(super) address: Arc<str>,
    start: u64,
    sequence: u64,
    leaving: bool,
    reported_at: LocalTime,
    /// The end of the last permit given to it.
    pub(super) permit_until: LocalTime,
}

impl KnownKeeper {
    fn is_live(&self, now: LocalTime, timing: &TermTiming) -> bool {
        now.since(self.reported_at) < timing.missed_after
    }
}

/// The keepers that have reported to a steward.
#[derive(Clone, Debug, Default)]
pub(super) struct KeeperTable {
    keepers: FastMap<VmName, KnownKeeper>,
}

impl KeeperTable {
    pub(super) fn get(&self, vm: &VmName) -> Option<&KnownKeeper> {
        self.keepers.get(vm)
    }

    /// Whether the VM has reported recently.
    pub(super) fn is_live(
        &self,
        now: LocalTime,
        vm: &VmName,
        timing: &TermTiming,
    ) -> bool {
        self.keepers.get(vm).is_some_and(|k| k.is_live(now, timing))
    }

    /// Whether the VM has recently reported that it is leaving.
    pub(super) fn is_leaving(
        &self,
        now: LocalTime,
        vm: &VmName,
        timing: &TermTiming,
    ) -> bool {
        let keeper = self.keepers.get(vm);
        keeper.is_some_and(|k| k.leaving && k.is_live(now, timing))
    }

    /// Records a report. Returns `false` if a later one was recorded before.
    ///
    /// A restarted VM does not know the orders of its previous process. Its
    /// servers therefore lose their keeper until that process's permit has
    /// ended or their fence has been raised.
    pub(super) fn record_report(
        &mut self,
        now: LocalTime,
        report: &KeeperReport,
        servers: &mut BTreeMap<ServerName, DomainServer>,
    ) -> bool {
        let known = self.keepers.get(&report.vm);
        let same = known.filter(|keeper| keeper.start == report.start);
        if same.is_some_and(|k| k.sequence >= report.sequence) {
            return false;
        }
        let mut permit_until = LocalTime::default();
        if let Some(keeper) = known {
            permit_until = keeper.permit_until;
            if keeper.start != report.start {
                release_servers(&report.vm, permit_until, servers);
            }
        }
        let keeper = KnownKeeper {
            address: Arc::clone(&report.address),
            start: report.start,
            sequence: report.sequence,
            leaving: report.leaving,
            reported_at: now,
            permit_until,
        };
        self.keepers.insert(report.vm.clone(), keeper);
        true
    }

    pub(super) fn record_permit(&mut self, vm: &VmName, until: LocalTime) {
        if let Some(keeper) = self.keepers.get_mut(vm) {
            keeper.permit_until = keeper.permit_until.max(until);
        }
    }

    /// Removes servers from keepers that are silent or leaving.
    pub(super) fn release(
        &self,
        now: LocalTime,
        servers: &mut BTreeMap<ServerName, DomainServer>,
        timing: &TermTiming,
    ) -> bool {
        let mut changed = false;
        let others = self.has_successor(now, timing);
        for server in servers.values_mut() {
            let Some(keeper) =
                server.keeper.as_ref().and_then(|vm| self.keepers.get(vm))
            else {
                continue;
            };
            let live = keeper.is_live(now, timing);
            let leaving = keeper.leaving && others;
            if !live || (leaving && server.plan.checks_fence) {
                server.lose_keeper(keeper.permit_until);
                changed = true;
            } else if leaving && !server.retiring {
                // A server without fences would accept its late orders,
                // which could undo a release. The keeper itself reports
                // when none is in flight.
                server.retiring = true;
                changed = true;
            }
        }
        changed
    }

    fn has_successor(&self, now: LocalTime, timing: &TermTiming) -> bool {
        let mut keepers = self.keepers.values();
        keepers.any(|k| !k.leaving && k.is_live(now, timing))
    }

    /// Assigns servers without a keeper to live VMs.
    pub(super) fn assign(
        &self,
        now: LocalTime,
        assign_unclaimed_at: LocalTime,
        majority_at: LocalTime,
        servers: &mut BTreeMap<ServerName, DomainServer>,
        timing: &TermTiming,
    ) -> bool {
        let mut changed = false;
        let mut loads = self.loads(now, servers, timing);
        let waits = timing.safeguards.has(Safeguard::KeeperWait);
        for (name, server) in servers.iter_mut() {
            let free = !waits || server.may_change_keeper(now, majority_at);
            if let Some(vm) = server.keeper.clone() {
                if free && server.probing {
                    server.set_keeper(vm);
                    changed = true;
                }
                continue;
            }
            if now < assign_unclaimed_at {
                continue;
            }
            let Some(vm) = choose(name, &loads) else {
                return changed;
            };
            *loads.entry(vm.clone()).or_default() += 1;
            if free {
                server.set_keeper(vm);
                changed = true;
            } else {
                server.probe(vm);
            }
        }
        changed
    }

    /// The number of servers of each VM that may be assigned more.
    fn loads(
        &self,
        now: LocalTime,
        servers: &BTreeMap<ServerName, DomainServer>,
        timing: &TermTiming,
    ) -> FastMap<VmName, usize> {
        let live = |k: &KnownKeeper| !k.leaving && k.is_live(now, timing);
        let usable = self.keepers.iter().filter(|(_, keeper)| live(keeper));
        let mut loads: FastMap<VmName, usize> =
            usable.map(|(vm, _)| (vm.clone(), 0)).collect();
        for vm in servers.values().filter_map(|s| s.keeper.as_ref()) {
            if let Some(load) = loads.get_mut(vm) {
                *load += 1;
            }
        }
        loads
    }
}

fn release_servers(
    vm: &VmName,
    until: LocalTime,
    servers: &mut BTreeMap<ServerName, DomainServer>,
) {
    let kept = servers.values_mut().filter(|s| s.keeper.as_ref() == Some(vm));
    for server in kept {
        server.lose_keeper(until);
    }
}

/// The VM that keeps the fewest servers, or of several the one of highest
/// rendezvous weight.
fn choose(
    server: &ServerName,
    loads: &FastMap<VmName, usize>,
) -> Option<VmName> {
    let weight = |vm: &VmName| {
        let text = format!("{server}/{vm}");
        (std::cmp::Reverse(xxh3_64(text.as_bytes())), vm.clone())
    };
    let best = loads.iter().min_by_key(|(vm, load)| (**load, weight(vm)));
    best.map(|(vm, _)| vm.clone())
}
