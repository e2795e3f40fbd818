//! The keeper's side of its permit stream to the steward.

use std::{sync::Arc, time::Duration};

use goldcrestramp_ownership::PermitAnswer;
use goldcrestramp_types::LocalTime;
use goldcrestramp_wire::{
    delta::{DeltaDecoder, DeltaEncoder},
    peer::{PermitReply, PermitRequest},
};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use xtra::Address;

use crate::{
    control::{
        actor::ControlActor, links::ControlLinks, messages::PermitNotice,
    },
    convert,
};

/// How long the keeper waits for a reply before it tries another VM.
///
/// It is longer than a round trip between regions plus a tick, and a quarter
/// of the lease, so that another VM can be asked in time.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// The capacity of the queue of calls. The keeper has one call in flight.
const CALL_QUEUE: usize = 2;

/// A keeper's report to a steward, which asks for a permit.
#[derive(Debug)]
pub(crate) struct PermitCall {
    /// When the call was made. The permit's duration starts here.
    pub(crate) sent: LocalTime,
    /// The address of the steward's control listener.
    pub(crate) address: Arc<str>,
    /// The full report.
    pub(crate) message: PermitRequest,
}

/// Sends calls to stewards, one after another. A separate task owns the
/// stream.
#[derive(Debug, Default)]
pub(crate) struct PermitStream {
    calls: Option<mpsc::Sender<PermitCall>>,
}

impl PermitStream {
    /// Sends a call. The actor receives a [`PermitNotice`] with the answer,
    /// or with none after a failure.
    pub(crate) fn send(
        &mut self,
        links: &ControlLinks,
        actor: Address<ControlActor>,
        call: PermitCall,
    ) {
        let sender = self.calls.get_or_insert_with(|| {
            let (sender, calls) = mpsc::channel(CALL_QUEUE);
            tokio::spawn(run(links.clone(), actor.clone(), calls));
            sender
        });
        let Err(full) = sender.try_send(call) else {
            return;
        };
        // The queue is full: the call counts as unanswered.
        let sent = full.into_inner().sent;
        tokio::spawn(async move {
            let notice = PermitNotice { sent, answer: None };
            drop(actor.send(notice).await);
        });
    }
}

/// An open stream to one steward.
struct OpenStream {
    address: Arc<str>,
    requests: mpsc::Sender<PermitRequest>,
    replies: Streaming<PermitReply>,
    encoder: DeltaEncoder,
    decoder: DeltaDecoder,
}

async fn run(
    links: ControlLinks,
    actor: Address<ControlActor>,
    mut calls: mpsc::Receiver<PermitCall>,
) {
    let mut stream: Option<OpenStream> = None;
    while let Some(call) = calls.recv().await {
        let sent = call.sent;
        let deadline = Instant::now() + REPLY_TIMEOUT;
        let reusable = stream.take().filter(|s| s.address == call.address);
        let reply = timeout_at(deadline, exchange(&links, reusable, call));
        let answer = reply.await.ok().flatten();
        let (reusable, answer) = answer.unzip();
        stream = reusable;
        if actor.send(PermitNotice { sent, answer }).await.is_err() {
            return;
        }
    }
}

/// Sends one call and waits for its answer. Returns `None` if the stream
/// cannot be used any longer.
async fn exchange(
    links: &ControlLinks,
    stream: Option<OpenStream>,
    call: PermitCall,
) -> Option<(OpenStream, PermitAnswer)> {
    let mut stream = match stream {
        Some(stream) if !links.is_cut(&stream.address) => stream,
        _ => open(links, call.address).await?,
    };
    let delta = stream.encoder.request(call.message);
    let sequence = delta.sequence;
    links.count("permit", &delta);
    stream.requests.send(delta).await.ok()?;
    let reply = stream.replies.message().await.ok().flatten();
    let Some(reply) = reply else {
        links.disconnect(&stream.address);
        return None;
    };
    links.count("permit-answer", &reply);
    let reply = stream.decoder.reply(reply)?;
    // The permit of another call would start at the wrong time.
    if reply.permitted && reply.sequence != sequence {
        return None;
    }
    let answer = convert::permit_in(reply).ok()?;
    Some((stream, answer))
}

async fn open(links: &ControlLinks, address: Arc<str>) -> Option<OpenStream> {
    let mut client = links.stream(&address).await?;
    let (requests, receiver) = mpsc::channel(CALL_QUEUE);
    let opened = client.permits(ReceiverStream::new(receiver)).await;
    let Ok(response) = opened else {
        links.disconnect(&address);
        return None;
    };
    Some(OpenStream {
        address,
        requests,
        replies: response.into_inner(),
        encoder: DeltaEncoder::default(),
        decoder: DeltaDecoder::default(),
    })
}
