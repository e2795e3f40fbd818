//! Grants that may still reach a server without fences, late or twice.

use goldcrestramp_types::{LocalTime, SliceSet};

use super::{KeptServer, SentOrder};
use crate::{message::ServerOrder, safeguard::Safeguard, timing::TermTiming};

impl SentOrder {
    /// Whether it may make a server hold more than `set`.
    fn gives_beyond(&self, set: &SliceSet) -> bool {
        self.slices.as_ref().is_some_and(|slices| {
            let mut more = slices.clone();
            more.subtract(set);
            !more.is_empty()
        })
    }
}

impl KeptServer {
    /// Remembers an answered grant for as long as a copy of it is valid.
    ///
    /// The network may deliver a message twice. At a server without fences
    /// a second copy undoes every later order: it would own again what it
    /// has released, beside the next owner. A copy is refused from the
    /// grant's deadline on; until then its slices count as held. One that
    /// holds no more than this one, and ends no later, adds nothing.
    pub(super) fn remember_grant(
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
        self.strays.retain(|stray| {
            stray.gives_beyond(slices) || stray.void_at > order.void_at
        });
        self.strays.push(order);
    }

    /// Whether a grant under way may make the server hold more than `set`.
    ///
    /// At a server without fences such a grant may come late and undo what
    /// came after it. An extension would then prolong what that grant gave
    /// past the time at which it counts as ended, and its slices would have
    /// two owners. So the set is named in each order until then. Extensions
    /// sent before may prolong it as well; it counts until they have ended.
    pub(super) fn doubts(
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
        let mut doubtful = false;
        let live = self.strays.iter_mut().filter(|s| now < s.void_at);
        for stray in live.filter(|stray| stray.gives_beyond(set)) {
            stray.void_at = stray.void_at.max(extended_until);
            doubtful = true;
        }
        doubtful
    }

    /// Whether a release is better put off until copies of grants are void.
    ///
    /// Released at once, its slices could go to nobody until then: a second
    /// move within a lease left them unserved for 900 ms, in place of 110.
    /// So the server serves on; the steward repeats the order.
    pub(super) fn waits_for_copies(
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
        let mut copies = self.strays.iter().filter(|c| now < c.void_at);
        let held_on = copies.any(|copy| copy.gives_beyond(&order.slices));
        let newer = order.token != self.order.token;
        let granting =
            self.under_way.as_ref().is_some_and(|o| o.slices.is_some());
        let quiet = self.reachable && !granting;
        newer && quiet && held_on && self.is_applied(now, reading, timing)
    }
}
