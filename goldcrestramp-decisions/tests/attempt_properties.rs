//! No order starts twice, whatever happens to its keepers.
//!
//! A caller sends orders again and again; the slice moves to another keeper
//! with its memory, or the keeper is lost and the next one knows nothing.
//! An oracle knows which orders may have run.

use goldcrestramp_decisions::{
    AttemptId, AttemptMemory, AttemptOutcome, AttemptVerdict, MemorySettings,
    StoredAnswer,
};
use goldcrestramp_types::{
    CallerName, FastMap, FastSet, LocalTime, NotRunReason, RequestName,
    SliceIndex, TimeSpan,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};

const LONGEST: TimeSpan = TimeSpan::from_millis(1_000);
const IDS: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    Send { id: usize, left: u64 },
    Finish { id: usize, ran: bool },
    Move,
    Lose,
    Pass { millis: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..IDS, 1..=1_000_u64)
            .prop_map(|(id, left)| Step::Send { id, left }),
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
    let caller = CallerName::new("tienda").expect("a valid name");
    let request = RequestName::new(&format!("order-{id}"));
    AttemptId { caller, request: request.expect("a valid name") }
}

fn slice() -> SliceIndex {
    SliceIndex::new(3).expect("a small number")
}

fn memory() -> AttemptMemory {
    let settings = MemorySettings { id_limit: IDS, longest: LONGEST };
    AttemptMemory::open(settings)
}

struct World {
    memory: AttemptMemory,
    now: LocalTime,
    /// The deadline with which each order was first sent.
    deadlines: FastMap<usize, LocalTime>,
    running: FastSet<usize>,
    /// What the oracle knows: these may have run.
    may_have_run: FastSet<usize>,
}

impl World {
    fn new() -> Self {
        let now = LocalTime::from_micros(10_000_000);
        let mut memory = memory();
        memory.begin_slice(now, slice());
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
            Step::Send { id, left } => self.send(id, left),
            Step::Finish { id, ran } => self.finish(id, ran),
            Step::Move => {
                let passed_on = self.memory.release(self.now, slice());
                self.memory = memory();
                self.memory.take_over(self.now, slice(), passed_on);
                self.running.clear();
            }
            Step::Lose => {
                self.memory = memory();
                self.memory.begin_slice(self.now, slice());
                self.running.clear();
            }
            Step::Pass { millis } => {
                self.now = self.now + TimeSpan::from_millis(millis);
            }
        }
    }

    /// A first try, or a resend with the same deadline.
    fn send(&mut self, id: usize, left: u64) {
        let is_resend = self.deadlines.contains_key(&id);
        let deadline = self.now + TimeSpan::from_millis(left);
        let deadline = *self.deadlines.entry(id).or_insert(deadline);
        let verdict = self.memory.begin(
            self.now,
            &attempt(id),
            slice(),
            deadline,
            is_resend,
        );
        if verdict == AttemptVerdict::Start {
            assert!(self.now < deadline, "started after its deadline");
            let is_first = self.may_have_run.insert(id);
            assert!(is_first, "order {id} may run twice");
            self.running.insert(id);
        }
    }

    fn finish(&mut self, id: usize, ran: bool) {
        if !self.running.remove(&id) {
            return;
        }
        let outcome = if ran {
            let answer = StoredAnswer { status: 201, body: None };
            AttemptOutcome::Done(answer)
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
        let mut world = World::new();
        for step in &steps {
            world.apply(step);
        }
    }
}
