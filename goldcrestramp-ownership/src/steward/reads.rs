//! The answers of the store.

use std::sync::Arc;

use goldcrestramp_types::LocalTime;

use super::{StewardEffect, StewardMachine, StewardRole};
use crate::{
    plan::{DomainPlan, DomainRecord},
    roster::{RosterVoter, VoterRoster},
};

impl StewardMachine {
    pub(super) fn roster_read(
        &mut self,
        now: LocalTime,
        read: Option<VoterRoster>,
    ) -> Vec<StewardEffect> {
        let Some(read) = read else {
            return self.roster_missing();
        };
        let learn = StewardEffect::LearnRoster(read.version);
        let known = self.knowledge.roster.as_ref();
        if let Some(known) = known.filter(|k| k.version > read.version) {
            // The store was restored with older data.
            return vec![StewardEffect::SaveRoster(known.clone())];
        }
        self.knowledge.roster = Some(read.clone());
        if let StewardRole::Leading(leading) = &mut self.role {
            leading.roster.complete();
            let counted = leading.claim.counted.version;
            if read.version == counted + 1 {
                leading.claim.next = Some(read);
                leading.claim.request_soon();
            } else if read.version > counted + 1 {
                self.follow(now);
            }
        }
        vec![learn]
    }

    /// Saves the known roster if the store has none. The first VM of an
    /// empty domain creates a roster of itself alone.
    pub(super) fn roster_missing(&mut self) -> Vec<StewardEffect> {
        let roster = self.knowledge.roster.clone().unwrap_or_else(|| {
            let me = RosterVoter {
                vm: self.me.vm.clone(),
                address: Arc::clone(&self.me.address),
            };
            let domain = self.me.domain.clone();
            VoterRoster { domain, version: 1, voters: vec![me] }
        });
        vec![StewardEffect::SaveRoster(roster)]
    }

    pub(super) fn roster_saved(
        &mut self,
        now: LocalTime,
        saved: Result<VoterRoster, ()>,
    ) -> Vec<StewardEffect> {
        if let Ok(roster) = saved {
            let version = roster.version;
            let mut effects = self.roster_read(now, Some(roster));
            effects.extend(self.roster_reduced(now, version));
            return effects;
        }
        if let StewardRole::Leading(leading) = &mut self.role {
            leading.roster.complete();
        }
        vec![StewardEffect::ReadRoster]
    }

    pub(super) fn plan_read(
        &mut self,
        now: LocalTime,
        plan: &Arc<DomainPlan>,
    ) -> Vec<StewardEffect> {
        if !self.knowledge.apply_plan(Arc::clone(plan)) {
            return Vec::new();
        }
        let learn = StewardEffect::LearnPlan(plan.version);
        if let StewardRole::Leading(leading) = &mut self.role {
            leading.apply_plan(now, plan);
            let floor = self.knowledge.floor;
            leading.claim.set_plan(now, plan.version, floor);
            leading.claim.request_soon();
        }
        vec![learn]
    }

    pub(super) fn record_read(
        &mut self,
        now: LocalTime,
        read: Option<DomainRecord>,
    ) -> Vec<StewardEffect> {
        let token = read.as_ref().map(|read| read.token).unwrap_or_default();
        let older = self.knowledge.merge_record(read);
        let StewardRole::Leading(leading) = &mut self.role else {
            return Vec::new();
        };
        if token.term > leading.claim.term {
            self.start_higher_term(now, token.term);
            return Vec::new();
        }
        if older {
            leading.records.reset_saved();
        } else {
            leading.records.acknowledge(now, token);
        }
        leading.reconsider();
        Vec::new()
    }
}
