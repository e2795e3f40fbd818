//! Permits for servers that name the rate they take from all VMs.
//!
//! The traffic thread asks, the control thread fetches: from the planning VM,
//! which keeps the accounts while it plans.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::{PermitGrant, PermitRequest};
use goldcrestramp_types::{ClockSource, FastMap, LocalTime, MonotonicClock};

use crate::{
    control::ControlActor,
    peers::{PeerCall, PeerClient, PeerReply},
    records::VmInstance,
};

/// Requests for permits, by server.
pub type PermitRequests = Vec<(ServerInstance, PermitRequest)>;

/// The answers to them.
pub type PermitGrants = Vec<(ServerInstance, PermitGrant)>;

#[derive(Debug, Default)]
struct MailboxState {
    /// What is to be asked, with the moment at which it was put down.
    requests: FastMap<ServerInstance, (PermitRequest, LocalTime)>,
    /// Answers with the moments at which they came.
    grants: Vec<(LocalTime, PermitGrants)>,
    /// Whether an answer is awaited.
    query_in_flight: bool,
}

/// Where both threads leave what they have for each other.
#[derive(Clone, Debug, Default)]
pub struct PermitMailbox(Arc<Mutex<MailboxState>>);

impl PermitMailbox {
    /// Puts down what is to be asked for a server, in place of what was.
    pub fn request(
        &self,
        now: LocalTime,
        server: &ServerInstance,
        request: PermitRequest,
    ) {
        self.lock().requests.insert(server.clone(), (request, now));
    }

    /// Takes the answers that have come, each with the moment at which it
    /// did: permits lapse from then on.
    #[must_use]
    pub fn take_grants(&self) -> Vec<(LocalTime, PermitGrants)> {
        std::mem::take(&mut self.lock().grants)
    }

    /// Takes what is to be asked, unless an answer is awaited.
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

    /// Leaves an answer for the traffic thread.
    pub fn finish(&self, now: LocalTime, grants: PermitGrants) {
        let mut state = self.lock();
        state.query_in_flight = false;
        state.grants.push((now, grants));
    }

    fn lock(&self) -> MutexGuard<'_, MailboxState> {
        // What lies there is valid whatever happened to its holder.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ControlActor {
    /// Asks for the permits that requests wait for.
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

    /// Gives permits out while this VM plans; none otherwise.
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

/// Asks the planning VM; nothing if it can't be asked.
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
    log::info!("[permits] {} gives out no permits now.", planner.vm);
    None
}
