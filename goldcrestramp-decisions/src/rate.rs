//! Shares the rate limit that a server states for the whole fleet.
//!
//! A server under pressure may accept three requests a second from a fleet of
//! hundreds of VMs that can't see each other's traffic. An equal share would
//! be one request in minutes for each VM, which most of them don't use, and a
//! burst of one request from each VM is many times what the server accepts. So
//! one VM, the one that plans, issues permits from an account for each such
//! server, and the others request permits when requests wait for one. A permit
//! allows one attempt and expires soon, so the attempts within any span are
//! bounded by the permits issued in it and shortly before.

use std::{collections::VecDeque, hash::Hash};

use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};
use serde::{Deserialize, Serialize};

/// How long a permit is valid after it was received.
const PERMIT_TTL: TimeSpan = TimeSpan::from_millis(800);

/// The minimum rate of permits for a server, also when it states a lower
/// limit: its responses are the only way to learn that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.25;

/// The capacity of a server's account: the permits of this many seconds, but
/// at least one.
const BURST_S: f64 = 0.8;

/// A VM that gets no grant for this long uses its own share of the limit.
const ISSUER_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_500);

/// The maximum number of requests that wait for permits, in seconds of a VM's
/// equal share.
const MAX_WAIT_S: f64 = 0.5;

/// Without an issuer each VM may save up one request and send it when the
/// others do. So only this many VMs send, plus as many as the server accepts
/// requests in `SENDERS_S` seconds.
const MIN_SENDERS: f64 = 4.0;
const SENDERS_S: f64 = 2.0;

/// The position of a VM among those that send to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetPosition {
    /// The number of VMs known.
    pub vms: usize,
    /// How many of them precede it in an order on which all agree.
    pub rank: usize,
}

impl FleetPosition {
    /// The requests a second that the VM sends without an issuer.
    fn fallback_rate(self, per_s: f64) -> f64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "bounded by the fleet"
        )]
        let senders = (MIN_SENDERS + SENDERS_S * per_s) as usize;
        let senders = senders.min(self.vms.max(1));
        if self.rank >= senders {
            return 0.0;
        }
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        let senders = senders as f64;
        rate_of(per_s) / senders
    }
}

/// A VM's request for permits, with the limit that it knows of.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The requests a second that the server accepts from all VMs. `None`: it
    /// states no limit.
    pub per_s: Option<f64>,
    /// How long ago the server stated this.
    pub age: TimeSpan,
    /// The number of requests that wait for a permit.
    pub wanted: u32,
}

/// The response to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum PermitGrant {
    /// The server no longer states a limit.
    Unlimited,
    /// The number of requests that may be sent.
    Permits(u32),
}

/// The rate at which permits for a server are issued, a second.
fn rate_of(per_s: f64) -> f64 {
    per_s.max(MIN_RATE_PER_S)
}

/// A token bucket, empty at first.
#[derive(Clone, Copy, Debug)]
struct RateBucket {
    tokens: f64,
    filled_at: LocalTime,
}

impl RateBucket {
    const fn empty(now: LocalTime) -> Self {
        Self { tokens: 0.0, filled_at: now }
    }

    fn refill(&mut self, now: LocalTime, per_s: f64, capacity: f64) {
        let passed = now.since(self.filled_at).to_std().as_secs_f64();
        self.tokens = (self.tokens + passed * per_s).min(capacity);
        self.filled_at = now;
    }

    /// Takes up to `wanted` tokens, as far as there are whole ones.
    fn take(&mut self, wanted: u32) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "bounded by what is wanted"
        )]
        let taken = self.tokens.min(f64::from(wanted)) as u32;
        self.tokens -= f64::from(taken);
        taken
    }
}

#[derive(Clone, Copy, Debug)]
struct ServerAccount {
    per_s: Option<f64>,
    stated_at: LocalTime,
    bucket: RateBucket,
}

/// The accounts of all servers that state a limit, kept by the issuer.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{PermitGrant, PermitRequest, RateLedger};
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let start = LocalTime::from_micros(0);
/// let request =
///     PermitRequest { per_s: Some(4.0), age: TimeSpan::ZERO, wanted: 9 };
/// let mut ledger = RateLedger::default();
/// assert_eq!(
///     ledger.request_permits(start, &"a", request),
///     PermitGrant::Permits(0)
/// );
/// let later = start + TimeSpan::from_millis(500);
/// assert_eq!(
///     ledger.request_permits(later, &"a", request),
///     PermitGrant::Permits(2)
/// );
/// ```
#[derive(Clone, Debug)]
pub struct RateLedger<Key>(FastMap<Key, ServerAccount>);

impl<Key> Default for RateLedger<Key> {
    fn default() -> Self {
        Self(FastMap::default())
    }
}

impl<Key: Clone + Eq + Hash> RateLedger<Key> {
    /// Applies the limit that a VM reports for a server, and grants it the
    /// available permits.
    pub fn request_permits(
        &mut self,
        now: LocalTime,
        server: &Key,
        request: PermitRequest,
    ) -> PermitGrant {
        let stated_at = now - request.age;
        let new_account = || ServerAccount {
            per_s: request.per_s,
            stated_at,
            bucket: RateBucket::empty(now),
        };
        let account = self.0.entry(server.clone()).or_insert_with(new_account);
        if stated_at > account.stated_at {
            if account.per_s.is_none() {
                account.bucket = RateBucket::empty(now);
            }
            account.per_s = request.per_s;
            account.stated_at = stated_at;
        }
        let Some(per_s) = account.per_s else {
            return PermitGrant::Unlimited;
        };
        let rate = rate_of(per_s);
        account.bucket.refill(now, rate, (rate * BURST_S).max(1.0));
        PermitGrant::Permits(account.bucket.take(request.wanted))
    }

    /// The requests a second granted for a server, if it states a limit.
    #[must_use]
    pub fn limit_of(&self, server: &Key) -> Option<f64> {
        self.0.get(server)?.per_s.map(rate_of)
    }

    /// Removes the accounts of servers for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Key) -> bool) {
        self.0.retain(|server, _account| keep(server));
    }
}

/// The permits of one VM for one server.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{FleetPosition, PermitGrant, RateAllowance};
/// use goldcrestramp_types::LocalTime;
///
/// let now = LocalTime::from_micros(0);
/// let position = FleetPosition { vms: 10, rank: 3 };
/// let mut allowance = RateAllowance::default();
/// assert!(allowance.has_permit(now, position));
/// allowance.record_limit(now, Some(3.0));
/// assert!(!allowance.has_permit(now, position));
/// allowance.record_grant(now, PermitGrant::Permits(1));
/// assert!(allowance.has_permit(now, position));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RateAllowance {
    per_s: Option<f64>,
    stated_at: LocalTime,
    /// When each permit expires, oldest first.
    permits: VecDeque<LocalTime>,
    /// When the last grant was received, or since when the server states a
    /// limit.
    granted_at: LocalTime,
    /// This VM's own share, used while no grants are received.
    fallback: Option<RateBucket>,
}

impl RateAllowance {
    /// Records the limit that a response states. Returns whether it differs
    /// from the previous one.
    pub fn record_limit(
        &mut self,
        now: LocalTime,
        per_s: Option<f64>,
    ) -> bool {
        if self.per_s.is_none() && per_s.is_some() {
            self.permits.clear();
            self.granted_at = now;
            self.fallback = None;
        }
        self.stated_at = now;
        let changed = self.per_s != per_s;
        self.per_s = per_s;
        changed
    }

    /// Records the grant that was received at `received_at`.
    pub fn record_grant(
        &mut self,
        received_at: LocalTime,
        grant: PermitGrant,
    ) {
        self.granted_at = self.granted_at.max(received_at);
        self.fallback = None;
        match grant {
            // Ignored if the server has stated a limit since.
            PermitGrant::Unlimited if received_at < self.stated_at => {}
            PermitGrant::Unlimited => self.per_s = None,
            PermitGrant::Permits(permits) => {
                let expires_at = received_at + PERMIT_TTL;
                self.permits.extend((0..permits).map(|_| expires_at));
            }
        }
    }

    /// The limit that the server states, in requests a second.
    #[must_use]
    pub const fn limit(&self) -> Option<f64> {
        self.per_s
    }

    /// Creates a request for `wanted` permits.
    #[must_use]
    pub fn permit_request(
        &self,
        now: LocalTime,
        wanted: u32,
    ) -> PermitRequest {
        let age = now.since(self.stated_at);
        PermitRequest { per_s: self.per_s, age, wanted }
    }

    /// How many requests may wait for a permit in a fleet of `vms`. Any more
    /// would time out.
    #[must_use]
    pub fn max_waiting(&self, vms: usize) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "small counts"
        )]
        let share =
            |per_s: f64| (per_s * MAX_WAIT_S / vms.max(1) as f64) as usize;
        self.per_s.map_or(usize::MAX, |per_s| share(per_s).max(1))
    }

    /// Whether a request may be sent now. Takes no permit.
    pub fn has_permit(
        &mut self,
        now: LocalTime,
        position: FleetPosition,
    ) -> bool {
        let Some(per_s) = self.per_s else { return true };
        while self.permits.front().is_some_and(|expires_at| *expires_at <= now)
        {
            self.permits.pop_front();
        }
        if !self.permits.is_empty() {
            return true;
        }
        if now.since(self.granted_at) < ISSUER_TIMEOUT {
            return false;
        }
        let fallback = self.fallback.get_or_insert(RateBucket::empty(now));
        fallback.refill(now, position.fallback_rate(per_s), 1.0);
        fallback.tokens >= 1.0
    }

    /// Takes a permit for an attempt, if there is one.
    pub fn try_take(
        &mut self,
        now: LocalTime,
        position: FleetPosition,
    ) -> bool {
        if !self.has_permit(now, position) {
            return false;
        }
        if self.per_s.is_some() && self.permits.pop_front().is_none() {
            let fallback = self.fallback.as_mut();
            return fallback.is_some_and(|fallback| fallback.take(1) == 1);
        }
        true
    }
}
