//! A keeper's conversation with one server.

mod copies;

use std::sync::Arc;

use goldcrestramp_types::{
    FenceToken, LocalTime, ServerTime, SliceSet, TimeSpan,
};
use goldcrestramp_wire::server::{GrantOrder, GrantReply};

use crate::{
    keeper::pass::{SendPass, ServerPasses},
    message::{ServerOrder, ServerReport, ServerState},
    safeguard::Safeguard,
    timing::TermTiming,
};

/// How long after a lost or refused message the next one goes out.
const RETRY_AFTER: TimeSpan = TimeSpan::from_millis(50);

/// When the next order is due if no permit renews it before, in percent of
/// the renewal time.
const ORDER_PERCENT: u64 = 150;

/// The most grants under way that are remembered one by one.
///
/// A grant repeated to a silent server adds one every 50 ms, each void
/// within a lease; beyond this the keeper waits until some are void.
const STRAY_LIMIT: usize = 16;

/// A reading of the server's clock, and when it reached this process.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: ServerTime,
    received: LocalTime,
}

/// An order on its way, or lost on it, or a copy of an answered one.
#[derive(Clone, Debug)]
struct SentOrder {
    sent: LocalTime,
    /// What it may make the server hold; nothing for an extension.
    slices: Option<SliceSet>,
    /// When the server has surely passed the order's deadline.
    void_at: LocalTime,
}

/// What a keeper knows of, and wants from, one server.
#[derive(Clone, Debug)]
pub(super) struct KeptServer {
    order: Arc<ServerOrder>,
    /// The token under which this keeper began: older ones are others'.
    since: FenceToken,
    reading: Option<ClockReading>,
    run: u64,
    /// When that run was first seen.
    run_seen: LocalTime,
    /// Whether the steward has permitted this keeper since.
    run_permitted: bool,
    token: FenceToken,
    fence: FenceToken,
    held: SliceSet,
    last: SliceSet,
    busy: SliceSet,
    running: SliceSet,
    deadline: ServerTime,
    /// The reply's sets belong to `token`.
    sets_known: bool,
    under_way: Option<SentOrder>,
    strays: Vec<SentOrder>,
    /// Until when an extension that was sent may prolong what is held.
    extended_until: LocalTime,
    /// When every order sent so far has surely ended at the server.
    ends_at: LocalTime,
    reachable: bool,
    next_at: LocalTime,
    sent_at: LocalTime,
    state: ServerState,
    version: u64,
    slices: Arc<SliceSet>,
}

impl KeptServer {
    pub(super) fn new(order: ServerOrder, version: u64) -> Self {
        Self {
            since: order.token,
            order: Arc::new(order),
            reading: None,
            run: 0,
            run_seen: LocalTime::default(),
            run_permitted: false,
            token: FenceToken::default(),
            fence: FenceToken::default(),
            held: SliceSet::new(),
            last: SliceSet::new(),
            busy: SliceSet::new(),
            running: SliceSet::new(),
            deadline: ServerTime::default(),
            sets_known: false,
            under_way: None,
            strays: Vec::new(),
            extended_until: LocalTime::default(),
            ends_at: LocalTime::default(),
            reachable: false,
            next_at: LocalTime::default(),
            sent_at: LocalTime::default(),
            state: ServerState::default(),
            version,
            slices: Arc::new(SliceSet::new()),
        }
    }

    /// Takes the steward's newest order.
    pub(super) fn instruct(
        &mut self,
        now: LocalTime,
        order: ServerOrder,
        timing: &TermTiming,
    ) {
        if self.waits_for_copies(now, &order, timing) {
            return;
        }
        if order.token == self.order.token && order.extend_only {
            let known = Arc::make_mut(&mut self.order);
            let slices = std::mem::take(&mut known.slices);
            let release = std::mem::take(&mut known.release);
            let extend_only = known.extend_only;
            *known = ServerOrder { extend_only, slices, release, ..order };
            return;
        }
        if order.token != self.order.token {
            self.next_at = LocalTime::default();
        }
        self.order = Arc::new(order);
        self.refresh_slices();
    }

    /// Renews the grant right after the permit, when most is left of it.
    ///
    /// Renewed just before, the grant would end a whole renewal sooner.
    pub(super) fn renew(
        &mut self,
        now: LocalTime,
        sent: LocalTime,
        timing: &TermTiming,
    ) {
        let seen = self.reading.is_some() && sent >= self.run_seen;
        if seen && !self.run_permitted {
            self.run_permitted = true;
            self.next_at = self.next_at.min(now);
        }
        if now.since(self.sent_at) >= timing.renew_every.percent(50) {
            self.next_at = self.next_at.min(now);
        }
    }

    pub(super) fn order(&self) -> Arc<ServerOrder> {
        Arc::clone(&self.order)
    }

    pub(super) fn checks_fence(&self) -> bool {
        self.order.checks_fence
    }

    /// Takes the slices with work under way; whether a release waits.
    pub(super) fn set_running(&mut self, running: SliceSet) -> bool {
        let mut ended = std::mem::replace(&mut self.running, running);
        ended.subtract(&self.running);
        let releases = !self.order.extend_only || self.order.retire;
        ended.subtract(&self.order.slices);
        releases && !ended.is_empty()
    }

    /// Whether a retiring keeper has nothing more under way.
    pub(super) fn is_done(&self, now: LocalTime) -> bool {
        let void = self.strays.iter().all(|stray| now >= stray.void_at);
        let idle = self.under_way.is_none() && self.running.is_empty();
        self.order.retire && void && idle
    }

    /// The next order to send, if one is due.
    pub(super) fn next_order(
        &mut self,
        now: LocalTime,
        until: LocalTime,
        timing: &TermTiming,
    ) -> Option<(Arc<str>, GrantOrder)> {
        let waiting = self.under_way.is_some() || now < self.next_at;
        // Retiring: the grant lives on only as long as work runs under it.
        let ended = self.order.retire && self.running.is_empty();
        if waiting || ended || now >= until {
            return None;
        }
        let order = self.compose(now, until, timing);
        let slices = order.slices.clone();
        let grants = slices.is_some() || order.accept_by.is_some();
        let mut void_at = now;
        if let Some(reading) = self.reading.filter(|_| grants) {
            let span = order.deadline.since(reading.clock);
            void_at = reading.received + timing.lengthened(span);
            if slices.is_none() {
                self.extended_until = self.extended_until.max(void_at);
            }
            // A grant of nothing leaves nothing that could be alive.
            if slices.as_ref().is_none_or(|set| !set.is_empty()) {
                self.ends_at = self.ends_at.max(void_at);
            }
        }
        self.under_way = Some(SentOrder { sent: now, slices, void_at });
        self.sent_at = now;
        self.next_at = now + timing.renew_every.percent(ORDER_PERCENT);
        Some((Arc::clone(&self.order.address), order))
    }

    /// Chooses between a question, an extension and a grant.
    fn compose(
        &mut self,
        now: LocalTime,
        until: LocalTime,
        timing: &TermTiming,
    ) -> GrantOrder {
        let mut order = GrantOrder {
            service: Some(self.order.service.clone()),
            token: self.order.token,
            admits: self.since,
            run: self.run,
            ..GrantOrder::default()
        };
        // A server that restarts forgets its fence, and so would take the
        // grant of a former keeper whose permit still lasts; its slices may
        // have moved. A question to the steward that is sent after the
        // restart tells a former keeper that it is one.
        let guarded = timing.safeguards.has(Safeguard::RunPermit);
        let permitted = self.run_permitted || !guarded;
        let usable = self.sets_known && !self.order.ask_only && permitted;
        let Some(reading) = self.reading.filter(|_| usable) else {
            return order;
        };
        // The reading was taken at `received` at the latest, so counting
        // from there ends the grant no later than the permit, however
        // long the reply took.
        let left = timing.shortened(until.since(reading.received));
        order.deadline = reading.clock + left;
        // Each message to a server that may be gone would put off the time
        // at which its grant has surely ended, and its slices with it.
        let stop = self.order.slices.is_empty() && !self.order.extend_only;
        if !self.reachable && !stop {
            return order;
        }
        let alive = now < self.alive_until(reading, timing);
        let applied = self.is_applied(now, reading, timing);
        if self.order.extend_only || applied {
            // A lapsed grant is not extended: its slices may have moved.
            if alive {
                order.accept_by = Some(self.deadline);
                let held = self.held.clone();
                if self.doubts(now, &held, timing) {
                    order.slices = Some(held);
                }
            }
            return order;
        }
        let wanted = self.order.slices.clone();
        self.doubts(now, &wanted, timing);
        self.strays.retain(|stray| now < stray.void_at);
        let grants = self.strays.iter().filter(|s| s.slices.is_some());
        if grants.count() < STRAY_LIMIT {
            order.slices = Some(wanted);
            order.release = self.order.release.clone();
        }
        order
    }

    /// Until when the grant that the server spoke of may be alive.
    fn alive_until(
        &self,
        reading: ClockReading,
        timing: &TermTiming,
    ) -> LocalTime {
        let left = self.deadline.since(reading.clock);
        reading.received + timing.lengthened(left)
    }

    /// Takes a reply; true when it answers the order under way.
    pub(super) fn replied(
        &mut self,
        now: LocalTime,
        sent: LocalTime,
        reply: &GrantReply,
        timing: &TermTiming,
    ) -> bool {
        let Some(order) = self.under_way.take_if(|o| sent >= o.sent) else {
            return false;
        };
        self.reachable = true;
        let reading = ClockReading { clock: reply.clock, received: now };
        if reply.run != self.run || self.reading.is_none() {
            // Orders for the former run are refused by the new one.
            self.strays.clear();
            self.ends_at = now;
            self.run = reply.run;
            self.run_seen = now;
            self.run_permitted = false;
            self.sets_known = false;
        } else if reply.accepted {
            self.remember_grant(order, timing);
        }
        self.reading = Some(reading);
        self.take_sets(reply);
        self.deadline = reply.deadline;
        self.busy = reply.busy.clone();
        self.strays.retain(|stray| now < stray.void_at);
        let told = self.alive_until(reading, timing);
        let live = |stray: &&SentOrder| {
            stray.slices.as_ref().is_none_or(|set| !set.is_empty())
        };
        let strays = self.strays.iter().filter(live);
        let stray = strays.map(|stray| stray.void_at).max();
        self.ends_at = stray.map_or(told, |at| told.max(at));
        let mut pause = TimeSpan::ZERO;
        if !reply.accepted {
            pause = RETRY_AFTER;
            self.next_at = now + RETRY_AFTER;
        }
        if !self.sets_known || self.needs_grant() {
            self.next_at = self.next_at.min(now + pause);
        }
        self.refresh_slices();
        true
    }

    /// Whether the server lives by the present order.
    ///
    /// At a server without fences a late order of before may have taken
    /// the place of the newest one, under the token of an extension.
    fn is_applied(
        &self,
        now: LocalTime,
        reading: ClockReading,
        timing: &TermTiming,
    ) -> bool {
        let alive = now < self.alive_until(reading, timing);
        let same = self.held == self.order.slices;
        alive && self.token == self.order.token && same
    }

    fn needs_grant(&self) -> bool {
        let asks = self.order.ask_only || !self.run_permitted;
        let grants = !self.order.extend_only && !asks;
        grants && self.token != self.order.token
    }

    fn take_sets(&mut self, reply: &GrantReply) {
        if let (Some(held), Some(last)) = (&reply.held, &reply.last) {
            self.held = held.clone();
            self.last = last.clone();
            self.sets_known = true;
        } else if reply.token != self.token {
            self.sets_known = false;
        }
        self.token = reply.token;
        self.fence = reply.fence;
    }

    /// Notes that the order under way got no reply.
    pub(super) fn record_no_reply(&mut self, now: LocalTime, sent: LocalTime) {
        let Some(order) = self.under_way.take() else {
            return;
        };
        if sent < order.sent {
            self.under_way = Some(order);
            return;
        }
        if order.void_at > order.sent {
            self.strays.push(order);
        }
        self.reachable = false;
        self.next_at = now + RETRY_AFTER;
    }

    fn refresh_slices(&mut self) {
        let mut slices = self.held.clone();
        if !self.order.extend_only {
            slices.intersect_with(&self.order.slices);
        }
        slices.subtract(&self.order.release);
        if *self.slices != slices {
            self.slices = Arc::new(slices);
        }
    }

    /// The state to report; a new version of it when it has changed.
    pub(super) fn refresh_state(
        &mut self,
        now: LocalTime,
        version: &mut u64,
    ) -> bool {
        self.strays.retain(|stray| now < stray.void_at);
        let state = self.present_state(now);
        if state == self.state {
            return false;
        }
        *version += 1;
        self.version = *version;
        self.state = state;
        true
    }

    fn present_state(&self, now: LocalTime) -> ServerState {
        let told =
            self.reading.is_none_or(|reading| reading.clock >= self.deadline);
        let quiet = self.under_way.is_none() && self.strays.is_empty();
        let lapsed = (told && quiet) || now >= self.ends_at;
        let mut held = self.running.clone();
        held.union_with(&self.busy);
        if !lapsed {
            held.union_with(&self.held);
            let sent = self.strays.iter().chain(&self.under_way);
            for slices in sent.filter_map(|order| order.slices.as_ref()) {
                held.union_with(slices);
            }
        }
        ServerState {
            run: self.run,
            token: self.token,
            fence: self.fence,
            held,
            last: self.last.clone(),
            lapsed,
        }
    }

    pub(super) fn report(&self) -> ServerReport {
        let seen = self.order.seen == self.version;
        let state = (!seen).then(|| Box::new(self.state.clone()));
        ServerReport {
            server: self.order.server.clone(),
            order: self.order.token,
            keeps: !self.order.ask_only,
            reachable: self.reachable,
            version: self.version,
            state,
            busy: TimeSpan::ZERO,
            loads: Vec::new(),
        }
    }

    /// What may be sent to the server until the permit's end.
    pub(super) fn passes(&self, until: LocalTime) -> Option<ServerPasses> {
        let reading = self.reading?;
        let lapsed = reading.clock >= self.deadline;
        let stopped = self.order.retire || self.order.ask_only;
        if stopped || lapsed || !self.sets_known {
            return None;
        }
        let pass = SendPass {
            token: self.token,
            run: self.run,
            start_by: self.deadline,
            server_clock: reading.clock,
            read_at: reading.received,
        };
        let left = self.deadline.since(reading.clock);
        let until = until.min(reading.received + left);
        Some(ServerPasses { slices: Arc::clone(&self.slices), pass, until })
    }
}
