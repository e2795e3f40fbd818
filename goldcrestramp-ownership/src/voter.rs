//! A voter: confirms one steward at a time and stores nothing on disk.

use goldcrestramp_types::LocalTime;

use crate::{
    message::{ConfirmAnswer, ConfirmAsk},
    safeguard::Safeguard,
    timing::TermTiming,
};

/// The state of a VM as a voter, which is lost when its process ends.
#[derive(Clone, Debug)]
pub struct VoterState {
    silent_until: LocalTime,
    timing: TermTiming,
    latest: Option<(ConfirmAsk, LocalTime)>,
    roster: Option<u64>,
    floor: u64,
}

impl VoterState {
    /// Creates a voter whose process started at `started`.
    ///
    /// It confirms nobody for a lease time. Whatever an earlier process on
    /// this VM has confirmed has lapsed by then, so nothing needs to be
    /// stored.
    #[must_use]
    pub fn new(started: LocalTime, timing: TermTiming) -> Self {
        let mut silent_until = started;
        if timing.safeguards.has(Safeguard::SilentStart) {
            silent_until = started + timing.lengthened(timing.lease);
        }
        Self { silent_until, timing, latest: None, roster: None, floor: 0 }
    }

    /// Sets the roster version that the store has, after a start.
    ///
    /// A voter that lost a newer roster could complete the majority of a
    /// candidate with an old roster. That majority need not overlap the
    /// current one, so there could be two stewards. Until a voter knows a
    /// version, it confirms only a steward that a majority already
    /// confirms.
    pub fn learn_roster(&mut self, version: u64) {
        if self.roster.is_none() {
            self.roster = Some(version);
        }
    }

    /// Sets the plan version that the store has, after a start.
    ///
    /// A steward with a plan from before a slice left its domain would
    /// grant that slice again, although another domain may own it by now.
    pub fn learn_plan(&mut self, version: u64) {
        if self.latest.is_none() {
            self.floor = self.floor.max(version);
        }
    }

    /// Answers a steward or candidate that asks to be confirmed.
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

    /// The last confirmed request, and when it was confirmed.
    #[must_use]
    pub fn latest(&self) -> Option<(&ConfirmAsk, LocalTime)> {
        self.latest.as_ref().map(|(ask, at)| (ask, *at))
    }

    fn knows_roster(&self, ask: &ConfirmAsk) -> bool {
        self.roster.is_some()
            || ask.established
            || !self.timing.safeguards.has(Safeguard::RosterStep)
    }

    /// The highest known term if the request has to be refused.
    fn refusal(
        &self,
        now: LocalTime,
        ask: &ConfirmAsk,
    ) -> Option<goldcrestramp_types::TermId> {
        let latest = self.latest.as_ref();
        let highest = latest.map(|(ask, _)| ask.term).unwrap_or_default();
        // An old roster's majority need not overlap the newest one's.
        let old = self.roster.is_some_and(|version| ask.roster < version);
        if old && self.timing.safeguards.has(Safeguard::RosterStep) {
            return Some(highest);
        }
        if ask.plan < self.floor {
            return Some(highest);
        }
        let (confirmed, at) = latest?;
        let missed = now.since(*at) >= self.timing.missed_after;
        // The current steward itself may start a higher term at once.
        let other = (ask.term.vm, ask.term.start)
            != (confirmed.term.vm, confirmed.term.start);
        (ask.term < confirmed.term || (other && !missed)).then_some(highest)
    }
}
