//! What may happen to the world.

use proptest::prelude::*;

pub const VMS: usize = 4;
pub const SERVERS: usize = 4;

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Time passes; the seed decides delays and losses.
    Run {
        millis: u64,
        seed: u64,
    },
    /// From now on messages are lost, doubled, or late by up to `late`.
    Weather {
        loss: u64,
        double: u64,
        late: u64,
    },
    KillVm(usize),
    StartVm(usize),
    PauseVm(usize),
    ResumeVm(usize),
    KillServer(usize),
    StartServer(usize),
    PauseServer(usize),
    ResumeServer(usize),
    /// Two VMs do not reach each other.
    CutVms(usize, usize),
    CutServer(usize, usize),
    CutStore(usize),
    /// Messages from a VM to a server are late by so many milliseconds.
    SlowServer(usize, usize, u64),
    HealLinks,
    StoreDown,
    StoreUp,
    /// Writes take effect and their answers are lost.
    StoreMute,
    /// The store comes back with an older record.
    StoreOld,
    /// The VM list turns empty, or whole again.
    ListEmpty(bool),
    Delist(usize, bool),
    Drain(usize, bool),
    LeavingVm(usize, bool),
    Move(u16, usize),
    /// The planner wants these slices out of the domain.
    GiveAway(u16),
}

/// Any fault of a domain of so many VMs; time passes between most of them.
pub fn any_fault(vms: usize) -> impl Strategy<Value = Fault> {
    let vm = move || 0..vms;
    let server = || 0..SERVERS;
    let run = prop_oneof![1..60_u64, 60..700_u64, 700..3_000_u64];
    let calm = Just(Fault::Weather { loss: 0, double: 0, late: 5 });
    let rough = (0..40_u64, 0..20_u64, 5..2_500_u64).prop_map(
        |(loss, double, late)| Fault::Weather { loss, double, late },
    );
    prop_oneof![
        40 => (run, any::<u64>())
            .prop_map(|(millis, seed)| Fault::Run { millis, seed }),
        4 => calm,
        3 => rough,
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
            .prop_map(|(a, b, late)| Fault::SlowServer(a, b, late)),
        4 => Just(Fault::HealLinks),
        2 => prop_oneof![
            Just(Fault::StoreDown), Just(Fault::StoreMute),
            Just(Fault::StoreOld),
        ],
        3 => Just(Fault::StoreUp),
        1 => any::<bool>().prop_map(Fault::ListEmpty),
        2 => (vm(), any::<bool>()).prop_map(|(a, b)| Fault::Delist(a, b)),
        3 => (server(), any::<bool>()).prop_map(|(a, b)| Fault::Drain(a, b)),
        2 => (vm(), any::<bool>())
            .prop_map(|(a, b)| Fault::LeavingVm(a, b)),
        6 => (0..16_u16, server()).prop_map(|(a, b)| Fault::Move(a, b)),
        1 => (0..16_u16).prop_map(Fault::GiveAway),
    ]
}
