//! Any order of faults: no slice has two owners, and all recover.

use std::{sync::atomic::Ordering, thread};

use goldcrestramp_ownership::Safeguards;
use proptest::{
    prelude::{BoxedStrategy, Just, Strategy},
    test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner},
};
use proptest_state_machine::ReferenceStateMachine;

use crate::{
    fault::{Fault, VMS, any_fault},
    world::World,
};

/// Faults of one case.
const STEPS: usize = 100;
const SEED: u64 = 0x60_1D;
const DEFAULT_CASES: u32 = 256;

/// Which faults may come next in a domain of so many VMs: any, whatever
/// came before.
#[derive(Debug)]
struct AnyFaults<const COUNT: usize>;

impl<const COUNT: usize> ReferenceStateMachine for AnyFaults<COUNT> {
    type State = ();
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Fault> {
        any_fault(COUNT).boxed()
    }

    fn apply(_state: (), _transition: &Fault) {}
}

/// What the oracle finds wrong with a run of faults, if anything.
pub fn judge(faults: &[Fault], safeguards: Safeguards) -> Option<String> {
    judge_domain(VMS, faults, safeguards)
}

/// The same in a domain of so many VMs.
pub fn judge_domain(
    vms: usize,
    faults: &[Fault],
    safeguards: Safeguards,
) -> Option<String> {
    let mut world = World::new(vms, &[true, false, true, false], safeguards);
    world.run(4_000);
    for fault in faults {
        world.fault(fault);
        if let Some(violation) = world.violations.first() {
            return Some(violation.clone());
        }
    }
    world.recover();
    if let Some(violation) = world.violations.first() {
        return Some(violation.clone());
    }
    let served = world.served();
    let missing = world.expected().iter().find(|s| !served.contains(*s));
    missing.map(|slice| format!("slice {} is not served", slice.get()))
}

/// The smallest run of faults found that the oracle objects to.
pub fn search<const COUNT: usize>(
    cases: u32,
    seed: u64,
    safeguards: Safeguards,
) -> Result<(), (String, Vec<Fault>)> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 3_000,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let strategy = AnyFaults::<COUNT>::sequential_strategy(STEPS);
    let result = runner.run(&strategy, |((), faults, seen)| {
        if let Some(seen) = seen {
            seen.store(faults.len(), Ordering::SeqCst);
        }
        match judge_domain(COUNT, &faults, safeguards) {
            Some(violation) => Err(TestCaseError::fail(violation)),
            None => Ok(()),
        }
    });
    match result {
        Ok(()) => Ok(()),
        Err(TestError::Fail(why, ((), faults, _))) => {
            Err((why.to_string(), faults))
        }
        Err(TestError::Abort(why)) => Err((why.to_string(), Vec::new())),
    }
}

/// How many cases to run; `scale` of them, in percent.
fn cases(scale: u32) -> u32 {
    let text = std::env::var("GOLDCRESTRAMP_FUZZ_CASES");
    let cases = text.ok().and_then(|t| t.parse().ok());
    cases.unwrap_or(DEFAULT_CASES) * scale / 100
}

fn search_all<const COUNT: usize>(cases: u32) {
    let threads = thread::available_parallelism().map_or(1, usize::from);
    let threads = u32::try_from(threads.min(12)).expect("small");
    // The seeds depend on no machine: 16 parts, whoever runs them.
    let parts: Vec<u64> = (0..16).collect();
    let share = cases.div_ceil(16);
    for group in parts.chunks(threads as usize) {
        thread::scope(|scope| {
            for part in group {
                scope.spawn(move || {
                    let seed = SEED + part;
                    let found =
                        search::<COUNT>(share, seed, Safeguards::default());
                    if let Err((why, faults)) = found {
                        panic!("{why}: {faults:#?}");
                    }
                });
            }
        });
    }
}

#[test]
fn any_faults_leave_one_owner() {
    search_all::<VMS>(cases(100));
}

// One of two is no majority of two: such a domain lives by the reduction of
// its roster, and each VM may reduce it while the other still leads.
#[test]
fn any_faults_leave_one_owner_in_a_domain_of_two() {
    search_all::<2>(cases(50));
}

// Three are the least that need no reduction, and become two by one.
#[test]
fn any_faults_leave_one_owner_in_a_domain_of_three() {
    search_all::<3>(cases(50));
}
