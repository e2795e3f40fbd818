//! Takes callers' connections.

use std::{convert::Infallible, rc::Rc, time::Duration};

use http::{
    HeaderValue, Request,
    header::{CONNECTION, HeaderMap},
};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::join,
    net::{TcpListener, TcpStream},
    pin,
    sync::watch,
    task::spawn_local,
};

use crate::{
    run::StopPhase,
    traffic::{
        ConnectionCount, ConnectionGuard,
        connection::{CallerConnection, ConnectionReader},
        state::TrafficState,
    },
};

/// Callers use a connection again that was idle for up to four fifths of
/// the operators' limit, and that limit may rise while it is open.
const IDLE_FACTOR: u32 = 2;

/// What stands in while no configuration is known.
const IDLE_UNKNOWN: Duration = Duration::from_secs(30);

/// The smallest buffer for the head of a request that the library takes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Takes connections until the process closes.
pub(crate) async fn serve_listener(
    state: Rc<TrafficState>,
    listener: TcpListener,
    mut phase: watch::Receiver<StopPhase>,
    connections: Rc<ConnectionCount>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing(&mut phase) => return,
        };
        match accepted {
            Ok((stream, _address)) => {
                let guard = connections.enter();
                let (state, phase) = (Rc::clone(&state), phase.clone());
                spawn_local(serve_stream(state, stream, phase, guard));
            }
            Err(error) => {
                log::warn!("[gateway] No connection was taken: {error}.");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Waits until the process closes.
async fn closing(phase: &mut watch::Receiver<StopPhase>) {
    let closed = phase.wait_for(|phase| *phase == StopPhase::Closing).await;
    if closed.is_err() {
        // The process ends without a stop: there is nothing to wait for.
        std::future::pending::<()>().await;
    }
}

async fn serve_stream(
    state: Rc<TrafficState>,
    stream: TcpStream,
    mut phase: watch::Receiver<StopPhase>,
    _guard: ConnectionGuard,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("[gateway] A connection was gone at once: {error}.");
        return;
    }
    let view = state.view();
    let limits = view.routes.as_ref().map(|book| book.limits);
    let idle = limits.map_or(IDLE_UNKNOWN, |limits| {
        limits.idle_timeout.to_std() * IDLE_FACTOR
    });
    let head = limits.map_or(MIN_HEAD_BYTES, |limits| limits.max_head_bytes);
    let (reader, writer) = stream.into_split();
    let lane = CallerConnection::open(state);
    let answering = Rc::clone(&lane);
    let leaving = phase.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (lane, leaving) = (Rc::clone(&answering), leaving.clone());
        async move {
            let mut response = lane.answer(request).await;
            let leaves = *leaving.borrow() != StopPhase::Serving;
            if leaves && !lane.is_ahead() {
                ask_to_leave(response.headers_mut());
            }
            Ok::<_, Infallible>(response)
        }
    });
    let stream = join(ConnectionReader::new(Rc::clone(&lane)), writer);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(MIN_HEAD_BYTES) + MIN_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let received = lane.receive(reader);
    pin!(connection, received);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = received.as_mut() => return,
        () = may_close(&mut phase, &lane) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                () = received => return,
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("[gateway] A connection ended: {error}.");
    }
}

/// Waits until a connection may be closed after its next answer.
async fn may_close(
    phase: &mut watch::Receiver<StopPhase>,
    lane: &CallerConnection,
) {
    closing(phase).await;
    lane.wait_caught_up().await;
}

/// Has a caller open its next connection, which the balancer sends to
/// another VM.
fn ask_to_leave(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
