//! No order starts twice, whatever happens to its keepers.
//!
//! A caller sends orders again and again; the slice moves to another keeper
//! with its memory, or the keeper is lost and the next one knows nothing. The
//! model knows which orders may have run. A resend may have a deadline of its
//! own, since callers send their remaining time with each attempt. It comes
//! within the time for which an id has to be remembered.

use std::sync::Arc;

use goldcrestramp_decisions::{
    AttemptArrival, AttemptId, AttemptMemory, AttemptOutcome, AttemptVerdict,
    MemorySettings, StoredAnswer,
};
use goldcrestramp_types::{
    CallerName, FastMap, FastSet, LocalTime, NotRunReason, RequestName,
    SliceIndex, TimeSpan,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};

const MAX_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
const IDS: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    Send { id: usize, left: u64, renewed: bool },
    Finish { id: usize, ran: bool },
    Move,
    Lose,
    Pass { millis: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..IDS, 0..=1_000_u64, any::<bool>())
            .prop_map(|(id, left, renewed)| Step::Send { id, left, renewed }),
        3 => (0..IDS, any::<bool>())
            .prop_map(|(id, ran)| Step::Finish { id, ran }),
        1 => Just(Step::Move),
        1 => Just(Step::Lose),
        3 => (1..400_u64).prop_map(|millis| Step::Pass { millis }),
    ];
    proptest::collection::vec(step, 0..200)
}

fn fixed_seed() -> Config {
    Config {
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    }
}

fn attempt(id: usize) -> AttemptId {
    let caller = CallerName::new("tienda").expect("name is valid");
    let request = RequestName::new(&format!("order-{id}"));
    AttemptId { caller, request: request.expect("name is valid") }
}

fn slice() -> SliceIndex {
    SliceIndex::new(3).expect("index is in range")
}

fn memory() -> AttemptMemory {
    let settings = MemorySettings {
        id_limit: IDS,
        max_stored_bytes: 100,
        max_timeout: MAX_TIMEOUT,
    };
    AttemptMemory::open(settings)
}

struct Harness {
    memory: AttemptMemory,
    now: LocalTime,
    /// The deadline with which each order was first sent.
    deadlines: FastMap<usize, LocalTime>,
    running: FastSet<usize>,
    /// The orders that may have run.
    may_have_run: FastSet<usize>,
}

impl Harness {
    fn new() -> Self {
        let now = LocalTime::from_micros(10_000_000);
        let mut memory = memory();
        memory.cover_slice(now, slice());
        Self {
            memory,
            now,
            deadlines: FastMap::default(),
            running: FastSet::default(),
            may_have_run: FastSet::default(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Send { id, left, renewed } => self.send(id, left, renewed),
            Step::Finish { id, ran } => self.finish(id, ran),
            Step::Move => {
                let next = Arc::from("next");
                let pending = self.memory.pending_records(
                    self.now,
                    |_| Some(&next),
                    10_000,
                );
                self.memory = memory();
                self.memory.cover_slice(self.now, slice());
                for record in
                    pending.into_iter().flat_map(|(_, pending)| pending)
                {
                    self.memory.import(self.now, record);
                }
                self.running.clear();
            }
            Step::Lose => {
                self.memory = memory();
                self.memory.cover_slice(self.now, slice());
                self.running.clear();
            }
            Step::Pass { millis } => {
                self.now = self.now + TimeSpan::from_millis(millis);
            }
        }
    }

    /// A first attempt, or a resend with the same deadline or a new one.
    fn send(&mut self, id: usize, left: u64, renewed: bool) {
        let is_resend = self.deadlines.contains_key(&id);
        let deadline = self.now + TimeSpan::from_millis(left);
        let first = *self.deadlines.entry(id).or_insert(deadline);
        if self.now > first + MAX_TIMEOUT {
            // No keeper has to remember it any more.
            return;
        }
        let deadline = if renewed { deadline } else { first };
        let verdict = self.memory.begin(
            self.now,
            AttemptArrival {
                id: &attempt(id),
                slice: slice(),
                deadline,
                is_resend,
                server: &Arc::from("10.0.0.7:80"),
            },
        );
        if verdict == AttemptVerdict::Start {
            assert!(self.now < deadline, "started after its deadline");
            let is_first = self.may_have_run.insert(id);
            assert!(is_first, "order {id} may run twice");
            self.running.insert(id);
        }
        if let AttemptVerdict::Refused(_) = verdict {
            let may_have_run = self.may_have_run.contains(&id);
            assert!(!may_have_run, "order {id} is called not run");
        }
    }

    fn finish(&mut self, id: usize, ran: bool) {
        if !self.running.remove(&id) {
            return;
        }
        let outcome = if ran {
            let content_type = Arc::from("");
            let body = None;
            AttemptOutcome::Done(StoredAnswer {
                status: 201,
                content_type,
                body,
            })
        } else {
            self.may_have_run.remove(&id);
            AttemptOutcome::NotRun(NotRunReason::ServerRefused)
        };
        self.memory.finish(&attempt(id), outcome);
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn no_order_may_run_twice(steps in steps()) {
        let mut harness = Harness::new();
        for step in &steps {
            harness.apply(step);
        }
    }
}
