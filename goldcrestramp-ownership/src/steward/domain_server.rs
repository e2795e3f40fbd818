//! The steward's state of a server.

use std::sync::Arc;

use goldcrestramp_types::{FenceToken, LocalTime, SliceSet, TimeSpan, VmName};

use super::event::DueSlices;
use crate::{
    message::{ServerOrder, ServerReport, ServerState},
    plan::ServerPlan,
    safeguard::Safeguard,
    timing::TermTiming,
};

/// How long a server may take to respond for the first time in a term.
///
/// When a whole domain starts, its servers may start seconds after its VMs.
/// If they counted as lost at once, all slices of the domain would move to
/// whichever domain started first, and stay there.
const START_TIMEOUT: TimeSpan = TimeSpan::from_millis(10_000);

/// The current order for a server.
#[derive(Clone, Debug)]
pub(super) struct CurrentOrder {
    pub(super) token: FenceToken,
    /// The slices that it is to hold; `None` extends whatever it holds.
    pub(super) slices: Option<SliceSet>,
    pub(super) release: SliceSet,
}

/// The last report of the server's keeper.
#[derive(Clone, Debug)]
struct KnownState {
    order: FenceToken,
    version: u64,
    state: ServerState,
}

/// A server of the domain, within one steward's term.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, any of which may hold with any other"
)]
#[derive(Clone, Debug)]
pub(super) struct DomainServer {
    pub(super) plan: ServerPlan,
    /// Whether the configuration still contains it.
    pub(super) listed: bool,
    pub(super) keeper: Option<VmName>,
    /// Whether the keeper may only query it, until the permit of a previous
    /// keeper ends.
    pub(super) probing: bool,
    /// The keeper that routing tables name: the last one that was allowed
    /// to send.
    pub(super) serving: Option<VmName>,
    /// Whether its keeper has to stop, so that another can take over.
    pub(super) retiring: bool,
    /// Until when a grant by a previous keeper may be valid.
    previous_grant_until: LocalTime,
    /// Until when a previous keeper may still act.
    previous_permit_until: LocalTime,
    pub(super) order: CurrentOrder,
    /// Every slice that it may hold: an upper bound.
    pub(super) bound: SliceSet,
    /// The slices that it is to hold eventually.
    pub(super) target: SliceSet,
    known: Option<KnownState>,
    reachable: bool,
    silent_since: Option<LocalTime>,
    /// When its grant was first known to have lapsed.
    lapsed_at: Option<LocalTime>,
    /// Whether `bound` is reliable, because the server was queried after
    /// the previous steward's time.
    pub(super) reconciled: bool,
    /// Whether it has had a keeper in this term.
    pub(super) had_keeper: bool,
    /// Whether its keeper has changed under the current token.
    fence_due: bool,
    /// Whether it has timed out, so that its slices move to other servers.
    pub(super) lost: bool,
    /// Whether it has responded to any keeper in this term.
    responded: bool,
    /// Whether it is lost and not merely slow to start, so that its domain
    /// may give up on it.
    given_up: bool,
}

impl DomainServer {
    pub(super) fn new(
        plan: ServerPlan,
        token: FenceToken,
        previous_grant_until: LocalTime,
    ) -> Self {
        let order =
            CurrentOrder { token, slices: None, release: SliceSet::new() };
        Self {
            plan,
            listed: true,
            keeper: None,
            probing: false,
            serving: None,
            retiring: false,
            previous_grant_until,
            previous_permit_until: previous_grant_until,
            order,
            bound: SliceSet::new(),
            target: SliceSet::new(),
            known: None,
            reachable: false,
            silent_since: None,
            lapsed_at: None,
            reconciled: false,
            had_keeper: false,
            fence_due: false,
            lost: false,
            responded: false,
            given_up: false,
        }
    }

    /// The token of the grant that the server last reported.
    pub(super) fn shown_token(&self) -> FenceToken {
        self.known.as_ref().map(|k| k.state.token).unwrap_or_default()
    }

    /// The slices that it held last, if its state is known.
    pub(super) fn last(&self) -> Option<&SliceSet> {
        self.known.as_ref().map(|known| &known.state.last)
    }

    /// Whether its state has been reported since its keeper was assigned.
    pub(super) const fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// Whether it may be assigned slices.
    pub(super) const fn is_eligible(&self) -> bool {
        let usable = self.reconciled && self.reachable && !self.lost;
        let kept = self.keeper.is_some() && !self.probing;
        usable && kept && !self.is_leaving()
    }

    /// Whether it is lost, and not merely slow to start.
    pub(super) const fn is_given_up(&self) -> bool {
        self.given_up
    }

    /// Whether the configuration requires its slices to move elsewhere.
    pub(super) const fn is_leaving(&self) -> bool {
        !self.listed || self.plan.draining
    }

    /// Ends the takeover: queries the server again, under a token that it
    /// has not seen.
    ///
    /// A server that was only queried so far and whose grant has lapsed
    /// needs no second query. It cannot have been granted anything since,
    /// because every previous permit has ended.
    pub(super) fn end_takeover(&mut self, now: LocalTime, token: FenceToken) {
        self.update_lapse(now, true);
        if self.probing && self.lapsed_at.is_some() {
            return;
        }
        self.order =
            CurrentOrder { token, slices: None, release: SliceSet::new() };
        self.reconciled = false;
        self.lapsed_at = None;
    }

    /// Whether the next order has to raise the server's fence, because its
    /// keeper has changed.
    pub(super) const fn is_fence_due(&self) -> bool {
        self.fence_due
    }

    /// Reissues the same order under a higher token.
    ///
    /// The new keeper's first message then raises the fence, and the server
    /// starts nothing more that the previous keeper sent.
    pub(super) fn raise_fence(&mut self, token: FenceToken) {
        self.order.token = token;
        self.fence_due = false;
        self.lapsed_at = None;
    }

    /// Issues a new order. The slices that it grants count as held from now
    /// on.
    pub(super) fn set_order(&mut self, token: FenceToken, slices: SliceSet) {
        let mut release = self.bound.clone();
        release.subtract(&slices);
        self.bound.union_with(&slices);
        self.order = CurrentOrder { token, slices: Some(slices), release };
        self.lapsed_at = None;
    }

    /// Whether a VM that reports that it keeps the server may continue.
    ///
    /// The VM that kept it under the previous steward may. After the server
    /// has had a keeper in this term, a VM may only if it could also be
    /// assigned as the keeper.
    pub(super) fn is_claimable(
        &self,
        now: LocalTime,
        majority_at: LocalTime,
    ) -> bool {
        let kept = self.keeper.is_some() && !self.probing;
        !kept && (!self.had_keeper || self.may_change_keeper(now, majority_at))
    }

    /// Whether no previous keeper can still act on it unnoticed.
    ///
    /// A server that checks fences refuses the previous keeper. On a server
    /// without fences, two keepers could undo each other's orders, so the
    /// previous permit must have ended and a majority must have confirmed
    /// after that. Otherwise a newer steward may have extended that permit.
    pub(super) fn may_change_keeper(
        &self,
        now: LocalTime,
        majority_at: LocalTime,
    ) -> bool {
        let confirmed =
            majority_at > self.previous_permit_until || !self.had_keeper;
        self.plan.checks_fence
            || (now >= self.previous_permit_until && confirmed)
    }

    /// Assigns its keeper.
    pub(super) fn set_keeper(&mut self, keeper: VmName) {
        if self.keeper.as_ref() != Some(&keeper) {
            self.known = None;
            self.lapsed_at = None;
        }
        let other = |serving: &VmName| *serving != keeper;
        self.fence_due |= self.serving.as_ref().is_some_and(other);
        self.serving = Some(keeper.clone());
        self.keeper = Some(keeper);
        self.probing = false;
        self.had_keeper = true;
    }

    /// Assigns a VM that will be its keeper and may only query it until
    /// then.
    ///
    /// It is then already known whether the server is alive when the wait
    /// ends.
    pub(super) fn probe(&mut self, keeper: VmName) {
        self.keeper = Some(keeper);
        self.probing = true;
    }

    /// Removes its keeper, whose permit ends at `until`.
    pub(super) fn lose_keeper(&mut self, until: LocalTime) {
        self.previous_permit_until = self.previous_permit_until.max(until);
        self.clear_keeper(until);
    }

    /// Removes a keeper that has released it. That keeper's grants may be
    /// valid until `until`.
    pub(super) fn clear_keeper(&mut self, until: LocalTime) {
        self.keeper = None;
        self.probing = false;
        self.retiring = false;
        self.previous_grant_until = self.previous_grant_until.max(until);
        self.known = None;
        self.lapsed_at = None;
    }

    /// Discards its known state, because its keeper does not know it, or no
    /// longer does.
    pub(super) fn discard_known(&mut self) {
        self.known = None;
        self.lapsed_at = None;
    }

    /// Applies the report of its keeper. Returns whether the slices that it
    /// may hold changed.
    pub(super) fn apply_report(
        &mut self,
        now: LocalTime,
        report: ServerReport,
        moving: bool,
        timing: &TermTiming,
    ) -> bool {
        self.update_reachability(now, report.reachable, timing);
        let mut fresh = report.state.is_some();
        if let Some(state) = report.state {
            let (order, version) = (report.order, report.version);
            self.known = Some(KnownState { order, version, state: *state });
        }
        let version = report.version;
        let Some(known) = self.known.as_mut().filter(|k| k.version == version)
        else {
            return false;
        };
        fresh |= known.order != report.order;
        known.order = report.order;
        let skips = !timing.safeguards.has(Safeguard::LossWait);
        if skips && self.lost {
            return self.clear_bound();
        }
        if fresh && moving && self.is_acknowledged() {
            return self.apply_answer();
        }
        self.update_lapse(now, moving);
        if fresh && !self.reconciled {
            return self.widen_bound();
        }
        false
    }

    fn update_reachability(
        &mut self,
        now: LocalTime,
        reachable: bool,
        timing: &TermTiming,
    ) {
        self.reachable = reachable;
        if reachable {
            self.silent_since = None;
            self.lost = false;
            self.responded = true;
            self.given_up = false;
            return;
        }
        let since = *self.silent_since.get_or_insert(now);
        let waits = timing.safeguards.has(Safeguard::LossWait);
        self.lost |= !waits || now.since(since) >= timing.missed_after;
        let started = self.responded || now.since(since) >= START_TIMEOUT;
        self.given_up = self.lost && started;
    }

    /// Whether the server itself has acted on the current order.
    fn is_acknowledged(&self) -> bool {
        let token = self.order.token;
        let known = self.known.as_ref();
        known.is_some_and(|k| k.order == token && k.state.token == token)
    }

    /// Applies the report of a server that has acted on the current order.
    ///
    /// Once reconciled, it can hold only what this term has ordered, so its
    /// bound only shrinks. Requests that outlived a lapse then do not take
    /// slices back from their next owner.
    fn apply_answer(&mut self) -> bool {
        let Some(known) = &self.known else {
            return false;
        };
        let mut bound = known.state.held.clone();
        if self.reconciled {
            bound.intersect_with(&self.bound);
        }
        self.lapsed_at = None;
        self.replace_bound(bound)
    }

    /// Extends the bound of a server that is not reconciled: it may hold
    /// every slice that any keeper has reported.
    fn widen_bound(&mut self) -> bool {
        let Some(known) = &self.known else {
            return false;
        };
        let before = self.bound.clone();
        self.bound.union_with(&known.state.held);
        before != self.bound
    }

    fn update_lapse(&mut self, now: LocalTime, moving: bool) {
        let token = self.order.token;
        let known = self.known.as_ref();
        let lapsed = known.is_some_and(|k| k.order == token && k.state.lapsed);
        // A previous keeper may have extended the grant without the current
        // one's knowledge, so its permit must have ended too.
        if lapsed && moving && now >= self.previous_grant_until {
            self.lapsed_at.get_or_insert(now);
        } else {
            self.lapsed_at = None;
        }
    }

    /// Clears the bound after a lapse, once a majority has confirmed a
    /// request sent after it. Returns whether anything changed.
    ///
    /// A newer steward could have had the grant extended in time. In that
    /// case its voters refuse this steward, and no later request is
    /// confirmed.
    pub(super) fn confirm_lapse(&mut self, majority_at: LocalTime) -> bool {
        let confirmed = self.lapsed_at.is_some_and(|at| majority_at > at);
        if !confirmed {
            return false;
        }
        self.lapsed_at = None;
        self.clear_bound()
    }

    /// Whether a lapse of its grant or of its previous keeper's permit needs
    /// the confirmation of a request sent after it.
    pub(super) fn awaits_confirmation(
        &self,
        now: LocalTime,
        majority_at: LocalTime,
    ) -> bool {
        let kept = self.keeper.is_some() && !self.probing;
        let idle = !kept && now >= self.previous_permit_until;
        let keeper = idle && !self.may_change_keeper(now, majority_at);
        self.lapsed_at.is_some() || keeper
    }

    /// Reduces the bound to the slices that its current order may still
    /// grant.
    fn clear_bound(&mut self) -> bool {
        self.replace_bound(SliceSet::new())
    }

    fn replace_bound(&mut self, mut bound: SliceSet) -> bool {
        if let Some(slices) = &self.order.slices {
            bound.union_with(slices);
        }
        let changed = !self.reconciled || bound != self.bound;
        self.reconciled = true;
        self.bound = bound;
        changed
    }

    /// Whether its keeper will soon have an update to report or to receive.
    pub(super) fn is_pending(&self, moving: bool) -> bool {
        if self.lost {
            let stopped =
                self.order.slices.as_ref().is_some_and(SliceSet::is_empty);
            let waits = stopped && !self.bound.is_empty();
            return moving && (waits || !self.reconciled);
        }
        let working = self.known.as_ref().is_none_or(|known| {
            known.order != self.order.token
                || (self.reachable && known.state.token != self.order.token)
        });
        let due = self.order.slices.as_ref() != Some(&self.target);
        working || self.retiring || (moving && due)
    }

    /// The number of slices by which it differs from its target.
    pub(super) fn due(&self) -> DueSlices {
        let missing = |from: &SliceSet, what: &SliceSet| {
            let mut set = from.clone();
            set.subtract(what);
            set.len()
        };
        DueSlices {
            gains: missing(&self.target, &self.bound),
            releases: missing(&self.bound, &self.target),
        }
    }

    /// The order in the form that its keeper receives.
    pub(super) fn order_message(&self) -> ServerOrder {
        let known = self.known.as_ref();
        let has = known.is_some_and(|k| k.order == self.order.token);
        let extend_only = has || self.order.slices.is_none();
        let (mut slices, mut release) = (SliceSet::new(), SliceSet::new());
        if let Some(set) = self.order.slices.as_ref().filter(|_| !has) {
            slices = set.clone();
            release = self.order.release.clone();
        }
        let plan = &self.plan;
        ServerOrder {
            server: plan.server.clone(),
            service: plan.service.clone(),
            address: Arc::clone(&plan.address),
            checks_fence: plan.checks_fence,
            slots: plan.slots,
            connections: plan.connections,
            token: self.order.token,
            extend_only,
            slices,
            release,
            ask_only: self.probing,
            retire: self.retiring,
            seen: known.map_or(0, |known| known.version),
        }
    }
}
