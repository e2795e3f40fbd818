//! The server's side of a grant, for servers that embed this library.

use goldcrestramp_types::{FenceToken, ServerTime, SliceIndex, SliceSet};
use goldcrestramp_wire::server::{GrantOrder, GrantRefusal, GrantReply};

/// What a server holds, and what it refuses.
#[derive(Clone, Debug)]
pub struct GrantHolder {
    run: u64,
    checks_fence: bool,
    token: FenceToken,
    fence: FenceToken,
    held: SliceSet,
    deadline: ServerTime,
}

impl GrantHolder {
    /// A server that has just started, with its run's random number.
    #[must_use]
    pub fn new(run: u64, checks_fence: bool) -> Self {
        Self {
            run,
            checks_fence,
            token: FenceToken::default(),
            fence: FenceToken::default(),
            held: SliceSet::new(),
            deadline: ServerTime::default(),
        }
    }

    /// Carries out an order, or refuses it.
    pub fn apply(
        &mut self,
        now: ServerTime,
        order: &GrantOrder,
    ) -> GrantReply {
        let refusal = self.refusal(now, order);
        if refusal.is_none() {
            self.carry_out(order);
        }
        self.reply(now, refusal)
    }

    /// Whether work on `slice` under `token` may start now.
    #[must_use]
    pub fn may_start(
        &self,
        now: ServerTime,
        slice: SliceIndex,
        token: FenceToken,
    ) -> bool {
        let fenced = self.checks_fence && token < self.fence;
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
        GrantReply {
            accepted: refusal.is_none(),
            refusal,
            clock: now,
            run: self.run,
            token: self.token,
            fence: self.fence,
            held: if lapsed { SliceSet::new() } else { self.held.clone() },
            last: self.held.clone(),
            busy: SliceSet::new(),
            deadline: self.deadline,
        }
    }

    fn refusal(
        &self,
        now: ServerTime,
        order: &GrantOrder,
    ) -> Option<GrantRefusal> {
        order.slices.as_ref()?;
        if order.run != self.run {
            return Some(GrantRefusal::OtherRun);
        }
        if self.checks_fence && order.token < self.fence {
            return Some(GrantRefusal::OldToken);
        }
        if now >= order.deadline {
            return Some(GrantRefusal::Late);
        }
        if order.accept_by.is_some_and(|by| now >= by) {
            return Some(GrantRefusal::Lapsed);
        }
        None
    }

    fn carry_out(&mut self, order: &GrantOrder) {
        let Some(slices) = &order.slices else {
            return;
        };
        self.held = slices.clone();
        self.held.subtract(&order.release);
        self.token = order.token;
        self.fence = self.fence.max(order.token);
        self.deadline = order.deadline;
    }
}
