//! A voter: confirms one steward at a time, from memory alone.

use goldcrestramp_types::LocalTime;

use crate::{
    message::{ConfirmAnswer, ConfirmAsk},
    safeguard::Safeguard,
    timing::TermTiming,
};

/// What a VM remembers as a voter.
#[derive(Clone, Debug)]
pub struct VoterState {
    silent_until: LocalTime,
    timing: TermTiming,
    latest: Option<(ConfirmAsk, LocalTime)>,
    roster: Option<u64>,
    floor: u64,
}

impl VoterState {
    /// A voter whose process started at `started`.
    ///
    /// It confirms nobody for a lease time: by then all that an earlier
    /// process on this VM may have confirmed has lapsed, so nothing needs
    /// to be stored.
    #[must_use]
    pub fn new(started: LocalTime, timing: TermTiming) -> Self {
        let mut silent_until = started;
        if timing.safeguards.has(Safeguard::SilentStart) {
            silent_until = started + timing.lengthened(timing.lease);
        }
        Self { silent_until, timing, latest: None, roster: None, floor: 0 }
    }

    /// Takes the roster version that the store has, after a start.
    ///
    /// A voter that forgot a newer roster could give a candidate with an
    /// old one its majority, which need not meet the present one: two
    /// stewards. So a voter that knows no version confirms only a steward
    /// that a majority confirms already.
    pub fn learn_roster(&mut self, version: u64) {
        if self.roster.is_none() {
            self.roster = Some(version);
        }
    }

    /// Takes the plan's version that the store has, after a start.
    ///
    /// A steward with a plan from before a slice left its domain would
    /// grant that slice again, which another domain may own by now.
    pub fn learn_plan(&mut self, version: u64) {
        if self.latest.is_none() {
            self.floor = self.floor.max(version);
        }
    }

    /// Answers a steward that asks to be confirmed.
    pub fn confirm(
        &mut self,
        now: LocalTime,
        ask: &ConfirmAsk,
    ) -> ConfirmAnswer {
        if now < self.silent_until || !self.knows_roster(ask) {
            return ConfirmAnswer::Silent;
        }
        if let Some(highest) = self.refusal(now, ask) {
            return ConfirmAnswer::Refused { highest };
        }
        self.roster = self.roster.max(Some(ask.roster));
        self.floor = self.floor.max(ask.floor);
        self.latest = Some((ask.clone(), now));
        ConfirmAnswer::Confirmed
    }

    /// The steward last confirmed, and when.
    #[must_use]
    pub fn latest(&self) -> Option<(&ConfirmAsk, LocalTime)> {
        self.latest.as_ref().map(|(ask, at)| (ask, *at))
    }

    fn knows_roster(&self, ask: &ConfirmAsk) -> bool {
        self.roster.is_some()
            || ask.established
            || !self.timing.safeguards.has(Safeguard::RosterStep)
    }

    /// The highest term known, if the question has to be refused.
    fn refusal(
        &self,
        now: LocalTime,
        ask: &ConfirmAsk,
    ) -> Option<goldcrestramp_types::TermId> {
        let latest = self.latest.as_ref();
        let highest = latest.map(|(ask, _)| ask.term).unwrap_or_default();
        // An old roster's majority need not meet the newest one's.
        let old = self.roster.is_some_and(|version| ask.roster < version);
        if old && self.timing.safeguards.has(Safeguard::RosterStep) {
            return Some(highest);
        }
        if ask.plan < self.floor {
            return Some(highest);
        }
        let (confirmed, at) = latest?;
        let missed = now.since(*at) >= self.timing.missed_after;
        // The present steward itself may go on to a higher term at once.
        let other = (ask.term.vm, ask.term.start)
            != (confirmed.term.vm, confirmed.term.start);
        (ask.term < confirmed.term || (other && !missed)).then_some(highest)
    }
}
