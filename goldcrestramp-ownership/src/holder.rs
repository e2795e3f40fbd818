//! The server's side of a grant, for servers that embed this library.

use goldcrestramp_types::{FenceToken, ServerTime, SliceIndex, SliceSet};
use goldcrestramp_wire::server::{GrantOrder, GrantRefusal, GrantReply};

use crate::safeguard::{Safeguard, Safeguards};

/// What a server holds, and what it refuses.
#[derive(Clone, Debug)]
pub struct GrantHolder {
    run: u64,
    checks_fence: bool,
    token: FenceToken,
    fence: FenceToken,
    /// The lowest token with which a request may start.
    admits: FenceToken,
    held: SliceSet,
    deadline: ServerTime,
    safeguards: Safeguards,
}

impl GrantHolder {
    /// A server that has just started, with its run's random number.
    #[must_use]
    pub fn new(run: u64, checks_fence: bool) -> Self {
        Self::with_safeguards(run, checks_fence, Safeguards::default())
    }

    /// A server without one of its safeguards, for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn with_safeguards(
        run: u64,
        checks_fence: bool,
        safeguards: Safeguards,
    ) -> Self {
        Self {
            run,
            checks_fence,
            token: FenceToken::default(),
            fence: FenceToken::default(),
            admits: FenceToken::default(),
            held: SliceSet::new(),
            deadline: ServerTime::default(),
            safeguards,
        }
    }

    /// Carries out an order, or refuses it.
    pub fn apply(
        &mut self,
        now: ServerTime,
        order: &GrantOrder,
    ) -> GrantReply {
        if is_question(order) {
            return self.reply(now, None);
        }
        let refusal = self.refusal(now, order);
        let before = self.token;
        if refusal.is_none() {
            self.carry_out(order);
        }
        let mut reply = self.reply(now, refusal);
        let unchanged = order.slices.is_none() && before == self.token;
        if refusal.is_none() && unchanged {
            reply.held = None;
            reply.last = None;
        }
        reply
    }

    /// Whether work on `slice` under `token` may start now.
    #[must_use]
    pub fn may_start(
        &self,
        now: ServerTime,
        slice: SliceIndex,
        token: FenceToken,
    ) -> bool {
        let fenced = self.checks_fence
            && token < self.admits
            && self.safeguards.has(Safeguard::FenceCheck);
        !fenced && now < self.deadline && self.held.contains(slice)
    }

    /// The server's state as a reply.
    #[must_use]
    pub fn reply(
        &self,
        now: ServerTime,
        refusal: Option<GrantRefusal>,
    ) -> GrantReply {
        let lapsed = now >= self.deadline;
        let held = if lapsed { SliceSet::new() } else { self.held.clone() };
        GrantReply {
            accepted: refusal.is_none(),
            refusal,
            clock: now,
            run: self.run,
            token: self.token,
            fence: self.fence,
            held: Some(held),
            last: Some(self.held.clone()),
            busy: SliceSet::new(),
            deadline: self.deadline,
        }
    }

    fn refusal(
        &self,
        now: ServerTime,
        order: &GrantOrder,
    ) -> Option<GrantRefusal> {
        let on = |safeguard| self.safeguards.has(safeguard);
        // The deadlines of another run are in a clock that has restarted:
        // they could lie far ahead, and the grant would outlive its permit.
        if order.run != self.run && on(Safeguard::RunNumber) {
            return Some(GrantRefusal::OtherRun);
        }
        // A former keeper's order would undo a release that was answered.
        let old = self.checks_fence && order.token < self.fence;
        if old && on(Safeguard::FenceCheck) {
            return Some(GrantRefusal::OldToken);
        }
        // An order that sat in a socket while this server was frozen: its
        // slices may be with another server by now.
        if now >= order.deadline && on(Safeguard::LateOrder) {
            return Some(GrantRefusal::Late);
        }
        // After the lapse another server may have been granted the slices.
        let late = order.accept_by.is_some_and(|by| now >= by);
        // The keeper's knowledge may be older than the server's own.
        let lapsed = order.slices.is_none() && now >= self.deadline;
        if (late || lapsed) && on(Safeguard::AcceptBy) {
            return Some(GrantRefusal::Lapsed);
        }
        None
    }

    fn carry_out(&mut self, order: &GrantOrder) {
        if let Some(slices) = &order.slices {
            self.held = slices.clone();
            self.token = order.token;
            self.deadline = order.deadline;
        } else {
            self.token = self.token.max(order.token);
            self.deadline = self.deadline.max(order.deadline);
        }
        self.held.subtract(&order.release);
        self.fence = self.fence.max(order.token);
        self.admits = self.admits.max(order.admits);
    }
}

/// Whether an order only asks for the server's state.
const fn is_question(order: &GrantOrder) -> bool {
    order.slices.is_none() && order.accept_by.is_none()
}
