//! The peers' listener: gateways' requests for keys of kept servers.

use std::{hash::Hasher, pin::Pin, sync::Arc, time::Duration};

use futures_util::{Stream, StreamExt};
use goldcrestramp_decisions::{AttemptId, QueueRefusal, QueuedRequest};
use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestClass, RequestEffect,
    RequestName, ServerName, ServiceName, TimeSpan, slice_of,
};
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
        frames,
        handover::MemoryHandover,
        known::{decline, is_answer, may_have_been_sent, refuse},
        link::RegionLinks,
        recover::{self, LostRequest},
        send::{self, FrameSender, ServerRequest},
        slot::ServerSlot,
        view::KeptServer,
    },
    routing::RouteTarget,
};
use goldcrestramp_ownership::ServerOrder;

/// Frames that wait for a slow gateway; then the server is not read on, so
/// a long answer never gathers in memory.
const FRAME_QUEUE: usize = 8;

/// How often a request that waits looks whether its slice has moved.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// So many looks in a row find the slice gone before a request is given up
/// at its server: a planned move lets what runs end in that time.
const LOOKS_GONE: u32 = 3;

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

    /// What passes the memory of orders on.
    pub(crate) fn handover(&self) -> MemoryHandover {
        self.handover.clone()
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
        let link = self.links.link(&request.region);
        let age = TimeSpan::from_micros(request.age_micros);
        let had = recovery || may_have_been_sent(&request);
        let mut request = match self.check(now, request) {
            Ok(request) => request,
            Err(reason) => return decline(frames, had, reason).await,
        };
        match self.attempts.recall(now, &request) {
            // A recovery asks the server and waits for what still runs.
            Some(step) if !recovery || is_answer(&step) => {
                return self.known(&request, step, frames).await;
            }
            _ => {}
        }
        if recovery {
            self.recover(&request, age, frames).await;
            return;
        }
        let Some(kept) = self.find(&request) else {
            send::give(frames, self.elsewhere(&request)).await;
            return;
        };
        if !request.is_for(&kept) {
            let here = self.context.peers_address();
            let vm = self.context.vm();
            let server = &kept.order.server;
            let frame = frames::redirect(vm, &here, server);
            send::give(frames, frame).await;
            return;
        }
        let crossing = link.map(|link| {
            let ServerRequest { class, service, caller, .. } = &request;
            link.cross(*class, service, caller, request.deadline)
        });
        match crossing.transpose() {
            Ok(crossing) => request.crossing = crossing.map(Arc::new),
            Err(reason) => return decline(frames, had, reason).await,
        }
        let now = self.context.now();
        let step = if self.context.faults.has(PlantedFault::StartedRetried) {
            self.attempts.forget(&kept)
        } else {
            self.attempts.begin(now, &kept, &request)
        };
        match step {
            AttemptStep::Run(attempt) => {
                self.queue(&kept, &request, frames, attempt).await;
            }
            AttemptStep::Look(until) => {
                self.look(&kept, &request, until, frames).await;
            }
            step => self.known(&request, step, frames).await,
        }
    }

    /// Waits for the request's turn and sends it.
    async fn queue(
        &self,
        kept: &KeptServer,
        request: &ServerRequest,
        frames: &FrameSender,
        mut attempt: AttemptGuard,
    ) {
        let queue = self.queues.queue(kept);
        let turn = match queue.offer(self.queued(request), request.slice) {
            Ok(mut place) => self.turn(&mut place, request).await,
            Err(refusal) => Some(Err(refusal)),
        };
        match turn {
            Some(Ok(slot)) => {
                let server = kept.order.server.clone();
                self.take_turn(slot, server, request, frames, attempt).await;
            }
            Some(Err(refusal)) => {
                attempt.not_run(refusal.reason);
                drop(attempt);
                let QueueRefusal { reason, retry_after } = refusal;
                send::give(frames, frames::not_run(reason, retry_after)).await;
            }
            None => {
                drop(attempt);
                send::give(frames, self.elsewhere(request)).await;
            }
        }
    }

    /// What the queue has to know of a request.
    fn queued(&self, request: &ServerRequest) -> QueuedRequest {
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

    /// The request's turn; nothing if its slice moved while it waited.
    ///
    /// A server that is gone or frozen frees no slot, so the queue alone
    /// would keep its requests though another server holds the slice.
    async fn turn(
        &self,
        place: &mut QueuePlace,
        request: &ServerRequest,
    ) -> Option<Result<ServerSlot, QueueRefusal>> {
        loop {
            let turn = tokio::time::timeout(LOOK_EVERY, place.turn()).await;
            if let Ok(turn) = turn {
                return Some(turn);
            }
            self.find(request)?;
        }
    }

    /// Sends a request that holds a slot, unless its slice has moved.
    async fn take_turn(
        &self,
        slot: ServerSlot,
        server: ServerName,
        request: &ServerRequest,
        frames: &FrameSender,
        attempt: AttemptGuard,
    ) {
        // Another server of this VM may own the slice by now; the slot and
        // the queue's word are those of the one before.
        let kept = self
            .find(request)
            .filter(|now| now.order.server == server && request.is_for(now));
        let Some(kept) = kept else {
            drop((slot, attempt));
            send::give(frames, self.elsewhere(request)).await;
            return;
        };
        self.send(&kept, request, frames, slot, attempt).await;
    }

    /// Finds out what became of a request that another keeper had.
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
                let lost = self.lost(order, request, age);
                recover::recover(&self.http, lost, frames).await;
            }
            // The gateway asks again: another VM keeps that server.
            None => refuse(frames, NotRunReason::NoOwner).await,
        }
    }

    pub(super) fn lost<'a>(
        &self,
        order: &'a ServerOrder,
        request: &'a ServerRequest,
        age: TimeSpan,
    ) -> LostRequest<'a> {
        let left = request.deadline.since(self.context.now());
        let address = &order.address;
        LostRequest { address, request, age, left, same_server: true }
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
        let once = request.class.effect() == RequestEffect::NonIdempotent;
        let running = &self.context.running;
        let guard = once.then(|| running.start(server, request.slice));
        let mut cancel = CancelOnDrop::new(&self.http, kept, request, slot);
        let left = request.deadline.since(self.context.now());
        if let Some(call) = &mut cancel.call {
            let notes = (&mut call.slot, &mut attempt);
            let moved = self.moved(request, server, once);
            let wrong = self.wrong_server(kept);
            let kept = wrong.as_ref().unwrap_or(kept);
            let tools = (&self.http, &*self.context.faults);
            send::send(tools, kept, request, left, frames, notes, moved).await;
        }
        cancel.disarm();
        // Its end is noted before its slice may be released, so that the
        // next keeper hears of it.
        drop(attempt);
        drop(guard);
        if once && self.find(request).is_none() {
            self.handover.wake();
        }
    }

    /// Another server than the owner, if that fault is planted.
    fn wrong_server(&self, kept: &KeptServer) -> Option<KeptServer> {
        let planted = self.context.faults.has(PlantedFault::WrongServer);
        planted.then(|| self.context.view.load().another(kept)).flatten()
    }

    /// Completes when an idempotent request's slice has surely left the
    /// server that was sent it.
    ///
    /// A frozen server answers nobody: its callers would wait until their
    /// deadlines though another server owns their keys by then.
    async fn moved(
        &self,
        request: &ServerRequest,
        server: &ServerName,
        once: bool,
    ) {
        if once {
            // Nobody may run it a second time: wait for this answer.
            std::future::pending::<()>().await;
        }
        let mut gone = 0;
        while gone < LOOKS_GONE {
            tokio::time::sleep(LOOK_EVERY).await;
            let kept = self.find(request);
            let here = kept.is_some_and(|k| k.order.server == *server);
            gone = if here { 0 } else { gone + 1 };
        }
    }

    fn check(
        &self,
        now: LocalTime,
        request: RouteRequest,
    ) -> Result<ServerRequest, NotRunReason> {
        let bad = NotRunReason::BadRequest;
        let service =
            ServiceName::new(&request.service).map_err(|_fault| bad)?;
        let caller = CallerName::new(&request.caller).map_err(|_fault| bad)?;
        let name = RequestName::new(&request.request).map_err(|_fault| bad)?;
        let class = RequestClass::from_code(&request.class).ok_or(bad)?;
        let table = self.context.table.load();
        // A keeper that has just started has no table yet.
        let routes = table.service(&service).ok_or(NotRunReason::NoOwner)?;
        let count = routes.count;
        Ok(ServerRequest {
            slice: slice_of(&request.key, count),
            service,
            server: ServerName::new(&request.server).ok(),
            key: request.key,
            id: Arc::from(format!("{caller}/{name}")),
            attempt: Some(AttemptId { caller: caller.clone(), request: name }),
            caller,
            resend: request.resend,
            class,
            deadline: now + TimeSpan::from_micros(request.left_micros),
            body: request.body,
            crossing: None,
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
        let taken = self.handover.take(request.into_inner())?;
        Ok(Response::new(OrderReceipt { taken }))
    }
}
