//! Chooses a server of a service that any of its servers may serve.

use std::{rc::Rc, sync::Arc};

use goldcrestramp_adapter::{RouteEffect, ServerEntry};
use goldcrestramp_decisions::{
    PoolCandidate, PoolChoice, ServerProximity, choose_server, window_share,
};
use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::{
    traffic::{
        choose::{ChosenServer, Destination, QueueKind},
        reason::EndReason,
        request::RoutedRequest,
        server::ServerState,
        state::{ServiceState, TrafficState},
        wait::RequestEnd,
    },
    view::{FleetView, instance_of},
};

/// A server and its inputs to the choice.
struct ServerCandidate {
    server: Rc<ServerState>,
    candidate: PoolCandidate,
    /// The end of its backoff, if it is in one.
    backoff_until: Option<LocalTime>,
}

/// The choice for one request.
struct PoolRequest<'a> {
    state: &'a TrafficState,
    view: &'a FleetView,
    service: &'a ServiceState,
    request: &'a RoutedRequest,
    now: LocalTime,
}

/// Chooses the best server of a service; the request was sent to those in
/// `tried` already.
pub(super) fn choose_pooled(
    state: &TrafficState,
    view: &FleetView,
    request: &RoutedRequest,
    now: LocalTime,
    tried: &[Arc<str>],
) -> Destination {
    let service = state.service(&request.service);
    let pool = PoolRequest { state, view, service: &service, request, now };
    if pool.ready().next().is_none() {
        return Destination::Refused(EndReason::NoServer.into());
    }
    let servers = pool.candidates();
    if servers.is_empty() {
        return Destination::Refused(EndReason::NoServerInRegion.into());
    }
    let open = servers.iter().filter(|s| s.backoff_until.is_none());
    let mut usable: Vec<&ServerCandidate> = open.collect();
    if usable.is_empty() {
        let first = servers.iter().filter_map(|s| s.backoff_until).min();
        let ends_in = first.unwrap_or(now).since(now);
        return Destination::Refused(RequestEnd::in_backoff(ends_in));
    }
    let untried = |server: &&ServerCandidate| {
        !tried.contains(&server.server.instance.id)
    };
    if usable.iter().any(untried) {
        usable.retain(untried);
    }
    // All VMs list the servers in the same order; of equal servers each of
    // them would choose the same one.
    let start = rand::random_range(0..usable.len().max(1));
    usable.rotate_left(start);
    pool.destination(&usable)
}

impl PoolRequest<'_> {
    /// The servers that accept new work, by their entries and responses.
    fn ready(&self) -> impl Iterator<Item = &Arc<ServerEntry>> {
        let ready = self.view.ready.get(&self.request.service);
        ready.into_iter().flatten().filter(|entry| !self.is_leaving(entry))
    }

    fn is_leaving(&self, entry: &ServerEntry) -> bool {
        let notices = &self.state.notices;
        notices.has_any() && notices.is_leaving(&instance_of(entry))
    }

    /// The servers that the request may be sent to.
    fn candidates(&self) -> Vec<ServerCandidate> {
        let regions = self.state.region_filter(self.view, &self.request.route);
        let subset = self.state.subset(self.view, &self.request.service);
        let near = subset.iter().filter(|s| {
            regions.allows(&s.entry.domain) && !self.is_leaving(&s.entry)
        });
        let candidates: Vec<ServerCandidate> =
            near.map(|s| self.candidate(&s.entry, s.senders)).collect();
        if candidates.iter().any(|server| server.candidate.limit > 0) {
            return candidates;
        }
        // Nothing can be sent to the subset, but another server may be idle.
        let ready = self.ready();
        let allowed = ready.filter(|entry| regions.allows(&entry.domain));
        allowed.map(|entry| self.candidate(entry, None)).collect()
    }

    /// A server with this VM's measurements. `senders` is the number of VMs
    /// that send to it, if it is in this VM's window.
    fn candidate(
        &self,
        entry: &ServerEntry,
        senders: Option<usize>,
    ) -> ServerCandidate {
        let proximity = self.state.proximity_to(entry);
        let sharers = senders.unwrap_or_else(|| {
            let near = proximity == ServerProximity::SameDomain;
            let domain = near.then_some(&*entry.domain);
            self.state.senders(self.now, self.view, domain)
        });
        let instance = instance_of(entry);
        let server =
            self.state.server(self.now, &instance, Some(entry), sharers);
        if let Some(senders) = senders {
            let latency = server.times.borrow().mean();
            let target = self.request.route.target_latency;
            let slots = entry.slots as usize;
            server.share.set(window_share(slots, senders, latency, target));
        }
        let times = self.service.times.borrow();
        let latency =
            server.times.borrow().expected(&self.request.route.name, &times);
        let backoff_until =
            self.state.notices.backoff_until(self.now, &instance);
        let candidate = PoolCandidate {
            proximity,
            limit: if backoff_until.is_some() {
                0
            } else {
                let limit = self.limit(entry, &server);
                self.state.limit_bytes(&server, self.request, limit)
            },
            in_flight: server.in_flight(),
            latency,
        };
        ServerCandidate { server, candidate, backoff_until }
    }

    /// The limit of this VM's requests in flight at a server; 0 if nothing may
    /// be sent there now.
    fn limit(&self, entry: &ServerEntry, server: &ServerState) -> usize {
        let Self { state, view, now, .. } = *self;
        if !state.has_permit(now, server) {
            state.request_permits(now, server, 1);
            return 0;
        }
        if !state.may_send_cold(now, view, entry, server) {
            return 0;
        }
        server.limit(now)
    }

    /// The next step of the request among these servers.
    fn destination(&self, usable: &[&ServerCandidate]) -> Destination {
        let queue = &self.service.queue;
        let waiting = queue.borrow().len();
        let route = &self.request.route;
        let download = route.effect == RouteEffect::Download;
        let bytes = self.service.bytes[usize::from(download)].get();
        let candidates = usable.iter().map(|server| server.candidate);
        let candidates: Vec<PoolCandidate> =
            candidates.map(|c| with_queue(c, waiting)).collect();
        let remaining = self.request.remaining(self.now);
        let target = route.target_latency;
        match choose_server(&candidates, remaining, target, bytes) {
            PoolChoice::Send(position) => {
                if waiting == 0 {
                    queue.borrow_mut().record_progress();
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
                let queue = QueueKind::Service(Rc::clone(queue));
                Destination::Wait { queue, slots: slots.max(1), latency }
            }
            PoolChoice::TooLate => {
                Destination::Refused(EndReason::TooLate.into())
            }
        }
    }
}

/// Adds the queued requests to the requests in flight of a full candidate. All
/// queued requests count, since each waits for the nearest server first.
fn with_queue(candidate: PoolCandidate, waiting: usize) -> PoolCandidate {
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
