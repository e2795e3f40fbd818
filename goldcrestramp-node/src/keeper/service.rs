//! The gRPC service for peers: gateways' requests for keys of kept servers.

use std::{hash::Hasher, pin::Pin, sync::Arc, time::Duration};

use futures_util::{Stream, StreamExt};
use goldcrestramp_decisions::{QueueRefusal, QueuedRequest};
use goldcrestramp_types::{NotRunReason, RequestEffect, ServerName, TimeSpan};
use goldcrestramp_wire::peer::{
    OrderParcel, OrderReceipt, RouteFrame, RouteRequest, peer_server::Peer,
};
use rustc_hash::FxHasher;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::{
    context::NodeContext,
    faults::PlantedFault,
    keeper::{
        admission::{QueuePlace, ServerQueues},
        attempts::{AttemptGuard, AttemptStep, ServerAttempts},
        cancel::CancelOnDrop,
        forward::{self, FrameSender},
        frames,
        handover::MemoryHandover,
        known::{decline, is_replay, may_have_run, refuse},
        link::RegionLinks,
        recover::{self, LostRequest},
        request::ServerRequest,
        send,
        slot::{ServerSlot, SlotEnd},
        view::KeptServer,
    },
    routing::RouteTarget,
};
use goldcrestramp_ownership::ServerOrder;

/// The number of frames buffered for a slow gateway. When the buffer is full,
/// reading from the server pauses, so a long response never fills the memory.
const FRAME_QUEUE: usize = 8;

/// How often a waiting request checks whether its slice has moved.
const ROUTE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A request is given up at its server after this many checks in a row do not
/// find its slice there. A planned move lets running requests complete in that
/// time.
const MAX_MISSES: u32 = 3;

/// The gRPC service of the traffic threads.
#[derive(Clone, Debug)]
pub(crate) struct KeeperService {
    pub(super) context: Arc<NodeContext>,
    queues: Arc<ServerQueues>,
    pub(super) attempts: ServerAttempts,
    links: Arc<RegionLinks>,
    handover: MemoryHandover,
    pub(super) http: reqwest::Client,
}

impl KeeperService {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let queues = Arc::new(ServerQueues::new(Arc::clone(&context)));
        let attempts = ServerAttempts::default();
        let links = Arc::new(RegionLinks::new(Arc::clone(&context)));
        let handover =
            MemoryHandover::spawn(Arc::clone(&context), attempts.clone());
        let http = reqwest::Client::new();
        Self { context, queues, attempts, links, handover, http }
    }

    /// The handover of order records to the next keepers.
    pub(crate) fn handover(&self) -> MemoryHandover {
        self.handover.clone()
    }

    /// Runs one request and sends its frames.
    ///
    /// When the gateway disconnects the work stops at once, and the server is
    /// asked to cancel the request.
    async fn run(self, request: RouteRequest, frames: FrameSender) {
        let guard = self.context.request();
        self.context.faults.wait().await;
        let gateway = frames.clone();
        tokio::select! {
            () = self.handle(request, &frames) => {}
            () = gateway.closed() => {}
        }
        drop(guard);
    }

    async fn handle(&self, request: RouteRequest, frames: &FrameSender) {
        let now = self.context.now();
        let recovery = request.recover;
        let link = self.links.link(&request.region);
        let age = TimeSpan::from_micros(request.age_micros);
        let resent = recovery || may_have_run(&request);
        let mut request = match ServerRequest::read(
            now,
            request,
            &self.context.table.load(),
        ) {
            Ok(request) => request,
            Err(reason) => return decline(frames, resent, reason).await,
        };
        match self.attempts.recall(now, &request) {
            // A recovery queries the server and waits for a running request.
            Some(step) if !recovery || is_replay(&step) => {
                return self.respond_known(&request, step, frames).await;
            }
            _ => {}
        }
        if recovery {
            self.recover(&request, age, frames).await;
            return;
        }
        let Some(kept) = self.find(&request) else {
            forward::send_frame(frames, self.redirect_frame(&request)).await;
            return;
        };
        if !request.is_for(&kept) {
            let here = self.context.peers_address();
            let vm = self.context.vm();
            let server = &kept.order.server;
            let frame = frames::redirect(vm, &here, server);
            forward::send_frame(frames, frame).await;
            return;
        }
        let crossing = link.map(|link| {
            let ServerRequest { class, service, caller, .. } = &request;
            link.cross(*class, service, caller, request.deadline)
        });
        match crossing.transpose() {
            Ok(crossing) => request.crossing = crossing.map(Arc::new),
            Err(reason) => return decline(frames, resent, reason).await,
        }
        let now = self.context.now();
        let step = if self.context.faults.has(PlantedFault::StartedRetried) {
            self.attempts.begin_untracked(&kept)
        } else {
            self.attempts.begin(now, &kept, &request)
        };
        match step {
            AttemptStep::Run(attempt) => {
                self.enqueue(&kept, &request, frames, attempt).await;
            }
            AttemptStep::Search(until) => {
                self.search(&kept, &request, until, frames).await;
            }
            step => self.respond_known(&request, step, frames).await,
        }
    }

    /// Queues the request and sends it when it gets a slot.
    async fn enqueue(
        &self,
        kept: &KeptServer,
        request: &ServerRequest,
        frames: &FrameSender,
        mut attempt: AttemptGuard,
    ) {
        let queue = self.queues.queue(kept);
        let slot = match queue.offer(self.queue_entry(request), request.slice)
        {
            Ok(mut place) => self.wait_for_slot(&mut place, request).await,
            Err(refusal) => Some(Err(refusal)),
        };
        match slot {
            Some(Ok(slot)) => {
                let server = kept.order.server.clone();
                self.send_if_owned(slot, server, request, frames, attempt)
                    .await;
            }
            Some(Err(refusal)) => {
                attempt.record_not_run(refusal.reason);
                drop(attempt);
                let QueueRefusal { reason, retry_after } = refusal;
                forward::send_frame(
                    frames,
                    frames::not_run(reason, retry_after),
                )
                .await;
            }
            None => {
                drop(attempt);
                forward::send_frame(frames, self.redirect_frame(request))
                    .await;
            }
        }
    }

    /// The queue's view of a request.
    fn queue_entry(&self, request: &ServerRequest) -> QueuedRequest {
        let mut hasher = FxHasher::default();
        hasher.write(&request.key);
        let weight = self.context.weights.load().get(&request.caller).copied();
        QueuedRequest {
            caller: request.caller.clone(),
            weight: weight.unwrap_or(1),
            key_hash: hasher.finish(),
            class: request.class,
            deadline: request.deadline,
        }
    }

    /// Waits for a slot; returns `None` if the slice moved meanwhile.
    ///
    /// A lost or frozen server frees no slot, so the queue alone would keep
    /// its requests although another server has the slice.
    async fn wait_for_slot(
        &self,
        place: &mut QueuePlace,
        request: &ServerRequest,
    ) -> Option<Result<ServerSlot, QueueRefusal>> {
        loop {
            let slot =
                tokio::time::timeout(ROUTE_CHECK_INTERVAL, place.wait()).await;
            if let Ok(slot) = slot {
                return Some(slot);
            }
            self.find(request)?;
        }
    }

    /// Sends a request that has a slot, unless its slice has moved.
    async fn send_if_owned(
        &self,
        slot: ServerSlot,
        server: ServerName,
        request: &ServerRequest,
        frames: &FrameSender,
        attempt: AttemptGuard,
    ) {
        // Another server of this VM may own the slice by now; the slot
        // belongs to the previous one.
        let kept = self
            .find(request)
            .filter(|now| now.order.server == server && request.is_for(now));
        let Some(kept) = kept else {
            drop((slot, attempt));
            forward::send_frame(frames, self.redirect_frame(request)).await;
            return;
        };
        self.send(&kept, request, frames, slot, attempt).await;
    }

    /// Finds out the outcome of a request that another keeper had.
    async fn recover(
        &self,
        request: &ServerRequest,
        age: TimeSpan,
        frames: &FrameSender,
    ) {
        let view = self.context.view.load_full();
        let server = request.server.as_ref();
        match server.and_then(|server| view.kept(server)) {
            Some(order) => {
                let lost = self.lost_request(order, request, age);
                recover::recover(&self.http, lost, frames).await;
            }
            // Another VM keeps that server, and the gateway will retry.
            None => refuse(frames, NotRunReason::NoOwner).await,
        }
    }

    pub(super) fn lost_request<'a>(
        &self,
        order: &'a ServerOrder,
        request: &'a ServerRequest,
        age: TimeSpan,
    ) -> LostRequest<'a> {
        let remaining = request.deadline.since(self.context.now());
        let address = &order.address;
        LostRequest { address, request, age, remaining, same_server: true }
    }

    async fn send(
        &self,
        kept: &KeptServer,
        request: &ServerRequest,
        frames: &FrameSender,
        slot: ServerSlot,
        mut attempt: AttemptGuard,
    ) {
        let server = &kept.order.server;
        let is_order = request.class.effect() == RequestEffect::NonIdempotent;
        let running = &self.context.running;
        let guard = is_order.then(|| running.start(server, request.slice));
        let mut cancel = CancelOnDrop::new(&self.http, kept, request, slot);
        let remaining = request.deadline.since(self.context.now());
        if let Some(call) = &mut cancel.call {
            let sinks = (&mut call.slot, &mut attempt);
            let slice_moved = self.slice_moved(request, server, is_order);
            let wrong = self.wrong_server(kept);
            let kept = wrong.as_ref().unwrap_or(kept);
            let client = (&self.http, &*self.context.faults);
            send::send(
                client,
                kept,
                request,
                remaining,
                frames,
                sinks,
                slice_moved,
            )
            .await;
            self.check_refusal(kept, request, &mut call.slot);
        }
        cancel.disarm();
        // The outcome is recorded before the slice may be released, so that
        // the next keeper gets the record.
        drop(attempt);
        drop(guard);
        if is_order && self.find(request).is_none() {
            self.handover.wake();
        }
    }

    /// Records that a refusal follows from ownership, if it does.
    ///
    /// While slices move or a grant is renewed late, requests in flight arrive
    /// after the end of their pass. Counted as overload, their refusals halved
    /// the slots of the servers that remained while another was drained.
    fn check_refusal(
        &self,
        kept: &KeptServer,
        request: &ServerRequest,
        slot: &mut ServerSlot,
    ) {
        let now = self.context.now();
        let view = self.context.view.load();
        if slot.is_refused() && !view.is_current(now, kept, request.slice) {
            slot.record_end(SlotEnd::PassEnded);
        }
    }

    /// Another server than the owner, if that fault is planted.
    fn wrong_server(&self, kept: &KeptServer) -> Option<KeptServer> {
        let planted = self.context.faults.has(PlantedFault::WrongServer);
        planted.then(|| self.context.view.load().another(kept)).flatten()
    }

    /// Completes when an idempotent request's slice has surely moved away
    /// from the server that received it.
    ///
    /// A frozen server does not respond: its callers would wait until their
    /// deadlines although another server owns their keys by then.
    async fn slice_moved(
        &self,
        request: &ServerRequest,
        server: &ServerName,
        is_order: bool,
    ) {
        if is_order {
            // An order must not run twice, so only this response counts.
            std::future::pending::<()>().await;
        }
        let mut misses = 0;
        while misses < MAX_MISSES {
            tokio::time::sleep(ROUTE_CHECK_INTERVAL).await;
            let owns = self.is_owner(request, server);
            misses = if owns { 0 } else { misses + 1 };
        }
    }

    /// Whether a server owns the slice of a request, whichever VM keeps it.
    fn is_owner(&self, request: &ServerRequest, server: &ServerName) -> bool {
        if let Some(kept) = self.find(request) {
            return kept.order.server == *server;
        }
        let table = self.context.table.load();
        let routes = table.service(&request.service);
        let target = routes.and_then(|routes| routes.target(request.slice));
        target.is_some_and(|target| target.server == *server)
    }

    fn find(&self, request: &ServerRequest) -> Option<KeptServer> {
        let view = self.context.view.load();
        view.find(self.context.now(), &request.service, request.slice)
    }

    /// A redirect to the slice's keeper according to this VM's table, or *no
    /// owner*.
    fn redirect_frame(&self, request: &ServerRequest) -> RouteFrame {
        let table = self.context.table.load();
        let routes = table.service(&request.service);
        match routes.and_then(|routes| routes.target(request.slice)) {
            Some(target) if target.keeper != *self.context.vm() => {
                let RouteTarget { keeper, address, server, .. } = target;
                frames::redirect(keeper, address, server)
            }
            _ => frames::not_run(NotRunReason::NoOwner, TimeSpan::ZERO),
        }
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
        let mut arrived = Some(self.context.now());
        let context = Arc::clone(&self.context);
        tokio::spawn(service.run(request.into_inner(), sender));
        let frames = ReceiverStream::new(receiver).map(move |frame| {
            let first = arrived.take();
            let spent = first.map(|at| context.now().since(at).as_micros());
            let spent_micros = spent.unwrap_or_default();
            frame.map(|frame| RouteFrame { spent_micros, ..frame })
        });
        Ok(Response::new(Box::pin(frames)))
    }

    async fn remember(
        &self,
        request: Request<OrderParcel>,
    ) -> Result<Response<OrderReceipt>, Status> {
        let taken = self.handover.accept(request.into_inner())?;
        Ok(Response::new(OrderReceipt { taken }))
    }
}
