//! A server as its steward sees it.

use std::sync::Arc;

use goldcrestramp_types::{FenceToken, LocalTime, SliceSet, TimeSpan, VmName};

use crate::{
    message::{ServerOrder, ServerReport, ServerState},
    plan::ServerPlan,
    safeguard::Safeguard,
    timing::TermTiming,
};

/// How long a server may take to answer for the first time in a term.
///
/// When a domain starts as a whole, its servers may be up seconds after its
/// VMs. Taken for lost at once, all its slices would go to whichever domain
/// was quicker, and stay there.
const START_PATIENCE: TimeSpan = TimeSpan::from_millis(10_000);

/// The order in force for a server.
#[derive(Clone, Debug)]
pub(super) struct StandingOrder {
    pub(super) token: FenceToken,
    /// What it is to hold; `None`: extend what it holds.
    pub(super) slices: Option<SliceSet>,
    pub(super) release: SliceSet,
}

/// What the server's keeper last reported.
#[derive(Clone, Debug)]
struct KnownState {
    order: FenceToken,
    version: u64,
    state: ServerState,
}

/// A server of the domain, in the term of one steward.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, any of which may hold with any other"
)]
#[derive(Clone, Debug)]
pub(super) struct LedServer {
    pub(super) plan: ServerPlan,
    /// Whether the configuration still has it.
    pub(super) listed: bool,
    pub(super) keeper: Option<VmName>,
    /// Whether the keeper may only ask, until a former one's permit ends.
    pub(super) probing: bool,
    /// The keeper that routing tables name: the last that could send.
    pub(super) serving: Option<VmName>,
    /// Whether its keeper is to stop, so that another can begin.
    pub(super) retiring: bool,
    /// Until when a grant by a former keeper may last.
    former_until: LocalTime,
    /// Until when a former keeper may still act.
    acting_until: LocalTime,
    pub(super) order: StandingOrder,
    /// Everything that it may hold.
    pub(super) bound: SliceSet,
    /// What it is to hold in the end.
    pub(super) target: SliceSet,
    known: Option<KnownState>,
    reachable: bool,
    silent_since: Option<LocalTime>,
    /// When its grant was first known to have ended.
    lapsed_at: Option<LocalTime>,
    /// Whether `bound` holds: it was asked after the former steward's time.
    pub(super) settled: bool,
    /// Whether it has had a keeper in this term.
    pub(super) staffed: bool,
    /// Whether its keeper has changed under the present token.
    fence_due: bool,
    /// Whether its slices go to others.
    pub(super) lost: bool,
    /// Whether it has answered any keeper in this term.
    reached: bool,
    /// Whether it is lost for so long that its domain may give up on it.
    gone: bool,
}

impl LedServer {
    pub(super) fn new(
        plan: ServerPlan,
        token: FenceToken,
        former_until: LocalTime,
    ) -> Self {
        let order =
            StandingOrder { token, slices: None, release: SliceSet::new() };
        Self {
            plan,
            listed: true,
            keeper: None,
            probing: false,
            serving: None,
            retiring: false,
            former_until,
            acting_until: former_until,
            order,
            bound: SliceSet::new(),
            target: SliceSet::new(),
            known: None,
            reachable: false,
            silent_since: None,
            lapsed_at: None,
            settled: false,
            staffed: false,
            fence_due: false,
            lost: false,
            reached: false,
            gone: false,
        }
    }

    /// The highest token that the server itself has shown.
    pub(super) fn shown_token(&self) -> FenceToken {
        self.known.as_ref().map(|k| k.state.token).unwrap_or_default()
    }

    /// What it held last, if anything is known of it.
    pub(super) fn last(&self) -> Option<&SliceSet> {
        self.known.as_ref().map(|known| &known.state.last)
    }

    /// Whether its state has been reported since its keeper was named.
    pub(super) const fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// Whether it may be given slices.
    pub(super) const fn is_eligible(&self) -> bool {
        let usable = self.settled && self.reachable && !self.lost;
        let kept = self.keeper.is_some() && !self.probing;
        usable && kept && !self.is_leaving()
    }

    /// Whether it is lost, and not only slow to start.
    pub(super) const fn is_gone(&self) -> bool {
        self.gone
    }

    /// Whether its slices are to go elsewhere by the configuration.
    pub(super) const fn is_leaving(&self) -> bool {
        !self.listed || self.plan.draining
    }

    /// Asks the server anew, by a token that it has not seen.
    ///
    /// One that was only asked so far, and holds nothing, can have got
    /// nothing since: every former permit is over.
    pub(super) fn end_takeover(&mut self, now: LocalTime, token: FenceToken) {
        self.note_lapse(now, true);
        if self.probing && self.lapsed_at.is_some() {
            return;
        }
        self.order =
            StandingOrder { token, slices: None, release: SliceSet::new() };
        self.settled = false;
        self.lapsed_at = None;
    }

    /// Whether the next order has to raise the server's fence.
    pub(super) const fn is_fence_due(&self) -> bool {
        self.fence_due
    }

    /// Gives the same order under a higher token.
    ///
    /// The new keeper's first message then raises the fence, and nothing
    /// that the former one sent can start any more.
    pub(super) fn raise_fence(&mut self, token: FenceToken) {
        self.order.token = token;
        self.fence_due = false;
        self.lapsed_at = None;
    }

    /// Gives a new order; what it allows counts as held from now on.
    pub(super) fn instruct(&mut self, token: FenceToken, slices: SliceSet) {
        let mut release = self.bound.clone();
        release.subtract(&slices);
        self.bound.union_with(&slices);
        self.order = StandingOrder { token, slices: Some(slices), release };
        self.lapsed_at = None;
    }

    /// Whether a VM that says that it keeps the server may go on doing so.
    ///
    /// The one that kept it under the former steward may; later on a VM
    /// may only if it could also be named as the keeper.
    pub(super) fn is_claimable(
        &self,
        now: LocalTime,
        begun: LocalTime,
    ) -> bool {
        let kept = self.keeper.is_some() && !self.probing;
        !kept && (!self.staffed || self.may_change_keeper(now, begun))
    }

    /// Whether no former keeper can act on it unnoticed any more.
    ///
    /// A server that checks fences refuses the former one. At another, two
    /// keepers could undo each other's orders: the former permit must have
    /// ended, and a majority have confirmed after that. Otherwise a newer
    /// steward may have prolonged that permit.
    pub(super) fn may_change_keeper(
        &self,
        now: LocalTime,
        begun: LocalTime,
    ) -> bool {
        let confirmed = begun > self.acting_until || !self.staffed;
        self.plan.checks_fence || (now >= self.acting_until && confirmed)
    }

    /// Names its keeper.
    pub(super) fn staff(&mut self, keeper: VmName) {
        if self.keeper.as_ref() != Some(&keeper) {
            self.known = None;
            self.lapsed_at = None;
        }
        let other = |serving: &VmName| *serving != keeper;
        self.fence_due |= self.serving.as_ref().is_some_and(other);
        self.serving = Some(keeper.clone());
        self.keeper = Some(keeper);
        self.probing = false;
        self.staffed = true;
    }

    /// Names a VM that is to be its keeper and may only ask until then.
    ///
    /// Whether the server is alive is then known when the wait is over.
    pub(super) fn probe(&mut self, keeper: VmName) {
        self.keeper = Some(keeper);
        self.probing = true;
    }

    /// Loses its keeper, whose permit ends at `until`.
    pub(super) fn lose_keeper(&mut self, until: LocalTime) {
        self.acting_until = self.acting_until.max(until);
        self.end_keeping(until);
    }

    /// Its keeper has let go of it; its grants may last until `until`.
    pub(super) fn end_keeping(&mut self, until: LocalTime) {
        self.keeper = None;
        self.probing = false;
        self.retiring = false;
        self.former_until = self.former_until.max(until);
        self.known = None;
        self.lapsed_at = None;
    }

    /// Its keeper knows nothing of it, or not any more.
    pub(super) fn forget_known(&mut self) {
        self.known = None;
        self.lapsed_at = None;
    }

    /// Takes the report of its keeper; whether what it may hold changed.
    pub(super) fn learn(
        &mut self,
        now: LocalTime,
        report: ServerReport,
        moving: bool,
        timing: &TermTiming,
    ) -> bool {
        self.note_contact(now, report.reachable, timing);
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
            return self.clear();
        }
        if fresh && moving && self.is_answered() {
            return self.take_answer();
        }
        self.note_lapse(now, moving);
        if fresh && !self.settled {
            return self.widen();
        }
        false
    }

    fn note_contact(
        &mut self,
        now: LocalTime,
        reachable: bool,
        timing: &TermTiming,
    ) {
        self.reachable = reachable;
        if reachable {
            self.silent_since = None;
            self.lost = false;
            self.reached = true;
            self.gone = false;
            return;
        }
        let since = *self.silent_since.get_or_insert(now);
        let waits = timing.safeguards.has(Safeguard::LossWait);
        self.lost |= !waits || now.since(since) >= timing.missed_after;
        let started = self.reached || now.since(since) >= START_PATIENCE;
        self.gone = self.lost && started;
    }

    /// Whether the server itself has acted on the present order.
    fn is_answered(&self) -> bool {
        let token = self.order.token;
        let known = self.known.as_ref();
        known.is_some_and(|k| k.order == token && k.state.token == token)
    }

    /// The server acted on the present order: it holds what it then said.
    ///
    /// Once settled it can hold nothing but what this term has ordered, so
    /// its bound only shrinks: work that outlived a lapse does not take
    /// slices back from their next owner.
    fn take_answer(&mut self) -> bool {
        let Some(known) = &self.known else {
            return false;
        };
        let mut bound = known.state.held.clone();
        if self.settled {
            bound.intersect_with(&self.bound);
        }
        self.lapsed_at = None;
        self.replace_bound(bound)
    }

    /// Before it is settled, it may hold all that anyone has reported.
    fn widen(&mut self) -> bool {
        let Some(known) = &self.known else {
            return false;
        };
        let before = self.bound.clone();
        self.bound.union_with(&known.state.held);
        before != self.bound
    }

    fn note_lapse(&mut self, now: LocalTime, moving: bool) {
        let token = self.order.token;
        let known = self.known.as_ref();
        let lapsed = known.is_some_and(|k| k.order == token && k.state.lapsed);
        // A former keeper may have extended it without this one's knowing,
        // so its permit must have ended too.
        if lapsed && moving && now >= self.former_until {
            self.lapsed_at.get_or_insert(now);
        } else {
            self.lapsed_at = None;
        }
    }

    /// Whether [`settle_lapse`](Self::settle_lapse) would change anything.
    pub(super) fn may_settle(&self, begun: LocalTime) -> bool {
        self.lapsed_at.is_some_and(|at| begun > at)
    }

    /// When a server that has fallen silent is lost, if that is to come.
    pub(super) fn missed_at(
        &self,
        now: LocalTime,
        timing: &TermTiming,
    ) -> Option<LocalTime> {
        let at = self.silent_since? + timing.missed_after;
        (at > now).then_some(at)
    }

    /// Settles a lapse once a majority has confirmed after it.
    ///
    /// A newer steward could have had the grant extended in time; then its
    /// voters refuse this one, and no confirmation begun later comes.
    /// Returns whether anything changed.
    pub(super) fn settle_lapse(&mut self, begun: LocalTime) -> bool {
        if !self.may_settle(begun) {
            return false;
        }
        self.lapsed_at = None;
        self.clear()
    }

    /// Whether a lapse, of its grant or of its former keeper's permit,
    /// waits for a confirmation begun after it.
    pub(super) fn awaits_confirmation(
        &self,
        now: LocalTime,
        begun: LocalTime,
    ) -> bool {
        let kept = self.keeper.is_some() && !self.probing;
        let idle = !kept && now >= self.acting_until;
        let keeper = idle && !self.may_change_keeper(now, begun);
        self.lapsed_at.is_some() || keeper
    }

    /// The server holds nothing but what its order may yet give it.
    fn clear(&mut self) -> bool {
        self.replace_bound(SliceSet::new())
    }

    fn replace_bound(&mut self, mut bound: SliceSet) -> bool {
        if let Some(slices) = &self.order.slices {
            bound.union_with(slices);
        }
        let changed = !self.settled || bound != self.bound;
        self.settled = true;
        self.bound = bound;
        changed
    }

    /// Whether its keeper has news to bring or to get soon.
    pub(super) fn is_pending(&self, moving: bool) -> bool {
        if self.lost {
            let stopped =
                self.order.slices.as_ref().is_some_and(SliceSet::is_empty);
            let waits = stopped && !self.bound.is_empty();
            return moving && (waits || !self.settled);
        }
        let working = self.known.as_ref().is_none_or(|known| {
            known.order != self.order.token
                || (self.reachable && known.state.token != self.order.token)
        });
        let due = self.order.slices.as_ref() != Some(&self.target);
        working || self.retiring || (moving && due)
    }

    /// The order as its keeper gets it.
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
