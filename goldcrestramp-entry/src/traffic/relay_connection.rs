//! Serves connections of VMs that pass requests to this one.

use std::{convert::Infallible, rc::Rc};

use goldcrestramp_types::{ClockSource, MonotonicClock};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, pin, sync::watch};

use crate::{
    peers::BUSY_PATH,
    run::StopPhase,
    traffic::{
        in_flight::OpenGuard,
        listener::wait_for_last_read,
        relay::{ENVELOPE, serve_passed},
        response::ResponseBody,
        state::TrafficState,
    },
};

/// The head buffer: a caller's head with the envelope.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Serves one connection of another VM.
///
/// A draining VM still serves what is passed to it: its entry is gone from the
/// store, so the other VMs soon choose another one.
pub(super) async fn serve_vm(
    state: Rc<TrafficState>,
    mut phase: watch::Receiver<StopPhase>,
    stream: TcpStream,
    _guard: OpenGuard,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("[relay] Setting TCP_NODELAY failed: {error}.");
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Rc::clone(&state);
        async move { Ok::<_, Infallible>(serve_request(&state, request).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    pin!(connection);
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = wait_for_last_read(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("[relay] A connection ended: {error}.");
    }
}

/// Serves a request that another VM passed on, or its question whether the
/// control thread is busy.
async fn serve_request(
    state: &Rc<TrafficState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let is_question = request.uri().path() == BUSY_PATH
        && !request.headers().contains_key(ENVELOPE);
    if !is_question {
        return serve_passed(state, request).await;
    }
    let status = if state.activity.is_busy(MonotonicClock.now()) {
        StatusCode::OK
    } else {
        StatusCode::NO_CONTENT
    };
    let mut response = Response::new(ResponseBody::Full(Full::default()));
    *response.status_mut() = status;
    response
}
