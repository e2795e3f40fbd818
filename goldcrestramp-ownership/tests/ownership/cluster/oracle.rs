//! The state of a simulated cluster as observed from outside the machines.

use goldcrestramp_ownership::StewardStatus;
use goldcrestramp_types::{FenceToken, SliceIndex, SliceSet, TermId};

use super::SimulatedCluster;
use crate::nodes::{Vm, slice_count};

impl SimulatedCluster {
    /// The slices for which a request would be executed now.
    pub fn served(&self) -> SliceSet {
        let mut served = SliceSet::new();
        for vm in self.vms.iter().filter(|vm| !vm.paused) {
            let Some(process) = &vm.process else { continue };
            let now = vm.clock.local(self.now);
            let book = process.keeper.passes(now);
            for server in self.servers.iter().filter(|s| !s.paused) {
                let Some(holder) = &server.holder else { continue };
                let time = server.time(self.now);
                for slice in slice_count().indices() {
                    let pass = book.pass(now, &server.name, slice);
                    let runs = pass.is_ok_and(|pass| {
                        holder.may_start(time, slice, pass.token)
                    });
                    if runs {
                        served.insert(slice);
                    }
                }
            }
        }
        served
    }

    /// The slices that have to be served.
    pub fn expected(&self) -> SliceSet {
        let mut slices: SliceSet = slice_count().indices().collect();
        slices.subtract(&self.leaving);
        slices
    }

    /// Lets `millis` milliseconds pass, and returns the longest time in ms
    /// for which some slice was unserved meanwhile.
    pub fn longest_gap(&mut self, millis: u64) -> u64 {
        let mut since = [None::<u64>; 16];
        let mut worst = 0;
        for _ in 0..millis / 10 {
            self.run(10);
            let served = self.served();
            for slice in self.expected().iter() {
                let entry = &mut since[slice.position()];
                if served.contains(slice) {
                    *entry = None;
                    continue;
                }
                let start = *entry.get_or_insert(self.now);
                worst = worst.max((self.now - start) / 1_000 + 10);
            }
        }
        worst
    }

    /// The server that may execute requests of a slice now.
    pub fn owner(&self, slice: u16) -> Option<usize> {
        let slice =
            SliceIndex::new(u32::from(slice)).expect("slice is in range");
        (0..self.servers.len()).find(|s| self.may_start(*s, slice))
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.vms.len()).find(|vm| self.status(*vm).leading)
    }

    pub fn status(&self, vm: usize) -> StewardStatus {
        let entry = &self.vms[vm];
        let now = entry.clock.local(self.now);
        let process = entry.process.as_ref();
        process.map(|p| p.steward.status(now)).unwrap_or_default()
    }

    /// Whether a VM is one of several voters, by its own knowledge.
    pub fn votes(&self, vm: usize) -> bool {
        let process = self.vms[vm].process.as_ref();
        process.is_some_and(|p| p.steward.votes())
    }

    /// The VM that keeps a server, by its steward's knowledge.
    pub fn keeper_of(&self, server: usize) -> Option<usize> {
        let status = self.status(self.leader()?);
        let keeper = status.keepers.get(&self.servers[server].name)?;
        self.vms.iter().position(|vm| vm.name == *keeper)
    }

    /// The slices of servers that are kept by other VMs than this one.
    pub fn slices_kept_by_others(&self, vm: usize) -> SliceSet {
        let kept = |slice: &SliceIndex| {
            let owner = self.owner(slice.get());
            owner.and_then(|s| self.keeper_of(s)) != Some(vm)
        };
        slice_count().indices().filter(kept).collect()
    }

    /// The slices that have a holder in the store's newest record.
    pub fn recorded(&self) -> SliceSet {
        let mut slices = SliceSet::new();
        let record = self.store.records.last();
        for held in record.iter().flat_map(|r| r.holders.values()) {
            slices.union_with(held);
        }
        slices
    }

    pub(super) fn may_start(&self, server: usize, slice: SliceIndex) -> bool {
        let entry = &self.servers[server];
        let time = entry.time(self.now);
        let holder = entry.holder.as_ref();
        holder.is_some_and(|h| h.may_start(time, slice, highest_token()))
    }

    /// Oracle: no slice may be started at two servers, and no slice that has
    /// left the domain at any.
    pub(super) fn check_owners(&mut self, server: usize) {
        for slice in slice_count().indices() {
            if !self.may_start(server, slice) {
                continue;
            }
            let others = (0..self.servers.len()).filter(|s| *s != server);
            let mut owners = others.filter(|s| self.may_start(*s, slice));
            if let Some(other) = owners.next() {
                let text = format!(
                    "{}us: slice {} at s-{server} and s-{other}",
                    self.now,
                    slice.get()
                );
                self.violations.push(text);
            }
            if self.released.contains(slice) {
                let text = format!("slice {} came back", slice.get());
                self.violations.push(text);
            }
        }
    }

    /// Oracle: a server that checks no fences has one keeper.
    pub(super) fn check_keepers(&mut self) {
        for server in self.servers.iter().filter(|s| !s.checks_fence) {
            let keeps = |vm: &&Vm| {
                let now = vm.clock.local(self.now);
                let process = vm.process.as_ref();
                let book = process.map(|p| p.keeper.passes(now));
                let passes =
                    book.as_ref().and_then(|b| b.servers.get(&server.name));
                passes.is_some_and(|p| now < p.until && !p.slices.is_empty())
            };
            if self.vms.iter().filter(keeps).count() > 1 {
                let text = format!("{} has two keepers", server.name);
                self.violations.push(text);
            }
        }
    }
}

fn highest_token() -> FenceToken {
    let term = TermId { number: u64::MAX, vm: u64::MAX, start: u64::MAX };
    FenceToken { term, sequence: u64::MAX }
}
