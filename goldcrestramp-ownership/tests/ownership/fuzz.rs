//! Fuzz tests: under any sequence of faults no slice has two owners, and the
//! domain recovers afterwards.

use std::{sync::atomic::Ordering, thread};

use goldcrestramp_ownership::Safeguards;
use proptest::{
    prelude::{BoxedStrategy, Just, Strategy},
    test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner},
};
use proptest_state_machine::ReferenceStateMachine;

use crate::{
    cluster::SimulatedCluster,
    fault::{Fault, VMS, any_fault},
};

/// The number of faults in one case.
const STEPS: usize = 100;
const SEED: u64 = 0x60_1D;
const DEFAULT_CASES: u32 = 256;

/// The faults of a domain of `COUNT` VMs, each independent of those before.
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

/// The first violation that a sequence of faults causes, if any.
pub fn first_failure(
    faults: &[Fault],
    safeguards: Safeguards,
) -> Option<String> {
    first_failure_of(VMS, faults, safeguards)
}

/// Like [`first_failure`], in a domain of `vms` VMs.
pub fn first_failure_of(
    vms: usize,
    faults: &[Fault],
    safeguards: Safeguards,
) -> Option<String> {
    let mut cluster =
        SimulatedCluster::new(vms, &[true, false, true, false], safeguards);
    cluster.run(4_000);
    for fault in faults {
        cluster.fault(fault);
        if let Some(violation) = cluster.violations.first() {
            return Some(violation.clone());
        }
    }
    cluster.recover();
    if let Some(violation) = cluster.violations.first() {
        return Some(violation.clone());
    }
    let served = cluster.served();
    let missing = cluster.expected().iter().find(|s| !served.contains(*s));
    missing.map(|slice| format!("slice {} is not served", slice.get()))
}

/// Searches for a sequence of faults that causes a violation, and returns the
/// smallest one found.
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
        match first_failure_of(COUNT, &faults, safeguards) {
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

fn from_environment<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// The number of cases to run: `scale` percent of the configured number.
fn cases(scale: u32) -> u32 {
    let cases = from_environment("GOLDCRESTRAMP_FUZZ_CASES");
    cases.unwrap_or(DEFAULT_CASES) * scale / 100
}

/// The seed of the first part, which a separate search may override.
fn first_seed() -> u64 {
    from_environment("GOLDCRESTRAMP_FUZZ_SEED").unwrap_or(SEED)
}

fn search_all<const COUNT: usize>(cases: u32) {
    let threads = thread::available_parallelism().map_or(1, usize::from);
    let threads = u32::try_from(threads.min(12)).expect("thread count fits");
    // The seeds must not depend on the machine, so there are always 16 parts,
    // whatever the number of threads.
    let parts: Vec<u64> = (0..16).collect();
    let share = cases.div_ceil(16);
    for group in parts.chunks(threads as usize) {
        thread::scope(|scope| {
            for part in group {
                scope.spawn(move || {
                    let seed = first_seed() + part;
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

// One of two voters is no majority, so such a domain recovers only by the
// reduction of its roster. Each VM may reduce it while the other still leads.
#[test]
fn any_faults_leave_one_owner_in_a_domain_of_two() {
    search_all::<2>(cases(50));
}

// Three is the smallest number of voters that tolerates a loss without a
// reduction of the roster. One reduction makes them two.
#[test]
fn any_faults_leave_one_owner_in_a_domain_of_three() {
    search_all::<3>(cases(50));
}
