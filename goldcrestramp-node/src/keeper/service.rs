//! The peers' listener: gateways' requests for keys of kept servers.

use std::{pin::Pin, sync::Arc};

use futures_util::Stream;
use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestClass, RequestEffect,
    RequestName, ServiceName, TimeSpan, slice_of,
};
use goldcrestramp_wire::peer::{RouteFrame, RouteRequest, peer_server::Peer};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::{
    context::NodeContext,
    keeper::{
        frames,
        gate::ServerGates,
        prove, recover,
        send::{self, FrameSender, ServerRequest},
        view::KeptServer,
    },
};

/// Frames that wait for a slow gateway; then the server is not read on, so
/// a long answer never gathers in memory.
const FRAME_QUEUE: usize = 8;

/// The gRPC service of the traffic threads.
#[derive(Clone, Debug)]
pub(crate) struct KeeperService {
    context: Arc<NodeContext>,
    gates: Arc<ServerGates>,
    http: reqwest::Client,
}

impl KeeperService {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let gates = Arc::new(ServerGates::default());
        Self { context, gates, http: reqwest::Client::new() }
    }

    /// Runs one request and hands its frames on.
    ///
    /// When the gateway goes away the work stops at once, and the server is
    /// asked to cancel what it has been sent.
    async fn run(self, request: RouteRequest, frames: FrameSender) {
        let guard = self.context.request();
        self.context.faults.wait().await;
        let gone = frames.clone();
        tokio::select! {
            () = self.decide(request, &frames) => {}
            () = gone.closed() => {}
        }
        drop(guard);
    }

    async fn decide(&self, request: RouteRequest, frames: &FrameSender) {
        let now = self.context.now();
        let recovery = request.recover;
        let age = TimeSpan::from_micros(request.age_micros);
        let Some(request) = self.check(now, request) else {
            let reason = NotRunReason::BadRequest;
            refuse(frames, reason).await;
            return;
        };
        if recovery {
            self.recover(&request, age, frames).await;
            return;
        }
        let Some(kept) = self.find(&request) else {
            send::give(frames, self.elsewhere(&request)).await;
            return;
        };
        let gate = self.gates.gate(&kept.order);
        let left = request.deadline.since(self.context.now()).to_std();
        let slot = match tokio::time::timeout(left, gate.acquire()).await {
            Ok(Ok(slot)) => slot,
            Ok(Err(_closed)) => {
                return refuse(frames, NotRunReason::Draining).await;
            }
            Err(_elapsed) => {
                return refuse(frames, NotRunReason::DeadlinePassed).await;
            }
        };
        // The slice may have moved while the request waited.
        let Some(kept) = self.find(&request) else {
            send::give(frames, self.elsewhere(&request)).await;
            return;
        };
        self.send(&kept, &request, frames).await;
        drop(slot);
    }

    /// Finds out what became of a request that another keeper had.
    async fn recover(
        &self,
        request: &ServerRequest,
        age: TimeSpan,
        frames: &FrameSender,
    ) {
        match self.find(request) {
            Some(kept) => {
                let deadline = request.deadline;
                let left = deadline.since(self.context.now());
                recover::recover(
                    &self.http, &kept, request, age, left, frames,
                )
                .await;
            }
            None => {
                send::give(frames, self.elsewhere(request)).await;
            }
        }
    }

    async fn send(
        &self,
        kept: &KeptServer,
        request: &ServerRequest,
        frames: &FrameSender,
    ) {
        let server = &kept.order.server;
        let once = request.class.effect() == RequestEffect::NonIdempotent;
        let running = &self.context.running;
        let guard = once.then(|| running.start(server, request.slice));
        let mut cancel = CancelOnDrop::new(self, kept, request);
        let left = request.deadline.since(self.context.now());
        send::send(&self.http, kept, request, left, frames).await;
        cancel.disarm();
        drop(guard);
    }

    fn check(
        &self,
        now: LocalTime,
        request: RouteRequest,
    ) -> Option<ServerRequest> {
        let service = ServiceName::new(&request.service).ok()?;
        let caller = CallerName::new(&request.caller).ok()?;
        let name = RequestName::new(&request.request).ok()?;
        let table = self.context.table.load();
        let count = table.service(&service)?.count;
        Some(ServerRequest {
            slice: slice_of(&request.key, count),
            service,
            key: request.key,
            id: Arc::from(format!("{caller}/{name}")),
            class: RequestClass::from_code(&request.class)?,
            deadline: now + TimeSpan::from_micros(request.left_micros),
            body: request.body,
        })
    }

    fn find(&self, request: &ServerRequest) -> Option<KeptServer> {
        let view = self.context.view.load();
        view.find(self.context.now(), &request.service, request.slice)
    }

    /// Who keeps the slice instead, as far as this VM's table knows.
    fn elsewhere(&self, request: &ServerRequest) -> RouteFrame {
        let table = self.context.table.load();
        let routes = table.service(&request.service);
        match routes.and_then(|routes| routes.target(request.slice)) {
            Some(target) if target.keeper != *self.context.vm() => {
                frames::redirect(target)
            }
            _ => frames::not_run(NotRunReason::NoOwner, TimeSpan::ZERO),
        }
    }
}

async fn refuse(frames: &FrameSender, reason: NotRunReason) {
    send::give(frames, frames::not_run(reason, TimeSpan::ZERO)).await;
}

/// Cancels a request at its server when its caller has gone.
#[derive(Debug)]
struct CancelOnDrop {
    call: Option<(reqwest::Client, KeptServer, Arc<str>)>,
}

impl CancelOnDrop {
    fn new(
        service: &KeeperService,
        kept: &KeptServer,
        request: &ServerRequest,
    ) -> Self {
        let http = service.http.clone();
        Self { call: Some((http, kept.clone(), Arc::clone(&request.id))) }
    }

    /// The request has its answer: there is nothing to cancel.
    fn disarm(&mut self) {
        self.call = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some((http, kept, id)) = self.call.take() else {
            return;
        };
        tokio::spawn(async move {
            // Whether it was in time does not matter to a caller that left.
            let _report = prove::cancel(&http, &kept, &id).await;
        });
    }
}

#[tonic::async_trait]
impl Peer for KeeperService {
    type RouteStream =
        Pin<Box<dyn Stream<Item = Result<RouteFrame, Status>> + Send>>;

    async fn route(
        &self,
        request: Request<RouteRequest>,
    ) -> Result<Response<Self::RouteStream>, Status> {
        let (sender, receiver) = mpsc::channel(FRAME_QUEUE);
        let service = self.clone();
        tokio::spawn(service.run(request.into_inner(), sender));
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }
}
