//! Chooses a server of a service that any of its servers may serve.

use std::{rc::Rc, sync::Arc};

use goldcrestramp_adapter::{RouteEffect, ServerEntry};
use goldcrestramp_decisions::{
    PoolCandidate, PoolChoice, ServerProximity, choose_server, window_share,
};
use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::{
    traffic::{
        bulk::{BulkRegion, KeepReason},
        choose::{AttemptHistory, ChosenServer, Destination, QueueKind},
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
    /// Its region, if the request is a download that is limited there.
    region: Option<Rc<BulkRegion>>,
}

/// The choice for one request.
struct PoolRequest<'a> {
    state: &'a TrafficState,
    view: &'a FleetView,
    service: &'a ServiceState,
    request: &'a RoutedRequest,
    now: LocalTime,
}

/// Chooses the best server of a service for a request with these earlier
/// attempts.
pub(super) fn choose_pooled(
    state: &TrafficState,
    view: &FleetView,
    request: &RoutedRequest,
    now: LocalTime,
    history: &AttemptHistory,
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
    usable.retain(|server| !history.is_at_work(&server.server.instance.id));
    if usable.is_empty() {
        return Destination::Refused(EndReason::AttemptsUsed.into());
    }
    let untried = |server: &&ServerCandidate| {
        !history.tried.contains(&server.server.instance.id)
    };
    if usable.iter().any(untried) {
        usable.retain(untried);
    }
    // All VMs list the servers in the same order; of equal servers each of
    // them would choose the same one.
    let start = rand::random_range(0..usable.len().max(1));
    usable.rotate_left(start);
    pool.limited_destination(&usable)
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
        let region = if self.request.is_download() {
            self.state.bulk.of_domain(&entry.domain).cloned()
        } else {
            None
        };
        ServerCandidate { server, candidate, backoff_until, region }
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

    /// The choice among these servers, and what it was made by.
    fn choice(
        &self,
        usable: &[&ServerCandidate],
    ) -> (PoolChoice, Vec<PoolCandidate>) {
        let waiting = self.service.queue.borrow().len();
        let route = &self.request.route;
        let download = route.effect == RouteEffect::Download;
        let bytes = self.service.bytes[usize::from(download)].get();
        let candidates = usable.iter().map(|server| server.candidate);
        let candidates: Vec<PoolCandidate> =
            candidates.map(|c| with_queue(c, waiting)).collect();
        let remaining = self.request.remaining(self.now);
        let target = route.target_latency;
        let choice = choose_server(&candidates, remaining, target, bytes);
        (choice, candidates)
    }

    /// The next step of the request among these servers, without those of
    /// other regions from which no download may be requested now.
    fn limited_destination(&self, usable: &[&ServerCandidate]) -> Destination {
        if usable.iter().all(|server| server.region.is_none()) {
            return self.destination(usable);
        }
        let near = near_latency(usable);
        let reasons: Vec<Option<KeepReason>> = usable
            .iter()
            .map(|server| self.keep_reason(server, near))
            .collect();
        if reasons.iter().all(Option::is_none) {
            return self.destination(usable);
        }
        // Only a download that would have been sent there counts as kept.
        if let PoolChoice::Send(position) = self.choice(usable).0
            && let Some(reason) = reasons[position]
            && let Some(region) = &usable[position].region
        {
            let is_first = !self.request.kept.replace(true);
            region.record_kept(self.now, reason, is_first);
        }
        let admitted = usable.iter().zip(&reasons);
        let admitted: Vec<&ServerCandidate> = admitted
            .filter(|(_server, reason)| reason.is_none())
            .map(|(server, _reason)| *server)
            .collect();
        if admitted.is_empty() {
            return self.wait_for_window(usable, &reasons);
        }
        self.destination(&admitted)
    }

    fn keep_reason(
        &self,
        server: &ServerCandidate,
        near: Option<TimeSpan>,
    ) -> Option<KeepReason> {
        let region = server.region.as_ref()?;
        region.keep_reason(self.now, &self.request.route.name, near)
    }

    /// The next step of a download that only servers of other regions could
    /// serve, while the windows of these are used up.
    fn wait_for_window(
        &self,
        usable: &[&ServerCandidate],
        reasons: &[Option<KeepReason>],
    ) -> Destination {
        let pauses = reasons.iter().filter_map(|reason| match reason {
            Some(KeepReason::Window(Some(pause))) => Some(*pause),
            _ => None,
        });
        let pause = pauses.min().unwrap_or(TimeSpan::ZERO);
        let candidates: Vec<PoolCandidate> =
            usable.iter().map(|server| server.candidate).collect();
        let latency = mean_latency(&candidates);
        if pause.plus(latency) > self.request.remaining(self.now) {
            return Destination::Refused(RequestEnd::in_pause(pause));
        }
        let queue = QueueKind::Service(Rc::clone(&self.service.queue));
        Destination::Wait { queue, slots: 1, latency }
    }

    /// The next step of the request among these servers.
    fn destination(&self, usable: &[&ServerCandidate]) -> Destination {
        let queue = &self.service.queue;
        let (choice, candidates) = self.choice(usable);
        match choice {
            PoolChoice::Send(position) => {
                if queue.borrow().is_empty() {
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

/// The mean response time of the servers of the own region that may be sent
/// to.
fn near_latency(usable: &[&ServerCandidate]) -> Option<TimeSpan> {
    let near: Vec<PoolCandidate> = usable
        .iter()
        .map(|server| server.candidate)
        .filter(|c| c.proximity != ServerProximity::Remote && c.limit > 0)
        .collect();
    (!near.is_empty()).then(|| mean_latency(&near))
}
