//! The entry of a daemon in the VM list.

use goldcrestramp_config::NodeSettings;
use goldcrestramp_platform::{VmEntry, VmState};

/// Returns the entry of a live VM whose daemon has these settings.
#[must_use]
pub fn live_entry(settings: &NodeSettings) -> VmEntry {
    VmEntry {
        name: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        address: settings.control_listen.to_string(),
        state: VmState::Live,
    }
}
