//! The versions that other VMs reported, and when they reported them.

use goldcrestramp_platform::VmEntry;
use goldcrestramp_types::{FastMap, LocalTime, TableVersion, VmName};

/// The versions that a VM has in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VmVersions {
    /// The configuration's version, or 0 if there is none.
    pub config: u64,
    /// The version of its own failure domain's table.
    pub table: Option<TableVersion>,
}

/// The last report of a VM of the failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenVm {
    /// The versions that it had in force.
    pub versions: VmVersions,
    /// When the report arrived, in the steward's clock.
    pub heard: LocalTime,
}

/// The last reports of the VMs of a steward's failure domain.
#[derive(Debug, Default)]
pub(crate) struct ReportTable {
    vms: FastMap<VmName, SeenVm>,
}

impl ReportTable {
    /// Records a VM's report.
    pub(crate) fn record(
        &mut self,
        now: LocalTime,
        vm: VmName,
        versions: VmVersions,
    ) {
        self.vms.insert(vm, SeenVm { versions, heard: now });
    }

    /// Removes VMs that the platform no longer lists. A hundred are replaced
    /// in a day, and the table would grow for as long as this VM runs.
    pub(crate) fn retain_listed(&mut self, vms: &[VmEntry]) {
        self.vms.retain(|vm, _| vms.iter().any(|entry| entry.name == *vm));
    }

    /// Removes every report, because this VM is not the steward.
    pub(crate) fn clear(&mut self) {
        self.vms.clear();
    }

    /// Every VM with its last report, sorted by name.
    pub(crate) fn list(&self) -> Vec<(VmName, SeenVm)> {
        let vms = self.vms.iter();
        let mut vms: Vec<_> =
            vms.map(|(vm, seen)| (vm.clone(), *seen)).collect();
        vms.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        vms
    }
}
