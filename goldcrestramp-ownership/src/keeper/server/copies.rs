//! Copies of answered grants at servers that check no fences.

use goldcrestramp_types::LocalTime;

use super::{KeptServer, SentOrder};
use crate::{message::ServerOrder, safeguard::Safeguard, timing::TermTiming};

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
            let mut more = stray.slices.clone().unwrap_or_default();
            more.subtract(slices);
            !more.is_empty() || stray.void_at > order.void_at
        });
        self.strays.push(order);
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
        let copies = self.strays.iter().filter(|copy| now < copy.void_at);
        let held_on =
            copies.filter_map(|copy| copy.slices.as_ref()).any(|s| {
                let mut more = s.clone();
                more.subtract(&order.slices);
                !more.is_empty()
            });
        let newer = order.token != self.order.token;
        let granting =
            self.under_way.as_ref().is_some_and(|o| o.slices.is_some());
        let quiet = self.reachable && !granting;
        newer && quiet && held_on && self.is_applied(now, reading, timing)
    }
}
