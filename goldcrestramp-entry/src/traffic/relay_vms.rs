//! The other VMs, to which requests can be passed.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::{
    RelayCandidate, ServerLimit, ServerProximity, choose_relay,
};
use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

use crate::{
    records::VmInstance,
    traffic::{
        choose::{AttemptHistory, Destination},
        reason::EndReason,
        request::{RequestOrigin, RoutedRequest},
        server::ServerState,
        state::TrafficState,
    },
    view::FleetView,
};

/// The requests of this VM that may be in flight through another one: they are
/// in the memory of both.
const MAX_PASSED: usize = 64;

/// How long a VM gets no requests for a service after it reached none of its
/// servers either.
const UNREACHABLE_TIME: TimeSpan = TimeSpan::from_millis(500);

/// How long a VM is preferred after it has served a request.
const PROVEN_TIME: TimeSpan = TimeSpan::from_millis(2_000);

/// How long a VM counts as partitioned after it has passed on a request.
const PARTITIONED_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// Another VM, to which requests can be passed.
#[derive(Debug)]
pub(crate) struct RelayVm {
    /// The connections to the VM and the requests in flight through it; it
    /// accepts requests like a server.
    pub(super) server: Rc<ServerState>,
    /// Until when it counts as one that serves requests.
    proven_until: Cell<LocalTime>,
    /// The services whose servers it does not reach either, each with the time
    /// until which it gets no requests for them.
    unreachable: RefCell<FastMap<Arc<str>, LocalTime>>,
}

impl RelayVm {
    fn open(now: LocalTime, vm: &VmInstance) -> Option<Self> {
        let instance = ServerInstance {
            id: Arc::clone(&vm.vm),
            started_ms: vm.start,
            address: vm.relay_address?,
        };
        let limit = ServerLimit::relay(now, MAX_PASSED);
        let server = ServerState::open(instance, limit, MAX_PASSED);
        Some(Self {
            server: Rc::new(server),
            proven_until: Cell::default(),
            unreachable: RefCell::default(),
        })
    }

    /// Records that the VM has served a request.
    pub(super) fn record_served(&self, now: LocalTime) {
        self.proven_until.set(now + PROVEN_TIME);
    }

    /// Stops passing requests for a service to the VM for a while: it reaches
    /// no server of the service either.
    pub(super) fn record_unreachable(
        &self,
        now: LocalTime,
        service: &Arc<str>,
    ) {
        let mut unreachable = self.unreachable.borrow_mut();
        unreachable.insert(Arc::clone(service), now + UNREACHABLE_TIME);
    }

    /// The limit of requests for a service in flight through the VM; 0 if none
    /// may be passed to it now.
    fn limit(&self, now: LocalTime, service: &str) -> usize {
        let unreachable = self.unreachable.borrow().get(service).copied();
        if unreachable.is_some_and(|until| now < until) {
            return 0;
        }
        self.server.limit(now)
    }
}

/// The VM to which a request is passed.
#[derive(Debug)]
pub(crate) struct ChosenVm {
    pub(crate) relay: Rc<RelayVm>,
    pub(crate) proximity: ServerProximity,
}

/// The other VMs as far as requests were passed to them or by them.
#[derive(Debug, Default)]
pub(crate) struct RelayVms {
    /// By the number that identifies the VM's instance.
    known: FastMap<u64, Rc<RelayVm>>,
    /// The VMs that passed on requests, each with the time until which it
    /// counts as partitioned.
    partitioned: FastMap<Arc<str>, LocalTime>,
}

impl RelayVms {
    /// Drops the VMs that have no entry any more.
    pub(super) fn retain_listed(&mut self, now: LocalTime, view: &FleetView) {
        self.known
            .retain(|start, _vm| view.vms.iter().any(|vm| vm.start == *start));
        self.partitioned.retain(|_vm, until| *until > now);
    }

    fn get(&mut self, now: LocalTime, vm: &VmInstance) -> Option<Rc<RelayVm>> {
        if let Some(known) = self.known.get(&vm.start) {
            return Some(Rc::clone(known));
        }
        let opened = Rc::new(RelayVm::open(now, vm)?);
        self.known.insert(vm.start, Rc::clone(&opened));
        Some(opened)
    }
}

/// Chooses the VM to which a request is passed, as this VM reaches no server
/// of its service.
pub(super) fn choose_vm(
    state: &TrafficState,
    view: &FleetView,
    request: &RoutedRequest,
    now: LocalTime,
    history: &AttemptHistory,
) -> Destination {
    if request.origin == RequestOrigin::Vm {
        return Destination::Refused(EndReason::Unreachable.into());
    }
    let regions = state.region_filter(view, &request.route);
    let mut relays = state.relays.borrow_mut();
    let mut usable: Vec<(RelayCandidate, Rc<RelayVm>)> = Vec::new();
    for vm in &view.vms {
        if vm.vm == state.settings.vm
            || history.passed_to.contains(&vm.vm)
            || !regions.allows(&vm.domain)
        {
            continue;
        }
        let Some(relay) = relays.get(now, vm) else { continue };
        let candidate = RelayCandidate {
            proximity: state.proximity_of(&vm.domain),
            limit: relay.limit(now, &request.service),
            in_flight: relay.server.in_flight(),
            is_proven: now < relay.proven_until.get(),
        };
        usable.push((candidate, relay));
    }
    // All VMs list each other in the same order.
    let start = rand::random_range(0..usable.len().max(1));
    usable.rotate_left(start);
    let candidates: Vec<RelayCandidate> =
        usable.iter().map(|(candidate, _vm)| *candidate).collect();
    match choose_relay(&candidates) {
        Some(position) => {
            let (candidate, relay) = usable.swap_remove(position);
            let proximity = candidate.proximity;
            Destination::Vm(ChosenVm { relay, proximity })
        }
        None => Destination::Refused(EndReason::Unreachable.into()),
    }
}

impl TrafficState {
    /// Records that a VM passed on a request.
    pub(super) fn record_relayed(&self, now: LocalTime, vm: &Arc<str>) {
        self.metrics.relayed.inc();
        let until = now + PARTITIONED_TIME;
        let mut relays = self.relays.borrow_mut();
        relays.partitioned.insert(Arc::clone(vm), until);
    }

    /// The number of VMs, of one failure domain or of all, that send to
    /// servers: those that pass their requests on leave their shares to the
    /// others. At least 1.
    pub(super) fn senders(
        &self,
        now: LocalTime,
        view: &FleetView,
        domain: Option<&str>,
    ) -> usize {
        let relays = self.relays.borrow();
        if domain.is_none() && relays.partitioned.is_empty() {
            return view.vms.len().max(1);
        }
        let is_inside = |vm: &&VmInstance| {
            domain.is_none_or(|domain| *vm.domain == *domain)
        };
        let is_sending = |vm: &&VmInstance| {
            let until = relays.partitioned.get(&vm.vm);
            until.is_none_or(|until| *until <= now)
        };
        let inside = view.vms.iter().filter(is_inside);
        inside.filter(is_sending).count().max(1)
    }
}
