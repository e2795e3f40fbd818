//! Permits for servers that state the rate of requests they accept from all
//! VMs.

use std::rc::Rc;

use goldcrestramp_adapter::stated_rate;
use goldcrestramp_decisions::FleetPosition;
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use http::HeaderMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::traffic::{
    position::position_among,
    reason::EndReason,
    request::RoutedRequest,
    server::ServerState,
    state::{TrafficState, shorter},
    wait::RequestEnd,
};

/// How long a request waits for a permit. Permits arrive with the planning
/// VM's response. A request that has none by then is refused, and its caller
/// retries when keys have moved.
const PERMIT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// How often a waiting request checks for permits.
const PERMIT_POLL_INTERVAL: TimeSpan = TimeSpan::from_millis(25);

/// Counts a request as waiting for a permit until it is dropped.
struct PermitWaiter<'a>(&'a ServerState);

impl<'a> PermitWaiter<'a> {
    fn enter(server: &'a ServerState) -> Self {
        server.permit_waiters.set(server.permit_waiters.get() + 1);
        Self(server)
    }
}

impl Drop for PermitWaiter<'_> {
    fn drop(&mut self) {
        let waiters = &self.0.permit_waiters;
        waiters.set(waiters.get().saturating_sub(1));
    }
}

impl TrafficState {
    /// Records the rate limit that a server's response states.
    pub(crate) fn record_rate(
        &self,
        now: LocalTime,
        server: &ServerState,
        headers: &HeaderMap,
    ) {
        let id = &server.instance.id;
        let rate = match stated_rate(headers) {
            Ok(rate) => rate,
            Err(error) => {
                log::warn!("[limit] Server {id}: {error}.");
                return;
            }
        };
        let cold = self.cold_rate(now, id);
        let rate = rate.into_iter().chain(cold).reduce(f64::min);
        self.set_rate(now, server, rate);
    }

    /// Applies the limit of an owner while it is cold, unless it states a
    /// lower one.
    pub(crate) fn apply_cold_rate(
        &self,
        now: LocalTime,
        server: &ServerState,
    ) {
        if let Some(cold) = self.cold_rate(now, &server.instance.id) {
            let known = server.allowance.borrow().limit();
            let rate = known.map_or(cold, |known| known.min(cold));
            self.set_rate(now, server, Some(rate));
        }
    }

    /// Applies a rate limit, and reports it if it has changed.
    fn set_rate(
        &self,
        now: LocalTime,
        server: &ServerState,
        rate: Option<f64>,
    ) {
        let id = &server.instance.id;
        let mut allowance = server.allowance.borrow_mut();
        if allowance.record_limit(now, rate) {
            match rate {
                Some(per_s) => log::info!(
                    "[limit] Server {id} accepts {per_s} requests per second."
                ),
                None => log::info!("[limit] Server {id} states no limit."),
            }
            let request = allowance.permit_request(now, 0);
            self.permits.request(now, &server.instance, request);
        }
    }

    /// Whether the rate limit allows a request to the server.
    pub(crate) fn has_permit(
        &self,
        now: LocalTime,
        server: &ServerState,
    ) -> bool {
        let Some(position) = self.fleet_position(server) else { return true };
        self.take_grants();
        server.allowance.borrow_mut().has_permit(now, position)
    }

    /// Takes a permit for an attempt, if there is one.
    pub(crate) fn take_permit(
        &self,
        now: LocalTime,
        server: &ServerState,
    ) -> bool {
        let Some(position) = self.fleet_position(server) else { return true };
        server.allowance.borrow_mut().try_take(now, position)
    }

    /// This VM's position among the VMs that send to a server with a rate
    /// limit, in an order that differs from server to server; `None` if the
    /// server states no limit.
    fn fleet_position(&self, server: &ServerState) -> Option<FleetPosition> {
        server.allowance.borrow().limit()?;
        let seed = xxh3_64(server.instance.id.as_bytes());
        let view = self.view();
        let vms = view.vms.iter().map(|vm| &*vm.vm);
        Some(position_among(&self.settings.vm, vms, seed))
    }

    /// Requests permits for `wanted` requests.
    pub(crate) fn request_permits(
        &self,
        now: LocalTime,
        server: &ServerState,
        wanted: usize,
    ) {
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        let request = server.allowance.borrow().permit_request(now, wanted);
        self.permits.request(now, &server.instance, request);
    }

    fn take_grants(&self) {
        let servers = self.servers.borrow();
        for (arrived_at, grants) in self.permits.take_grants() {
            for (instance, grant) in grants {
                let Some(server) = servers.get(&instance) else { continue };
                server.allowance.borrow_mut().record_grant(arrived_at, grant);
            }
        }
    }
}

/// Waits one poll interval for a permit; `since` is when the request began to
/// wait.
pub(crate) async fn wait_for_permit(
    state: &TrafficState,
    request: &RoutedRequest,
    server: &Rc<ServerState>,
    since: &mut Option<LocalTime>,
) -> Result<(), RequestEnd> {
    let now = MonotonicClock.now();
    let vms = state.view().vms.len();
    let max_waiting = server.allowance.borrow().max_waiting(vms);
    let is_full = server.permit_waiters.get() >= max_waiting;
    let began_at = *since.get_or_insert(now);
    let remaining = PERMIT_TIMEOUT.minus(now.since(began_at));
    let remaining = shorter(remaining, request.remaining(now));
    if remaining == TimeSpan::ZERO || is_full && began_at == now {
        return Err(EndReason::RateLimited.into());
    }
    let _waiter = PermitWaiter::enter(server);
    state.request_permits(now, server, server.permit_waiters.get());
    tokio::time::sleep(shorter(remaining, PERMIT_POLL_INTERVAL).to_std())
        .await;
    Ok(())
}
