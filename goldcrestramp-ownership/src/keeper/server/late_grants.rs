//! Grants that a server without fences may still receive late or twice.

use goldcrestramp_types::{LocalTime, SliceSet};

use super::{KeptServer, SentOrder};
use crate::{message::ServerOrder, safeguard::Safeguard, timing::TermTiming};

impl SentOrder {
    /// Whether this order may make the server hold slices beyond `set`.
    fn exceeds(&self, set: &SliceSet) -> bool {
        self.slices.as_ref().is_some_and(|slices| {
            let mut more = slices.clone();
            more.subtract(set);
            !more.is_empty()
        })
    }
}

impl KeptServer {
    /// Records an acknowledged grant for as long as a duplicate is valid.
    ///
    /// The network may deliver a message twice. At a server without fences a
    /// duplicate undoes every later order: the server would own again what
    /// it has released, and the slices would have two owners. The server
    /// refuses a duplicate from the grant's deadline on; until then the
    /// grant's slices count as held. An earlier order that holds no more
    /// than this one and expires no later is dropped, since it adds nothing.
    pub(super) fn record_grant(
        &mut self,
        order: SentOrder,
        timing: &TermTiming,
    ) {
        let fenced = self.order.checks_fence;
        if fenced || !timing.safeguards.has(Safeguard::GrantCopy) {
            return;
        }
        let granted = order.slices.as_ref().filter(|set| !set.is_empty());
        let Some(slices) = granted else {
            return;
        };
        self.outstanding.retain(|pending| {
            pending.exceeds(slices) || pending.expires_at > order.expires_at
        });
        self.outstanding.push(order);
    }

    /// Whether an outstanding grant may make the server hold slices beyond
    /// `set`.
    ///
    /// At a server without fences such a grant may arrive late and undo later
    /// orders. An extension would then prolong that grant past the time at
    /// which it counts as expired, and its slices would have two owners. So
    /// each order names the set until the grant has expired. Extensions that
    /// were sent before may prolong it as well, so this moves the expiry of
    /// the grant to the end of these extensions.
    pub(super) fn may_hold_beyond(
        &mut self,
        now: LocalTime,
        set: &SliceSet,
        timing: &TermTiming,
    ) -> bool {
        let fenced = self.order.checks_fence;
        if fenced || !timing.safeguards.has(Safeguard::NamedSet) {
            return false;
        }
        let extended_until = self.extended_until;
        let mut exceeds = false;
        let live = self.outstanding.iter_mut().filter(|s| now < s.expires_at);
        for pending in live.filter(|pending| pending.exceeds(set)) {
            pending.expires_at = pending.expires_at.max(extended_until);
            exceeds = true;
        }
        exceeds
    }

    /// Whether to defer a release until duplicates of grants have expired.
    ///
    /// If the slices were released at once, nobody could own them until then:
    /// a second move within a lease left them unserved for 900 ms instead of
    /// 110 ms. So the server keeps serving them, and the steward repeats the
    /// order.
    pub(super) fn defers_release(
        &self,
        now: LocalTime,
        order: &ServerOrder,
        timing: &TermTiming,
    ) -> bool {
        let releases = !order.extend_only && !order.retire && !order.ask_only;
        let serving = !self.order.retire && !self.order.ask_only;
        let Some(reading) = self.reading.filter(|_| releases && serving)
        else {
            return false;
        };
        let mut duplicates =
            self.outstanding.iter().filter(|sent| now < sent.expires_at);
        let held_on =
            duplicates.any(|duplicate| duplicate.exceeds(&order.slices));
        let newer = order.token != self.order.token;
        let granting =
            self.in_flight.as_ref().is_some_and(|o| o.slices.is_some());
        let quiet = self.reachable && !granting;
        newer && quiet && held_on && self.is_applied(now, reading, timing)
    }
}
