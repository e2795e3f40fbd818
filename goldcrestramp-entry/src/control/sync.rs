//! Tracks how fresh a VM's copy of the store is, and chooses the source that
//! it follows.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

use crate::control::start::{StartPhase, StartStep};

/// How long the store must be without a response to count as an outage: longer
/// than a lost response and its retry.
const MIN_OUTAGE: TimeSpan = TimeSpan::from_millis(600);

/// Entries that expired during a store outage are written again within about
/// two seconds after its end, so until then a missing entry does not show that
/// its owner has ended.
const RECOVERY_GRACE: TimeSpan = TimeSpan::from_millis(2_300);

/// Bounds how far in the past a change is dated. An update that is older than
/// this was delayed by an outage, during which the store acknowledged nothing
/// to any client.
const MAX_LAG: TimeSpan = TimeSpan::from_millis(1_500);

/// How long a VM that could not be followed is not queried again.
const PEER_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(5_000);

/// How long a VM whose updates are not fresh is still followed. It may have
/// just lost its own source and be about to replace it. Two of its responses
/// arrive in this time.
const MAX_STALE_TIME: TimeSpan = TimeSpan::from_millis(700);

/// How long a VM without any contents follows a VM that has none either. The
/// full store takes this long to cross a link between regions that several VMs
/// share.
const MAX_EMPTY_TIME: TimeSpan = TimeSpan::from_millis(2_000);

/// The store counts as unresponsive when the last call that it responded to
/// was sent this long ago: two renewals of the lease.
///
/// The store may fail to respond to one VM and still serve the others. The
/// watch of that VM keeps waiting, and a change of the configuration is not in
/// force on it, nor on the VMs that follow it.
const STORE_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_050);

/// A VM whose last update is older than this queries another VM than the one
/// it follows. Updates of a source that responds in time are younger: their
/// age is the source's own age plus the time for which it holds a call.
const MAX_UPDATE_AGE: TimeSpan = TimeSpan::from_millis(1_500);

/// How often a VM to which the store does not respond queries another VM.
const QUERY_INTERVAL: TimeSpan = TimeSpan::from_millis(400);

/// The source from which changes are followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateSource {
    /// Waits until this VM's own entry is in the store.
    AwaitEntry,
    /// Reads only the entries of the failure domain's VMs from the store.
    StoreVms,
    /// Reads the full store.
    FullStore,
    /// Watches the store's changes after a revision.
    StoreChanges(u64),
    /// Queries another VM for changes after a revision.
    Peer(SocketAddr, u64),
}

/// The state of a VM's copy of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum CopyState {
    /// Nothing was read yet.
    Empty,
    /// Changes after its revision are requested.
    #[default]
    Followed,
    /// The store's history after its revision is lost.
    HistoryLost,
}

/// The time up to which the store's changes are known; shared with the traffic
/// thread. It only moves forward.
#[derive(Clone, Debug, Default)]
pub struct FreshnessClock(Arc<AtomicU64>);

impl FreshnessClock {
    /// The time up to which the store's changes are known; the default value
    /// if they never were.
    #[must_use]
    pub fn current_at(&self) -> LocalTime {
        LocalTime::from_micros(self.0.load(Ordering::Relaxed))
    }

    /// The age of the known state of the store; the maximum if no state was
    /// ever known.
    #[must_use]
    pub fn age(&self, now: LocalTime) -> TimeSpan {
        let current_at = self.current_at();
        if current_at == LocalTime::default() {
            return TimeSpan::from_micros(u64::MAX);
        }
        now.since(current_at)
    }

    fn advance(&self, at: LocalTime) {
        self.0.fetch_max(at.as_micros(), Ordering::Relaxed);
    }
}

/// The time up to which another VM's response covers the store's changes.
///
/// The VM had held the call for `held` when its copy of the store was `age`
/// old. The time that the response was in flight is not known, and on a full
/// link it is long, so the result counts from when the call was sent.
#[must_use]
pub fn update_as_of(
    sent_at: LocalTime,
    held: TimeSpan,
    age: TimeSpan,
) -> LocalTime {
    sent_at + held - age
}

/// The state of a VM's synchronization with the store.
#[derive(Debug, Default)]
pub struct SyncState {
    /// When the store last responded; the start of the clock if it never did.
    last_response_at: LocalTime,
    /// When the store came back after an outage.
    recovered_at: LocalTime,
    clock: FreshnessClock,
    /// Whether a call has failed since the store last responded.
    unavailable: bool,
    /// Whether this VM follows the store itself.
    follows_store: bool,
    start: StartPhase,
    copy: CopyState,
    /// The VMs that could not be followed, with the time of the failure.
    failed_peers: FastMap<SocketAddr, LocalTime>,
    /// The followed VM whose updates are not fresh, and since when.
    stale_peer: Option<(SocketAddr, LocalTime)>,
    last_query_at: LocalTime,
}

impl SyncState {
    /// The state of a VM that knows nothing yet; it advances `clock`.
    #[must_use]
    pub fn open(clock: FreshnessClock) -> Self {
        Self { clock, ..Self::default() }
    }

    /// Records that the store has responded to this VM or to its source.
    pub fn record_response(&mut self, now: LocalTime) {
        let silence = now.since(self.last_response_at);
        let known = self.last_response_at > LocalTime::default();
        // A watch without changes gets no response for up to its own wait, so
        // silence is an outage only if a call failed.
        if known && self.unavailable && silence > MIN_OUTAGE {
            log::info!(
                "[store] The store responds again after {} ms.",
                silence.as_millis()
            );
            self.recovered_at = now;
        }
        self.last_response_at = now;
        self.unavailable = false;
    }

    /// Records that all changes up to a time are known.
    pub fn record_current_at(&mut self, at: LocalTime) {
        self.clock.advance(at);
    }

    /// The age of this VM's copy of the store.
    #[must_use]
    pub fn age(&self, now: LocalTime) -> TimeSpan {
        self.clock.age(now)
    }

    /// The earliest time at which the store may have accepted a change that
    /// becomes known now.
    ///
    /// A leaving server must get no new requests from a certain time after the
    /// store has accepted its change of state. If that counted from when a VM
    /// learns of it, it would be too late whenever the followed VM stopped
    /// responding in the meantime. After an outage, entries are missing
    /// although no server removed them, so they count from now.
    #[must_use]
    pub fn changed_since(&self, now: LocalTime) -> LocalTime {
        if self.may_miss_entries(now) {
            return now;
        }
        self.clock.current_at().max(now - MAX_LAG)
    }

    /// Records that a call to the store failed.
    pub fn record_failure(&mut self) {
        if !self.unavailable {
            log::info!("[store] The store does not respond.");
        }
        self.unavailable = true;
    }

    /// Records that the changes after the known revision are no longer
    /// available.
    pub const fn record_history_loss(&mut self) {
        self.copy = CopyState::HistoryLost;
    }

    /// Records that the entries of the failure domain's VMs were read.
    pub fn record_vms(&mut self, now: LocalTime) {
        self.start.record_vms(now);
    }

    /// Records that this VM's own entry is in the store.
    pub const fn record_registration(&mut self) {
        self.start.record_registration();
    }

    /// Records that the full store was read.
    pub const fn record_read(&mut self) {
        self.copy = CopyState::Followed;
    }

    /// Records that a VM did not respond.
    pub fn record_peer_failure(&mut self, now: LocalTime, peer: SocketAddr) {
        self.failed_peers.insert(peer, now);
        self.stale_peer = None;
    }

    /// Records a VM's response, and whether its updates are fresh. A VM whose
    /// updates are stale for too long counts as failed.
    pub fn record_peer_response(
        &mut self,
        now: LocalTime,
        peer: SocketAddr,
        fresh: bool,
    ) {
        if fresh {
            self.stale_peer = None;
            return;
        }
        let known = self.stale_peer.filter(|(stale, _since)| *stale == peer);
        let (_peer, since) =
            *self.stale_peer.insert(known.unwrap_or((peer, now)));
        let limit = if self.copy == CopyState::Empty {
            MAX_EMPTY_TIME
        } else {
            MAX_STALE_TIME
        };
        if now.since(since) >= limit {
            self.record_peer_failure(now, peer);
        }
    }

    /// The source from which to follow changes after `revision`. `peers` are
    /// the VMs that may follow the store for this one, best first. One that
    /// could not be followed is replaced by the next.
    ///
    /// If all VMs that follow a VM followed the store while that VM restarts,
    /// each would receive the heartbeats of all servers. They would fill the
    /// link between regions, and more VMs would lose the VM that they follow.
    pub fn next(
        &mut self,
        now: LocalTime,
        revision: u64,
        mut peers: impl Iterator<Item = SocketAddr>,
    ) -> UpdateSource {
        self.failed_peers
            .retain(|_peer, at| now.since(*at) < PEER_RETRY_DELAY);
        let failed = &self.failed_peers;
        let peer = peers.find(|peer| !failed.contains_key(peer));
        let source = if revision == 0 {
            self.copy = CopyState::Empty;
            self.next_at_start(now, peer)
        } else {
            self.next_after_start(peer, revision)
        };
        self.follows_store = !matches!(source, UpdateSource::Peer(..));
        source
    }

    fn next_after_start(
        &mut self,
        peer: Option<SocketAddr>,
        revision: u64,
    ) -> UpdateSource {
        if self.copy == CopyState::HistoryLost {
            return UpdateSource::FullStore;
        }
        self.copy = CopyState::Followed;
        match peer.filter(|_peer| !self.unavailable) {
            Some(address) => UpdateSource::Peer(address, revision),
            None => UpdateSource::StoreChanges(revision),
        }
    }

    fn next_at_start(
        &self,
        now: LocalTime,
        peer: Option<SocketAddr>,
    ) -> UpdateSource {
        match self.start.next(now, peer) {
            StartStep::ReadVms => UpdateSource::StoreVms,
            StartStep::AwaitEntry => UpdateSource::AwaitEntry,
            StartStep::Follow(address) => UpdateSource::Peer(address, 0),
            StartStep::ReadAll => UpdateSource::FullStore,
        }
    }

    /// Records that this VM does not read the store although its sources fail.
    pub const fn record_deferral(&mut self) {
        self.follows_store = false;
    }

    /// Whether a VM has failed to respond, or to send fresh updates, recently.
    #[must_use]
    pub fn has_failed(&self, peer: SocketAddr) -> bool {
        self.failed_peers.contains_key(&peer)
    }

    /// Whether the store responds to this VM; `proof` is when the last call
    /// that it responded to was sent.
    #[must_use]
    pub fn is_fresh(&self, now: LocalTime, proof: LocalTime) -> bool {
        !self.unavailable && now.since(proof) < STORE_TIMEOUT
    }

    /// Whether other VMs may rely on this VM's updates.
    ///
    /// A lease that is renewed in time proves nothing about the watch, which
    /// has a connection of its own. So the last update must be recent as well.
    #[must_use]
    pub fn may_be_followed(&self, now: LocalTime, proof: LocalTime) -> bool {
        self.follows_store
            && self.is_fresh(now, proof)
            && self.age(now) < STORE_TIMEOUT
    }

    /// Whether to query another VM now, because the store or the VMs that this
    /// one follows do not respond in time.
    pub fn query_due(&mut self, now: LocalTime, proof: LocalTime) -> bool {
        let interval_elapsed = now.since(self.last_query_at) >= QUERY_INTERVAL;
        // The lease of a VM that no other VM follows is renewed too rarely to
        // show whether the store responds.
        let unresponsive = if self.follows_store {
            !self.is_fresh(now, proof)
        } else {
            let known = self.clock.current_at() > LocalTime::default();
            known && self.age(now) >= MAX_UPDATE_AGE
        };
        let due = unresponsive && interval_elapsed;
        if due {
            self.last_query_at = now;
        }
        due
    }

    /// Whether entries may be missing although their owners are alive, because
    /// the store is unavailable or has just recovered.
    #[must_use]
    pub fn may_miss_entries(&self, now: LocalTime) -> bool {
        let had_outage = self.recovered_at > LocalTime::default();
        self.unavailable
            || (had_outage && now.since(self.recovered_at) < RECOVERY_GRACE)
    }
}
