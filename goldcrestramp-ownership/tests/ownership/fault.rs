//! The faults and changes that can be applied to a simulated cluster.

use proptest::prelude::*;

pub const VMS: usize = 4;
pub const SERVERS: usize = 4;

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Time passes; the seed determines delays and losses.
    Run {
        millis: u64,
        seed: u64,
    },
    /// From now on messages are lost or duplicated with these percentages,
    /// and delayed by up to about `delay` ms.
    Network {
        loss: u64,
        duplicate: u64,
        delay: u64,
    },
    KillVm(usize),
    StartVm(usize),
    PauseVm(usize),
    ResumeVm(usize),
    KillServer(usize),
    StartServer(usize),
    PauseServer(usize),
    ResumeServer(usize),
    /// Two VMs cannot reach each other.
    CutVms(usize, usize),
    CutServer(usize, usize),
    CutStore(usize),
    /// Messages from a VM to a server are delayed by this many milliseconds.
    SlowServer(usize, usize, u64),
    HealLinks,
    StoreDown,
    StoreUp,
    /// Writes take effect, but their answers are lost.
    StoreDropsReplies,
    /// The store is restored with an older record.
    StoreRestored,
    /// The VM list becomes empty, or complete again.
    ListEmpty(bool),
    Delist(usize, bool),
    Drain(usize, bool),
    LeavingVm(usize, bool),
    Move(u16, usize),
    /// The planner moves this slice out of the domain.
    Release(u16),
}

/// Generates any fault of a domain of `vms` VMs; time passes between most of
/// them.
pub fn any_fault(vms: usize) -> impl Strategy<Value = Fault> {
    let vm = move || 0..vms;
    let server = || 0..SERVERS;
    let run = prop_oneof![1..60_u64, 60..700_u64, 700..3_000_u64];
    let reliable = Just(Fault::Network { loss: 0, duplicate: 0, delay: 5 });
    let unreliable = (0..40_u64, 0..20_u64, 5..2_500_u64).prop_map(
        |(loss, duplicate, delay)| Fault::Network { loss, duplicate, delay },
    );
    prop_oneof![
        40 => (run, any::<u64>())
            .prop_map(|(millis, seed)| Fault::Run { millis, seed }),
        4 => reliable,
        3 => unreliable,
        2 => vm().prop_map(Fault::KillVm),
        4 => vm().prop_map(Fault::StartVm),
        3 => vm().prop_map(Fault::PauseVm),
        4 => vm().prop_map(Fault::ResumeVm),
        2 => server().prop_map(Fault::KillServer),
        4 => server().prop_map(Fault::StartServer),
        3 => server().prop_map(Fault::PauseServer),
        4 => server().prop_map(Fault::ResumeServer),
        3 => (vm(), vm()).prop_map(|(a, b)| Fault::CutVms(a, b)),
        3 => (vm(), server()).prop_map(|(a, b)| Fault::CutServer(a, b)),
        1 => vm().prop_map(Fault::CutStore),
        2 => (vm(), server(), 100..2_500_u64)
            .prop_map(|(a, b, delay)| Fault::SlowServer(a, b, delay)),
        4 => Just(Fault::HealLinks),
        2 => prop_oneof![
            Just(Fault::StoreDown), Just(Fault::StoreDropsReplies),
            Just(Fault::StoreRestored),
        ],
        3 => Just(Fault::StoreUp),
        1 => any::<bool>().prop_map(Fault::ListEmpty),
        2 => (vm(), any::<bool>()).prop_map(|(a, b)| Fault::Delist(a, b)),
        3 => (server(), any::<bool>()).prop_map(|(a, b)| Fault::Drain(a, b)),
        2 => (vm(), any::<bool>())
            .prop_map(|(a, b)| Fault::LeavingVm(a, b)),
        6 => (0..16_u16, server()).prop_map(|(a, b)| Fault::Move(a, b)),
        1 => (0..16_u16).prop_map(Fault::Release),
    ]
}
