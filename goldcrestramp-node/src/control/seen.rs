//! What a VM hears of others: versions, and when.

use goldcrestramp_platform::VmEntry;
use goldcrestramp_types::{FastMap, LocalTime, TableVersion, VmName};

/// What a VM has in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VmVersions {
    /// The configuration's version; 0: none.
    pub config: u64,
    /// The version of its own failure domain's table.
    pub table: Option<TableVersion>,
}

/// What a VM of the failure domain last reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenVm {
    /// What it had in force.
    pub versions: VmVersions,
    /// When the report came.
    pub heard: LocalTime,
}

/// What a steward has heard of the VMs of its failure domain.
#[derive(Debug, Default)]
pub(crate) struct SeenBook {
    vms: FastMap<VmName, SeenVm>,
}

impl SeenBook {
    /// Notes a VM's report.
    pub(crate) fn note(
        &mut self,
        now: LocalTime,
        vm: VmName,
        versions: VmVersions,
    ) {
        self.vms.insert(vm, SeenVm { versions, heard: now });
    }

    /// Forgets VMs that the platform lists no more: a hundred are replaced
    /// in a day, and the book would grow for as long as this VM runs.
    pub(crate) fn keep_listed(&mut self, vms: &[VmEntry]) {
        self.vms.retain(|vm, _| vms.iter().any(|entry| entry.name == *vm));
    }

    /// Forgets everything: this VM does not lead.
    pub(crate) fn clear(&mut self) {
        self.vms.clear();
    }

    /// Every VM, by name.
    pub(crate) fn list(&self) -> Vec<(VmName, SeenVm)> {
        let vms = self.vms.iter();
        let mut vms: Vec<_> =
            vms.map(|(vm, seen)| (vm.clone(), *seen)).collect();
        vms.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        vms
    }
}
