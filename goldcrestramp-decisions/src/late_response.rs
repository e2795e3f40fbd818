/*!
How long a response may go on after the deadline of its request.

A server stops working on a request at its deadline. What it has sent by then
may still arrive: it crosses a slow link, or its caller reads it slowly. A
faulty server goes on for as long as anybody reads. If its responses were
passed on without a limit, each would hold a caller, a connection and a part of
the link for as long.

So a late response is given up when the time that its caller has waited for
more bytes since the deadline reaches a limit. The time in which the caller was
reading does not count. A response whose end is not known is also given up when
more bytes have arrived since the deadline than can have been on their way.
*/

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The time that a caller waits for more bytes after the deadline. The bytes
/// that are on their way then, at most some 10 MB, cross a link of 30 Mbit/s
/// in this time.
const MAX_LATE_WAIT: TimeSpan = TimeSpan::from_millis(5_000);

/// The bytes that may be on their way at the deadline: what the send buffer
/// and the receive buffer of a connection hold, 4 MB and 6 MB by default, with
/// room for larger ones.
const MAX_LATE_BYTES: u64 = 16 * 1_024 * 1_024;

/// A longer stated length counts as none: it is no end that a caller would
/// wait for.
const MAX_STATED_BYTES: u64 = 1_024 * 1_024 * 1_024;

/// Limits how long a response may go on after its request's deadline.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::LateResponse;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let deadline = LocalTime::from_micros(1_000_000);
/// let mut response = LateResponse::open(deadline, None, deadline);
/// response.record_demand(deadline);
/// let given_up_at = deadline + TimeSpan::from_millis(5_000);
/// assert_eq!(response.given_up_at(), given_up_at);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LateResponse {
    deadline: LocalTime,
    given_up_at: LocalTime,
    /// The bytes that may still arrive after the deadline; `None` if the end
    /// of the response is known.
    late_bytes_left: Option<u64>,
    /// Since when the caller has been reading, if it is not waiting.
    reading_since: Option<LocalTime>,
}

impl LateResponse {
    /// Starts with the response to a request with this deadline. `length` is
    /// the stated length of its body, in bytes; `now` is when the caller was
    /// offered its first bytes.
    #[must_use]
    pub fn open(
        deadline: LocalTime,
        length: Option<u64>,
        now: LocalTime,
    ) -> Self {
        let is_known = length.is_some_and(|bytes| bytes <= MAX_STATED_BYTES);
        Self {
            deadline,
            given_up_at: deadline + MAX_LATE_WAIT,
            late_bytes_left: (!is_known).then_some(MAX_LATE_BYTES),
            reading_since: Some(now),
        }
    }

    /// Records that the caller can take more bytes.
    pub fn record_demand(&mut self, now: LocalTime) {
        if let Some(since) = self.reading_since.take() {
            let late_since = since.max(self.deadline);
            self.given_up_at = self.given_up_at + now.since(late_since);
        }
    }

    /// Records that the caller is reading what it was offered.
    pub const fn record_offer(&mut self, now: LocalTime) {
        self.reading_since = Some(now);
    }

    /// Records bytes that have arrived; returns whether the response may go
    /// on.
    #[must_use]
    pub fn record_bytes(&mut self, now: LocalTime, bytes: u64) -> bool {
        if now <= self.deadline {
            return true;
        }
        let Some(left) = &mut self.late_bytes_left else { return true };
        *left = left.saturating_sub(bytes);
        *left > 0
    }

    /// When the response is given up if its caller waits until then.
    #[must_use]
    pub const fn given_up_at(&self) -> LocalTime {
        self.given_up_at
    }
}
