//! The daemon behind its operators' listener.

use std::sync::Arc;

use goldcrestramp_config::{ChangeTicket, DeploymentState};
use goldcrestramp_platform::PlatformClient;
use goldcrestramp_types::ServiceName;
use xtra::Address;

use super::{
    apply::{ApplyOutcome, apply_ticket},
    control::{OperatorControl, OperatorRefusal},
    report::{ExplainReport, StatusReport},
    show::{self, TrafficState},
};
use crate::{
    context::NodeContext,
    control::{ConfigNotice, ControlActor, ControlStatus, StatusAsk},
};

/// One daemon, as its operators' listener sees it.
#[derive(Clone, Debug)]
pub(crate) struct NodeOperators {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) actor: Address<ControlActor>,
    pub(crate) store: PlatformClient,
}

impl NodeOperators {
    async fn control_status(&self) -> Option<ControlStatus> {
        self.actor.send(StatusAsk).await.ok()
    }

    fn traffic_state(&self) -> TrafficState {
        let refused = self.context.metrics.not_run_counts();
        let refused = refused.map(|(code, count)| (code.to_owned(), count));
        TrafficState {
            leaving: self.context.leaving(),
            requests: self.context.requests() as u64,
            refused: refused.collect(),
        }
    }
}

impl OperatorControl for NodeOperators {
    async fn status(&self) -> Option<StatusReport> {
        let status = self.control_status().await?;
        let settings = &self.context.settings;
        let traffic = self.traffic_state();
        let now = self.context.now();
        Some(show::status_report(settings, traffic, &status, now))
    }

    async fn config(&self) -> Option<DeploymentState> {
        let config = self.control_status().await?.config;
        Some(
            config.map_or_else(DeploymentState::default, Arc::unwrap_or_clone),
        )
    }

    async fn explain(
        &self,
        service: &ServiceName,
        key: &str,
    ) -> Option<ExplainReport> {
        let status = self.control_status().await?;
        let now = self.context.now();
        let view = self.context.view.load_full();
        let token = |slice| {
            let kept = view.find(now, service, slice)?;
            Some(kept.pass.token)
        };
        let settings = &self.context.settings;
        show::explain_report(settings, &status, service, key, token, now)
    }

    async fn apply(&self, ticket: ChangeTicket) -> ApplyOutcome {
        let Some(status) = self.control_status().await else {
            return ApplyOutcome::NotApplied("the daemon is ending".into());
        };
        let empty = || Arc::new(DeploymentState::default());
        let held = status.config.unwrap_or_else(empty);
        let outcome = apply_ticket(&self.store, &held, &ticket).await;
        if let ApplyOutcome::Accepted(state)
        | ApplyOutcome::AcceptedAlready(state) = &outcome
        {
            let state = Arc::new(DeploymentState::clone(state));
            drop(self.actor.send(ConfigNotice(state)).await);
        }
        outcome
    }

    fn metrics(&self) -> String {
        let metrics = &self.context.metrics;
        metrics.show_store_calls(&self.store.counts());
        metrics.encode().unwrap_or_default()
    }

    fn readiness(&self) -> Result<(), &'static str> {
        if self.context.leaving() {
            return Err("the daemon is being stopped");
        }
        if self.context.table.load().is_empty() {
            return Err("no routing table yet");
        }
        Ok(())
    }

    fn count_refusal(&self, refusal: OperatorRefusal) {
        self.context.metrics.count_operator_refusal(refusal.code());
    }
}
