//! From where a VM takes its news of the store, and how far to trust it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

/// Silence of the store that counts as an outage: longer than a lost
/// answer and its second try.
const MIN_OUTAGE: TimeSpan = TimeSpan::from_millis(600);

/// Entries that ended while the store was away are back about two seconds
/// after its return, so their absence says nothing until then.
const RECOVERY_GRACE: TimeSpan = TimeSpan::from_millis(2_300);

/// News that are older than this have waited out an outage, in which the
/// store acknowledged nothing to anybody.
const MAX_LAG: TimeSpan = TimeSpan::from_millis(1_500);

/// A VM that could not be followed is not asked again for so long.
const PEER_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(5_000);

/// A VM whose news are not fresh is followed for so long all the same: it
/// may have lost its own source a moment ago and be about to replace it.
/// Two of its answers come in this time.
const MAX_STALE_TIME: TimeSpan = TimeSpan::from_millis(700);

/// The store is taken for silent when the last call that it answered was
/// sent so long ago: two renewals of the lease.
///
/// The failure: the store answers nothing to one VM and serves the others.
/// That VM's watch waits on, and a change of the configuration is not in
/// force on it, nor on the VMs that follow it.
const STORE_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_050);

/// A VM with news that are older than this asks another one than it
/// follows. News of a source that answers in time are younger: its own age,
/// and the time that it holds a call.
const MAX_UPDATE_AGE: TimeSpan = TimeSpan::from_millis(1_500);

/// How often a VM that the store is silent to asks another one.
const QUERY_INTERVAL: TimeSpan = TimeSpan::from_millis(400);

/// From where changes are followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateSource {
    /// The VMs alone are read from the store.
    StoreVms,
    /// Everything is read from the store.
    FullStore,
    /// The store's changes after a revision.
    StoreChanges(u64),
    /// Another VM's, after a revision.
    Peer(SocketAddr, u64),
}

/// What has been read of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ReadState {
    /// Nothing.
    #[default]
    Unread,
    /// Who the other VMs are, or everything.
    VmsKnown,
    /// Changes since are no longer to be had.
    HistoryLost,
}

/// The moment up to which the store's changes are known; shared with the
/// traffic thread. It only moves forward.
#[derive(Clone, Debug, Default)]
pub struct FreshnessClock(Arc<AtomicU64>);

impl FreshnessClock {
    /// The moment.
    #[must_use]
    pub fn current_at(&self) -> LocalTime {
        LocalTime::from_micros(self.0.load(Ordering::Relaxed))
    }

    /// How long ago the store was as it is known; the longest time there is
    /// if it never was.
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

/// The moment up to which another VM's answer tells the store's changes.
///
/// It had held the call for `held` when it knew the store as it was `age`
/// before. How long the answer was on the way is not known, and on a full
/// link it is long, so the moment is counted from when the call was sent.
#[must_use]
pub fn update_as_of(
    sent_at: LocalTime,
    held: TimeSpan,
    age: TimeSpan,
) -> LocalTime {
    sent_at + held - age
}

/// What a VM knows of its way to the store.
#[derive(Debug, Default)]
pub struct SyncState {
    /// When the store last answered; the start of the clock: never.
    last_response_at: LocalTime,
    /// When it came back after an outage.
    recovered_at: LocalTime,
    clock: FreshnessClock,
    /// Whether a call failed since it last answered.
    unavailable: bool,
    /// Whether this VM follows the store itself.
    follows_store: bool,
    /// What has been read of the store.
    read_state: ReadState,
    /// VMs that could not be followed, with when that was.
    failed_peers: FastMap<SocketAddr, LocalTime>,
    /// The VM that is followed, with since when its news are not fresh.
    stale_peer: Option<(SocketAddr, LocalTime)>,
    last_query_at: LocalTime,
}

impl SyncState {
    /// The state of a VM that knows nothing; it sets the clock forward.
    #[must_use]
    pub fn open(clock: FreshnessClock) -> Self {
        Self { clock, ..Self::default() }
    }

    /// Notes that the store has answered, here or at the source.
    pub fn record_response(&mut self, now: LocalTime) {
        let silence = now.since(self.last_response_at);
        let known = self.last_response_at > LocalTime::default();
        // A watch without changes is silent for up to its own wait, so
        // only a call that failed makes silence an outage.
        if known && self.unavailable && silence > MIN_OUTAGE {
            log::info!(
                "[store] The store answers again after {} ms.",
                silence.as_millis()
            );
            self.recovered_at = now;
        }
        self.last_response_at = now;
        self.unavailable = false;
    }

    /// Notes that all changes up to a moment are known.
    pub fn record_current_at(&mut self, at: LocalTime) {
        self.clock.advance(at);
    }

    /// How long ago the store was as this VM knows it.
    #[must_use]
    pub fn age(&self, now: LocalTime) -> TimeSpan {
        self.clock.age(now)
    }

    /// The earliest moment at which the store may have taken a change that
    /// is learnt now.
    ///
    /// A leaving server gets no new request some time after the store has
    /// taken its word. Counted from when a VM learns of it, that is too late
    /// if the VM that it follows has fallen silent meanwhile. After an outage
    /// entries are missing that nobody took back, so they count from now.
    #[must_use]
    pub fn changed_since(&self, now: LocalTime) -> LocalTime {
        if self.may_miss_entries(now) {
            return now;
        }
        self.clock.current_at().max(now - MAX_LAG)
    }

    /// Notes that a call to the store failed.
    pub fn record_failure(&mut self) {
        if !self.unavailable {
            log::info!("[store] The store gives no answer.");
        }
        self.unavailable = true;
    }

    /// Notes that changes after the known revision can't be had any more.
    pub const fn record_history_loss(&mut self) {
        self.read_state = ReadState::HistoryLost;
    }

    /// Notes that the other VMs, or everything, was read.
    pub const fn record_read(&mut self) {
        self.read_state = ReadState::VmsKnown;
    }

    /// Notes that a VM gave no answer.
    pub fn record_peer_failure(&mut self, now: LocalTime, peer: SocketAddr) {
        self.failed_peers.insert(peer, now);
        self.stale_peer = None;
    }

    /// Notes that a VM's news are fresh, or that it does not know.
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
        if now.since(since) >= MAX_STALE_TIME {
            self.record_peer_failure(now, peer);
        }
    }

    /// From where changes after `revision` are followed next: `peers` are
    /// the VMs that may follow the store for this one, best first. One that
    /// could not be followed is replaced by the next.
    ///
    /// If all that follow a VM followed the store while it restarts, each
    /// with all servers' heartbeats, they would fill the link between regions
    /// and more VMs would lose the one that they follow.
    ///
    /// A VM that starts reads who the others are, and has the rest from
    /// one of them. If a whole fleet starts at once and each VM reads the
    /// store whole, they fill the link between the regions: no reading ends
    /// in its time, all begin again, and no server is reached.
    pub fn next(
        &mut self,
        now: LocalTime,
        revision: u64,
        mut peers: impl Iterator<Item = SocketAddr>,
    ) -> UpdateSource {
        if revision == 0 && self.read_state == ReadState::Unread {
            self.follows_store = true;
            return UpdateSource::StoreVms;
        }
        self.failed_peers
            .retain(|_peer, at| now.since(*at) < PEER_RETRY_DELAY);
        let lost = self.read_state == ReadState::HistoryLost;
        let usable = !self.unavailable && !lost;
        let failed = &self.failed_peers;
        let peer = peers.find(|peer| !failed.contains_key(peer));
        let peer = peer.filter(|_peer| usable);
        self.follows_store = peer.is_none();
        match peer {
            Some(address) => UpdateSource::Peer(address, revision),
            None if revision == 0 || lost => UpdateSource::FullStore,
            None => UpdateSource::StoreChanges(revision),
        }
    }

    /// Whether the store answers this VM; `proof` is when the last call
    /// was sent that it answered.
    #[must_use]
    pub fn is_fresh(&self, now: LocalTime, proof: LocalTime) -> bool {
        !self.unavailable && now.since(proof) < STORE_TIMEOUT
    }

    /// Whether other VMs may rely on this one's news.
    ///
    /// A lease that is renewed in time says nothing of the watch, which has a
    /// connection of its own: the news themselves must be young as well.
    #[must_use]
    pub fn may_be_followed(&self, now: LocalTime, proof: LocalTime) -> bool {
        self.follows_store
            && self.is_fresh(now, proof)
            && self.age(now) < STORE_TIMEOUT
    }

    /// Whether to ask another VM now: the store is silent to this one, or
    /// the VMs that it follows are.
    pub fn query_due(&mut self, now: LocalTime, proof: LocalTime) -> bool {
        let pause = now.since(self.last_query_at) >= QUERY_INTERVAL;
        // The lease of a VM that nobody follows is renewed too seldom to
        // tell.
        let silent = if self.follows_store {
            !self.is_fresh(now, proof)
        } else {
            let known = self.clock.current_at() > LocalTime::default();
            known && self.age(now) >= MAX_UPDATE_AGE
        };
        let due = silent && pause;
        if due {
            self.last_query_at = now;
        }
        due
    }

    /// Whether a missing entry says nothing yet: the store is away, or has
    /// just come back.
    #[must_use]
    pub fn may_miss_entries(&self, now: LocalTime) -> bool {
        let recovered_at = self.recovered_at > LocalTime::default();
        self.unavailable
            || (recovered_at && now.since(self.recovered_at) < RECOVERY_GRACE)
    }
}
