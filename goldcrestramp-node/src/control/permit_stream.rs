//! The keeper's end of its stream to the steward.

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
        actor::ControlActor,
        links::ControlLinks,
        messages::{AskNotice, PermitNotice},
    },
    convert,
};

/// A steward that has not answered for so long is looked for elsewhere.
///
/// Longer than a round trip between regions and a tick, and a quarter of
/// the lease, so that another VM can be asked in time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Questions that wait for the stream; the keeper asks one at a time.
const QUESTION_QUEUE: usize = 2;

/// A keeper's question, and where it goes.
#[derive(Debug)]
pub(crate) struct PermitQuestion {
    /// When it was asked: the permit counts from here.
    pub(crate) sent: LocalTime,
    /// The control listener to ask.
    pub(crate) address: Arc<str>,
    /// The whole report.
    pub(crate) message: PermitRequest,
}

/// Asks one steward after another; a task of its own holds the stream.
#[derive(Debug, Default)]
pub(crate) struct PermitStream {
    questions: Option<mpsc::Sender<PermitQuestion>>,
}

impl PermitStream {
    /// Asks; the answer, or its lack, comes to the actor as a notice.
    pub(crate) fn ask(
        &mut self,
        links: &ControlLinks,
        actor: Address<ControlActor>,
        question: PermitQuestion,
    ) {
        let sender = self.questions.get_or_insert_with(|| {
            let (sender, questions) = mpsc::channel(QUESTION_QUEUE);
            tokio::spawn(run(links.clone(), actor.clone(), questions));
            sender
        });
        let Err(full) = sender.try_send(question) else {
            return;
        };
        // The task is behind: the question counts as not answered.
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
    mut questions: mpsc::Receiver<PermitQuestion>,
) {
    let mut stream: Option<OpenStream> = None;
    loop {
        let question = tokio::select! {
            question = questions.recv() => question,
            told = news(&mut stream) => {
                if !told {
                    stream = None;
                } else if actor.send(AskNotice).await.is_err() {
                    return;
                }
                continue;
            }
        };
        let Some(question) = question else {
            return;
        };
        let sent = question.sent;
        let end = Instant::now() + ANSWER_TIMEOUT;
        let kept = stream.take().filter(|s| s.address == question.address);
        let asked = timeout_at(end, exchange(&links, kept, question));
        let answer = asked.await.ok().flatten();
        let (kept, answer) = answer.unzip();
        stream = kept;
        if actor.send(PermitNotice { sent, answer }).await.is_err() {
            return;
        }
    }
}

/// Waits while no question is under way; `true`: the steward has orders,
/// `false`: the stream is of no use any more.
async fn news(stream: &mut Option<OpenStream>) -> bool {
    let Some(stream) = stream else {
        return std::future::pending().await;
    };
    let reply = stream.replies.message().await.ok().flatten();
    reply.is_some_and(|reply| reply.ask_now)
}

/// One question and its answer; `None`: the stream is of no use any more.
async fn exchange(
    links: &ControlLinks,
    stream: Option<OpenStream>,
    question: PermitQuestion,
) -> Option<(OpenStream, PermitAnswer)> {
    let mut stream = match stream {
        Some(stream) if !links.is_cut(&stream.address) => stream,
        _ => open(links, question.address).await?,
    };
    let delta = stream.encoder.request(question.message);
    let sequence = delta.sequence;
    links.count("permit", &delta);
    stream.requests.send(delta).await.ok()?;
    let Some(reply) = answer(&mut stream).await else {
        links.forget(&stream.address);
        return None;
    };
    links.count("permit-answer", &reply);
    let reply = stream.decoder.reply(reply)?;
    // An answer to another question would count from the wrong moment.
    if reply.permitted && reply.sequence != sequence {
        return None;
    }
    let answer = convert::permit_in(reply).ok()?;
    Some((stream, answer))
}

/// The answer to the question under way; word of orders that comes before
/// is out of date, because the answer holds them.
async fn answer(stream: &mut OpenStream) -> Option<PermitReply> {
    loop {
        let reply = stream.replies.message().await.ok()??;
        if !reply.ask_now {
            return Some(reply);
        }
    }
}

async fn open(links: &ControlLinks, address: Arc<str>) -> Option<OpenStream> {
    let mut client = links.stream(&address).await?;
    let (requests, receiver) = mpsc::channel(QUESTION_QUEUE);
    let call = client.permits(ReceiverStream::new(receiver)).await;
    let Ok(response) = call else {
        links.forget(&address);
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
