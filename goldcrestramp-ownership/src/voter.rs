//! A voter: confirms one steward at a time, from memory alone.

use goldcrestramp_types::LocalTime;

use crate::{
    message::{ConfirmAnswer, ConfirmAsk},
    timing::TermTiming,
};

/// What a VM remembers as a voter.
#[derive(Clone, Debug)]
pub struct VoterState {
    silent_until: LocalTime,
    timing: TermTiming,
    latest: Option<(ConfirmAsk, LocalTime)>,
}

impl VoterState {
    /// A voter whose process started at `started`.
    ///
    /// It confirms nobody for a lease time: by then all that an earlier
    /// process on this VM may have confirmed has lapsed, so nothing needs
    /// to be stored.
    #[must_use]
    pub fn new(started: LocalTime, timing: TermTiming) -> Self {
        let silent_until = started + timing.lengthened(timing.lease);
        Self { silent_until, timing, latest: None }
    }

    /// Answers a steward that asks to be confirmed.
    pub fn confirm(
        &mut self,
        now: LocalTime,
        ask: &ConfirmAsk,
    ) -> ConfirmAnswer {
        if now < self.silent_until {
            return ConfirmAnswer::Silent;
        }
        if let Some((latest, at)) = &self.latest {
            let missed = now.since(*at) >= self.timing.missed_after;
            let other = ask.term != latest.term;
            if ask.term < latest.term || (other && !missed) {
                return ConfirmAnswer::Refused { highest: latest.term };
            }
        }
        self.latest = Some((ask.clone(), now));
        ConfirmAnswer::Confirmed
    }

    /// The steward last confirmed, and when.
    #[must_use]
    pub fn latest(&self) -> Option<(&ConfirmAsk, LocalTime)> {
        self.latest.as_ref().map(|(ask, at)| (ask, *at))
    }
}
