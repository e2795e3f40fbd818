//! The actor that holds the state of the control thread.

use std::sync::{Arc, Weak};

use goldcrestramp_adapter::{CONFIGURATION_KEY, NodeSettings};
use goldcrestramp_assignment::{PreviousPlanner, last_grant_sent};
use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};
use tokio::sync::watch;
use xtra::Address;

use crate::{
    configuration::ConfigurationHistory,
    control::{
        claim::{claim, stop_previous_planner},
        demand::ShareBoard,
        lease::LeaseTerms,
        load::{LoadRecorder, LoadReport},
        message::{ClaimEnded, LeaseProof},
        order::OrderGate,
        permits::PermitMailbox,
        ranking::{claim_delay, is_large},
        reach::PARTITIONED_CLAIM_DELAY,
        retries::RetryRecorder,
        service::GRANT_DURATION,
        sync::SyncState,
        tables::ReplicaTracker,
        term::PlannerTerm,
    },
    crashes::CrashBoard,
    history::TableHistory,
    http::{CallPool, CloseMode, TimeoutScope},
    metrics::EntryMetrics,
    mirror::StoreMirror,
    notices::{NoticeBoard, NoticeReport},
    peers::{PeerCall, PeerClient},
    reach::ReachTracker,
    records::{PLANNER_KEY, VmInstance, decode},
    shared::SharedState,
    store::StoreClient,
    view::{FleetView, ViewBuilder},
};

/// How long a planner keeps renewing grants after the last proof that its
/// lease was alive. With this value an outage of the store of 12 s leaves no
/// key without its owner.
///
/// Renewing what the table grants is safe, because a later planner takes keys
/// back with a higher token. That planner waits for this time to pass only
/// for a server that it cannot reach.
pub(crate) const MAX_PROOF_AGE: TimeSpan = TimeSpan::from_millis(12_000);

/// How often a VM reports its load to the planner.
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(400);

/// The state of this VM's claim to be the planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimStage {
    /// There is no claim.
    None,
    /// The claim waits for a lease on short terms.
    AwaitingLease,
    /// The claim has been sent to the store.
    InFlight,
}

/// The control actor of one VM.
#[derive(Debug)]
pub struct ControlActor {
    pub(crate) me: VmInstance,
    /// The region of each failure domain.
    pub(crate) regions: FastMap<Arc<str>, Arc<str>>,
    /// How long a grant is valid.
    pub(crate) grant_duration: TimeSpan,
    /// Whether capacity that all VMs share is allotted to them.
    pub(crate) load_control: bool,
    /// The time within which a configuration must be in force.
    pub(crate) configuration_limit: TimeSpan,
    /// Since when this VM has deferred a read of the store, if it does.
    pub(crate) deferred_since: Option<LocalTime>,
    pub(crate) store: Arc<StoreClient>,
    pub(crate) orders: Arc<CallPool>,
    pub(crate) peers: PeerClient,
    pub(crate) address: Address<Self>,
    pub(crate) mirror: StoreMirror,
    pub(crate) history: TableHistory,
    pub(crate) configurations: ConfigurationHistory,
    pub(crate) replicas: ReplicaTracker,
    builder: ViewBuilder,
    pub(crate) view: Arc<FleetView>,
    pub(crate) view_sender: watch::Sender<Arc<FleetView>>,
    revision_sender: watch::Sender<u64>,
    pub(crate) sync: SyncState,
    loads: LoadRecorder,
    pub(crate) shares: ShareBoard,
    pub(crate) retries: RetryRecorder,
    pub(crate) permits: PermitMailbox,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) reach: ReachTracker,
    pub(crate) notices: NoticeBoard,
    pub(crate) crashes: CrashBoard,
    report_at: LocalTime,
    pub(crate) lease: Option<u64>,
    /// The terms of the current lease.
    lease_terms: LeaseTerms,
    /// The terms that the lease should have; `None` until they are known.
    wanted_terms: watch::Sender<Option<LeaseTerms>>,
    /// When the last call that proved the lease alive was sent.
    pub(crate) proof: LocalTime,
    /// The last known planner before this VM, with the time at which it was
    /// first known to plan.
    pub(crate) previous_planner: Option<(VmInstance, LocalTime)>,
    vacant_since: Option<LocalTime>,
    /// When the planner's record is to be removed, or removed again, after
    /// this VM has given up the role.
    pub(crate) removal_due_at: Option<LocalTime>,
    claim: ClaimStage,
    /// Whether a query to another VM is in flight while the store does not
    /// respond.
    pub(crate) query_in_flight: bool,
    pub(crate) term: Option<PlannerTerm>,
    /// The gates of ended terms, kept alive by orders in flight.
    ending_gates: Vec<Weak<OrderGate>>,
    pub(crate) stopping: bool,
}

impl ControlActor {
    pub(crate) fn new(
        me: VmInstance,
        settings: &NodeSettings,
        store: Arc<StoreClient>,
        shared: SharedState,
        view_sender: watch::Sender<Arc<FleetView>>,
        address: Address<Self>,
    ) -> Self {
        /// A server's response to an order is a few bytes.
        const MAX_ORDER_RESPONSE_BYTES: usize = 64 * 1024;
        let orders = CallPool::open(
            CloseMode::Reset,
            TimeoutScope::FullResponse,
            MAX_ORDER_RESPONSE_BYTES,
        );
        Self {
            me,
            regions: settings.regions.clone(),
            grant_duration: GRANT_DURATION.min(settings.max_grant_duration),
            load_control: settings.load_control,
            configuration_limit: settings.configuration_limit,
            deferred_since: None,
            store,
            orders: Arc::new(orders),
            peers: PeerClient::open(),
            address,
            mirror: StoreMirror::default(),
            history: TableHistory::default(),
            configurations: ConfigurationHistory::default(),
            replicas: ReplicaTracker::default(),
            builder: ViewBuilder::default(),
            view: Arc::default(),
            view_sender,
            revision_sender: watch::channel(0).0,
            sync: SyncState::open(shared.clock),
            loads: shared.loads,
            shares: shared.shares,
            retries: shared.retries,
            permits: shared.permits,
            metrics: shared.metrics,
            reach: shared.reach,
            notices: shared.notices,
            crashes: shared.crashes,
            report_at: LocalTime::default(),
            lease: None,
            lease_terms: LeaseTerms::SHORT,
            wanted_terms: watch::channel(None).0,
            proof: LocalTime::default(),
            previous_planner: None,
            vacant_since: None,
            removal_due_at: None,
            claim: ClaimStage::None,
            query_in_flight: false,
            term: None,
            ending_gates: Vec::new(),
            stopping: false,
        }
    }

    /// Applies the current contents of the mirror, and sends a new view to the
    /// traffic thread if it changed.
    pub(crate) fn refresh(&mut self, now: LocalTime) {
        self.history.record(&self.mirror);
        if let Some(item) = self.mirror.extract(CONFIGURATION_KEY) {
            self.configurations.apply_value(&item);
        }
        let since = self.sync.changed_since(now);
        let newest = self.configurations.newest();
        let view = self.builder.build(now, since, &self.mirror, newest);
        if let Some(view) = view {
            let view = Arc::new(view);
            self.view = Arc::clone(&view);
            self.view_sender.send_replace(view);
        }
        let revision = self.mirror.revision();
        self.update_gauges(revision);
        let last_change_revision = self.mirror.last_change_revision();
        self.revision_sender.send_if_modified(|known| {
            let newer = last_change_revision > *known;
            *known = last_change_revision.max(*known);
            newer
        });
        self.check_term(now);
        self.choose_terms();
    }

    /// Chooses the terms of the lease from the known VMs.
    fn choose_terms(&self) {
        let claims = self.claim != ClaimStage::None;
        let plans = claims || self.term.is_some();
        let terms = if plans || is_large(&self.me, &self.view.vms) {
            LeaseTerms::SHORT
        } else {
            LeaseTerms::LONG
        };
        self.request_terms(terms);
    }

    fn request_terms(&self, terms: LeaseTerms) {
        self.wanted_terms
            .send_if_modified(|wanted| wanted.replace(terms) != Some(terms));
    }

    /// Subscribes to the views of the fleet.
    pub(crate) fn views(&self) -> watch::Receiver<Arc<FleetView>> {
        self.view_sender.subscribe()
    }

    /// Subscribes to the terms that the lease should have.
    pub(crate) fn wanted_terms(&self) -> watch::Receiver<Option<LeaseTerms>> {
        self.wanted_terms.subscribe()
    }

    fn update_gauges(&self, revision: u64) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let (metrics, view) = (&self.metrics, &self.view);
        let version = view.routes.as_ref().map_or(0, |routes| routes.version);
        metrics.configuration.set(version.cast_signed());
        metrics.revision.set(revision.cast_signed());
        metrics.vms.set(gauge(view.vms.len()));
        metrics.servers.set(gauge(view.servers.len()));
        metrics.planning.set(i64::from(self.term.is_some()));
    }

    /// Sets the metrics that change with time: the age of this VM's copy of
    /// the store, and the services that it does not reach.
    pub(crate) fn update_timed_gauges(&self, now: LocalTime) {
        let age = self.sync.age(now).as_millis();
        self.metrics.news_age.set(age.cast_signed());
        let partitions = i64::try_from(self.reach.partitions());
        self.metrics.partitions.set(partitions.unwrap_or(i64::MAX));
    }

    /// The record of the planning VM, with its revision.
    pub(crate) fn planner(&self) -> Option<(VmInstance, u64)> {
        let item = self.mirror.get(PLANNER_KEY)?;
        Some((decode(&item.value)?, item.revision))
    }

    /// Ends the term if the planner's record names another VM.
    fn check_term(&mut self, now: LocalTime) {
        let Some((planner, revision)) = self.planner() else { return };
        if planner == self.me {
            return;
        }
        let known = self.previous_planner.as_ref();
        let is_known = known.is_some_and(|(previous_planner, _at)| {
            *previous_planner == planner
        });
        if !is_known {
            log::info!("[control] VM {} is now the planner.", planner.vm);
        }
        if self.term.as_ref().is_some_and(|term| term.revision < revision) {
            log::warn!("[control] This VM is no longer the planner.");
            self.end_term();
        }
        if !is_known {
            self.previous_planner = Some((planner, now));
        }
    }

    /// Claims to be the planner if no other VM is.
    pub(crate) fn claim_if_vacant(&mut self, now: LocalTime) {
        let idle = self.term.is_none()
            && self.claim != ClaimStage::InFlight
            && self.removal_due_at.is_none()
            && !self.stopping;
        let Some(lease) = self.lease.filter(|_| idle) else { return };
        let known = self.planner();
        // The record of an earlier instance of this process remains until its
        // lease expires; that instance has certainly ended. A record of this
        // one, which is not planning, is from a claim whose response was
        // lost. This VM keeps the lease of that record alive, so without a
        // new claim no VM could plan.
        let own = known
            .as_ref()
            .is_some_and(|(planner, _)| planner.vm == self.me.vm);
        if self.mirror.revision() == 0 || (known.is_some() && !own) {
            self.vacant_since = None;
            self.claim = ClaimStage::None;
            return;
        }
        let since = *self.vacant_since.get_or_insert(now);
        let mut delay =
            if own { TimeSpan::ZERO } else { claim_delay(self.rank()) };
        if self.is_partitioned() {
            delay = delay.plus(PARTITIONED_CLAIM_DELAY);
        }
        if now.since(since) < delay {
            return;
        }
        // A planner's record must expire soon after its VM fails.
        if self.lease_terms != LeaseTerms::SHORT {
            self.claim = ClaimStage::AwaitingLease;
            self.request_terms(LeaseTerms::SHORT);
            return;
        }
        self.claim = ClaimStage::InFlight;
        let revision = known.map_or(0, |(_, revision)| revision);
        tokio::spawn(claim(
            Arc::clone(&self.store),
            self.me.clone(),
            revision,
            lease,
            self.address.clone(),
        ));
    }

    /// The number of live VMs that claim before this one.
    fn rank(&self) -> usize {
        let own = self.me.duty_rank();
        self.view.vms.iter().filter(|vm| vm.duty_rank() > own).count()
    }

    /// Handles the end of a claim.
    pub(crate) fn claim_ended(&mut self, now: LocalTime, ended: ClaimEnded) {
        self.claim = ClaimStage::None;
        self.vacant_since = None;
        let Some(revision) = ended.won_revision else { return };
        if self.stopping
            || self.planner().is_some_and(|(_, known)| known > revision)
        {
            return;
        }
        // The lease has changed since the claim, so the record expires or has
        // expired.
        if self.lease != Some(ended.lease) {
            return;
        }
        for item in ended.tables.items {
            self.mirror.write(item);
        }
        let previous_planner = self.previous_planner.take();
        log::info!(
            "[control] This VM plans from revision {revision} on; the \
             previous planner is {}.",
            previous_planner.as_ref().map_or("unknown", |(vm, _at)| &vm.vm)
        );
        // An earlier instance of this process has ended. If this one planned
        // itself, it may have had a successor since it lost its lease. A
        // successor that this VM does not know of may be cut off from the
        // store and still renew grants.
        let known = match &previous_planner {
            Some((vm, at))
                if vm.vm == self.me.vm && vm.start != self.me.start =>
            {
                PreviousPlanner::Stopped { planned_by: *at }
            }
            _ => PreviousPlanner::MayRenew,
        };
        let last_grant_at = last_grant_sent(now, known, MAX_PROOF_AGE);
        self.term = Some(PlannerTerm::open(
            revision,
            ended.lease,
            ended.sent_at,
            last_grant_at,
        ));
        let other = previous_planner.filter(|(vm, _at)| vm.vm != self.me.vm);
        if let Some((previous_planner, planned_by)) = other {
            tokio::spawn(stop_previous_planner(
                self.peers.clone(),
                previous_planner,
                planned_by,
                self.address.clone(),
            ));
        }
        self.refresh(now);
    }

    /// Ends the term. Orders in flight are its last ones.
    pub(crate) fn end_term(&mut self) {
        if let Some(term) = self.term.take() {
            self.ending_gates.push(Arc::downgrade(&term.gate));
        }
    }

    /// Whether an order of an ended term may still be in flight.
    pub(crate) fn has_orders_in_flight(&mut self) -> bool {
        self.ending_gates.retain(|gate| gate.strong_count() > 0);
        !self.ending_gates.is_empty()
    }

    /// Records the state of the lease, and ends the term if its lease has
    /// expired.
    pub(crate) fn record_lease_proof(&mut self, message: LeaseProof) {
        let LeaseProof { lease, terms, sent_at } = message;
        self.lease = lease;
        self.lease_terms = terms;
        if lease.is_some() {
            self.proof = self.proof.max(sent_at);
            self.sync.record_registration();
        }
        let Some(term) = &mut self.term else { return };
        if lease == Some(term.lease) {
            term.proof = term.proof.max(sent_at);
        } else {
            log::warn!(
                "[control] This VM planned, but its lease has expired."
            );
            self.end_term();
            self.previous_planner = Some((self.me.clone(), sent_at));
        }
    }

    /// Reports this VM's load to the planning VM.
    pub(crate) fn report_load(&mut self, now: LocalTime) {
        if now.since(self.report_at) < REPORT_INTERVAL {
            return;
        }
        self.report_at = now;
        self.report_notices(now);
        let report = self.loads.take();
        if self.load_control {
            self.report_demand(now, report);
            return;
        }
        if report.is_empty() {
            return;
        }
        if self.term.is_some() {
            self.record_load(now, &report);
            return;
        }
        let Some((planner, _)) = self.planner() else { return };
        let peers = self.peers.clone();
        tokio::spawn(async move {
            // A lost report is not retried; the next one makes up for it.
            let _lost =
                peers.call(planner.address, &PeerCall::Load(report)).await;
        });
    }

    /// Reports to the planning VM what owners of keys have stated: they ask
    /// each VM by itself for a backoff, and their entries may not say that
    /// they are leaving, or not be read while the store is away.
    fn report_notices(&mut self, now: LocalTime) {
        let report = self.notices.report(now, &self.me.vm, &self.view);
        let Some(report) = report else { return };
        if self.term.is_some() {
            self.record_notices(now, report);
            return;
        }
        let Some((planner, _)) = self.planner() else { return };
        let peers = self.peers.clone();
        tokio::spawn(async move {
            let call = PeerCall::Notices(report);
            // A lost report is not retried; the next one makes up for it.
            let _lost = peers.call(planner.address, &call).await;
        });
    }

    /// Records what owners of keys have stated to a VM, if this VM plans.
    pub(crate) fn record_notices(
        &mut self,
        now: LocalTime,
        report: NoticeReport,
    ) {
        let Some(term) = &mut self.term else { return };
        for key in report.leaving {
            self.notices.record_leaving(now, key);
        }
        for (key, remaining) in report.backoffs {
            let vm = Arc::clone(&report.vm);
            term.backoffs.record(key, vm, now + remaining);
        }
    }

    /// Records the load of a VM if this VM plans.
    pub(crate) fn record_load(&mut self, now: LocalTime, report: &LoadReport) {
        if let Some(term) = &mut self.term {
            term.record_load(now, report);
        }
    }

    /// Subscribes to the revision up to which this VM knows the relevant
    /// changes of the store.
    pub(crate) fn revisions(&self) -> watch::Receiver<u64> {
        self.revision_sender.subscribe()
    }
}

/// Values by service name.
pub(crate) type ByService<Value> = FastMap<Arc<str>, Value>;
