//! Sends to servers that name the rate they take from all VMs.

use std::rc::Rc;

use goldcrestramp_adapter::stated_rate;
use goldcrestramp_decisions::FleetPosition;
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use http::HeaderMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    records::VmInstance,
    traffic::{
        reason::EndReason,
        request::RoutedRequest,
        server::ServerState,
        state::{TrafficState, least},
        wait::RequestEnd,
    },
};

/// Permits come with the answer of the planning VM; a request that has none
/// by then is refused, and its caller returns when keys have moved.
const PERMIT_WAIT: TimeSpan = TimeSpan::from_millis(500);

/// How often a request that waits looks for permits.
const LOOK_PAUSE: TimeSpan = TimeSpan::from_millis(25);

/// The place of a request that waits for a permit.
struct PermitReservation<'a>(&'a ServerState);

impl<'a> PermitReservation<'a> {
    fn enter(server: &'a ServerState) -> Self {
        server.permit_waits.set(server.permit_waits.get() + 1);
        Self(server)
    }
}

impl Drop for PermitReservation<'_> {
    fn drop(&mut self) {
        let waits = &self.0.permit_waits;
        waits.set(waits.get().saturating_sub(1));
    }
}

impl TrafficState {
    /// Takes what a server's answer says of the rate that it takes.
    pub(crate) fn note_rate(
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
        let mut allowance = server.allowance.borrow_mut();
        if allowance.record_limit(now, rate) {
            match rate {
                Some(per_s) => log::info!(
                    "[limit] Server {id} takes {per_s} requests a second."
                ),
                None => log::info!("[limit] Server {id} names no limit."),
            }
            let request = allowance.permit_request(now, 0);
            self.permits.request(now, &server.instance, request);
        }
    }

    /// Whether a request may be sent to a server as far as its rate goes.
    pub(crate) fn has_permit(
        &self,
        now: LocalTime,
        server: &ServerState,
    ) -> bool {
        let Some(place) = self.limited_place(server) else { return true };
        self.take_grants();
        server.allowance.borrow_mut().has_permit(now, place)
    }

    /// Uses a permit for a send, if there is one.
    pub(crate) fn take_permit(
        &self,
        now: LocalTime,
        server: &ServerState,
    ) -> bool {
        let Some(place) = self.limited_place(server) else { return true };
        server.allowance.borrow_mut().try_take(now, place)
    }

    /// This VM's place among those that send to a server that names a limit,
    /// in an order that differs from server to server.
    fn limited_place(&self, server: &ServerState) -> Option<FleetPosition> {
        server.allowance.borrow().limit()?;
        let seed = xxh3_64(server.instance.id.as_bytes());
        let weight = |vm: &str| xxh3_64_with_seed(vm.as_bytes(), seed);
        let own = weight(&self.settings.vm);
        let view = self.view();
        let before = |vm: &&VmInstance| weight(&vm.vm) < own;
        let rank = view.vms.iter().filter(before).count();
        Some(FleetPosition { vms: view.vms.len(), rank })
    }

    /// Asks for permits for so many requests.
    pub(crate) fn want_permits(
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
        for (came_at, grants) in self.permits.take_grants() {
            for (instance, grant) in grants {
                let Some(server) = servers.get(&instance) else { continue };
                server.allowance.borrow_mut().record_grant(came_at, grant);
            }
        }
    }
}

/// Waits a little for a permit; `since` is when the request began to.
pub(crate) async fn wait_for_permit(
    state: &TrafficState,
    request: &RoutedRequest,
    server: &Rc<ServerState>,
    since: &mut Option<LocalTime>,
) -> Result<(), RequestEnd> {
    let now = MonotonicClock.now();
    let vms = state.view().vms.len();
    let most = server.allowance.borrow().max_waiting(vms);
    let is_crowded = server.permit_waits.get() >= most;
    let begun = *since.get_or_insert(now);
    let left = PERMIT_WAIT.minus(now.since(begun));
    let left = least(left, request.left(now));
    if left == TimeSpan::ZERO || is_crowded && begun == now {
        return Err(EndReason::RateLimited.into());
    }
    let _place = PermitReservation::enter(server);
    state.want_permits(now, server, server.permit_waits.get());
    tokio::time::sleep(least(left, LOOK_PAUSE).to_std()).await;
    Ok(())
}
