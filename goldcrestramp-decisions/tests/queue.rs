//! The queue of one server, decision by decision.

use goldcrestramp_decisions::{
    CancelOutcome, CompletionOutcome, LimitVerdict, OfferOutcome, QueueEvent,
    QueueRefusal, QueueSettings, QueuedRequest, RequestKey, ServerQueue,
};
use goldcrestramp_types::{
    CallerName, FastMap, LocalTime, NotRunReason, RequestClass, TimeSpan,
};

const SERVICE: TimeSpan = TimeSpan::from_millis(5);

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

fn queue(slots: usize, waiting_limit: usize) -> ServerQueue {
    ServerQueue::open(at(0), QueueSettings { slots, waiting_limit })
}

fn request(
    caller: &str,
    key_hash: u64,
    class: RequestClass,
    deadline: LocalTime,
) -> QueuedRequest {
    let caller = CallerName::new(caller).expect("name is valid");
    QueuedRequest { caller, weight: 1, key_hash, class, deadline }
}

fn lookup(caller: &str, deadline: LocalTime) -> QueuedRequest {
    request(caller, 1, RequestClass::Lookup, deadline)
}

fn long(caller: &str) -> QueuedRequest {
    request(caller, 1, RequestClass::Long, at(600_000))
}

fn admit(
    queue: &mut ServerQueue,
    now: LocalTime,
    request: QueuedRequest,
) -> RequestKey {
    match queue.offer(now, request, 0) {
        OfferOutcome::Waiting(key) => key,
        OfferOutcome::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}

fn refuse(
    queue: &mut ServerQueue,
    now: LocalTime,
    request: QueuedRequest,
) -> QueueRefusal {
    match queue.offer(now, request, 0) {
        OfferOutcome::Waiting(_) => panic!("request was admitted"),
        OfferOutcome::Refused(refusal) => refusal,
    }
}

fn poll_all(queue: &mut ServerQueue, now: LocalTime) -> Vec<QueueEvent> {
    std::iter::from_fn(|| queue.poll(now, 0)).collect()
}

fn end(queue: &mut ServerQueue, now: LocalTime, key: RequestKey) {
    queue.finished(now, key, CompletionOutcome::Answered);
}

/// A queue that has measured requests of 5 ms, one after the other.
fn measured(slots: usize, waiting_limit: usize) -> ServerQueue {
    let mut queue = queue(slots, waiting_limit);
    for turn in 0..20 {
        let now = at(turn * 5);
        let key = admit(&mut queue, now, lookup("warm", at(10_000)));
        poll_all(&mut queue, now);
        end(&mut queue, now + SERVICE, key);
    }
    queue
}

#[test]
fn a_request_that_cannot_end_in_time_is_refused_on_arrival() {
    let mut queue = measured(1, 1_000);
    let now = at(100);
    for _ in 0..20 {
        admit(&mut queue, now, lookup("a", at(1_000)));
        poll_all(&mut queue, now);
    }
    let refusal = refuse(&mut queue, now, lookup("a", at(190)));
    assert_eq!(refusal.reason, NotRunReason::DeadlineTooShort);
    assert!(refusal.retry_after >= TimeSpan::from_millis(90));
    assert!(refusal.retry_after <= TimeSpan::from_millis(110));
}

#[test]
fn a_request_is_given_up_when_it_can_no_longer_end_in_time() {
    let mut queue = measured(1, 1_000);
    let now = at(100);
    admit(&mut queue, now, lookup("a", at(1_000)));
    poll_all(&mut queue, now);
    let waiting = admit(&mut queue, now, lookup("a", at(150)));
    assert_eq!(poll_all(&mut queue, now), [], "one slot");
    let wake = queue.wake_at().expect("a request waits");
    assert!(wake <= at(145), "5 ms are needed: {wake:?}");
    let events = poll_all(&mut queue, wake);
    assert!(matches!(events[..], [QueueEvent::GiveUp(key, refusal)]
        if key == waiting && refusal.reason == NotRunReason::DeadlinePassed));
    assert_eq!(queue.waiting(), 0);
}

#[test]
fn jitter_spreads_retries_over_twice_the_wait() {
    let settings = QueueSettings { slots: 1, waiting_limit: 10 };
    let mut queue = ServerQueue::open(at(0), settings);
    let spans: Vec<_> = [0, 5_000, 10_000]
        .into_iter()
        .map(|random| {
            let late = lookup("a", at(0));
            match queue.offer(at(0), late, random) {
                OfferOutcome::Refused(refusal) => refusal.retry_after,
                OfferOutcome::Waiting(_) => panic!("its deadline is over"),
            }
        })
        .collect();
    assert_eq!(spans, [10, 15, 20].map(TimeSpan::from_millis));
}

#[test]
fn a_full_queue_evicts_from_the_caller_with_the_most_waiting() {
    let mut queue = queue(1, 4);
    let running = admit(&mut queue, at(0), lookup("hot", at(9_000)));
    poll_all(&mut queue, at(0));
    let hot: Vec<_> = (0..4)
        .map(|turn| admit(&mut queue, at(0), lookup("hot", at(9_000 + turn))))
        .collect();
    let refusal = refuse(&mut queue, at(0), lookup("hot", at(9_000)));
    assert_eq!(refusal.reason, NotRunReason::QueueFull);
    let rare = admit(&mut queue, at(0), lookup("rare", at(9_000)));
    let events = poll_all(&mut queue, at(0));
    assert!(matches!(events[..], [QueueEvent::GiveUp(key, refusal)]
        if key == hot[3] && refusal.reason == NotRunReason::CallerOverShare));
    end(&mut queue, at(5), running);
    assert_eq!(poll_all(&mut queue, at(5)), [QueueEvent::Start(rare)]);
}

#[test]
fn a_busy_caller_gets_its_share_and_idle_slots() {
    let mut queue = queue(1, 1_000);
    let mut owner = FastMap::default();
    let mut served: FastMap<&str, u32> = FastMap::default();
    for turn in 0..400_u64 {
        let now = at(turn * 5);
        let rare_is_active = turn >= 200;
        for _ in 0..10 {
            offer_as(&mut queue, now, "hot", &mut owner);
        }
        if rare_is_active {
            offer_as(&mut queue, now, "rare", &mut owner);
        }
        for event in poll_all(&mut queue, now) {
            if let QueueEvent::Start(key) = event {
                end(&mut queue, now + SERVICE, key);
                *served.entry(owner[&key]).or_default() += 1;
                break;
            }
        }
    }
    assert!(served["hot"] >= 298, "idle time and half of the rest");
    assert!(served["rare"] >= 98, "half while both send: {served:?}");
}

fn offer_as(
    queue: &mut ServerQueue,
    now: LocalTime,
    caller: &'static str,
    owner: &mut FastMap<RequestKey, &'static str>,
) {
    let request = lookup(caller, now + TimeSpan::from_millis(100));
    if let OfferOutcome::Waiting(key) = queue.offer(now, request, 0) {
        owner.insert(key, caller);
    }
}

#[test]
fn a_cold_key_overtakes_a_hot_key_of_the_same_caller() {
    let mut queue = queue(1, 1_000);
    let lookup_of =
        |key| request("a", key, RequestClass::Lookup, at(9_000 + key));
    let running = admit(&mut queue, at(0), lookup_of(7));
    poll_all(&mut queue, at(0));
    for _ in 0..50 {
        admit(&mut queue, at(0), lookup_of(7));
    }
    let cold = admit(&mut queue, at(0), lookup_of(8));
    end(&mut queue, at(5), running);
    assert_eq!(poll_all(&mut queue, at(5)), [QueueEvent::Start(cold)]);
}

#[test]
fn within_a_key_the_earliest_deadline_is_served_first() {
    let mut queue = queue(1, 1_000);
    let running = admit(&mut queue, at(0), lookup("a", at(500)));
    poll_all(&mut queue, at(0));
    admit(&mut queue, at(0), lookup("a", at(900)));
    let urgent = admit(&mut queue, at(0), lookup("a", at(400)));
    end(&mut queue, at(5), running);
    assert_eq!(poll_all(&mut queue, at(5)), [QueueEvent::Start(urgent)]);
}

#[test]
fn long_responses_leave_a_slot_to_short_ones() {
    for (slots, used) in [(1, 1), (2, 1), (4, 3), (8, 6)] {
        let mut queue = queue(slots, 100);
        for _ in 0..10 {
            admit(&mut queue, at(0), long("a"));
        }
        let started = poll_all(&mut queue, at(0)).len();
        assert_eq!(started, used, "of {slots} slots");
    }
}

#[test]
fn the_reserve_is_lent_when_no_short_request_has_come_for_long() {
    let mut queue = queue(2, 100);
    admit(&mut queue, at(0), long("a"));
    admit(&mut queue, at(0), long("a"));
    assert_eq!(poll_all(&mut queue, at(0)).len(), 1);
    let wake = queue.wake_at().expect("reserve will be lent");
    assert_eq!(wake, at(5_000), "the initial estimate of a long response");
    assert_eq!(poll_all(&mut queue, wake).len(), 1);
}

#[test]
fn a_refused_request_frees_its_slot_and_changes_no_estimate() {
    let mut queue = measured(1, 100);
    let before = queue.service_time(at(100), RequestClass::Lookup);
    let key = admit(&mut queue, at(100), lookup("a", at(1_000)));
    poll_all(&mut queue, at(100));
    queue.finished(at(101), key, CompletionOutcome::Refused);
    let after = queue.service_time(at(101), RequestClass::Lookup);
    assert_eq!((before, queue.running()), (after, 0));
}

/// The server was slow for a while and is fast again. If its estimate stayed,
/// no deadline could be met, nothing would be sent or measured, and callers
/// would be refused forever.
#[test]
fn a_server_that_was_slow_is_tried_again() {
    let mut queue = measured(1, 100);
    let key = admit(&mut queue, at(100), lookup("a", at(9_000)));
    poll_all(&mut queue, at(100));
    end(&mut queue, at(8_000), key);
    let busy = admit(&mut queue, at(8_000), lookup("a", at(8_100)));
    poll_all(&mut queue, at(8_000));
    refuse(&mut queue, at(8_001), lookup("a", at(8_101)));
    end(&mut queue, at(8_005), busy);
    admit(&mut queue, at(8_006), lookup("a", at(8_106)));
}

#[test]
fn cancelling_reports_whether_the_request_may_have_run() {
    let mut queue = queue(1, 100);
    let first = admit(&mut queue, at(0), lookup("a", at(500)));
    let second = admit(&mut queue, at(0), lookup("a", at(600)));
    poll_all(&mut queue, at(0));
    let cancelled = [first, second, second].map(|key| queue.cancel(key));
    assert_eq!(
        cancelled,
        [
            CancelOutcome::Running,
            CancelOutcome::Withdrawn,
            CancelOutcome::Unknown
        ]
    );
}

#[test]
fn draining_returns_what_waits_and_keeps_what_runs() {
    let mut queue = queue(1, 100);
    let running = admit(&mut queue, at(0), lookup("a", at(500)));
    poll_all(&mut queue, at(0));
    let waiting = admit(&mut queue, at(0), lookup("a", at(600)));
    assert_eq!(queue.drain(), [waiting]);
    assert_eq!((queue.waiting(), queue.running()), (0, 1));
    end(&mut queue, at(5), running);
    assert_eq!(queue.running(), 0);
}

/// A server is frozen and suspended for 100 ms. What cannot wait that long is
/// refused at once with a retry time; the rest waits for the probe.
#[test]
fn a_suspended_server_is_sent_nothing_before_its_probe() {
    let mut queue = measured(2, 100);
    queue.set_limit(LimitVerdict::Suspended(at(300)));
    let refusal = refuse(&mut queue, at(200), lookup("a", at(290)));
    let patient = admit(&mut queue, at(200), lookup("a", at(400)));
    assert_eq!(refusal.reason, NotRunReason::ServerUnreachable);
    assert!(refusal.retry_after >= TimeSpan::from_millis(100));
    assert_eq!(poll_all(&mut queue, at(299)), []);
    assert_eq!(queue.wake_at(), Some(at(300)));
    queue.set_limit(LimitVerdict::Allowed(1));
    assert_eq!(poll_all(&mut queue, at(300)), [QueueEvent::Start(patient)]);
}

#[test]
fn shares_follow_the_weights() {
    let mut queue = queue(1, 1_000);
    let mut heavy = Vec::new();
    for turn in 0..200 {
        for (caller, weight) in [("heavy", 3), ("light", 1)] {
            let request = lookup(caller, at(60_000 + turn));
            let request = QueuedRequest { weight, ..request };
            let key = admit(&mut queue, at(0), request);
            if weight == 3 {
                heavy.push(key);
            }
        }
    }
    let mut served = 0;
    for turn in 0..100 {
        let now = at(turn * 5);
        for event in poll_all(&mut queue, now) {
            if let QueueEvent::Start(key) = event {
                end(&mut queue, now + SERVICE, key);
                served += u64::from(heavy.contains(&key));
            }
        }
    }
    assert!((74..=76).contains(&served), "{served} of 100");
}
