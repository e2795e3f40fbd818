//! The measurements and planned moves of the control actor while this VM is
//! the steward.

use goldcrestramp_ownership::StewardEvent;

use crate::control::{actor::ControlActor, churn::MoveMeter};

impl ControlActor {
    /// Counts the time for which slices are unserved.
    pub(super) fn count_unserved(&mut self) {
        let now = self.context.now();
        if !self.unserved.is_due(now) {
            return;
        }
        let metrics = &self.context.metrics;
        let counts = self.steward.unserved().unwrap_or_default();
        for (service, slices, span) in self.unserved.sample(now, counts) {
            metrics.count_unserved(&service, slices, span);
        }
    }

    /// Plans moves from the reports and requests them from the steward.
    pub(super) fn plan_moves(&mut self) {
        let now = self.context.now();
        if !self.feed.is_due(now) {
            return;
        }
        let status = self.steward.status(now);
        let set = self.hub.set();
        let Some(config) = set.config.as_ref().filter(|_| status.leading)
        else {
            self.feed.clear();
            return;
        };
        let domain = self.context.domain();
        let moves = self.feed.plan_moves(now, config, domain, &status);
        for (service, imbalance) in self.feed.imbalances() {
            self.context.metrics.set_imbalance(service, *imbalance);
        }
        if !moves.is_empty() {
            log::info!("planner: requesting {} moves.", moves.len());
            self.steward_event(StewardEvent::MovesRequested(moves));
        }
    }

    /// Publishes whether this VM is the steward.
    pub(super) fn publish_leading(&mut self) {
        let leading = self.steward.leads(self.context.now());
        self.context.metrics.set_leading(leading);
        if leading {
            self.hub.record_heard(self.context.domain());
        }
        let changed = self.leading.send_if_modified(|shown| {
            let changed = *shown != leading;
            *shown = leading;
            changed
        });
        if changed && !leading {
            self.clear_domain();
        }
    }

    /// Removes what only a steward knows, which would otherwise be exported
    /// as the current state of the domain.
    fn clear_domain(&mut self) {
        self.reports.clear();
        self.churn = MoveMeter::default();
        self.context.metrics.clear_domain();
    }
}
