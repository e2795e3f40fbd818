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
    sequence: u64,
    now: LocalTime,
) -> QueuedRequest {
    let hash = sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let index = usize::try_from(hash % CALLERS).unwrap_or(0);
    QueuedRequest {
        caller: callers[index].clone(),
        weight: 1,
        key_hash: (hash >> 20) % KEYS,
        class: RequestClass::ALL[usize::from(sequence.is_multiple_of(5))],
        deadline: now + TimeSpan::from_millis(3_600_000 + hash % 1_000),
    }
}

fn bench_decisions(criterion: &mut Criterion) {
    let callers: Vec<_> = (0..CALLERS)
        .filter_map(|n| CallerName::new(&format!("caller-{n}")).ok())
        .collect();
    let settings = QueueSettings { slots: 4, waiting_limit: 20_000 };
    let mut now = LocalTime::from_micros(0);
    let mut queue = ServerQueue::open(now, settings);
    let mut sequence = 0;
    while queue.waiting() < usize::try_from(WAITING).unwrap_or(0) {
        queue.offer(now, request(&callers, sequence, now), sequence);
        sequence += 1;
    }
    let outcome = CompletionOutcome::Answered;
    criterion.bench_function("one request, 10,000 waiting", |bencher| {
        bencher.iter(|| {
            now = now + TimeSpan::from_micros(50);
            let offer =
                queue.offer(now, request(&callers, sequence, now), sequence);
            assert!(matches!(offer, OfferOutcome::Waiting(_)));
            sequence += 1;
            if let Some(QueueEvent::Start(key)) = queue.poll(now, sequence) {
                let end = now + TimeSpan::from_micros(49);
                queue.finished(end, key, outcome);
            }
        });
    });
    assert!(queue.waiting() > 9_900, "{} waiting", queue.waiting());
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_decisions(&mut criterion);
    criterion.final_summary();
}
