//! Bounds what callers and servers can make a VM hold.
//!
//! Callers and servers may read slowly, and callers may leave a request
//! unfinished. Until they go on, the VM holds heads, the bodies of requests,
//! the responses that it has buffered and what the HTTP library has queued.
//! Each of these is small, but a thousand callers that stop within bodies or
//! downloads of 256 KiB hold more than twice the memory of the smallest VMs,
//! and a process that exceeds its memory limit is killed with all of its
//! requests.
//!
//! One account sums these bytes over all connections:
//!
//! - From three quarters of the bound, responses are no longer buffered but
//!   read from their servers as fast as their callers read them, and requests
//!   with large bodies are refused.
//! - At the bound, downloads and all requests with a body are refused.
//! - Small responses are always held and delivered. Their number is bounded by
//!   that of the connections.
//! - From one and a half times the bound, large responses to other requests
//!   than downloads are broken off.
//! - While the bound acts, callers that have read or sent nothing for some
//!   seconds are closed, the slowest first, until the account is down to half
//!   of the bound. On a VM that has room, nobody is closed.
//!
//! What a connection takes up by itself is bounded by the number of
//! connections. Close to that number, each new connection closes the one that
//! has waited the longest for its caller.
//!
//! Requests behind others on their connection are served early only within a
//! share of the bounds, as each needs a connection to a server; the others wait
//! their turn.
//!
//! A body that is streamed occupies a slot of its server until it ends. While
//! others are refused for lack of slots, senders that stall are closed, too.

use std::collections::BTreeMap;

use goldcrestramp_types::{LocalTime, TimeSpan};

/// Bodies up to this size are small. Larger ones are handed to the HTTP
/// library in chunks of at most this size.
pub const SMALL_BODY_BYTES: u64 = 16 * 1024;

/// The bytes that a streamed body may take up in the buffers of the HTTP
/// library: one that was read and one that is being filled, of 32 KiB each.
pub const STREAM_BYTES: u64 = 64 * 1024;

/// The share of a process's memory that held bytes may take up. If a VM has as
/// many connections as descriptors, the buffers of their sockets take up more
/// than half of its memory. The rest is for everything else.
const MEMORY_PERCENT: u64 = 20;

/// The share of the bound from which large bodies are no longer held.
const LARGE_PERCENT: u64 = 75;

/// The share of the bound up to which large responses are delivered whose
/// requests are not known to have large ones, and reserve nothing.
const STREAMS_PERCENT: u64 = 150;

/// The bound stops acting below this share of it. It is well below the share
/// at which it begins, so that the state does not change with every body.
const RELEASE_PERCENT: u64 = 50;

/// The share of the bound that the requests in flight at one server may take
/// up. Several servers that read slowly then leave room for the others.
const SERVER_PERCENT: u64 = 12;

/// How long a reader may make no progress while the bound acts: a phone that
/// switches networks is back within a few seconds.
const MAX_STALL: TimeSpan = TimeSpan::from_millis(5_000);

/// The same for a caller that is to send the rest of a request. Its request
/// has not run, and those that are refused for it may be complete.
const MAX_SEND_STALL: TimeSpan = TimeSpan::from_millis(1_000);

/// How long the sender of a streamed body may stall while others are refused
/// for lack of slots. Lost packets are sent again within this time.
const MAX_STREAM_STALL: TimeSpan = TimeSpan::from_millis(2_000);

/// How long a connection waits for a request before it may be closed for a
/// new one: longer than a round trip.
const MIN_IDLE_TIME: TimeSpan = TimeSpan::from_millis(250);

/// How long a refusal for lack of slots makes senders that stall be closed.
const CONTENTION_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// What a connection takes up by itself: its buffers, tasks and timers, and
/// those of a connection to a server for its request.
const CONNECTION_BYTES: u64 = 48 * 1024;

/// The share of a process's memory that connections may take up.
const CONNECTIONS_PERCENT: u64 = 40;

/// The share of a process's descriptors that callers' connections may take
/// up. Each may need another one to a server.
const DESCRIPTORS_PERCENT: u64 = 40;

/// The requests that are served before those ahead of them on their
/// connections, as a share of the connections. Each needs a connection to a
/// server.
const EARLY_PERCENT: u64 = 25;

/// The share of the connections from which idle ones are closed.
const CROWDED_PERCENT: u64 = 90;

/// The delay after which a refused caller may try again if no reader is about
/// to be closed: readers that make progress free some bytes all the time.
const MIN_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(250);

/// Identifies a connection of a caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReaderId(pub u64);

/// What a VM waits for on a caller's connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AwaitedStep {
    /// That the caller reads.
    Read,
    /// That the caller sends the rest of a buffered body.
    Send,
    /// That the caller sends the rest of a body that is streamed to a server.
    Stream,
    /// A request, or the rest of its head.
    Request,
}

impl AwaitedStep {
    /// How long a VM waits while the bound of held bytes acts.
    const fn max_wait(self) -> TimeSpan {
        match self {
            Self::Read => MAX_STALL,
            Self::Send | Self::Stream | Self::Request => MAX_SEND_STALL,
        }
    }

    /// How long a VM waits while it has too many connections.
    const fn max_crowded_wait(self) -> TimeSpan {
        match self {
            Self::Request => MIN_IDLE_TIME,
            step => step.max_wait(),
        }
    }
}

/// A connection whose caller is waited for.
#[derive(Debug)]
struct AwaitedCaller<Closer> {
    since: LocalTime,
    /// The bytes that are held for it, at most.
    held: u64,
    closer: Closer,
}

/// The account of the bytes that a VM holds.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::HeldBytes;
///
/// let mut account = HeldBytes::<()>::with_memory(4_000_000);
/// assert!(account.try_hold_response(600_000));
/// assert!(!account.try_hold_response(1));
/// assert!(account.is_acting());
/// account.release(600_000);
/// assert!(!account.is_acting());
/// ```
#[derive(Debug)]
pub struct HeldBytes<Closer> {
    bound: u64,
    held: u64,
    acting: bool,
    max_connections: u64,
    /// The pipelined requests that are served early.
    early: u64,
    contended_until: LocalTime,
    awaited: BTreeMap<(ReaderId, AwaitedStep), AwaitedCaller<Closer>>,
}

impl<Closer> HeldBytes<Closer> {
    /// Returns an empty account for a process with this memory limit.
    #[must_use]
    pub const fn with_memory(memory_bytes: u64) -> Self {
        Self {
            bound: percent(memory_bytes, MEMORY_PERCENT),
            held: 0,
            acting: false,
            max_connections: percent(memory_bytes, CONNECTIONS_PERCENT)
                / CONNECTION_BYTES,
            early: 0,
            contended_until: LocalTime::from_micros(0),
            awaited: BTreeMap::new(),
        }
    }

    /// Returns the account for a process that may also open at most this
    /// number of descriptors.
    #[must_use]
    pub fn with_descriptors(mut self, descriptors: u64) -> Self {
        let connections = percent(descriptors, DESCRIPTORS_PERCENT);
        self.max_connections = self.max_connections.min(connections);
        self
    }

    /// The maximum number of callers' connections.
    #[must_use]
    pub const fn max_connections(&self) -> u64 {
        self.max_connections
    }

    /// The bound of the held bytes.
    #[must_use]
    pub const fn bound(&self) -> u64 {
        self.bound
    }

    /// The bytes that are held.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Whether the bound has been reached, and enough has not been released
    /// since.
    #[must_use]
    pub const fn is_acting(&self) -> bool {
        self.acting
    }

    /// Holds bytes that have to be held in any case.
    pub const fn hold(&mut self, bytes: u64) {
        self.held = self.held.saturating_add(bytes);
        if self.held > percent(self.bound, LARGE_PERCENT) {
            self.acting = true;
        }
    }

    /// Holds a part of a large response, if it may be buffered; otherwise it
    /// has to be streamed.
    pub const fn try_hold_response(&mut self, bytes: u64) -> bool {
        self.try_hold(bytes, percent(self.bound, LARGE_PERCENT))
    }

    /// Holds what has arrived of a request's body, which is `total` bytes long
    /// as far as it is known; otherwise the request has to be refused.
    pub const fn try_hold_request(&mut self, bytes: u64, total: u64) -> bool {
        let limit = self.request_limit(total);
        self.try_hold(bytes, limit)
    }

    /// Whether there is room for a request's body of this size. If there is
    /// none, the bound begins to act.
    pub const fn has_room_for_request(&mut self, bytes: u64) -> bool {
        let limit = self.request_limit(bytes);
        let has_room = self.held.saturating_add(bytes) <= limit;
        self.acting |= !has_room;
        has_room
    }

    /// Holds what `streams` streamed bodies take up, if there is room for
    /// them; otherwise their request has to be refused.
    pub const fn try_hold_streams(&mut self, streams: u64) -> bool {
        self.try_hold(STREAM_BYTES.saturating_mul(streams), self.bound)
    }

    /// Holds what a streamed response takes up that was not reserved, if it
    /// may still be delivered.
    pub const fn try_hold_unreserved_stream(&mut self) -> bool {
        self.try_hold(STREAM_BYTES, percent(self.bound, STREAMS_PERCENT))
    }

    /// Holds what a pipelined request takes up that is served before those
    /// ahead of it have their responses; otherwise it has to wait its turn.
    pub const fn try_begin_early(&mut self) -> bool {
        let limit = percent(self.bound, LARGE_PERCENT);
        let max_early = percent(self.max_connections, EARLY_PERCENT);
        // That a request waits its turn is no sign that memory is scarce.
        let has_room = self.early < max_early
            && self.held.saturating_add(CONNECTION_BYTES) <= limit;
        if has_room {
            self.early += 1;
            self.hold(CONNECTION_BYTES);
        }
        has_room
    }

    /// Releases what a request that was served early has taken up.
    pub const fn end_early(&mut self) {
        self.early = self.early.saturating_sub(1);
        self.release(CONNECTION_BYTES);
    }

    const fn request_limit(&self, total: u64) -> u64 {
        if total <= SMALL_BODY_BYTES {
            self.bound
        } else {
            percent(self.bound, LARGE_PERCENT)
        }
    }

    const fn try_hold(&mut self, bytes: u64, limit: u64) -> bool {
        if self.held.saturating_add(bytes) > limit {
            self.acting = true;
            return false;
        }
        self.hold(bytes);
        true
    }

    /// Releases bytes that were held.
    pub const fn release(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
        if self.held < percent(self.bound, RELEASE_PERCENT) {
            self.acting = false;
        }
    }

    /// Whether a request of `bytes` may be sent to a server at which requests
    /// of `in_flight` bytes are in flight. One request may always be sent, and
    /// small ones are limited by the server's slots alone.
    #[must_use]
    pub const fn allows_send(&self, in_flight: u64, bytes: u64) -> bool {
        let limit = percent(self.bound, SERVER_PERCENT);
        in_flight == 0
            || bytes <= SMALL_BODY_BYTES
            || in_flight.saturating_add(bytes) <= limit
    }

    /// Records that a caller is waited for. `held` is the size of what is held
    /// for it, and `closer` closes its connection.
    pub fn record_awaited(
        &mut self,
        now: LocalTime,
        reader: ReaderId,
        step: AwaitedStep,
        held: u64,
        closer: Closer,
    ) {
        let awaited = AwaitedCaller { since: now, held, closer };
        let known = self.awaited.entry((reader, step)).or_insert(awaited);
        known.held = held;
    }

    /// Records that a caller has taken this step, or is closed.
    pub fn record_progress(&mut self, reader: ReaderId, step: AwaitedStep) {
        self.awaited.remove(&(reader, step));
    }

    /// Records that a request was refused because all slots are taken.
    pub fn record_contention(&mut self, now: LocalTime) {
        self.contended_until = now + CONTENTION_TIME;
    }

    /// Removes the callers that are to be closed, the slowest first: while the
    /// bound acts, those that have made no progress for some seconds, as many
    /// as have to be closed for the bound to stop acting; while slots are
    /// scarce, those that stall within a streamed body.
    pub fn take_stalled(&mut self, now: LocalTime) -> Vec<Closer> {
        let mut taken = Vec::new();
        if now < self.contended_until {
            let streams = self.waiting(now, |step| match step {
                AwaitedStep::Stream => Some(MAX_STREAM_STALL),
                _ => None,
            });
            taken.extend(streams.into_iter().filter_map(|key| self.take(key)));
        }
        if self.acting {
            let mut remaining = self.held;
            for awaited in &taken {
                remaining = remaining.saturating_sub(awaited.held);
            }
            let target = percent(self.bound, RELEASE_PERCENT);
            for key in self.waiting(now, |step| Some(step.max_wait())) {
                if remaining < target {
                    break;
                }
                let is_idle = key.1 == AwaitedStep::Request
                    && self.awaited.get(&key).is_some_and(|a| a.held == 0);
                if !is_idle && let Some(awaited) = self.take(key) {
                    remaining = remaining.saturating_sub(awaited.held);
                    taken.push(awaited);
                }
            }
        }
        taken.into_iter().map(|awaited| awaited.closer).collect()
    }

    /// Whether a further connection may be accepted if so many are `open`.
    #[must_use]
    pub const fn allows_connection(&self, open: u64) -> bool {
        open < self.max_connections
    }

    /// Removes the caller whose connection is to be closed for a new one: if
    /// almost as many are `open` as may be, the one that is waited for the
    /// longest.
    pub fn take_longest(
        &mut self,
        now: LocalTime,
        open: u64,
    ) -> Option<Closer> {
        if open < percent(self.max_connections, CROWDED_PERCENT) {
            return None;
        }
        let waiting = self.waiting(now, |step| Some(step.max_crowded_wait()));
        let longest = waiting.into_iter().next()?;
        self.take(longest).map(|awaited| awaited.closer)
    }

    /// The callers that have been waited for too long, the longest first.
    /// `max_wait` returns how long a step may take, if it is limited.
    fn waiting(
        &self,
        now: LocalTime,
        max_wait: impl Fn(AwaitedStep) -> Option<TimeSpan>,
    ) -> Vec<(ReaderId, AwaitedStep)> {
        let awaited = self.awaited.iter().filter(|((_id, step), awaited)| {
            max_wait(*step).is_some_and(|max| now.since(awaited.since) >= max)
        });
        let mut waiting: Vec<(LocalTime, (ReaderId, AwaitedStep))> =
            awaited.map(|(key, awaited)| (awaited.since, *key)).collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(_since, key)| key).collect()
    }

    fn take(
        &mut self,
        key: (ReaderId, AwaitedStep),
    ) -> Option<AwaitedCaller<Closer>> {
        self.awaited.remove(&key)
    }

    /// The time after which there is expected to be room: when the slowest
    /// caller is closed at the latest.
    #[must_use]
    pub fn room_expected_in(&self, now: LocalTime) -> TimeSpan {
        let holding = self.awaited.iter().filter(|(_key, a)| a.held > 0);
        let closed_at = holding
            .map(|((_id, step), awaited)| awaited.since + step.max_wait());
        let closed_in = closed_at.min().map(|end| end.since(now));
        closed_in.unwrap_or(MIN_RETRY_DELAY).max(MIN_RETRY_DELAY)
    }
}

/// A share of an amount, which may be any number from the settings.
const fn percent(amount: u64, percent: u64) -> u64 {
    let hundredths = (amount / 100).saturating_mul(percent);
    hundredths.saturating_add(amount % 100 * percent / 100)
}
