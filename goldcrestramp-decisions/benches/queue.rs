//! The cost of one request's decisions with 10,000 others waiting.

use criterion::Criterion;
use goldcrestramp_decisions::{
    CompletionOutcome, OfferOutcome, QueueEvent, QueueSettings, QueuedRequest,
    ServerQueue,
};
use goldcrestramp_types::{CallerName, LocalTime, RequestClass, TimeSpan};

const WAITING: u64 = 10_000;
const CALLERS: u64 = 500;
const KEYS: u64 = 4_000;

fn request(
    callers: &[CallerName],
    turn: u64,
    now: LocalTime,
) -> QueuedRequest {
    let place = turn.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let position = usize::try_from(place % CALLERS).unwrap_or(0);
    QueuedRequest {
        caller: callers[position].clone(),
        weight: 1,
        key_hash: (place >> 20) % KEYS,
        class: RequestClass::ALL[usize::from(turn.is_multiple_of(5))],
        deadline: now + TimeSpan::from_millis(3_600_000 + place % 1_000),
    }
}

fn decide(criterion: &mut Criterion) {
    let callers: Vec<_> = (0..CALLERS)
        .filter_map(|n| CallerName::new(&format!("caller-{n}")).ok())
        .collect();
    let settings = QueueSettings { slots: 4, waiting_limit: 20_000 };
    let mut now = LocalTime::from_micros(0);
    let mut queue = ServerQueue::open(now, settings);
    let mut turn = 0;
    while queue.waiting() < usize::try_from(WAITING).unwrap_or(0) {
        queue.offer(now, request(&callers, turn, now), turn);
        turn += 1;
    }
    let outcome = CompletionOutcome::Answered;
    criterion.bench_function("one request, 10,000 waiting", |bencher| {
        bencher.iter(|| {
            now = now + TimeSpan::from_micros(50);
            let offer = queue.offer(now, request(&callers, turn, now), turn);
            assert!(matches!(offer, OfferOutcome::Waiting(_)));
            turn += 1;
            if let Some(QueueEvent::Start(key)) = queue.poll(now, turn) {
                let end = now + TimeSpan::from_micros(49);
                queue.finished(end, key, outcome);
            }
        });
    });
    assert!(queue.waiting() > 9_900, "{} waiting", queue.waiting());
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decide(&mut criterion);
    criterion.final_summary();
}
