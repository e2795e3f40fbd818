//! The control listener: peers' control messages into the actor.

use std::{pin::Pin, sync::Arc};

use futures_util::Stream;
use goldcrestramp_types::DomainName;
use goldcrestramp_wire::peer::{
    ConfirmReply, ConfirmRequest, PermitReply, PermitRequest, TableUpdate,
    TablesRequest, control_server::Control,
};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};
use xtra::Address;

use crate::{
    context::NodeContext,
    control::{
        actor::ControlActor,
        messages::{PermitAsk, VoteAsk},
        tables::{StreamCursor, TableSet},
    },
    convert,
};

/// Updates that wait for a slow subscriber; the newest set is read when
/// there is room, so a slow one skips versions and holds no memory.
const STREAM_QUEUE: usize = 4;

/// The gRPC service of the control thread.
#[derive(Debug)]
pub(crate) struct ControlService {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) actor: Address<ControlActor>,
    pub(crate) tables: watch::Receiver<Arc<TableSet>>,
}

impl ControlService {
    /// A peer that counts this VM to another failure domain must not vote
    /// or be permitted here: two domains would share one steward.
    fn check_domain(&self, domain: &str) -> Result<(), Status> {
        if domain == self.context.domain().as_str() {
            return Ok(());
        }
        Err(Status::failed_precondition("another failure domain"))
    }
}

#[tonic::async_trait]
impl Control for ControlService {
    async fn confirm(
        &self,
        request: Request<ConfirmRequest>,
    ) -> Result<Response<ConfirmReply>, Status> {
        self.context.faults.wait().await;
        let request = request.into_inner();
        self.check_domain(&request.domain)?;
        let ask = convert::ask_in(request).map_err(bad_message)?;
        let answer = self.actor.send(VoteAsk(ask)).await.map_err(ended)?;
        Ok(Response::new(convert::confirm_out(answer)))
    }

    async fn permit(
        &self,
        request: Request<PermitRequest>,
    ) -> Result<Response<PermitReply>, Status> {
        self.context.faults.wait().await;
        let request = request.into_inner();
        self.check_domain(&request.domain)?;
        let report = convert::report_in(&request).map_err(bad_message)?;
        let asked = self.actor.send(PermitAsk(report)).await;
        let answer = asked.map_err(ended)?;
        Ok(Response::new(convert::permit_out(&answer)))
    }

    type TablesStream =
        Pin<Box<dyn Stream<Item = Result<TableUpdate, Status>> + Send>>;

    async fn tables(
        &self,
        request: Request<TablesRequest>,
    ) -> Result<Response<Self::TablesStream>, Status> {
        let only = request.into_inner().domain;
        let only = if only.is_empty() {
            None
        } else {
            let name = DomainName::new(&only);
            Some(name.map_err(|error| bad_message(error.into()))?)
        };
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
        let context = Arc::clone(&self.context);
        let tables = self.tables.clone();
        tokio::spawn(stream_tables(context, tables, only, sender));
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }
}

/// Sends every change until the subscriber is gone.
async fn stream_tables(
    context: Arc<NodeContext>,
    mut tables: watch::Receiver<Arc<TableSet>>,
    only: Option<DomainName>,
    sender: mpsc::Sender<Result<TableUpdate, Status>>,
) {
    let mut cursor = StreamCursor::default();
    loop {
        context.faults.wait().await;
        let set = Arc::clone(&tables.borrow_and_update());
        for update in cursor.updates(&set, only.as_ref()) {
            context.metrics.count_control("table");
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

fn ended(_error: xtra::Error) -> Status {
    Status::unavailable("the daemon is ending")
}
