//! Who may send to a server that names the rate it takes from all.
//!
//! The load: a server in need takes three requests a second, from a fleet
//! of hundreds of VMs that can't see what the others send. Equal parts would
//! be one request in minutes for each VM and unused by most of them; a burst
//! of one for each is many times what the server takes. So one VM, the
//! planning one, issues permits from an account of each such server, and the
//! others ask it for them when requests wait for one. A permit is for one
//! send and lapses soon, so what is sent within any span is bounded by what
//! was given out in it and shortly before.

use std::{collections::VecDeque, hash::Hash};

use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};
use serde::{Deserialize, Serialize};

/// A permit lapses so long after it was received.
const PERMIT_LIFE: TimeSpan = TimeSpan::from_millis(800);

/// A server that takes less gets so many requests a second all the same:
/// its answers are the only way to learn that the limit has ended.
const PROBES_PER_S: f64 = 0.25;

/// The account of a server holds what it takes in this time, one at the
/// least.
const BURST_S: f64 = 0.8;

/// Without an answer about permits for so long, a VM goes by its own part of
/// the limit.
const ISSUER_SILENT: TimeSpan = TimeSpan::from_millis(1_500);

/// Requests that wait for permits, for this time of a VM's equal part.
const WAITING_S: f64 = 0.5;

/// While nothing is heard of the issuer, each VM may save one request up and
/// send it when the others do. So only this many VMs send, and as many more as
/// the server takes requests in this time.
const MIN_SENDERS: f64 = 4.0;
const SENDERS_S: f64 = 2.0;

/// A VM among those that send to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetPosition {
    /// The VMs that are known.
    pub vms: usize,
    /// How many of them come before it in an order that all agree on.
    pub rank: usize,
}

impl FleetPosition {
    /// The requests a second that it sends without an issuer.
    fn own_rate(self, per_s: f64) -> f64 {
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

/// What a VM tells of a server when it asks for permits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The requests a second that the server takes from all VMs; nothing:
    /// it names no limit.
    pub per_s: Option<f64>,
    /// How long ago it said so.
    pub age: TimeSpan,
    /// Requests that wait for a permit.
    pub wanted: u32,
}

/// What is answered to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum PermitGrant {
    /// The server names no limit any more.
    Unlimited,
    /// So many requests may be sent.
    Permits(u32),
}

/// The rate at which permits for a server are given out.
fn rate_of(per_s: f64) -> f64 {
    per_s.max(PROBES_PER_S)
}

/// What may be given out of a rate; empty at first.
#[derive(Clone, Copy, Debug)]
struct RateBucket {
    filled: f64,
    filled_at: LocalTime,
}

impl RateBucket {
    const fn empty(now: LocalTime) -> Self {
        Self { filled: 0.0, filled_at: now }
    }

    fn fill(&mut self, now: LocalTime, per_s: f64, most: f64) {
        let passed = now.since(self.filled_at).to_std().as_secs_f64();
        self.filled = (self.filled + passed * per_s).min(most);
        self.filled_at = now;
    }

    /// Takes as many of `wanted` as there are.
    fn take(&mut self, wanted: u32) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "bounded by what is wanted"
        )]
        let taken = self.filled.min(f64::from(wanted)) as u32;
        self.filled -= f64::from(taken);
        taken
    }
}

#[derive(Clone, Copy, Debug)]
struct ServerAccount {
    per_s: Option<f64>,
    stated_at: LocalTime,
    bucket: RateBucket,
}

/// The accounts of all servers that name a limit.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{PermitGrant, PermitRequest, RateLedger};
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let start = LocalTime::from_micros(0);
/// let asked =
///     PermitRequest { per_s: Some(4.0), age: TimeSpan::ZERO, wanted: 9 };
/// let mut ledger = RateLedger::default();
/// assert_eq!(
///     ledger.request_permits(start, &"a", asked),
///     PermitGrant::Permits(0)
/// );
/// let later = start + TimeSpan::from_millis(500);
/// assert_eq!(
///     ledger.request_permits(later, &"a", asked),
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
    /// Takes what a VM tells of a server, and gives it what permits there
    /// are.
    pub fn request_permits(
        &mut self,
        now: LocalTime,
        server: &Key,
        request: PermitRequest,
    ) -> PermitGrant {
        let stated_at = now - request.age;
        let fresh = || ServerAccount {
            per_s: request.per_s,
            stated_at,
            bucket: RateBucket::empty(now),
        };
        let account = self.0.entry(server.clone()).or_insert_with(fresh);
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
        account.bucket.fill(now, rate, (rate * BURST_S).max(1.0));
        PermitGrant::Permits(account.bucket.take(request.wanted))
    }

    /// The requests a second that a server takes, if it names a limit.
    #[must_use]
    pub fn limit_of(&self, server: &Key) -> Option<f64> {
        self.0.get(server)?.per_s.map(rate_of)
    }

    /// Forgets servers that are gone.
    pub fn retain(&mut self, keep: impl Fn(&Key) -> bool) {
        self.0.retain(|server, _account| keep(server));
    }
}

/// What one VM may send to one server.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{FleetPosition, PermitGrant, RateAllowance};
/// use goldcrestramp_types::LocalTime;
///
/// let now = LocalTime::from_micros(0);
/// let place = FleetPosition { vms: 10, rank: 3 };
/// let mut allowance = RateAllowance::default();
/// assert!(allowance.has_permit(now, place));
/// allowance.record_limit(now, Some(3.0));
/// assert!(!allowance.has_permit(now, place));
/// allowance.record_grant(now, PermitGrant::Permits(1));
/// assert!(allowance.has_permit(now, place));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RateAllowance {
    per_s: Option<f64>,
    stated_at: LocalTime,
    /// When each permit lapses.
    permits: VecDeque<LocalTime>,
    /// When it was last heard about permits.
    heard_at: LocalTime,
    /// The part that is kept to while nothing is heard.
    own: Option<RateBucket>,
}

impl RateAllowance {
    /// Takes what an answer says of the server's limit; whether that is
    /// another one than before.
    pub fn record_limit(
        &mut self,
        now: LocalTime,
        per_s: Option<f64>,
    ) -> bool {
        if self.per_s.is_none() && per_s.is_some() {
            self.permits.clear();
            self.heard_at = now;
            self.own = None;
        }
        self.stated_at = now;
        let changed = self.per_s != per_s;
        self.per_s = per_s;
        changed
    }

    /// Takes the answer to a request for permits, which came at `came_at`.
    pub fn record_grant(&mut self, came_at: LocalTime, grant: PermitGrant) {
        self.heard_at = self.heard_at.max(came_at);
        self.own = None;
        match grant {
            // The server may have named a limit since.
            PermitGrant::Unlimited if came_at < self.stated_at => {}
            PermitGrant::Unlimited => self.per_s = None,
            PermitGrant::Permits(permits) => {
                let lapses_at = came_at + PERMIT_LIFE;
                self.permits.extend((0..permits).map(|_| lapses_at));
            }
        }
    }

    /// The limit that the server names.
    #[must_use]
    pub const fn limit(&self) -> Option<f64> {
        self.per_s
    }

    /// What is told of the server to ask for so many permits.
    #[must_use]
    pub fn permit_request(
        &self,
        now: LocalTime,
        wanted: u32,
    ) -> PermitRequest {
        let age = now.since(self.stated_at);
        PermitRequest { per_s: self.per_s, age, wanted }
    }

    /// How many requests may wait for a permit in a fleet of `vms`: more
    /// would wait in vain.
    #[must_use]
    pub fn max_waiting(&self, vms: usize) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "small counts"
        )]
        let part =
            |per_s: f64| (per_s * WAITING_S / vms.max(1) as f64) as usize;
        self.per_s.map_or(usize::MAX, |per_s| part(per_s).max(1))
    }

    /// Whether a request may be sent now.
    pub fn has_permit(
        &mut self,
        now: LocalTime,
        place: FleetPosition,
    ) -> bool {
        let Some(per_s) = self.per_s else { return true };
        while self.permits.front().is_some_and(|lapses| *lapses <= now) {
            self.permits.pop_front();
        }
        if !self.permits.is_empty() {
            return true;
        }
        if now.since(self.heard_at) < ISSUER_SILENT {
            return false;
        }
        let own = self.own.get_or_insert(RateBucket::empty(now));
        own.fill(now, place.own_rate(per_s), 1.0);
        own.filled >= 1.0
    }

    /// Uses a permit for a send, if there is one.
    pub fn try_take(&mut self, now: LocalTime, place: FleetPosition) -> bool {
        if !self.has_permit(now, place) {
            return false;
        }
        if self.per_s.is_some() && self.permits.pop_front().is_none() {
            let own = self.own.as_mut();
            return own.is_some_and(|own| own.take(1) == 1);
        }
        true
    }
}
