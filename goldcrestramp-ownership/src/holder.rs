//! The server's side of grants, for servers that embed this library.

use goldcrestramp_types::{FenceToken, ServerTime, SliceIndex, SliceSet};
use goldcrestramp_wire::server::{GrantOrder, GrantRefusal, GrantReply};

use crate::safeguard::{Safeguard, Safeguards};

/// The grant that a server holds. It decides which orders and requests the
/// server accepts.
#[derive(Clone, Debug)]
pub struct GrantHolder {
    run: u64,
    checks_fence: bool,
    token: FenceToken,
    fence: FenceToken,
    /// The lowest token under which a request may start.
    admits: FenceToken,
    held: SliceSet,
    deadline: ServerTime,
    safeguards: Safeguards,
}

impl GrantHolder {
    /// Creates the state of a server that has just started. `run` is the
    /// random number of this instance.
    #[must_use]
    pub fn new(run: u64, checks_fence: bool) -> Self {
        Self::with_safeguards(run, checks_fence, Safeguards::default())
    }

    /// Like [`new`](Self::new), with safeguards that a test may switch off.
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

    /// Applies an order or refuses it, and returns the reply to send.
    pub fn apply(
        &mut self,
        now: ServerTime,
        order: &GrantOrder,
    ) -> GrantReply {
        if is_query(order) {
            return self.reply(now, None);
        }
        let refusal = self.refusal(now, order);
        let before = self.token;
        if refusal.is_none() {
            self.execute(order);
        }
        let mut reply = self.reply(now, refusal);
        let unchanged = order.slices.is_none() && before == self.token;
        if refusal.is_none() && unchanged {
            reply.held = None;
            reply.last = None;
        }
        reply
    }

    /// Whether a request on `slice` under `token` may start now.
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

    /// Creates a reply with the server's current state.
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
        let enabled = |safeguard| self.safeguards.has(safeguard);
        // The deadlines of another instance belong to a clock that has
        // restarted since. They could be far in the future, and the grant
        // would outlive its permit.
        if order.run != self.run && enabled(Safeguard::RunNumber) {
            return Some(GrantRefusal::OtherRun);
        }
        // An order of a previous keeper would undo a release that this server
        // has confirmed.
        let old = self.checks_fence && order.token < self.fence;
        if old && enabled(Safeguard::FenceCheck) {
            return Some(GrantRefusal::OldToken);
        }
        // An order may have waited in a socket while this server was frozen.
        // Another server may hold its slices by now.
        if now >= order.deadline && enabled(Safeguard::LateOrder) {
            return Some(GrantRefusal::Late);
        }
        // Once the grant has expired, its slices may have been granted to
        // another server.
        let late = order.accept_by.is_some_and(|by| now >= by);
        // The keeper's `accept_by` may be older than the server's own state.
        let lapsed = order.slices.is_none() && now >= self.deadline;
        if (late || lapsed) && enabled(Safeguard::AcceptBy) {
            return Some(GrantRefusal::Lapsed);
        }
        None
    }

    fn execute(&mut self, order: &GrantOrder) {
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

/// Whether an order only queries the server's state.
const fn is_query(order: &GrantOrder) -> bool {
    order.slices.is_none() && order.accept_by.is_none()
}
