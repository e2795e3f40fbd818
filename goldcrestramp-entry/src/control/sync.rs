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
const OUTAGE: TimeSpan = TimeSpan::from_millis(600);

/// Entries that ended while the store was away are back about two seconds
/// after its return, so their absence says nothing until then.
const RETURN_GRACE: TimeSpan = TimeSpan::from_millis(2_300);

/// News that are older than this have waited out an outage, in which the
/// store acknowledged nothing to anybody.
const MAX_LAG: TimeSpan = TimeSpan::from_millis(1_500);

/// A VM that could not be followed is not asked again for so long.
const PEER_PAUSE: TimeSpan = TimeSpan::from_millis(5_000);

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
const SILENCE: TimeSpan = TimeSpan::from_millis(1_050);

/// A VM with news that are older than this asks another one than it
/// follows. News of a source that answers in time are younger: its own age,
/// and the time that it holds a call.
const NEWS_OLD: TimeSpan = TimeSpan::from_millis(1_500);

/// How often a VM that the store is silent to asks another one.
const ASK_PAUSE: TimeSpan = TimeSpan::from_millis(400);

/// From where changes are followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateSource {
    /// The VMs alone are read from the store.
    StoreVms,
    /// Everything is read from the store.
    StoreWhole,
    /// The store's changes after a revision.
    StoreChanges(u64),
    /// Another VM's, after a revision.
    Peer(SocketAddr, u64),
}

/// What has been read of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ReadingState {
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
    seen: LocalTime,
    /// When it came back after an outage.
    back: LocalTime,
    clock: FreshnessClock,
    /// Whether a call failed since it last answered.
    silent: bool,
    /// Whether this VM follows the store itself.
    direct: bool,
    /// What has been read of the store.
    reading: ReadingState,
    /// VMs that could not be followed, with when that was.
    failed_peers: FastMap<SocketAddr, LocalTime>,
    /// The VM that is followed, with since when its news are not fresh.
    stale_peer: Option<(SocketAddr, LocalTime)>,
    asked: LocalTime,
}

impl SyncState {
    /// The state of a VM that knows nothing; it sets the clock forward.
    #[must_use]
    pub fn open(clock: FreshnessClock) -> Self {
        Self { clock, ..Self::default() }
    }

    /// Notes that the store has answered, here or at the source.
    pub fn answered(&mut self, now: LocalTime) {
        let away = now.since(self.seen);
        let known = self.seen > LocalTime::default();
        // A watch without changes is silent for up to its own wait, so
        // only a call that failed makes silence an outage.
        if known && self.silent && away > OUTAGE {
            log::info!(
                "[store] The store answers again after {} ms.",
                away.as_millis()
            );
            self.back = now;
        }
        self.seen = now;
        self.silent = false;
    }

    /// Notes that all changes up to a moment are known.
    pub fn was_current(&mut self, at: LocalTime) {
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
        if self.is_unsure(now) {
            return now;
        }
        self.clock.current_at().max(now - MAX_LAG)
    }

    /// Notes that a call to the store failed.
    pub fn failed(&mut self) {
        if !self.silent {
            log::info!("[store] The store gives no answer.");
        }
        self.silent = true;
    }

    /// Notes that changes after the known revision can't be had any more.
    pub const fn history_lost(&mut self) {
        self.reading = ReadingState::HistoryLost;
    }

    /// Notes that the other VMs, or everything, was read.
    pub const fn was_read(&mut self) {
        self.reading = ReadingState::VmsKnown;
    }

    /// Notes that a VM gave no answer.
    pub fn peer_failed(&mut self, now: LocalTime, peer: SocketAddr) {
        self.failed_peers.insert(peer, now);
        self.stale_peer = None;
    }

    /// Notes that a VM's news are fresh, or that it does not know.
    pub fn peer_answered(
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
            self.peer_failed(now, peer);
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
        if revision == 0 && self.reading == ReadingState::Unread {
            self.direct = true;
            return UpdateSource::StoreVms;
        }
        self.failed_peers.retain(|_peer, at| now.since(*at) < PEER_PAUSE);
        let lost = self.reading == ReadingState::HistoryLost;
        let usable = !self.silent && !lost;
        let failed = &self.failed_peers;
        let peer = peers.find(|peer| !failed.contains_key(peer));
        let peer = peer.filter(|_peer| usable);
        self.direct = peer.is_none();
        match peer {
            Some(address) => UpdateSource::Peer(address, revision),
            None if revision == 0 || lost => UpdateSource::StoreWhole,
            None => UpdateSource::StoreChanges(revision),
        }
    }

    /// Whether the store answers this VM; `proof` is when the last call
    /// was sent that it answered.
    #[must_use]
    pub fn is_fresh(&self, now: LocalTime, proof: LocalTime) -> bool {
        !self.silent && now.since(proof) < SILENCE
    }

    /// Whether other VMs may rely on this one's news.
    ///
    /// A lease that is renewed in time says nothing of the watch, which has a
    /// connection of its own: the news themselves must be young as well.
    #[must_use]
    pub fn may_be_followed(&self, now: LocalTime, proof: LocalTime) -> bool {
        self.direct && self.is_fresh(now, proof) && self.age(now) < SILENCE
    }

    /// Whether to ask another VM now: the store is silent to this one, or
    /// the VMs that it follows are.
    pub fn ask_due(&mut self, now: LocalTime, proof: LocalTime) -> bool {
        let pause = now.since(self.asked) >= ASK_PAUSE;
        // The lease of a VM that nobody follows is renewed too seldom to
        // tell.
        let silent = if self.direct {
            !self.is_fresh(now, proof)
        } else {
            let known = self.clock.current_at() > LocalTime::default();
            known && self.age(now) >= NEWS_OLD
        };
        let due = silent && pause;
        if due {
            self.asked = now;
        }
        due
    }

    /// Whether a missing entry says nothing yet: the store is away, or has
    /// just come back.
    #[must_use]
    pub fn is_unsure(&self, now: LocalTime) -> bool {
        let back = self.back > LocalTime::default();
        self.silent || (back && now.since(self.back) < RETURN_GRACE)
    }
}
