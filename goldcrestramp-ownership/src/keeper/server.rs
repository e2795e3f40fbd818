//! The exchange of orders and replies between a keeper and one server.

mod late_grants;

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

/// The delay before the next order after one that was lost or refused.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(50);

/// When the next order is due if no permit arrives earlier, in percent of the
/// renewal interval.
const RENEWAL_PERCENT: u64 = 150;

/// The maximum number of outstanding grants that are recorded one by one.
///
/// Retrying a grant to a server that does not answer adds one every 50 ms, and
/// each expires within a lease. At the maximum the keeper sends no further
/// grant until some have expired.
const MAX_OUTSTANDING_GRANTS: usize = 16;

/// A reading of the server's clock, with the local time of its arrival.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: ServerTime,
    received: LocalTime,
}

/// An order that the server may still receive: one in flight, one without a
/// reply, or a duplicate of one that was acknowledged.
#[derive(Clone, Debug)]
struct SentOrder {
    sent_at: LocalTime,
    /// The slices that it may make the server hold; `None` for an extension
    /// that names no slices, and for a query.
    slices: Option<SliceSet>,
    /// When the server has certainly passed the order's deadline.
    expires_at: LocalTime,
}

/// What a keeper knows of one server, and the order that it carries out.
#[derive(Clone, Debug)]
pub(super) struct KeptServer {
    order: Arc<ServerOrder>,
    /// The token under which this keeper began. Older tokens belong to other
    /// keepers.
    initial_token: FenceToken,
    reading: Option<ClockReading>,
    run: u64,
    /// When the server's instance was first seen.
    run_seen_at: LocalTime,
    /// Whether a report sent since then was answered with a permit.
    run_permitted: bool,
    token: FenceToken,
    fence: FenceToken,
    held: SliceSet,
    /// The slices of the last grant, also after it has expired.
    last: SliceSet,
    busy: SliceSet,
    running: SliceSet,
    deadline: ServerTime,
    /// Whether `held` and `last` belong to `token`.
    sets_known: bool,
    in_flight: Option<SentOrder>,
    /// Orders without a reply and duplicates of acknowledged grants that may
    /// still arrive.
    outstanding: Vec<SentOrder>,
    /// Until when an extension that was sent may prolong what is held.
    extended_until: LocalTime,
    /// When every order sent so far has certainly expired at the server.
    orders_expire_at: LocalTime,
    reachable: bool,
    next_order_at: LocalTime,
    last_sent_at: LocalTime,
    state: ServerState,
    version: u64,
    slices: Arc<SliceSet>,
}

impl KeptServer {
    pub(super) fn new(order: ServerOrder, version: u64) -> Self {
        Self {
            initial_token: order.token,
            order: Arc::new(order),
            reading: None,
            run: 0,
            run_seen_at: LocalTime::default(),
            run_permitted: false,
            token: FenceToken::default(),
            fence: FenceToken::default(),
            held: SliceSet::new(),
            last: SliceSet::new(),
            busy: SliceSet::new(),
            running: SliceSet::new(),
            deadline: ServerTime::default(),
            sets_known: false,
            in_flight: None,
            outstanding: Vec::new(),
            extended_until: LocalTime::default(),
            orders_expire_at: LocalTime::default(),
            reachable: false,
            next_order_at: LocalTime::default(),
            last_sent_at: LocalTime::default(),
            state: ServerState::default(),
            version,
            slices: Arc::new(SliceSet::new()),
        }
    }

    /// Takes the steward's newest order, unless its release is deferred.
    pub(super) fn set_order(
        &mut self,
        now: LocalTime,
        order: ServerOrder,
        timing: &TermTiming,
    ) {
        if self.defers_release(now, &order, timing) {
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
            self.next_order_at = LocalTime::default();
        }
        self.order = Arc::new(order);
        self.refresh_slices();
    }

    /// Schedules a renewal of the grant right after a permit arrived, when
    /// most of the permit remains.
    ///
    /// A grant renewed just before the permit arrives would end a whole
    /// renewal interval earlier.
    pub(super) fn record_permit(
        &mut self,
        now: LocalTime,
        sent: LocalTime,
        timing: &TermTiming,
    ) {
        let seen = self.reading.is_some() && sent >= self.run_seen_at;
        if seen && !self.run_permitted {
            self.run_permitted = true;
            self.next_order_at = self.next_order_at.min(now);
        }
        if now.since(self.last_sent_at) >= timing.renew_interval.percent(50) {
            self.next_order_at = self.next_order_at.min(now);
        }
    }

    pub(super) fn order(&self) -> Arc<ServerOrder> {
        Arc::clone(&self.order)
    }

    pub(super) fn checks_fence(&self) -> bool {
        self.order.checks_fence
    }

    /// Sets the slices with requests in flight. Returns whether requests have
    /// ended on a slice whose release waited for them.
    pub(super) fn set_running(&mut self, running: SliceSet) -> bool {
        let mut ended = std::mem::replace(&mut self.running, running);
        ended.subtract(&self.running);
        let releases = !self.order.extend_only || self.order.retire;
        ended.subtract(&self.order.slices);
        releases && !ended.is_empty()
    }

    /// Whether a retiring keeper has no request and no order left that may
    /// take effect at the server.
    pub(super) fn is_done(&self, now: LocalTime) -> bool {
        let void =
            self.outstanding.iter().all(|pending| now >= pending.expires_at);
        let idle = self.in_flight.is_none() && self.running.is_empty();
        self.order.retire && void && idle
    }

    /// The next order to send, if one is due.
    pub(super) fn next_order(
        &mut self,
        now: LocalTime,
        until: LocalTime,
        timing: &TermTiming,
    ) -> Option<(Arc<str>, GrantOrder)> {
        let waiting = self.in_flight.is_some() || now < self.next_order_at;
        // While retiring, the grant is extended only for requests that run
        // under it.
        let ended = self.order.retire && self.running.is_empty();
        if waiting || ended || now >= until {
            return None;
        }
        let order = self.compose(now, until, timing);
        let slices = order.slices.clone();
        let grants = slices.is_some() || order.accept_by.is_some();
        let mut expires_at = now;
        if let Some(reading) = self.reading.filter(|_| grants) {
            let span = order.deadline.since(reading.clock);
            expires_at = reading.received + timing.lengthened(span);
            if slices.is_none() {
                self.extended_until = self.extended_until.max(expires_at);
            }
            // After an empty grant the server holds no slice that has to
            // expire.
            if slices.as_ref().is_none_or(|set| !set.is_empty()) {
                self.orders_expire_at = self.orders_expire_at.max(expires_at);
            }
        }
        self.in_flight = Some(SentOrder { sent_at: now, slices, expires_at });
        self.last_sent_at = now;
        self.next_order_at =
            now + timing.renew_interval.percent(RENEWAL_PERCENT);
        Some((Arc::clone(&self.order.address), order))
    }

    /// Creates the next order: a query, an extension or a grant.
    fn compose(
        &mut self,
        now: LocalTime,
        until: LocalTime,
        timing: &TermTiming,
    ) -> GrantOrder {
        let mut order = GrantOrder {
            service: Some(self.order.service.clone()),
            token: self.order.token,
            admits: self.initial_token,
            run: self.run,
            ..GrantOrder::default()
        };
        // A server that restarts loses its fence, so it would accept the
        // grant of a previous keeper whose permit is still valid, although
        // the slices may have moved. So a grant needs a permit for a report
        // that was sent after the restart: a previous keeper learns from the
        // answer that it has been replaced.
        let guarded = timing.safeguards.has(Safeguard::RunPermit);
        let permitted = self.run_permitted || !guarded;
        let usable = self.sets_known && !self.order.ask_only && permitted;
        let Some(reading) = self.reading.filter(|_| usable) else {
            return order;
        };
        // The clock was read at `received` at the latest. Counting from there
        // ends the grant no later than the permit, however long the reply
        // took.
        let left = timing.shortened(until.since(reading.received));
        order.deadline = reading.clock + left;
        // Each order to a server that may be lost would postpone the time at
        // which its grant has certainly expired and its slices can move.
        let stop = self.order.slices.is_empty() && !self.order.extend_only;
        if !self.reachable && !stop {
            return order;
        }
        let alive = now < self.grant_expiry(reading, timing);
        let applied = self.is_applied(now, reading, timing);
        if self.order.extend_only || applied {
            // A grant that has expired is not extended, since its slices may
            // have moved.
            if alive {
                order.accept_by = Some(self.deadline);
                let held = self.held.clone();
                if self.may_hold_beyond(now, &held, timing) {
                    order.slices = Some(held);
                }
            }
            return order;
        }
        let wanted = self.order.slices.clone();
        self.may_hold_beyond(now, &wanted, timing);
        self.outstanding.retain(|pending| now < pending.expires_at);
        let grants = self.outstanding.iter().filter(|s| s.slices.is_some());
        if grants.count() < MAX_OUTSTANDING_GRANTS {
            order.slices = Some(wanted);
            order.release = self.order.release.clone();
        }
        order
    }

    /// When the grant that the server last reported has certainly expired.
    fn grant_expiry(
        &self,
        reading: ClockReading,
        timing: &TermTiming,
    ) -> LocalTime {
        let left = self.deadline.since(reading.clock);
        reading.received + timing.lengthened(left)
    }

    /// Applies a reply. Returns whether it answers the order in flight.
    pub(super) fn replied(
        &mut self,
        now: LocalTime,
        sent: LocalTime,
        reply: &GrantReply,
        timing: &TermTiming,
    ) -> bool {
        let Some(order) = self.in_flight.take_if(|o| sent >= o.sent_at) else {
            return false;
        };
        self.reachable = true;
        let reading = ClockReading { clock: reply.clock, received: now };
        if reply.run != self.run || self.reading.is_none() {
            // The new instance refuses orders for the previous one.
            self.outstanding.clear();
            self.orders_expire_at = now;
            self.run = reply.run;
            self.run_seen_at = now;
            self.run_permitted = false;
            self.sets_known = false;
        } else if reply.accepted {
            self.record_grant(order, timing);
        }
        self.reading = Some(reading);
        self.record_sets(reply);
        self.deadline = reply.deadline;
        self.busy = reply.busy.clone();
        self.outstanding.retain(|pending| now < pending.expires_at);
        let reply_expiry = self.grant_expiry(reading, timing);
        let live = |pending: &&SentOrder| {
            pending.slices.as_ref().is_none_or(|set| !set.is_empty())
        };
        let outstanding = self.outstanding.iter().filter(live);
        let latest = outstanding.map(|pending| pending.expires_at).max();
        self.orders_expire_at =
            latest.map_or(reply_expiry, |at| reply_expiry.max(at));
        let mut pause = TimeSpan::ZERO;
        if !reply.accepted {
            pause = RETRY_DELAY;
            self.next_order_at = now + RETRY_DELAY;
        }
        if !self.sets_known || self.needs_grant() {
            self.next_order_at = self.next_order_at.min(now + pause);
        }
        self.refresh_slices();
        true
    }

    /// Whether the server has applied the current order.
    ///
    /// At a server without fences a late, older order may have replaced the
    /// newest one, under the token of an extension. So the slices are
    /// compared as well as the token.
    fn is_applied(
        &self,
        now: LocalTime,
        reading: ClockReading,
        timing: &TermTiming,
    ) -> bool {
        let alive = now < self.grant_expiry(reading, timing);
        let same = self.held == self.order.slices;
        alive && self.token == self.order.token && same
    }

    fn needs_grant(&self) -> bool {
        let asks = self.order.ask_only || !self.run_permitted;
        let grants = !self.order.extend_only && !asks;
        grants && self.token != self.order.token
    }

    fn record_sets(&mut self, reply: &GrantReply) {
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

    /// Records that the order in flight got no reply.
    pub(super) fn record_no_reply(&mut self, now: LocalTime, sent: LocalTime) {
        let Some(order) = self.in_flight.take() else {
            return;
        };
        if sent < order.sent_at {
            self.in_flight = Some(order);
            return;
        }
        if order.expires_at > order.sent_at {
            self.outstanding.push(order);
        }
        self.reachable = false;
        self.next_order_at = now + RETRY_DELAY;
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

    /// Updates the state to report. Gives it a new version and returns `true`
    /// if it has changed.
    pub(super) fn refresh_state(
        &mut self,
        now: LocalTime,
        version: &mut u64,
    ) -> bool {
        self.outstanding.retain(|pending| now < pending.expires_at);
        let state = self.current_state(now);
        if state == self.state {
            return false;
        }
        *version += 1;
        self.version = *version;
        self.state = state;
        true
    }

    fn current_state(&self, now: LocalTime) -> ServerState {
        let deadline_passed =
            self.reading.is_none_or(|reading| reading.clock >= self.deadline);
        let settled = self.in_flight.is_none() && self.outstanding.is_empty();
        let lapsed =
            (deadline_passed && settled) || now >= self.orders_expire_at;
        let mut held = self.running.clone();
        held.union_with(&self.busy);
        if !lapsed {
            held.union_with(&self.held);
            let sent = self.outstanding.iter().chain(&self.in_flight);
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

    /// The passes for this server until the permit expires; `None` if nothing
    /// may be sent to it.
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
