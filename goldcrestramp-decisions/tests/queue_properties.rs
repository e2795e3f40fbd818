//! Invariants of the queue after any sequence of events.

use goldcrestramp_decisions::{
    CompletionOutcome, OfferOutcome, QueueEvent, QueueSettings, QueuedRequest,
    RequestKey, ServerQueue,
};
use goldcrestramp_types::{
    CallerName, FastMap, FastSet, LocalTime, RequestClass, TimeSpan,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};

const WAITING_LIMIT: usize = 20;
const SLOTS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Offer { caller: u8, key: u64, class: usize, remaining: u64 },
    Finish { position: usize, outcome: CompletionOutcome },
    Cancel { position: usize },
    Pass { micros: u64 },
    Drain,
}

/// A fixed seed, so that every run has the same cases and result.
fn fixed_seed() -> Config {
    Config {
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        Just(CompletionOutcome::Answered),
        Just(CompletionOutcome::Refused),
        Just(CompletionOutcome::Broken),
    ];
    let step = prop_oneof![
        8 => (0..6_u8, 0..4_u64, 0..3_usize, 0..200_000_u64).prop_map(
            |(caller, key, class, remaining)| Step::Offer {
                caller, key, class, remaining
            }
        ),
        4 => (0..SLOTS, outcome).prop_map(
            |(position, outcome)| Step::Finish { position, outcome }
        ),
        1 => (0..WAITING_LIMIT).prop_map(
            |position| Step::Cancel { position }
        ),
        4 => (0..20_000_u64).prop_map(|micros| Step::Pass { micros }),
        1 => Just(Step::Drain),
    ];
    proptest::collection::vec(step, 0..300)
}

/// The queue, with a simple model of its requests.
struct Model {
    queue: ServerQueue,
    now: LocalTime,
    waiting: Vec<RequestKey>,
    running: Vec<RequestKey>,
    ended: FastSet<RequestKey>,
}

impl Model {
    fn new() -> Self {
        let settings =
            QueueSettings { slots: SLOTS, waiting_limit: WAITING_LIMIT };
        let now = LocalTime::from_micros(0);
        Self {
            queue: ServerQueue::open(now, settings),
            now,
            waiting: Vec::new(),
            running: Vec::new(),
            ended: FastSet::default(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Offer { caller, key, class, remaining } => {
                self.offer(caller, key, class, remaining);
            }
            Step::Finish { position, outcome } => {
                self.finish(position, outcome);
            }
            Step::Cancel { position } if position < self.waiting.len() => {
                let key = self.waiting.swap_remove(position);
                self.queue.cancel(key);
                self.end(key);
            }
            Step::Cancel { .. } => {}
            Step::Pass { micros } => {
                self.now = self.now + TimeSpan::from_micros(micros);
            }
            Step::Drain => {
                let mut drained = self.queue.drain();
                drained.sort();
                self.waiting.sort();
                assert_eq!(drained, self.waiting);
                for key in std::mem::take(&mut self.waiting) {
                    self.end(key);
                }
            }
        }
        self.poll();
        self.check();
    }

    fn offer(&mut self, caller: u8, key: u64, class: usize, remaining: u64) {
        let caller = CallerName::new(&format!("c{caller}"));
        let request = QueuedRequest {
            caller: caller.expect("name is valid"),
            weight: 1,
            key_hash: key,
            class: RequestClass::ALL[class],
            deadline: self.now + TimeSpan::from_micros(remaining),
        };
        let outcome = self.queue.offer(self.now, request, remaining);
        if let OfferOutcome::Waiting(key) = outcome {
            self.waiting.push(key);
        }
    }

    fn finish(&mut self, position: usize, outcome: CompletionOutcome) {
        if position < self.running.len() {
            let key = self.running.swap_remove(position);
            self.queue.finished(self.now, key, outcome);
            self.end(key);
        }
    }

    fn poll(&mut self) {
        while let Some(event) = self.queue.poll(self.now, 0) {
            let (QueueEvent::Start(key) | QueueEvent::GiveUp(key, _)) = event;
            let index = self.waiting.iter().position(|k| *k == key);
            self.waiting.swap_remove(index.expect("request waited"));
            match event {
                QueueEvent::Start(_) => self.running.push(key),
                QueueEvent::GiveUp(..) => self.end(key),
            }
        }
    }

    fn end(&mut self, key: RequestKey) {
        assert!(self.ended.insert(key), "ended twice");
    }

    fn check(&self) {
        assert_eq!(self.queue.waiting(), self.waiting.len());
        assert_eq!(self.queue.running(), self.running.len());
        assert!(self.waiting.len() <= WAITING_LIMIT);
        assert!(self.running.len() <= SLOTS);
        let reserve_only = self.running.len() + 1 == SLOTS;
        let idle = self.running.len() < SLOTS && !reserve_only;
        assert!(!idle || self.waiting.is_empty(), "idle slots");
        if let Some(wake) = self.queue.wake_at() {
            assert!(self.waiting.is_empty() || wake > self.now);
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Each request ends once; no slot idles while something may start; the
    /// bounds hold; a request that can no longer end in time is given up.
    #[test]
    fn invariants_hold_after_any_steps(steps in steps()) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
    }

    /// Nothing starves, whatever the number of callers: each waiting flow is
    /// served before any is served twice.
    #[test]
    fn no_flow_is_served_twice_before_another(flows in 2_u64..40) {
        let now = LocalTime::from_micros(0);
        let settings = QueueSettings { slots: 1, waiting_limit: 1_000 };
        let mut queue = ServerQueue::open(now, settings);
        let mut callers = FastMap::default();
        for turn in 0..flows * 3 {
            let caller = CallerName::new(&format!("c{}", turn % flows));
            let outcome = queue.offer(now, QueuedRequest {
                caller: caller.expect("name is valid"),
                weight: 1,
                key_hash: turn,
                class: RequestClass::Lookup,
                deadline: now + TimeSpan::from_millis(1_000_000 + turn),
            }, 0);
            if let OfferOutcome::Waiting(key) = outcome {
                callers.insert(key, turn % flows);
            }
        }
        let mut served = Vec::new();
        while let Some(QueueEvent::Start(key)) = queue.poll(now, 0) {
            let end = now + TimeSpan::from_millis(5);
            queue.finished(end, key, CompletionOutcome::Broken);
            served.push(callers[&key]);
        }
        prop_assert_eq!(served.len() as u64, flows * 3);
        let round = usize::try_from(flows).expect("index is in range");
        for round in served.chunks(round) {
            let distinct: FastSet<u64> = round.iter().copied().collect();
            prop_assert_eq!(distinct.len() as u64, flows);
        }
    }
}

#[test]
fn many_callers_and_keys_take_bounded_memory() {
    let settings = QueueSettings { slots: 4, waiting_limit: 100 };
    let mut queue = ServerQueue::open(LocalTime::from_micros(0), settings);
    for turn in 0..50_000_u64 {
        let now = LocalTime::from_micros(turn * 1_000);
        let caller = CallerName::new(&format!("c{turn}"));
        let outcome = queue.offer(
            now,
            QueuedRequest {
                caller: caller.expect("name is valid"),
                weight: 1,
                key_hash: turn,
                class: RequestClass::Lookup,
                deadline: now + TimeSpan::from_millis(50),
            },
            0,
        );
        assert!(matches!(outcome, OfferOutcome::Waiting(_)));
        if let Some(QueueEvent::Start(key)) = queue.poll(now, 0) {
            let end = now + TimeSpan::from_micros(900);
            queue.finished(end, key, CompletionOutcome::Answered);
        }
    }
    assert!(queue.flows() < 4_500, "{} flows", queue.flows());
}
