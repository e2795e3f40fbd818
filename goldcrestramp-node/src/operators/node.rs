//! Implements the operators' interface for a daemon.

use std::sync::{Arc, Mutex, PoisonError};

use goldcrestramp_config::{ChangeTicket, DeploymentState};
use goldcrestramp_platform::PlatformClient;
use goldcrestramp_types::{LocalTime, ServiceName};
use xtra::Address;

use super::{
    apply::{ApplyOutcome, apply_ticket},
    control::{OperatorControl, OperatorRefusal},
    report::{ExplainReport, StatusReport, StewardView},
    show::{self, TrafficState},
};
use crate::{
    context::NodeContext,
    control::{
        ConfigNotice, ControlActor, ControlLinks, ControlStatus, StatusAsk,
    },
};

/// The [`OperatorControl`] of one daemon.
#[derive(Clone, Debug)]
pub(crate) struct NodeOperators {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) actor: Address<ControlActor>,
    pub(crate) store: PlatformClient,
    links: ControlLinks,
    /// The last view received from the steward.
    known: Arc<Mutex<Option<KnownView>>>,
}

/// A steward's view and the time at which it was received.
#[derive(Clone, Debug)]
struct KnownView {
    view: StewardView,
    received_at: LocalTime,
}

impl NodeOperators {
    pub(crate) fn new(
        context: Arc<NodeContext>,
        actor: Address<ControlActor>,
        store: PlatformClient,
    ) -> Self {
        let links = ControlLinks::new(Arc::clone(&context));
        Self { context, actor, store, links, known: Arc::default() }
    }

    /// The view of this failure domain's steward: this VM's own if it is the
    /// steward, else the steward's response, else its last response, with its
    /// age.
    async fn view(&self, status: &ControlStatus) -> Option<StewardView> {
        let received = match &status.steward_seen {
            _ if status.steward.leading => {
                let now = self.context.now();
                show::steward_view(self.context.vm(), status, now)
            }
            Some((_, address)) => {
                let view = self.links.view(address).await;
                view.and_then(|view| serde_json::from_slice(&view).ok())
            }
            None => None,
        };
        let known = self.known.lock();
        let mut known = known.unwrap_or_else(PoisonError::into_inner);
        if let Some(view) = received {
            *known = Some(KnownView { view, received_at: self.context.now() });
        }
        let KnownView { mut view, received_at } = known.clone()?;
        view.age_ms += self.context.now().since(received_at).as_millis();
        Some(view)
    }

    async fn control_status(&self) -> Option<ControlStatus> {
        self.actor.send(StatusAsk).await.ok()
    }

    fn traffic_state(&self) -> TrafficState {
        let metrics = &self.context.metrics;
        TrafficState {
            leaving: self.context.leaving(),
            requests: self.context.requests() as u64,
            refused: with_owned_codes(metrics.not_run_counts()),
            unknown: with_owned_codes(metrics.unknown_counts()),
            retried: with_owned_codes(metrics.retry_counts()),
        }
    }
}

impl OperatorControl for NodeOperators {
    async fn status(&self) -> Option<StatusReport> {
        let status = self.control_status().await?;
        let settings = &self.context.settings;
        let traffic = self.traffic_state();
        let view = self.view(&status).await;
        let now = self.context.now();
        Some(show::status_report(settings, traffic, &status, view, now))
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
        let view = self.view(&status).await;
        let now = self.context.now();
        let kept = self.context.view.load_full();
        let token = |slice| {
            let kept = kept.find(now, service, slice)?;
            Some(kept.pass.token)
        };
        let settings = &self.context.settings;
        let view = view.as_ref();
        show::explain_report(settings, &status, view, service, key, token, now)
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
        if !self.context.is_ready() {
            return Err("no routing table yet");
        }
        Ok(())
    }

    fn count_refusal(&self, refusal: OperatorRefusal) {
        self.context.metrics.count_operator_refusal(refusal.code());
    }
}

fn with_owned_codes(
    counts: impl Iterator<Item = (&'static str, u64)>,
) -> Vec<(String, u64)> {
    counts.map(|(code, count)| (code.to_owned(), count)).collect()
}
