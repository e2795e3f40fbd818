//! The account of held bytes, in virtual time.

use std::collections::BTreeMap;

use goldcrestramp_decisions::{
    AwaitedStep, HeldBytes, ReaderId, SMALL_BODY_BYTES, STREAM_BYTES,
};
use goldcrestramp_types::{LocalTime, TimeSpan};

/// The memory limit of the smallest VMs.
const MEMORY_BYTES: u64 = 120_000_000;

/// The size of a download.
const DOWNLOAD_BYTES: u64 = 90_000;

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

fn account() -> HeldBytes<u64> {
    HeldBytes::with_memory(MEMORY_BYTES)
}

/// An account that has reached the share from which large bodies are refused.
fn acting_account() -> HeldBytes<u64> {
    let mut account = account();
    while account.try_hold_response(DOWNLOAD_BYTES) {}
    account
}

/// Blocks a reader with a download.
fn block(account: &mut HeldBytes<u64>, reader: u64, millis: u64) {
    let id = ReaderId(reader);
    let (now, step) = (at(millis), AwaitedStep::Read);
    account.record_awaited(now, id, step, DOWNLOAD_BYTES, reader);
}

/// Guards against buffers that grow with the number of callers that have
/// stopped reading: 2,000 of them would hold 180 MB.
#[test]
fn stalled_readers_of_downloads_do_not_exceed_the_bound() {
    const READERS: u64 = 2_000;
    const INTERVAL_MS: u64 = 10;
    let mut account = account();
    let mut held_for = BTreeMap::new();
    let mut highest = 0;
    let mut closed = 0;

    for reader in 0..READERS {
        let millis = reader * INTERVAL_MS;
        // A download is admitted with the memory to stream it.
        if account.try_hold_streams(1) {
            let mut bytes = STREAM_BYTES;
            if account.try_hold_response(DOWNLOAD_BYTES) {
                account.release(STREAM_BYTES);
                bytes = DOWNLOAD_BYTES;
            }
            held_for.insert(reader, bytes);
            let id = ReaderId(reader);
            let step = AwaitedStep::Read;
            account.record_awaited(at(millis), id, step, bytes, reader);
        }
        for reader in account.take_stalled(at(millis)) {
            account.release(held_for[&reader]);
            closed += 1;
        }
        highest = highest.max(account.held());
    }

    assert!(highest <= account.bound(), "{highest} bytes");
    assert!(account.bound() <= MEMORY_BYTES / 5);
    assert!(closed > 500, "only {closed} readers were closed");
}

/// Guards against readers that are closed although their VM has room for what
/// it holds for them.
#[test]
fn no_reader_is_closed_while_there_is_room() {
    let mut account = account();
    for reader in 0..100 {
        assert!(account.try_hold_response(DOWNLOAD_BYTES));
        block(&mut account, reader, 0);
    }

    let closed = account.take_stalled(at(3_600_000));

    assert!(closed.is_empty(), "{closed:?}");
}

#[test]
fn no_reader_is_closed_that_made_progress_a_moment_ago() {
    let mut account = acting_account();
    block(&mut account, 1, 0);
    block(&mut account, 2, 0);
    account.record_progress(ReaderId(1), AwaitedStep::Read);
    block(&mut account, 1, 4_900);

    let closed = account.take_stalled(at(5_000));

    assert_eq!(closed, [2]);
}

/// Guards against a reader that counts as stalled since its last attempt to
/// write, and is never closed.
#[test]
fn a_blocked_reader_is_blocked_since_the_first_attempt_to_write() {
    let mut account = acting_account();
    block(&mut account, 1, 0);
    block(&mut account, 1, 4_000);

    assert_eq!(account.take_stalled(at(5_000)), [1]);
}

/// Guards against closing more readers than the memory needs, and against
/// closing those first that have nearly read their response.
#[test]
fn the_slowest_readers_are_closed_and_no_more_than_needed() {
    const READERS: u64 = 250;
    let mut account = acting_account();
    for reader in 0..READERS {
        // The last reader has been blocked for longest.
        block(&mut account, reader, READERS - reader);
    }

    let closed = account.take_stalled(at(10_000));

    let to_release = account.held() - account.bound() / 2;
    let needed = to_release / DOWNLOAD_BYTES + 1;
    let slowest: Vec<u64> = (READERS - needed..READERS).rev().collect();
    assert_eq!(closed, slowest);
    for _reader in closed {
        account.release(DOWNLOAD_BYTES);
    }
    assert!(!account.is_acting());
}

/// Guards against a bound that refuses small requests as soon as downloads
/// have used up their part.
#[test]
fn small_bodies_are_held_after_large_ones_are_refused() {
    let mut account = acting_account();

    assert!(!account.has_room_for_request(DOWNLOAD_BYTES));
    assert!(!account.try_hold_request(1, DOWNLOAD_BYTES));
    assert!(!account.try_hold_response(DOWNLOAD_BYTES));
    assert!(account.has_room_for_request(SMALL_BODY_BYTES));
    assert!(account.try_hold_request(SMALL_BODY_BYTES, SMALL_BODY_BYTES));
}

#[test]
fn at_the_bound_requests_are_refused_and_responses_are_held() {
    let mut account = account();
    account.hold(account.bound());

    assert!(!account.has_room_for_request(1));
    assert!(!account.try_hold_streams(1));
    let held = account.held();
    account.hold(SMALL_BODY_BYTES);
    assert_eq!(account.held(), held + SMALL_BODY_BYTES);
}

/// Guards against a log line for each body while the held bytes vary around
/// the share at which the bound begins to act.
#[test]
fn the_bound_does_not_begin_and_end_with_each_body() {
    let mut account = acting_account();
    let mut changes = 0;
    let mut was_acting = true;

    for _ in 0..1_000 {
        account.release(DOWNLOAD_BYTES);
        changes += u32::from(account.is_acting() != was_acting);
        was_acting = account.is_acting();
        account.hold(DOWNLOAD_BYTES);
        changes += u32::from(account.is_acting() != was_acting);
        was_acting = account.is_acting();
    }

    assert_eq!(changes, 0);
}

/// Guards against a `Retry-After` before which there can't be any room.
#[test]
fn a_refused_caller_is_told_when_the_slowest_reader_is_closed() {
    let mut account = acting_account();
    block(&mut account, 1, 2_000);
    block(&mut account, 2, 1_000);

    assert_eq!(
        account.room_expected_in(at(3_000)),
        TimeSpan::from_millis(3_000)
    );
    assert_eq!(
        account.room_expected_in(at(9_000)),
        TimeSpan::from_millis(250)
    );
    account.record_progress(ReaderId(2), AwaitedStep::Read);
    assert_eq!(
        account.room_expected_in(at(3_000)),
        TimeSpan::from_millis(4_000)
    );
}

/// Guards against a server that ends under the requests of one VM, and against
/// a request that no server ever gets because it is larger than the bound, or
/// lookups that wait behind such a request.
#[test]
fn the_bytes_in_flight_at_one_server_are_bounded() {
    let account = account();
    let mut in_flight = 0;
    while account.allows_send(in_flight, DOWNLOAD_BYTES) {
        in_flight += DOWNLOAD_BYTES;
    }

    assert!(in_flight >= 10 * DOWNLOAD_BYTES, "{in_flight} bytes");
    assert!(in_flight <= account.bound() / 8, "{in_flight} bytes");
    assert!(account.allows_send(0, MEMORY_BYTES));
    assert!(account.allows_send(MEMORY_BYTES, SMALL_BODY_BYTES));
}

#[test]
fn no_memory_limit_causes_an_overflow() {
    for memory_bytes in [0, 1, u64::MAX] {
        let mut account = HeldBytes::<u64>::with_memory(memory_bytes);
        account.hold(u64::MAX);
        account.hold(1);

        assert!(account.is_acting());
        assert!(!account.has_room_for_request(u64::MAX));
        assert!(!account.try_hold_streams(u64::MAX));
        account.release(u64::MAX);
        assert_eq!(account.held(), 0);
    }
}

/// Waits for a caller from this time on.
fn await_step(
    account: &mut HeldBytes<u64>,
    reader: u64,
    step: AwaitedStep,
    millis: u64,
) {
    let held = if step == AwaitedStep::Request { 0 } else { DOWNLOAD_BYTES };
    account.record_awaited(at(millis), ReaderId(reader), step, held, reader);
}

/// Guards against unfinished bodies that hold the memory until their deadline.
#[test]
fn senders_that_stall_are_closed_before_readers() {
    let mut account = acting_account();
    await_step(&mut account, 1, AwaitedStep::Read, 0);
    await_step(&mut account, 2, AwaitedStep::Send, 500);
    await_step(&mut account, 3, AwaitedStep::Stream, 400);
    await_step(&mut account, 4, AwaitedStep::Request, 0);

    assert!(account.take_stalled(at(1_300)).is_empty());
    assert_eq!(account.take_stalled(at(1_500)), [3, 2]);
    assert_eq!(account.take_stalled(at(5_000)), [1]);
}

/// Guards against streamed bodies that occupy the slots of servers without
/// using them, and against closing them while there are slots.
#[test]
fn senders_of_streams_are_closed_while_slots_are_scarce() {
    let mut account = account();
    await_step(&mut account, 1, AwaitedStep::Stream, 0);
    await_step(&mut account, 2, AwaitedStep::Send, 0);
    assert!(account.take_stalled(at(60_000)).is_empty());

    account.record_contention(at(60_000));

    assert_eq!(account.take_stalled(at(60_500)), [1]);
    await_step(&mut account, 1, AwaitedStep::Stream, 60_600);
    assert!(account.take_stalled(at(70_000)).is_empty());
}

/// Guards against connections that take all descriptors or the memory of
/// requests, and against closing one that may have just been opened.
#[test]
fn the_connection_that_is_idle_for_longest_makes_room() {
    let mut account = account().with_descriptors(1_000);
    await_step(&mut account, 1, AwaitedStep::Request, 100);
    await_step(&mut account, 2, AwaitedStep::Request, 0);

    assert_eq!(account.max_connections(), 400);
    assert!(account.allows_connection(399));
    assert!(!account.allows_connection(400));
    assert_eq!(account.take_longest(at(10_000), 359), None);
    assert_eq!(account.take_longest(at(200), 400), None);
    assert_eq!(account.take_longest(at(300), 360), Some(2));
    assert_eq!(account.take_longest(at(350), 400), Some(1));
    assert_eq!(account.take_longest(at(10_000), 400), None);
}

/// Guards against a crowd that pipelines requests: each that is served early
/// needs a connection to a server.
#[test]
fn requests_that_are_served_early_are_bounded() {
    let mut account = account().with_descriptors(1_000);

    let early = (0..1_000).filter(|_| account.try_begin_early()).count();

    assert_eq!(early, 100);
    assert!(!account.is_acting());
    account.end_early();
    assert!(account.try_begin_early());
    let mut full = acting_account();
    assert!(!full.try_begin_early());
}

/// Guards against more connections than the memory of the smallest VMs bears.
#[test]
fn connections_take_up_less_than_half_of_the_memory() {
    let account = account().with_descriptors(u64::MAX);

    let bytes = account.max_connections() * 48 * 1024;
    assert!(bytes <= MEMORY_BYTES / 2, "{bytes} bytes");
}
