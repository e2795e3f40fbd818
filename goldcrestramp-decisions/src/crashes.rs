//! Decides whether a request is refused because servers ended under it.
//!
//! A request can end each server that runs it, for example by exhausting its
//! memory. A route's `max_attempts` bounds one attempt of a caller, but the
//! caller repeats it, other callers send the same, and each of them reaches
//! another VM. A key's next owner gets it, too. So one request could end all
//! servers of a service.
//!
//! The end of a server proves little against any one request: up to some
//! twenty are at work there, and a hot key's request is at work on most
//! servers that end. Three rules protect requests that are there by chance:
//!
//! - A response clears a request. One that servers have just responded to is
//!   refused only after more ends: it is one of many that are at work on each
//!   server all the time.
//! - Ends count as one if the request was at work on these servers at the same
//!   time, as when a failure domain is lost.
//! - Without a proof that the server ended, a broken connection counts
//!   nothing.

use std::hash::Hash;

use goldcrestramp_types::{FastMap, FastSet, LocalTime, TimeSpan};

/// The ends of servers, one after the other, from which on a request is
/// refused. One end is bad luck.
const MAX_CRASHES: usize = 2;

/// The same for a request that a server has just responded to. If it is
/// another request that ends servers, that one is refused before this many.
const MAX_CRASHES_IF_SERVED: usize = 5;

/// How long a request is refused after so many ends. It then gets another
/// chance, since it may have been at work there by chance.
const FIRST_QUARANTINE: TimeSpan = TimeSpan::from_millis(1_000);

/// The time between the trials of two VMs after a quarantine. The result of
/// the first one usually reaches the second one before that.
const TRIAL_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// How long a request is refused after another end.
const LONG_QUARANTINE: TimeSpan = TimeSpan::from_millis(120_000);

/// The time after which an end no longer counts.
const RETENTION: TimeSpan = TimeSpan::from_millis(600_000);

/// How long after a response a request counts as one that is just served.
const MAX_RESPONSE_AGE: TimeSpan = TimeSpan::from_millis(30_000);

/// The maximum number of requests whose response is remembered, about 60 bytes
/// each, in each of two generations.
const MAX_RESPONSES: usize = 2_048;

/// How long after an attempt was lost a proof that its server has ended still
/// counts: a server's entry outlives it by three heartbeats.
const PROOF_WINDOW: TimeSpan = TimeSpan::from_millis(6_000);

/// By how much a time that another VM reports as an age may be off: the latency
/// between regions, with room for a short queue.
pub const REPORT_ERROR: TimeSpan = TimeSpan::from_millis(50);

/// The maximum number of ends kept for one request.
const MAX_ENDS: usize = 8;

/// The maximum number of requests with an end, about 200 bytes each.
const MAX_REQUESTS: usize = 1_024;

/// The maximum number of lost attempts kept for one server: its slots and its
/// queue.
const MAX_LOST: usize = 32;

/// What shows that a server has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndProof {
    /// Nothing listens at its address, or another instance has started.
    Certain,
    /// Its entry is gone. It may be cut off from the store, so this counts
    /// only with a broken connection.
    Unlisted,
}

/// An attempt to which the server did not respond.
#[derive(Clone, Copy, Debug)]
pub struct LostAttempt<Request> {
    /// The request.
    pub request: Request,
    /// When it was sent.
    pub started_at: LocalTime,
    /// When its connection broke, or it was given up.
    pub lost_at: LocalTime,
    /// Whether the connection broke.
    pub is_broken: bool,
}

/// The end of a server at which a request was at work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerCrash<Server> {
    /// The server.
    pub server: Server,
    /// When the request was sent to it.
    pub started_at: LocalTime,
    /// When the attempt was lost.
    pub ended_at: LocalTime,
}

/// When servers last responded to recent requests.
///
/// The older of two generations is dropped when the other one is full or old.
#[derive(Clone, Debug)]
struct RecentResponses<Request> {
    young: FastMap<Request, LocalTime>,
    old: FastMap<Request, LocalTime>,
    young_since: LocalTime,
}

impl<Request> Default for RecentResponses<Request> {
    fn default() -> Self {
        Self {
            young: FastMap::default(),
            old: FastMap::default(),
            young_since: LocalTime::default(),
        }
    }
}

impl<Request: Eq + Hash> RecentResponses<Request> {
    fn record(&mut self, now: LocalTime, request: Request, at: LocalTime) {
        let age = now.since(self.young_since);
        let is_old = age >= MAX_RESPONSE_AGE.percent(50);
        if is_old || self.young.len() >= MAX_RESPONSES {
            self.old = std::mem::take(&mut self.young);
            self.young_since = now;
        }
        self.young.insert(request, at);
    }

    /// When a server last responded to the request.
    fn last_at(&self, request: &Request) -> Option<LocalTime> {
        let young = self.young.get(request);
        young.or_else(|| self.old.get(request)).copied()
    }
}

/// The requests under which servers ended.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{CrashLedger, EndProof, LostAttempt};
/// use goldcrestramp_types::LocalTime;
///
/// let at = |millis: u64| LocalTime::from_micros(millis * 1_000);
/// let mut ledger = CrashLedger::open(at(0));
/// for (server, second) in [("a", 61), ("b", 62)] {
///     let lost = LostAttempt {
///         request: "/report?all",
///         started_at: at(second * 1_000),
///         lost_at: at(second * 1_000 + 100),
///         is_broken: true,
///     };
///     ledger.record_lost(&server, lost);
///     ledger.record_end(at(second * 1_000 + 110), &server, EndProof::Certain);
/// }
/// let until = |request| {
///     ledger.refused_until(at(62_200), &request, 0)
/// };
/// assert!(until("/report?all").is_some());
/// assert!(until("/report?one").is_none());
/// ```
#[derive(Clone, Debug)]
pub struct CrashLedger<Request, Server> {
    /// The lost attempts whose server may have ended.
    lost: FastMap<Server, Vec<LostAttempt<Request>>>,
    /// The servers that have ended recently.
    ended: FastMap<Server, LocalTime>,
    /// The ends of servers by request, the first one first.
    crashes: FastMap<Request, Vec<ServerCrash<Server>>>,
    responded: RecentResponses<Request>,
    /// Since when responses are remembered.
    opened_at: LocalTime,
    /// The suspect requests that no VM is known to have just served.
    confirmed: FastSet<Request>,
}

impl<Request, Server> Default for CrashLedger<Request, Server> {
    fn default() -> Self {
        Self {
            lost: FastMap::default(),
            ended: FastMap::default(),
            crashes: FastMap::default(),
            responded: RecentResponses::default(),
            opened_at: LocalTime::default(),
            confirmed: FastSet::default(),
        }
    }
}

impl<Request, Server> CrashLedger<Request, Server>
where
    Request: Copy + Eq + Hash,
    Server: Clone + Eq + Hash,
{
    /// Creates a ledger that remembers responses from `now` on.
    ///
    /// Until it has done so for a while, a request under which servers end may
    /// just have been served, and is refused after as many ends as such a one,
    /// unless that is [confirmed](Self::confirm) not to be so.
    #[must_use]
    pub fn open(now: LocalTime) -> Self {
        Self { opened_at: now, ..Self::default() }
    }

    /// Records that no VM is known to have just served a request.
    pub fn confirm(&mut self, request: Request) {
        if self.is_suspect(&request) {
            self.confirmed.insert(request);
        }
    }

    /// Whether no request is lost or suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lost.is_empty()
            && self.ended.is_empty()
            && self.crashes.is_empty()
    }

    /// Records an attempt to which a server did not respond; returns whether
    /// the server is known to have ended under it.
    pub fn record_lost(
        &mut self,
        server: &Server,
        attempt: LostAttempt<Request>,
    ) -> bool {
        let ended_at = self.ended.get(server);
        if ended_at.is_some_and(|ended_at| attempt.started_at <= *ended_at) {
            return self.record_crash(server, &attempt);
        }
        let lost = self.lost.entry(server.clone()).or_default();
        if lost.len() >= MAX_LOST {
            lost.remove(0);
        }
        lost.push(attempt);
        false
    }

    /// The servers at which attempts were lost.
    pub fn lost_servers(&self) -> impl Iterator<Item = &Server> {
        self.lost.keys()
    }

    /// Records that a server has ended; returns the requests under which it
    /// did.
    pub fn record_end(
        &mut self,
        now: LocalTime,
        server: &Server,
        proof: EndProof,
    ) -> Vec<Request> {
        if proof == EndProof::Certain {
            self.ended.entry(server.clone()).or_insert(now);
        }
        let lost = self.lost.remove(server).unwrap_or_default();
        let at_work = lost.into_iter().filter(|attempt| {
            now.since(attempt.lost_at) < PROOF_WINDOW
                && (attempt.is_broken || proof == EndProof::Certain)
        });
        let at_work: Vec<LostAttempt<Request>> = at_work.collect();
        let changed = at_work
            .into_iter()
            .filter(|attempt| self.record_crash(server, attempt));
        changed.map(|attempt| attempt.request).collect()
    }

    fn record_crash(
        &mut self,
        server: &Server,
        attempt: &LostAttempt<Request>,
    ) -> bool {
        let crash = ServerCrash {
            server: server.clone(),
            started_at: attempt.started_at,
            ended_at: attempt.lost_at,
        };
        self.merge(attempt.request, crash)
    }

    /// Adds an end that this VM saw or another one reports; returns whether it
    /// is new. A server ends once, whoever reports it.
    pub fn merge(
        &mut self,
        request: Request,
        crash: ServerCrash<Server>,
    ) -> bool {
        // A report of an end may arrive after a later response.
        let responded_at = self.responded.last_at(&request);
        if responded_at.is_some_and(|at| crash.ended_at <= at) {
            return false;
        }
        let crashes = self.crashes.entry(request).or_default();
        let known = |known: &ServerCrash<Server>| known.server == crash.server;
        if crashes.iter().any(known) {
            return false;
        }
        if crashes.len() >= MAX_ENDS {
            crashes.remove(0);
        }
        crashes.push(crash);
        crashes.sort_by_key(|crash| crash.ended_at);
        self.evict();
        true
    }

    /// Removes the request with the fewest ends, the oldest of equal ones, if
    /// there are too many.
    fn evict(&mut self) {
        if self.crashes.len() <= MAX_REQUESTS {
            return;
        }
        let weight = |crashes: &Vec<ServerCrash<Server>>| {
            let last_at = crashes.last().map(|last| last.ended_at);
            (sequence_length(crashes), last_at)
        };
        let weakest = self.crashes.iter();
        let weakest = weakest.min_by_key(|(_, crashes)| weight(crashes));
        if let Some(request) = weakest.map(|(request, _)| *request) {
            self.crashes.remove(&request);
            self.confirmed.remove(&request);
        }
    }

    /// Records that a server responded to a request at `at`, as this VM or
    /// another one saw it; returns whether that changes what is known of a
    /// suspect request.
    pub fn record_response(
        &mut self,
        now: LocalTime,
        request: &Request,
        at: LocalTime,
    ) -> bool {
        if self.last_response(request).is_some_and(|known| known >= at) {
            return false;
        }
        self.responded.record(now, *request, at);
        self.confirmed.remove(request);
        self.lost.retain(|_server, lost| {
            lost.retain(|a| a.request != *request || a.lost_at > at);
            !lost.is_empty()
        });
        let Some(crashes) = self.crashes.get_mut(request) else {
            return false;
        };
        crashes.retain(|crash| crash.ended_at > at);
        if crashes.is_empty() {
            self.crashes.remove(request);
        }
        true
    }

    /// When a server last responded to a request, if that is known.
    #[must_use]
    pub fn last_response(&self, request: &Request) -> Option<LocalTime> {
        self.responded.last_at(request)
    }

    /// The servers that ended under a request, the first one first.
    #[must_use]
    pub fn crashes_of(&self, request: &Request) -> &[ServerCrash<Server>] {
        self.crashes.get(request).map_or(&[], Vec::as_slice)
    }

    /// Whether any server has ended under a request.
    #[must_use]
    pub fn is_suspect(&self, request: &Request) -> bool {
        self.crashes.contains_key(request)
    }

    /// Whether servers have ended under a request one after the other, so that
    /// all VMs should know of it.
    #[must_use]
    pub fn is_quarantined(&self, request: &Request) -> bool {
        let length = sequence_length(self.crashes_of(request));
        length >= self.max_crashes(request)
    }

    /// The ends, one after the other, from which on a request is refused.
    fn max_crashes(&self, request: &Request) -> usize {
        let known_at = match self.responded.last_at(request) {
            // It may have been served just before.
            None if !self.confirmed.contains(request) => self.opened_at,
            None => return MAX_CRASHES,
            Some(responded_at) => responded_at,
        };
        let last = self.crashes_of(request).last();
        let age = last.map(|last| last.ended_at.since(known_at));
        match age {
            Some(age) if age < MAX_RESPONSE_AGE => MAX_CRASHES_IF_SERVED,
            _ => MAX_CRASHES,
        }
    }

    /// Until when a request is refused, if it is, on the VM that comes after
    /// `trial_rank` others in the order in which they try it again.
    #[must_use]
    pub fn refused_until(
        &self,
        now: LocalTime,
        request: &Request,
        trial_rank: usize,
    ) -> Option<LocalTime> {
        let crashes = self.crashes_of(request);
        let last = crashes.last()?;
        let length = sequence_length(crashes);
        let quarantine = match length.checked_sub(self.max_crashes(request))? {
            0 => FIRST_QUARANTINE,
            _ => LONG_QUARANTINE,
        };
        let rank = trial_rank as u64;
        let trial_delay =
            TimeSpan::from_micros(TRIAL_INTERVAL.as_micros() * rank);
        let until = last.ended_at + quarantine + trial_delay;
        (now < until).then_some(until)
    }

    /// Removes what no longer counts.
    pub fn retain(&mut self, now: LocalTime) {
        self.lost.retain(|_server, lost| {
            lost.retain(|a| now.since(a.lost_at) < PROOF_WINDOW);
            !lost.is_empty()
        });
        self.ended.retain(|_server, at| now.since(*at) < PROOF_WINDOW);
        self.crashes.retain(|_request, crashes| {
            crashes.retain(|c| now.since(c.ended_at) < RETENTION);
            !crashes.is_empty()
        });
        let crashes = &self.crashes;
        self.confirmed.retain(|request| crashes.contains_key(request));
    }
}

/// The number of ends of which each attempt began after the end before.
fn sequence_length<Server>(crashes: &[ServerCrash<Server>]) -> usize {
    let mut length = 0;
    let mut last_end: Option<LocalTime> = None;
    // Of overlapping attempts, the one that ends first leaves room for most.
    for crash in crashes {
        let follows =
            last_end.is_none_or(|end| crash.started_at + REPORT_ERROR >= end);
        if follows {
            length += 1;
            last_end = Some(crash.ended_at);
        }
    }
    length
}
