//! What the control actor measures while this VM leads.

use goldcrestramp_ownership::StewardEvent;

use crate::control::{actor::ControlActor, churn::MoveMeter};

impl ControlActor {
    /// Counts the time for which slices are not served.
    pub(super) fn count_unserved(&mut self) {
        let now = self.context.now();
        if !self.unserved.due(now) {
            return;
        }
        let metrics = &self.context.metrics;
        let counts = self.steward.unserved().unwrap_or_default();
        for (service, slices, span) in self.unserved.take(now, counts) {
            metrics.count_unserved(&service, slices, span);
        }
    }

    /// Asks the steward for the moves that the reports call for.
    pub(super) fn weigh_moves(&mut self) {
        let now = self.context.now();
        if !self.feed.due(now) {
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
        let moves = self.feed.weigh(now, config, domain, &status);
        for (service, imbalance) in self.feed.imbalances() {
            self.context.metrics.set_imbalance(service, *imbalance);
        }
        if !moves.is_empty() {
            log::info!("planner: {} moves are asked for.", moves.len());
            self.steward_event(StewardEvent::MovesRequested(moves));
        }
    }

    /// Shows whether this VM leads.
    pub(super) fn show_leading(&mut self) {
        let leading = self.steward.leads(self.context.now());
        self.context.metrics.set_leading(leading);
        if leading {
            self.hub.note_heard(self.context.domain());
        }
        let changed = self.leading.send_if_modified(|shown| {
            let changed = *shown != leading;
            *shown = leading;
            changed
        });
        if changed && !leading {
            self.forget_domain();
        }
    }

    /// Forgets what only a steward knows: shown on, it would be taken for
    /// the present state of the domain.
    fn forget_domain(&mut self) {
        self.seen.clear();
        self.churn = MoveMeter::default();
        self.context.metrics.forget_domain();
    }
}
