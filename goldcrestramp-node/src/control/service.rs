//! The control listener, which passes peers' control messages to the actor.

use std::{pin::Pin, sync::Arc};

use futures_util::Stream;
use goldcrestramp_config::StateRevision;
use goldcrestramp_types::DomainName;
use goldcrestramp_wire::{
    delta::{DeltaDecoder, DeltaEncoder},
    peer::{
        ConfirmReply, ConfirmRequest, PermitReply, PermitRequest, TableUpdate,
        TablesRequest, ViewReply, ViewRequest, control_server::Control,
    },
};
use prost::Message;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};
use xtra::Address;

use crate::{
    context::NodeContext,
    control::{
        actor::ControlActor,
        messages::{PermitAsk, StatusAsk, VoteAsk},
        tables::{StreamCursor, TableSet},
    },
    convert,
    operators::steward_view,
    peer_tls::ProvenPeer,
};

/// The capacity of a subscriber's queue of updates.
///
/// The newest set is read once there is room, so that a slow subscriber skips
/// versions and uses no more memory.
const STREAM_QUEUE: usize = 4;

/// The gRPC service of the control thread.
#[derive(Debug)]
pub(crate) struct ControlService {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) actor: Address<ControlActor>,
    pub(crate) tables: watch::Receiver<Arc<TableSet>>,
}

impl ControlService {
    fn count(&self, kind: &'static str, message: &impl Message) {
        let bytes = message.encoded_len();
        self.context.metrics.count_control(kind, bytes);
    }
}

/// Rejects a request that names another failure domain.
///
/// If a peer of another domain got a vote or a permit here, two domains would
/// share one steward.
fn check_domain(context: &NodeContext, domain: &str) -> Result<(), Status> {
    if domain == context.domain().as_str() {
        return Ok(());
    }
    Err(Status::failed_precondition("another failure domain"))
}

#[tonic::async_trait]
impl Control for ControlService {
    async fn confirm(
        &self,
        request: Request<ConfirmRequest>,
    ) -> Result<Response<ConfirmReply>, Status> {
        self.context.faults.wait().await;
        let peer = ProvenPeer::of(self.context.tls.as_deref(), &request)?;
        let request = request.into_inner();
        self.count("confirm", &request);
        peer.check(&request.domain, &request.vm)?;
        check_domain(&self.context, &request.domain)?;
        let ask = convert::ask_in(request).map_err(bad_message)?;
        let answer = self.actor.send(VoteAsk(ask)).await.map_err(stopping)?;
        let reply = convert::confirm_out(answer);
        self.count("confirm-answer", &reply);
        Ok(Response::new(reply))
    }

    type PermitsStream =
        Pin<Box<dyn Stream<Item = Result<PermitReply, Status>> + Send>>;

    async fn permits(
        &self,
        request: Request<Streaming<PermitRequest>>,
    ) -> Result<Response<Self::PermitsStream>, Status> {
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
        let context = Arc::clone(&self.context);
        let peer = ProvenPeer::of(context.tls.as_deref(), &request)?;
        let actor = self.actor.clone();
        let service = PermitService { context, actor, peer };
        let requests = request.into_inner();
        tokio::spawn(serve_permits(service, requests, sender));
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn view(
        &self,
        request: Request<ViewRequest>,
    ) -> Result<Response<ViewReply>, Status> {
        self.context.faults.wait().await;
        let peer = ProvenPeer::of(self.context.tls.as_deref(), &request)?;
        let request = request.into_inner();
        peer.check(&request.domain, &request.vm)?;
        check_domain(&self.context, &request.domain)?;
        let status = self.actor.send(StatusAsk).await.map_err(stopping)?;
        let now = self.context.now();
        let view = steward_view(self.context.vm(), &status, now);
        let view = view.and_then(|view| serde_json::to_vec(&view).ok());
        let view = view.unwrap_or_default().into();
        Ok(Response::new(ViewReply { view }))
    }

    type TablesStream =
        Pin<Box<dyn Stream<Item = Result<TableUpdate, Status>> + Send>>;

    async fn tables(
        &self,
        request: Request<TablesRequest>,
    ) -> Result<Response<Self::TablesStream>, Status> {
        let request = request.into_inner();
        let version = request.config_version;
        let config = StateRevision { version, digest: request.config_digest };
        let only = request.domain;
        let only = if only.is_empty() {
            None
        } else {
            let name = DomainName::new(&only);
            Some(name.map_err(|error| bad_message(error.into()))?)
        };
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
        let context = Arc::clone(&self.context);
        let tables = self.tables.clone();
        let cursor = StreamCursor::new(config);
        tokio::spawn(stream_tables(context, tables, only, cursor, sender));
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }
}

/// Answers a keeper's reports until it disconnects or a report is invalid.
async fn serve_permits(
    service: PermitService,
    mut requests: Streaming<PermitRequest>,
    sender: mpsc::Sender<Result<PermitReply, Status>>,
) {
    let context = &service.context;
    let mut reports = DeltaDecoder::default();
    let mut replies = DeltaEncoder::default();
    while let Ok(Some(delta)) = requests.message().await {
        context.faults.wait().await;
        context.metrics.count_control("permit", delta.encoded_len());
        let Some(request) = reports.request(delta) else {
            return;
        };
        let answer = service.permit(&request).await;
        let reply = answer.map(|reply| replies.reply(reply));
        let failed = reply.is_err();
        if let Ok(reply) = &reply {
            let bytes = reply.encoded_len();
            context.metrics.count_control("permit-answer", bytes);
        }
        if sender.send(reply).await.is_err() || failed {
            return;
        }
    }
}

/// Passes the reports of one keeper to the actor.
struct PermitService {
    context: Arc<NodeContext>,
    actor: Address<ControlActor>,
    peer: ProvenPeer,
}

impl PermitService {
    async fn permit(
        &self,
        request: &PermitRequest,
    ) -> Result<PermitReply, Status> {
        self.peer.check(&request.domain, &request.vm)?;
        check_domain(&self.context, &request.domain)?;
        let report = convert::report_in(request).map_err(bad_message)?;
        let versions = convert::versions_in(request);
        let answer = self.actor.send(PermitAsk { report, versions }).await;
        Ok(convert::permit_out(&answer.map_err(stopping)?))
    }
}

/// Sends every change until the subscriber disconnects.
async fn stream_tables(
    context: Arc<NodeContext>,
    mut tables: watch::Receiver<Arc<TableSet>>,
    only: Option<DomainName>,
    mut cursor: StreamCursor,
    sender: mpsc::Sender<Result<TableUpdate, Status>>,
) {
    loop {
        context.faults.wait().await;
        let set = Arc::clone(&tables.borrow_and_update());
        for update in cursor.updates(&set, only.as_ref()) {
            let bytes = update.encoded_len();
            context.metrics.count_control("table", bytes);
            if sender.send(Ok(update)).await.is_err() {
                return;
            }
        }
        tokio::select! {
            changed = tables.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = sender.closed() => return,
        }
    }
}

fn bad_message(_error: convert::BadMessage) -> Status {
    Status::invalid_argument("malformed message")
}

fn stopping(_error: xtra::Error) -> Status {
    Status::unavailable("the daemon is ending")
}
