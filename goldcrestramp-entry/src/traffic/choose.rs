//! Where a request goes now.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use goldcrestramp_adapter::{RouteEffect, ServerEntry};
use goldcrestramp_assignment::{AssignmentPhase, ServerInstance};
use goldcrestramp_decisions::{
    DenialAction, OwnerDenial, PoolCandidate, PoolChoice, ResponseTimes,
    ServerProximity, choose_server, denial_action,
};
use goldcrestramp_types::{LocalTime, SliceIndex, TimeSpan};

use crate::{
    traffic::{
        reason::EndReason,
        request::RoutedRequest,
        server::{RequestQueue, ServerState},
        state::TrafficState,
    },
    view::FleetView,
};

/// A server that leaves gets no new request after this part of the time
/// that operators allow; its keys are elsewhere by then, unless nobody can
/// plan at the moment. The rest is for the way and for waits on it.
const LEAVING_PERCENT: u64 = 80;

/// A new owner gets its first request this long after its table came: its
/// grant is on the way from the planning VM, at most as far as another
/// region. Sooner, it would turn the request away.
const GRANT_WAY: TimeSpan = TimeSpan::from_millis(30);

/// Keys whose owner is being changed are usually served again within this;
/// if not, their owner can't be reached, and it takes seconds.
const MOVE_TIME: TimeSpan = TimeSpan::from_millis(900);

/// A server that a request is sent to.
#[derive(Debug)]
pub(crate) struct ChosenServer {
    pub(crate) server: Rc<ServerState>,
    pub(crate) proximity: ServerProximity,
    /// Whether another server could answer too.
    pub(crate) replaceable: bool,
    /// The token of the assignment by which it owns the request's key.
    pub(crate) token: Option<u64>,
}

/// Where a request goes.
#[derive(Debug)]
pub(crate) enum Destination {
    /// To this server.
    Server(ChosenServer),
    /// It waits in a queue for a free slot.
    Wait {
        queue: QueueKind,
        /// Requests that the servers can run at once for this VM.
        slots: usize,
        /// The usual time of an answer.
        latency: TimeSpan,
    },
    /// It waits until it may be sent to this server.
    Permit(Rc<ServerState>),
    /// It waits for this long at the most, until the key has an owner.
    Hold(TimeSpan),
    /// It can't be served now.
    Refused(EndReason),
}

/// The queue in which a request waits.
#[derive(Debug)]
pub(crate) enum QueueKind {
    /// For any server of the service.
    Service(Rc<RefCell<RequestQueue>>),
    /// For one server.
    Server(Rc<ServerState>),
}

impl QueueKind {
    /// Works on the queue.
    pub(crate) fn with<Out>(
        &self,
        work: impl FnOnce(&mut RequestQueue) -> Out,
    ) -> Out {
        match self {
            Self::Service(queue) => work(&mut queue.borrow_mut()),
            Self::Server(server) => work(&mut server.queue.borrow_mut()),
        }
    }
}

/// What became of the earlier sends of a request.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// The servers that it has reached.
    pub(crate) tried: Vec<Arc<str>>,
    /// The last statement of an owner that it does not hold the key.
    pub(crate) denial: Option<OwnerDenial>,
}

/// Chooses the destination of a request.
pub(crate) fn choose(
    state: &TrafficState,
    view: &FleetView,
    request: &RoutedRequest,
    now: LocalTime,
    history: &AttemptHistory,
) -> Destination {
    match request.slice {
        Some(slice) => {
            choose_owner(state, view, request, now, slice, history.denial)
        }
        None => choose_pooled(state, view, request, now, &history.tried),
    }
}

/// The owner of the key, if it has one.
fn choose_owner(
    state: &TrafficState,
    view: &FleetView,
    request: &RoutedRequest,
    now: LocalTime,
    slice: SliceIndex,
    denial: Option<OwnerDenial>,
) -> Destination {
    let service = &request.service;
    let Some(table) = view.tables.get(service) else {
        return Destination::Refused(EndReason::NoOwner);
    };
    let run = table.find(slice);
    let instance = table.instance(run.instance);
    let since = state.token_since(service, run.token).unwrap_or(now);
    if run.phase == AssignmentPhase::Releasing {
        return unavailable(now.since(since));
    }
    let step = denial_action(denial, run.token, since, now);
    if let DenialAction::AwaitChange { denied_for } = step {
        return unavailable(denied_for);
    }
    if let Some(wait) = wait_for_instance(state, view, now, instance, since) {
        return wait;
    }
    let entry = view.servers.get(&instance.id);
    let entry = entry.map(|entry| &**entry);
    let proximity = entry
        .map_or(ServerProximity::Remote, |entry| state.proximity_to(entry));
    let server = state.server(now, instance, entry, view.vms.len());
    let limit = owner_limit(server.limit(now), &server, request);
    if server.in_flight() < limit {
        if server.queue.borrow().is_empty() {
            server.queue.borrow_mut().record_progress();
        }
        if !state.has_permit(now, &server) {
            return Destination::Permit(server);
        }
        let token = Some(run.token);
        return Destination::Server(ChosenServer {
            server,
            proximity,
            replaceable: false,
            token,
        });
    }
    let latency = server.times.borrow().mean();
    Destination::Wait {
        queue: QueueKind::Server(server),
        slots: limit.max(1),
        latency,
    }
}

/// Why nothing is sent to an owner that the table has named `since`, if so.
fn wait_for_instance(
    state: &TrafficState,
    view: &FleetView,
    now: LocalTime,
    instance: &ServerInstance,
    since: LocalTime,
) -> Option<Destination> {
    let known = now.since(since);
    if known < GRANT_WAY {
        return Some(Destination::Hold(GRANT_WAY.minus(known)));
    }
    let leaving = view.leaving.get(&instance.id);
    let left = leaving.map(|leaving| now.since(*leaving));
    if view.has_successor(instance) {
        return Some(unavailable(left.unwrap_or(TimeSpan::ZERO)));
    }
    let served = state.settings.drain_limit.percent(LEAVING_PERCENT);
    let over = left.filter(|left| *left >= served)?;
    Some(unavailable(over.minus(served)))
}

/// Whether the request's key was granted to another server than this one.
pub(crate) fn has_other_owner(
    view: &FleetView,
    request: &RoutedRequest,
    server: &str,
) -> bool {
    let Some(slice) = request.slice else { return false };
    view.tables.get(&request.service).is_some_and(|table| {
        let run = table.find(slice);
        run.phase == AssignmentPhase::Granted
            && *table.instance(run.instance).id != *server
    })
}

/// What may be under way at an owner. Nobody else can serve its keys, so
/// when its answers are nearly late, the VMs' shares of its queue shrink to
/// one each: what waits there is answered in time, and the rest is told at
/// once.
fn owner_limit(
    limit: usize,
    server: &ServerState,
    request: &RoutedRequest,
) -> usize {
    /// The part of the target at which answers are nearly late.
    const NEARLY_LATE_PERCENT: u64 = 70;
    let target = request.route.target_latency;
    if server.times.borrow().mean() > target.percent(NEARLY_LATE_PERCENT) {
        return limit.min(1);
    }
    limit
}

/// What to do with a request whose key has had no owner for `known`.
fn unavailable(known: TimeSpan) -> Destination {
    if known < MOVE_TIME {
        return Destination::Hold(MOVE_TIME.minus(known));
    }
    Destination::Refused(EndReason::NoOwner)
}

/// The best of the servers of a service.
fn choose_pooled(
    state: &TrafficState,
    view: &FleetView,
    request: &RoutedRequest,
    now: LocalTime,
    tried: &[Arc<str>],
) -> Destination {
    let ready = view.ready.get(&request.service);
    let Some(ready) = ready.filter(|ready| !ready.is_empty()) else {
        return Destination::Refused(EndReason::NoServer);
    };
    let service = state.service(&request.service);
    let download = request.route.effect == RouteEffect::Download;
    let bytes = service.bytes[usize::from(download)].get();
    let waiting = service.queue.borrow().len();
    let times = service.times.borrow();
    let route = &request.route.name;
    let seen =
        ready.iter().map(|entry| see(state, view, now, entry, route, &times));
    let seen: Vec<SeenServer> = seen.collect();
    let fresh =
        |server: &SeenServer| !tried.contains(&server.server.instance.id);
    let any_fresh = seen.iter().any(fresh);
    let usable: Vec<&SeenServer> =
        seen.iter().filter(|server| fresh(server) || !any_fresh).collect();
    let candidates = usable.iter().map(|server| server.candidate);
    let candidates: Vec<PoolCandidate> =
        candidates.map(|candidate| queued(candidate, waiting)).collect();
    match choose_server(&candidates, request.left(now), bytes) {
        PoolChoice::Send(position) => {
            if waiting == 0 {
                service.queue.borrow_mut().record_progress();
            }
            let chosen = usable[position];
            Destination::Server(ChosenServer {
                server: Rc::clone(&chosen.server),
                proximity: chosen.candidate.proximity,
                replaceable: usable.len() > 1,
                token: None,
            })
        }
        PoolChoice::Full => {
            let slots = candidates.iter().map(|c| c.limit).sum::<usize>();
            let latency = mean_latency(&candidates);
            let queue = QueueKind::Service(Rc::clone(&service.queue));
            Destination::Wait { queue, slots: slots.max(1), latency }
        }
        PoolChoice::TooLate => Destination::Refused(EndReason::TooLate),
    }
}

/// A server with what the choice needs of it.
struct SeenServer {
    server: Rc<ServerState>,
    candidate: PoolCandidate,
}

fn see(
    state: &TrafficState,
    view: &FleetView,
    now: LocalTime,
    entry: &ServerEntry,
    route: &str,
    service_times: &ResponseTimes,
) -> SeenServer {
    let instance = ServerInstance {
        id: Arc::clone(&entry.id),
        started_ms: entry.started_ms,
        address: entry.address,
    };
    let proximity = state.proximity_to(entry);
    let sharers = match proximity {
        ServerProximity::SameDomain => view.vms_in(&entry.domain),
        ServerProximity::SameRegion | ServerProximity::Remote => {
            view.vms.len()
        }
    };
    let server = state.server(now, &instance, Some(entry), sharers);
    let latency = server.times.borrow().expected(route, service_times);
    let permitted = state.has_permit(now, &server);
    if !permitted {
        state.want_permits(now, &server, 1);
    }
    let candidate = PoolCandidate {
        proximity,
        limit: if permitted { server.limit(now) } else { 0 },
        in_flight: server.in_flight(),
        latency,
    };
    SeenServer { server, candidate }
}

/// The candidate with those in flight that wait for one like it: all that
/// wait, as they wait for the nearest first.
fn queued(candidate: PoolCandidate, waiting: usize) -> PoolCandidate {
    if candidate.in_flight < candidate.limit {
        return candidate;
    }
    let in_flight = candidate.in_flight + waiting;
    PoolCandidate { in_flight, ..candidate }
}

fn mean_latency(candidates: &[PoolCandidate]) -> TimeSpan {
    let sum: u64 = candidates.iter().map(|c| c.latency.as_micros()).sum();
    TimeSpan::from_micros(sum / candidates.len().max(1) as u64)
}
