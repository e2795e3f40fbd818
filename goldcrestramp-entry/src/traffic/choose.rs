//! Chooses where a request is sent now.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use goldcrestramp_adapter::ServerEntry;
use goldcrestramp_assignment::{AssignmentPhase, ServerInstance};
use goldcrestramp_decisions::{
    DenialAction, DenialHistory, ServerProximity, denial_action,
};
use goldcrestramp_types::{LocalTime, SliceIndex, TimeSpan};

use crate::{
    traffic::{
        bulk::KeepReason,
        pool::choose_pooled,
        reason::EndReason,
        relay_vms::{ChosenVm, choose_vm},
        request::RoutedRequest,
        server::{RequestQueue, ServerState},
        state::TrafficState,
        wait::RequestEnd,
    },
    view::FleetView,
};

/// A draining server, and one in a failure domain that is evacuated, gets no
/// new requests after this share of the time that the settings allow. Its keys
/// have been moved by then, unless no VM can plan at the moment. The rest of
/// the time is for transit and for delays on the path.
const DRAIN_SEND_PERCENT: u64 = 80;

/// A new owner gets its first request this long after its table arrived: its
/// grant is in flight from the planning VM, which is in another region at the
/// farthest. A request that arrives before the grant would be refused.
const GRANT_TRANSIT: TimeSpan = TimeSpan::from_millis(30);

/// Keys that are moved to another owner are usually served again within this
/// time. If not, their owner can't be reached, and the move takes seconds.
const TYPICAL_MOVE_TIME: TimeSpan = TimeSpan::from_millis(900);

/// The server that a request is sent to.
#[derive(Debug)]
pub(crate) struct ChosenServer {
    pub(crate) server: Rc<ServerState>,
    pub(crate) proximity: ServerProximity,
    /// Whether another server could serve the request too.
    pub(crate) replaceable: bool,
    /// The token of the assignment that makes it the owner of the request's
    /// key.
    pub(crate) token: Option<u64>,
}

/// The next step of a request.
#[derive(Debug)]
pub(crate) enum Destination {
    /// Send it to this server.
    Server(ChosenServer),
    /// Queue it until a slot is free.
    Wait {
        queue: QueueKind,
        /// Requests from this VM that the servers can run concurrently.
        slots: usize,
        /// The typical response time.
        latency: TimeSpan,
    },
    /// Pass it to this VM, as this one reaches no server.
    Vm(ChosenVm),
    /// Wait for a permit to send it to this server.
    Permit(Rc<ServerState>),
    /// Wait for the key to get an owner, at most this long.
    AwaitOwner(TimeSpan),
    /// Refuse it: it can't be served now.
    Refused(RequestEnd),
}

/// The queue in which a request waits.
#[derive(Debug)]
pub(crate) enum QueueKind {
    /// For any server of the service.
    Service(Rc<RefCell<RequestQueue>>),
    /// For one server.
    Server(Rc<ServerState>),
    /// For the window of downloads from one region.
    Region(Rc<RefCell<RequestQueue>>),
}

impl QueueKind {
    /// Calls `work` with the queue.
    pub(crate) fn with<Out>(
        &self,
        work: impl FnOnce(&mut RequestQueue) -> Out,
    ) -> Out {
        match self {
            Self::Service(queue) | Self::Region(queue) => {
                work(&mut queue.borrow_mut())
            }
            Self::Server(server) => work(&mut server.queue.borrow_mut()),
        }
    }
}

/// The earlier attempts of a request.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// The servers that the request has reached.
    pub(crate) tried: Vec<Arc<str>>,
    /// The servers of overdue attempts, which may still respond.
    pub(crate) at_work: Vec<Arc<str>>,
    /// The VMs that the request was passed to.
    pub(crate) passed_to: Vec<Arc<str>>,
    /// The responses of owners that they do not own the key.
    pub(crate) denials: DenialHistory,
    /// The attempts at servers.
    pub(crate) attempts: u32,
    /// Whether a VM that knew the limits of keys has admitted the request.
    pub(crate) admitted: bool,
}

impl AttemptHistory {
    /// Whether an overdue attempt at a server is in flight.
    pub(crate) fn is_at_work(&self, server: &str) -> bool {
        self.at_work.iter().any(|id| **id == *server)
    }
}

/// Chooses the destination of a request.
pub(crate) fn choose(
    state: &TrafficState,
    view: &FleetView,
    request: &RoutedRequest,
    now: LocalTime,
    history: &AttemptHistory,
) -> Destination {
    if state.reach.is_partitioned(&request.service) {
        return choose_vm(state, view, request, now, history);
    }
    match request.slice {
        Some(slice) => {
            let denials = &history.denials;
            match choose_owner(state, view, request, now, slice, denials) {
                Destination::Server(chosen)
                    if history.is_at_work(&chosen.server.instance.id) =>
                {
                    Destination::Refused(EndReason::AttemptsUsed.into())
                }
                destination => destination,
            }
        }
        None => choose_pooled(state, view, request, now, history),
    }
}

/// Chooses the owner of the key, if it has one.
fn choose_owner(
    state: &TrafficState,
    view: &FleetView,
    request: &RoutedRequest,
    now: LocalTime,
    slice: SliceIndex,
    denials: &DenialHistory,
) -> Destination {
    let service = &request.service;
    let Some(table) = view.tables.get(service) else {
        return Destination::Refused(EndReason::NoOwner.into());
    };
    let range = table.find(slice);
    let instance = table.instance(range.instance);
    let since = state.token_since(service, range.token).unwrap_or(now);
    if range.phase == AssignmentPhase::Releasing {
        return unavailable(now.since(since));
    }
    match denial_action(denials.find(range.token), since, now) {
        DenialAction::Send => {}
        DenialAction::AwaitGrant(wait) => {
            return Destination::AwaitOwner(wait);
        }
        DenialAction::AwaitChange { denied_for } => {
            return unavailable(denied_for);
        }
    }
    let entry = view.servers.get(&instance.id);
    let entry = entry.map(|entry| &**entry);
    if !allows_owner(state, view, request, entry) {
        return Destination::Refused(EndReason::NoServerInRegion.into());
    }
    if let Some(wait) =
        wait_for_instance(state, view, now, instance, entry, since)
    {
        return wait;
    }
    let proximity = entry
        .map_or(ServerProximity::Remote, |entry| state.proximity_to(entry));
    let senders = state.senders(now, view, None);
    let server = state.server(now, instance, entry, senders);
    if let Some(until) = state.notices.backoff_until(now, instance) {
        let end = RequestEnd::in_backoff(until.since(now));
        return Destination::Refused(end);
    }
    if let Some(wait) = wait_for_window(state, request, entry, now) {
        return wait;
    }
    let limit = owner_limit(server.limit(now), &server, request);
    let limit = state.limit_bytes(&server, request, limit);
    if server.in_flight() < limit {
        if server.queue.borrow().is_empty() {
            server.queue.borrow_mut().record_progress();
        }
        state.apply_cold_rate(now, &server);
        if !state.has_permit(now, &server) {
            return Destination::Permit(server);
        }
        let token = Some(range.token);
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

/// Why nothing is sent to the owner, which the table has named since `since`;
/// `None` if the request may be sent.
fn wait_for_instance(
    state: &TrafficState,
    view: &FleetView,
    now: LocalTime,
    instance: &ServerInstance,
    entry: Option<&ServerEntry>,
    since: LocalTime,
) -> Option<Destination> {
    let known = now.since(since);
    if known < GRANT_TRANSIT {
        return Some(Destination::AwaitOwner(GRANT_TRANSIT.minus(known)));
    }
    let listed = view.leaving.get(&instance.id).copied();
    let stated = state.notices.leaving_since(instance);
    let leaving = listed.into_iter().chain(stated).min();
    let drained_for = leaving.map(|leaving| now.since(leaving));
    if view.has_successor(instance) {
        return Some(unavailable(drained_for.unwrap_or(TimeSpan::ZERO)));
    }
    let evacuated = entry.and_then(|e| view.evacuated.get(&e.domain));
    let evacuated_for = evacuated.map(|since| now.since(*since));
    let settings = &state.settings;
    let exceeded_by = |elapsed: Option<TimeSpan>, limit: TimeSpan| {
        let send_time = limit.percent(DRAIN_SEND_PERCENT);
        let elapsed = elapsed.filter(|elapsed| *elapsed >= send_time)?;
        Some(elapsed.minus(send_time))
    };
    let drained = exceeded_by(drained_for, settings.drain_limit);
    let evacuated = exceeded_by(evacuated_for, settings.evacuation_limit);
    let exceeded = drained.into_iter().chain(evacuated).max()?;
    Some(unavailable(exceeded))
}

/// The next step of a download whose owner is in another region, while the
/// window of downloads from there does not admit it.
fn wait_for_window(
    state: &TrafficState,
    request: &RoutedRequest,
    entry: Option<&ServerEntry>,
    now: LocalTime,
) -> Option<Destination> {
    let entry = entry.filter(|_entry| request.is_download())?;
    let region = state.bulk.of_domain(&entry.domain)?;
    let wait = region.wait_for_window(now, request.remaining(now))?;
    let is_first = !request.kept.replace(true);
    region.record_kept(now, KeepReason::Window(None), is_first);
    Some(wait)
}

/// Whether the route allows the region of the key's owner. The region of an
/// owner without an entry is unknown.
fn allows_owner(
    state: &TrafficState,
    view: &FleetView,
    request: &RoutedRequest,
    entry: Option<&ServerEntry>,
) -> bool {
    let domain = entry.map_or("", |entry| &*entry.domain);
    state.region_filter(view, &request.route).allows(domain)
}

/// Whether the request's key was granted to a server other than this one.
pub(crate) fn has_other_owner(
    view: &FleetView,
    request: &RoutedRequest,
    server: &str,
) -> bool {
    let Some(slice) = request.slice else { return false };
    view.tables.get(&request.service).is_some_and(|table| {
        let range = table.find(slice);
        range.phase == AssignmentPhase::Granted
            && *table.instance(range.instance).id != *server
    })
}

/// The limit of requests in flight at an owner. No other server can serve its
/// keys, so when its response times come near the target, each VM's share of
/// its queue shrinks to one: queued requests complete in time, and the rest
/// are refused at once.
fn owner_limit(
    limit: usize,
    server: &ServerState,
    request: &RoutedRequest,
) -> usize {
    /// The share of the target latency from which responses count as nearly
    /// late.
    const NEARLY_LATE_PERCENT: u64 = 70;
    let target = request.route.target_latency;
    if server.times.borrow().mean() > target.percent(NEARLY_LATE_PERCENT) {
        return limit.min(1);
    }
    limit
}

/// What to do with a request whose key has had no owner for `ownerless_for`.
fn unavailable(ownerless_for: TimeSpan) -> Destination {
    if ownerless_for < TYPICAL_MOVE_TIME {
        return Destination::AwaitOwner(
            TYPICAL_MOVE_TIME.minus(ownerless_for),
        );
    }
    Destination::Refused(EndReason::NoOwner.into())
}
