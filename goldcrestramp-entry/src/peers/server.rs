//! Serves calls of other VMs.

use std::time::Duration;

use bytes::Bytes;
use goldcrestramp_types::{ClockSource, MonotonicClock};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::{net::TcpListener, sync::watch, time::timeout};
use xtra::Address;

use crate::{
    control::ControlActor,
    listen::serve_http,
    peers::{PEER_PATH, PeerCall, PeerReply},
};

/// A call is a load report or a table, some ten kilobytes.
const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;

/// How long a call waits for changes at most; its caller times out a little
/// later. If a source freezes, enough time remains for a change of the
/// configuration to be in force within 2 s.
const UPDATE_WAIT: Duration = Duration::from_millis(400);

/// What is needed to reply to calls.
#[derive(Clone, Debug)]
pub struct PeerSource {
    /// The control actor, which replies to the calls.
    pub control: Address<ControlActor>,
    /// The revision up to which it knows the relevant changes of the store.
    pub revisions: watch::Receiver<u64>,
}

/// Serves calls until the listener fails or the task is dropped.
pub async fn serve_peers(listener: TcpListener, source: PeerSource) {
    serve_http(listener, "peers", move |request| {
        respond(request, source.clone())
    })
    .await;
}

async fn respond(
    request: Request<Incoming>,
    mut source: PeerSource,
) -> Response<Full<Bytes>> {
    if request.uri().path() != PEER_PATH {
        return status(StatusCode::NOT_FOUND);
    }
    let Some(call) = read_call(request).await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let arrived = MonotonicClock.now();
    if let Some(sync) = call.sync_request().filter(|sync| sync.wait) {
        let known = sync.known.revision;
        let newer = source.revisions.wait_for(|at| *at > known);
        // Without changes, the reply shows that this VM is alive.
        let _in_time = timeout(UPDATE_WAIT, newer).await;
    }
    let waited = MonotonicClock.now().since(arrived);
    let mut reply: Option<PeerReply> = source.control.send(call).await.ok();
    if let Some(reply) = &mut reply {
        reply.set_held(waited);
    }
    let body = reply.and_then(|reply| postcard::to_allocvec(&reply).ok());
    match body {
        Some(body) => Response::new(Full::new(body.into())),
        None => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn read_call(request: Request<Incoming>) -> Option<PeerCall> {
    let body = Limited::new(request.into_body(), MAX_CALL_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    postcard::from_bytes(&bytes).ok()
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}
