//! Permits for servers that state the rate that they accept from all VMs.
//!
//! The traffic thread requests permits, and the control thread fetches them
//! from the planning VM, which keeps the ledger while it plans.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::{PermitGrant, PermitRequest};
use goldcrestramp_types::{ClockSource, FastMap, LocalTime, MonotonicClock};

use crate::{
    control::ControlActor,
    peers::{PeerCall, PeerClient, PeerReply},
    records::VmInstance,
};

/// Permit requests, by server.
pub type PermitRequests = Vec<(ServerInstance, PermitRequest)>;

/// Permit grants, by server.
pub type PermitGrants = Vec<(ServerInstance, PermitGrant)>;

#[derive(Debug, Default)]
struct MailboxState {
    /// The queued requests, with the time at which each was queued.
    requests: FastMap<ServerInstance, (PermitRequest, LocalTime)>,
    /// The grants, with the time at which they arrived.
    grants: Vec<(LocalTime, PermitGrants)>,
    /// Whether a call for permits is in flight.
    query_in_flight: bool,
}

/// Passes permit requests and grants between the traffic thread and the
/// control thread.
#[derive(Clone, Debug, Default)]
pub struct PermitMailbox(Arc<Mutex<MailboxState>>);

impl PermitMailbox {
    /// Queues a request for a server; it replaces the previous one.
    pub fn request(
        &self,
        now: LocalTime,
        server: &ServerInstance,
        request: PermitRequest,
    ) {
        self.lock().requests.insert(server.clone(), (request, now));
    }

    /// Takes the grants that have arrived, with their arrival times: the
    /// lifetime of permits counts from then.
    #[must_use]
    pub fn take_grants(&self) -> Vec<(LocalTime, PermitGrants)> {
        std::mem::take(&mut self.lock().grants)
    }

    /// Takes the queued requests, unless a call is in flight. Each request's
    /// age includes the time that it was queued.
    #[must_use]
    pub fn begin(&self, now: LocalTime) -> Option<PermitRequests> {
        let mut state = self.lock();
        if state.query_in_flight || state.requests.is_empty() {
            return None;
        }
        state.query_in_flight = true;
        let requests = std::mem::take(&mut state.requests);
        let aged =
            |(server, (request, queued_at)): (_, (PermitRequest, _))| {
                let age = request.age.plus(now.since(queued_at));
                (server, PermitRequest { age, ..request })
            };
        Some(requests.into_iter().map(aged).collect())
    }

    /// Stores grants for the traffic thread, and ends the call in flight.
    pub fn finish(&self, now: LocalTime, grants: PermitGrants) {
        let mut state = self.lock();
        state.query_in_flight = false;
        state.grants.push((now, grants));
    }

    fn lock(&self) -> MutexGuard<'_, MailboxState> {
        // The state remains valid if a thread panicked while it held the lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ControlActor {
    /// Fetches the permits that requests wait for.
    pub(crate) fn fetch_permits(&mut self, now: LocalTime) {
        let Some(requests) = self.permits.begin(now) else { return };
        if self.term.is_some() {
            let grants = self.grant_permits(now, requests);
            self.permits.finish(now, grants);
            return;
        }
        let planner = self.planner().map(|(planner, _)| planner);
        let (peers, mailbox) = (self.peers.clone(), self.permits.clone());
        tokio::spawn(async move {
            let grants = fetch(&peers, planner, requests).await;
            mailbox.finish(MonotonicClock.now(), grants.unwrap_or_default());
        });
    }

    /// Grants permits if this VM plans; grants none otherwise.
    pub(crate) fn grant_permits(
        &mut self,
        now: LocalTime,
        requests: PermitRequests,
    ) -> PermitGrants {
        let Some(term) = &mut self.term else { return Vec::new() };
        let grant = |(server, request)| {
            let grant = term.rates.request_permits(now, &server, request);
            (server, grant)
        };
        requests.into_iter().map(grant).collect()
    }
}

/// Fetches permits from the planning VM; returns `None` if it cannot be
/// reached or does not plan.
async fn fetch(
    peers: &PeerClient,
    planner: Option<VmInstance>,
    requests: PermitRequests,
) -> Option<PermitGrants> {
    let planner = planner?;
    let call = PeerCall::Permits(requests);
    let reply = peers.call(planner.address, &call).await;
    if let Some(PeerReply::Permits(grants)) = reply {
        return Some(grants);
    }
    log::info!("[permits] VM {} grants no permits now.", planner.vm);
    None
}
