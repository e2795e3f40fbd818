//! Whether a refusal proves that a request did not run.
//!
//! A response is lost, the request is retried, and a full server refuses the
//! second attempt. The refusal is true of that attempt only. A caller that
//! applies it to the complete request sends the order again under another id,
//! and two parcels are sent.

use goldcrestramp_types::{NotRunReason, RequestEffect, UnknownReason};

/// Which component refused a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedBy {
    /// The keeper of its server, which remembers the ids of orders.
    Keeper,
    /// The gateway, which remembers nothing of other attempts.
    Gateway,
}

/// Whether earlier attempts of one request may have run.
#[derive(Clone, Copy, Debug)]
pub struct RefusalProof {
    effect: RequestEffect,
    /// The caller says that it may have sent the request before.
    is_resend: bool,
    /// Why an earlier attempt of this gateway may have run.
    unknown_reason: Option<UnknownReason>,
}

impl RefusalProof {
    /// The proof for a request without an attempt of this gateway.
    #[must_use]
    pub const fn new(effect: RequestEffect, is_resend: bool) -> Self {
        Self { effect, is_resend, unknown_reason: None }
    }

    /// Records that an attempt may have run.
    pub const fn may_have_run(&mut self, reason: UnknownReason) {
        self.unknown_reason = Some(reason);
    }

    /// The reason that the caller of a refused request gets.
    ///
    /// # Errors
    ///
    /// Why it is unknown whether the request ran: an earlier attempt of this
    /// gateway may have run, or one that the caller sent itself and that the
    /// refusing component cannot know. A keeper remembers the ids of
    /// non-idempotent requests only.
    pub fn judge(
        &self,
        refusal: NotRunReason,
        by: RefusedBy,
    ) -> Result<NotRunReason, UnknownReason> {
        if let Some(reason) = self.unknown_reason {
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
