//! Which VM keeps which server.
//!
//! A keeper change costs the server's requests a redirect, so a server
//! stays with its keeper while that one reports and is not leaving.

use std::{collections::BTreeMap, sync::Arc};

use goldcrestramp_types::{FastMap, LocalTime, ServerName, VmName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    message::KeeperReport, safeguard::Safeguard, steward::led::LedServer,
    timing::TermTiming,
};

/// A VM that reports as a keeper.
#[derive(Clone, Debug)]
pub(super) struct LedKeeper {
    pub(super) address: Arc<str>,
    start: u64,
    sequence: u64,
    leaving: bool,
    heard_at: LocalTime,
    /// The end of the last permit given to it.
    pub(super) permit_until: LocalTime,
}

impl LedKeeper {
    fn is_live(&self, now: LocalTime, timing: &TermTiming) -> bool {
        now.since(self.heard_at) < timing.missed_after
    }
}

/// The keepers that a steward has heard of.
#[derive(Clone, Debug, Default)]
pub(super) struct KeeperBook {
    keepers: FastMap<VmName, LedKeeper>,
}

impl KeeperBook {
    pub(super) fn get(&self, vm: &VmName) -> Option<&LedKeeper> {
        self.keepers.get(vm)
    }

    /// Whether the VM has reported lately.
    pub(super) fn is_live(
        &self,
        now: LocalTime,
        vm: &VmName,
        timing: &TermTiming,
    ) -> bool {
        self.keepers.get(vm).is_some_and(|k| k.is_live(now, timing))
    }

    /// Whether the VM has reported lately, and that it is leaving.
    pub(super) fn is_leaving(
        &self,
        now: LocalTime,
        vm: &VmName,
        timing: &TermTiming,
    ) -> bool {
        let keeper = self.keepers.get(vm);
        keeper.is_some_and(|k| k.leaving && k.is_live(now, timing))
    }

    /// Notes a report; `false` if a later one was noted before.
    ///
    /// A restarted VM knows nothing of what its former process sent, so
    /// its servers count as kept by nobody, until that process's permit
    /// has ended or their fence has been raised.
    pub(super) fn note(
        &mut self,
        now: LocalTime,
        report: &KeeperReport,
        servers: &mut BTreeMap<ServerName, LedServer>,
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
        let keeper = LedKeeper {
            address: Arc::clone(&report.address),
            start: report.start,
            sequence: report.sequence,
            leaving: report.leaving,
            heard_at: now,
            permit_until,
        };
        self.keepers.insert(report.vm.clone(), keeper);
        true
    }

    pub(super) fn note_permit(&mut self, vm: &VmName, until: LocalTime) {
        if let Some(keeper) = self.keepers.get_mut(vm) {
            keeper.permit_until = keeper.permit_until.max(until);
        }
    }

    /// Takes servers from keepers that are silent or leaving.
    pub(super) fn release(
        &self,
        now: LocalTime,
        servers: &mut BTreeMap<ServerName, LedServer>,
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
                // Without fences its late orders could undo a release:
                // it says itself when none is under way any more.
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

    /// Gives servers without a keeper to live VMs.
    pub(super) fn assign(
        &self,
        now: LocalTime,
        unclaimed: LocalTime,
        begun: LocalTime,
        servers: &mut BTreeMap<ServerName, LedServer>,
        timing: &TermTiming,
    ) -> bool {
        let mut changed = false;
        let mut loads = self.loads(now, servers, timing);
        let waits = timing.safeguards.has(Safeguard::KeeperWait);
        for (name, server) in servers.iter_mut() {
            let free = !waits || server.may_change_keeper(now, begun);
            if let Some(vm) = server.keeper.clone() {
                if free && server.probing {
                    server.staff(vm);
                    changed = true;
                }
                continue;
            }
            if now < unclaimed {
                continue;
            }
            let Some(vm) = choose(name, &loads) else {
                return changed;
            };
            *loads.entry(vm.clone()).or_default() += 1;
            if free {
                server.staff(vm);
                changed = true;
            } else {
                server.probe(vm);
            }
        }
        changed
    }

    /// How many servers each VM keeps that may be given more.
    fn loads(
        &self,
        now: LocalTime,
        servers: &BTreeMap<ServerName, LedServer>,
        timing: &TermTiming,
    ) -> FastMap<VmName, usize> {
        let live = |k: &LedKeeper| !k.leaving && k.is_live(now, timing);
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
    servers: &mut BTreeMap<ServerName, LedServer>,
) {
    let kept = servers.values_mut().filter(|s| s.keeper.as_ref() == Some(vm));
    for server in kept {
        server.lose_keeper(until);
    }
}

/// The least loaded VM; among equals the one of highest rendezvous weight.
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
