//! Bounds the requests that a fleet sends to a cold server.
//!
//! A server that has just started, or whose failure domain was taken back,
//! runs a few requests a second and crashes if it gets many more. The VMs of a
//! fleet can't see each other's requests, and an equal share would be less
//! than one request a second for each of them: either none is sent, or all VMs
//! send at once. So a few VMs are chosen for each cold server, in an order on
//! which all VMs agree, and the others send it nothing. This needs no
//! messages, so it also holds for VMs that are cut off from each other.

use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::rate::FleetPosition;

/// A VM that has run for less than this sends nothing to cold servers. After
/// the loss of all VMs the new ones know few others at first, and each would
/// take itself for a chosen one.
const MIN_UPTIME: TimeSpan = TimeSpan::from_millis(3_000);

/// When a VM may send to a cold server again.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{ColdAllowance, FleetPosition};
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let started = LocalTime::from_micros(0);
/// let now = started + TimeSpan::from_millis(10_000);
/// let chosen = FleetPosition { vms: 80, rank: 0 };
/// let mut allowance = ColdAllowance::default();
/// assert!(allowance.may_send(now, started, chosen, 3.0));
/// allowance.record_send(now, chosen, 3.0);
/// assert!(!allowance.may_send(now, started, chosen, 3.0));
///
/// let other = FleetPosition { vms: 80, rank: 40 };
/// let allowance = ColdAllowance::default();
/// assert!(!allowance.may_send(now, started, other, 3.0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdAllowance {
    next_at: LocalTime,
}

impl ColdAllowance {
    /// Whether a VM that was started at `started` may send a request to a
    /// server that accepts `per_s` requests per second while it is cold.
    #[must_use]
    pub fn may_send(
        &self,
        now: LocalTime,
        started: LocalTime,
        position: FleetPosition,
        per_s: f64,
    ) -> bool {
        now.since(started) >= MIN_UPTIME
            && position.rank < senders(position, per_s)
            && now >= self.next_at
    }

    /// Records a request that was sent.
    pub fn record_send(
        &mut self,
        now: LocalTime,
        position: FleetPosition,
        per_s: f64,
    ) {
        #[expect(clippy::cast_precision_loss, reason = "a fleet's VMs")]
        let senders = senders(position, per_s) as f64;
        let interval_s = senders / per_s.max(f64::MIN_POSITIVE);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast saturates, and no interval is negative"
        )]
        let micros = (interval_s * 1e6) as u64;
        self.next_at = now + TimeSpan::from_micros(micros.min(u64::MAX / 2));
    }
}

/// The number of VMs that send to a server: as many as it accepts requests in
/// a second, so that each of them sends one in a second or more.
fn senders(position: FleetPosition, per_s: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast saturates, and no rate is negative"
    )]
    let senders = per_s.ceil() as usize;
    senders.min(position.vms)
}
