//! Whether a refusal proves that a request did not run.
//!
//! The load: an answer is lost, the request is tried again, and the second
//! try meets a full server. Its refusal is true of the second try alone. A
//! caller that takes it for the whole request orders anew under another id,
//! and two parcels come.

use goldcrestramp_types::{NotRunReason, RequestEffect, UnknownReason};

/// Who refused a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedBy {
    /// The keeper of its server, which remembers the ids of orders.
    Keeper,
    /// The gateway, which remembers nothing of other tries.
    Gateway,
}

/// What the earlier tries of one request leave open.
#[derive(Clone, Copy, Debug)]
pub struct RefusalProof {
    effect: RequestEffect,
    /// The caller says that it may have sent the request before.
    is_resend: bool,
    /// Why an earlier try of this gateway may have run.
    open: Option<UnknownReason>,
}

impl RefusalProof {
    /// The proof for a request that this gateway has not tried yet.
    #[must_use]
    pub const fn new(effect: RequestEffect, is_resend: bool) -> Self {
        Self { effect, is_resend, open: None }
    }

    /// Notes that a try may have run.
    pub const fn may_have_run(&mut self, reason: UnknownReason) {
        self.open = Some(reason);
    }

    /// What the caller of a refused request is told.
    ///
    /// # Errors
    ///
    /// Why it is not known whether the request ran: an earlier try of this
    /// gateway may have, or one of the caller's own of which whoever refused
    /// cannot know. A keeper remembers the ids of non-idempotent requests
    /// alone.
    pub fn judge(
        &self,
        refusal: NotRunReason,
        by: RefusedBy,
    ) -> Result<NotRunReason, UnknownReason> {
        if let Some(reason) = self.open {
            return Err(reason);
        }
        let remembered = by == RefusedBy::Keeper
            && self.effect == RequestEffect::NonIdempotent;
        if self.is_resend && !remembered {
            return Err(UnknownReason::ResendRefused);
        }
        Ok(refusal)
    }
}
