//! From where a VM takes its news of the store, and how far to trust it.

use std::net::SocketAddr;

use goldcrestramp_types::{LocalTime, TimeSpan};

/// Silence of the store that counts as an outage: longer than a lost
/// answer and its second try.
const OUTAGE: TimeSpan = TimeSpan::from_millis(600);

/// Entries that ended while the store was away are back about two seconds
/// after its return, so their absence says nothing until then.
const RETURN_GRACE: TimeSpan = TimeSpan::from_millis(2_300);

/// A VM whose source failed follows the store itself for so long.
const PEER_PAUSE: TimeSpan = TimeSpan::from_millis(5_000);

/// The store is taken for silent when the last call that it answered was
/// sent so long ago: two renewals of the lease.
///
/// The failure: the store answers nothing to one VM and serves the others.
/// That VM's watch waits on, and a change of the configuration is not in
/// force on it, nor on the VMs that follow it. With the wait of a peer's
/// call this leaves half of the time in which it has to be.
const SILENCE: TimeSpan = TimeSpan::from_millis(1_050);

/// How often a VM that the store is silent to asks another one.
const ASK_PAUSE: TimeSpan = TimeSpan::from_millis(400);

/// From where changes are followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewsSource {
    /// Everything is read from the store.
    StoreWhole,
    /// The store's changes after a revision.
    StoreChanges(u64),
    /// Another VM's, after a revision.
    Peer(SocketAddr, u64),
}

/// What a VM knows of its way to the store.
#[derive(Clone, Debug, Default)]
pub struct NewsState {
    /// When the store last answered; the start of the clock: never.
    seen: LocalTime,
    /// When it came back after an outage.
    back: LocalTime,
    /// Whether a call failed since it last answered.
    silent: bool,
    /// Whether this VM follows the store itself.
    direct: bool,
    /// Whether the store has to be read whole.
    whole: bool,
    /// When the VM that was followed failed.
    peer_left: LocalTime,
    asked: LocalTime,
}

impl NewsState {
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

    /// Notes that a call to the store failed.
    pub fn failed(&mut self) {
        if !self.silent {
            log::info!("[store] The store gives no answer.");
        }
        self.silent = true;
    }

    /// Notes that changes after the known revision can't be had any more.
    pub const fn history_lost(&mut self) {
        self.whole = true;
    }

    /// Notes that everything was read.
    pub const fn was_read(&mut self) {
        self.whole = false;
    }

    /// Notes that the VM that was followed failed.
    pub const fn peer_failed(&mut self, now: LocalTime) {
        self.peer_left = now;
    }

    /// From where changes after `revision` are followed next: `peer` is
    /// the VM that follows the store for this one, if there is one.
    pub fn next(
        &mut self,
        now: LocalTime,
        revision: u64,
        peer: Option<SocketAddr>,
    ) -> NewsSource {
        let rested = self.peer_left == LocalTime::default()
            || now.since(self.peer_left) >= PEER_PAUSE;
        let usable = revision > 0 && !self.silent && !self.whole && rested;
        let peer = peer.filter(|_| usable);
        self.direct = peer.is_none();
        match peer {
            Some(address) => NewsSource::Peer(address, revision),
            None if revision == 0 || self.whole => NewsSource::StoreWhole,
            None => NewsSource::StoreChanges(revision),
        }
    }

    /// Whether the store answers this VM; `proof` is when the last call
    /// was sent that it answered.
    #[must_use]
    pub fn is_fresh(&self, now: LocalTime, proof: LocalTime) -> bool {
        !self.silent && now.since(proof) < SILENCE
    }

    /// Whether other VMs may rely on this one's news.
    #[must_use]
    pub fn may_be_followed(&self, now: LocalTime, proof: LocalTime) -> bool {
        self.direct && self.is_fresh(now, proof)
    }

    /// Whether to ask another VM now, as the store is silent to this one.
    pub fn ask_due(&mut self, now: LocalTime, proof: LocalTime) -> bool {
        let pause = now.since(self.asked) >= ASK_PAUSE;
        let due = !self.is_fresh(now, proof) && pause;
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
