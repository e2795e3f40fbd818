//! What servers have stated to this VM in their responses.
//!
//! An overloaded server that refuses a request may name a time for which it
//! wants no other one from the same VM. If that is ignored, a refused request
//! comes back after some ten milliseconds, and as often as its caller waits,
//! and each repeat costs the server as much as another refusal. A server that
//! is about to stop says so in each response, also if its entry in the store
//! does not, or can't be read.
//!
//! These are facts about one instance of a server. They are kept apart from
//! its limits and its entry, because both are dropped while the store is away.

use std::hash::Hash;

use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

/// How long a leaving server without an entry is remembered after its last
/// response: it has exited by then.
const LEAVING_RETENTION: TimeSpan = TimeSpan::from_millis(600_000);

/// When a server said that it is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingTimes {
    first: LocalTime,
    last: LocalTime,
}

/// What one server instance has stated.
#[derive(Clone, Copy, Debug, Default)]
struct ServerNotice {
    /// The end of its longest backoff.
    backoff_until: LocalTime,
    leaving: Option<LeavingTimes>,
}

/// The notices of servers, by the key of the instance.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::ServerNotices;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let at = |millis: u64| LocalTime::from_micros(millis * 1_000);
/// let mut notices = ServerNotices::default();
/// notices.record_backoff(at(0), "a", TimeSpan::from_millis(3_000));
/// assert_eq!(notices.backoff_until(at(10), &"a"), Some(at(3_000)));
/// assert_eq!(notices.backoff_until(at(3_000), &"a"), None);
/// ```
#[derive(Clone, Debug)]
pub struct ServerNotices<Key>(FastMap<Key, ServerNotice>);

impl<Key> Default for ServerNotices<Key> {
    fn default() -> Self {
        Self(FastMap::default())
    }
}

impl<Key: Clone + Eq + Hash> ServerNotices<Key> {
    /// Records that a server wants no request for `span`; returns whether it
    /// was in no backoff before. A shorter backoff does not end a longer one.
    pub fn record_backoff(
        &mut self,
        now: LocalTime,
        key: Key,
        span: TimeSpan,
    ) -> bool {
        let notice = self.0.entry(key).or_default();
        let begins = notice.backoff_until <= now && span > TimeSpan::ZERO;
        notice.backoff_until = notice.backoff_until.max(now + span);
        begins
    }

    /// The end of a server's backoff, if it is in one.
    pub fn backoff_until(
        &self,
        now: LocalTime,
        key: &Key,
    ) -> Option<LocalTime> {
        let until = self.0.get(key)?.backoff_until;
        (now < until).then_some(until)
    }

    /// Records that a server is leaving; returns whether that is new. Nothing
    /// revokes it: a server that starts again is another instance.
    pub fn record_leaving(&mut self, now: LocalTime, key: Key) -> bool {
        let notice = self.0.entry(key).or_default();
        let first = notice.leaving.map_or(now, |times| times.first);
        let is_new = notice.leaving.is_none();
        notice.leaving = Some(LeavingTimes { first, last: now });
        is_new
    }

    /// The servers in a backoff, each with its end.
    pub fn backoffs(
        &self,
        now: LocalTime,
    ) -> impl Iterator<Item = (&Key, LocalTime)> {
        let ends = self.0.iter().map(|(key, n)| (key, n.backoff_until));
        ends.filter(move |(_key, until)| now < *until)
    }

    /// Since when a server has been known to be leaving, if it is.
    pub fn leaving_since(&self, key: &Key) -> Option<LocalTime> {
        Some(self.0.get(key)?.leaving?.first)
    }

    /// The servers that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &Key> {
        let leaving = self.0.iter().filter(|(_, n)| n.leaving.is_some());
        leaving.map(|(key, _notice)| key)
    }

    /// Removes what no longer matters. A leaving server is remembered while it
    /// is listed, and for a while after its last response.
    pub fn retain(
        &mut self,
        now: LocalTime,
        is_listed: impl Fn(&Key) -> bool,
    ) {
        self.0.retain(|key, notice| {
            let is_leaving = notice.leaving.is_some_and(|times| {
                now.since(times.last) < LEAVING_RETENTION || is_listed(key)
            });
            is_leaving || now < notice.backoff_until
        });
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
