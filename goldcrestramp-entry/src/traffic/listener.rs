//! Accepts callers' connections.

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
    time::timeout,
};

use crate::{
    run::StopPhase,
    traffic::{
        caller::{CallerGuard, CallerWriter, GuardedBody},
        connection::{CallerConnection, ConnectionReader},
        in_flight::{ConnectionEnd, OpenCount, OpenGuard},
        state::TrafficState,
    },
};

/// Callers reuse a connection that was idle for up to four fifths of the idle
/// timeout in the configuration, and that timeout may rise while the
/// connection is open.
const IDLE_FACTOR: u32 = 2;

/// The idle timeout while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The delay after a failed accept, which is mostly due to a lack of
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The smallest head buffer that the library accepts.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// How long a connection is still read before it is closed, so that a request
/// whose bytes have arrived is served.
const LAST_READ_TIME: Duration = Duration::from_millis(10);

/// How long a connection without any byte is still read before it is closed:
/// its caller has just opened it, and the request is a round trip behind.
const FIRST_READ_TIME: Duration = Duration::from_millis(300);

/// Accepts connections until the process closes, and serves each in a task of
/// its own. Each is accepted when `room` is.
pub(crate) async fn serve_listener<Served>(
    listener: TcpListener,
    mut phase: watch::Receiver<StopPhase>,
    connections: Rc<OpenCount>,
    room: impl AsyncFn(),
    serve: impl Fn(TcpStream, OpenGuard) -> Served,
) where
    Served: Future<Output = ()> + 'static,
{
    loop {
        let next = async {
            room().await;
            listener.accept().await
        };
        let accepted = tokio::select! {
            accepted = next => accepted,
            () = wait_for_close(&mut phase) => break,
        };
        match accepted {
            Ok((stream, _address)) => {
                spawn_local(serve(stream, connections.enter()));
            }
            Err(error) => {
                log::warn!("[gateway] Accept failed: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for stream in accept_queued(listener) {
        spawn_local(serve(stream, connections.enter()));
    }
}

/// Closes a listener and returns the connections that waited to be accepted.
/// Those that are in its queue when it is closed are reset.
fn accept_queued(listener: TcpListener) -> Vec<TcpStream> {
    // The runtime may not have noticed the last ones yet, so the system
    // itself is asked.
    let accepted = listener.into_std().and_then(|listener| {
        let accept = || Some(listener.accept().ok()?.0);
        std::iter::from_fn(accept)
            .map(|stream| {
                stream.set_nonblocking(true)?;
                TcpStream::from_std(stream)
            })
            .collect()
    });
    accepted.unwrap_or_else(|error| {
        log::warn!("[gateway] Queued connections were lost: {error}.");
        Vec::new()
    })
}

/// Waits until the process closes.
async fn wait_for_close(phase: &mut watch::Receiver<StopPhase>) {
    let closed = phase.wait_for(|phase| *phase >= StopPhase::Closing).await;
    if closed.is_err() {
        // The process exits without a stop phase: there is nothing to wait
        // for.
        std::future::pending::<()>().await;
    }
}

/// Waits until the process closes and what has arrived on a connection can
/// have been read.
pub(super) async fn wait_for_last_read(
    phase: &mut watch::Receiver<StopPhase>,
) {
    wait_for_close(phase).await;
    tokio::time::sleep(LAST_READ_TIME).await;
}

/// Serves one connection of a caller.
pub(crate) async fn serve_caller(
    state: Rc<TrafficState>,
    mut phase: watch::Receiver<StopPhase>,
    stream: TcpStream,
    _guard: OpenGuard,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("[gateway] Setting TCP_NODELAY failed: {error}.");
        return;
    }
    let view = state.view();
    let limits = view.routes.as_ref().map(|table| table.limits);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        limits.idle_timeout.to_std() * IDLE_FACTOR
    });
    let head = limits.map_or(MIN_HEAD_BYTES, |limits| limits.max_head_bytes);
    let guard = Rc::new(CallerGuard::open(&state.memory, &stream));
    let (reader, writer) = stream.into_split();
    let writer = CallerWriter::new(writer, Rc::clone(&guard));
    let caller = CallerConnection::open(Rc::clone(&state), Rc::clone(&guard));
    let response_guard = Rc::clone(&guard);
    let responder = Rc::clone(&caller);
    let request_phase = phase.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (caller, request_phase) =
            (Rc::clone(&responder), request_phase.clone());
        let guard = Rc::clone(&response_guard);
        async move {
            let in_progress = guard.begin_request();
            let mut response = caller.respond(request).await;
            guard.begin_response(response.body().held_bytes());
            let is_draining = *request_phase.borrow() != StopPhase::Serving;
            if is_draining && !caller.has_pending() {
                request_close(response.headers_mut());
            }
            let response =
                response.map(|body| GuardedBody::new(body, in_progress));
            Ok::<_, Infallible>(response)
        }
    });
    let stream = join(ConnectionReader::new(Rc::clone(&caller)), writer);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(MIN_HEAD_BYTES) + MIN_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let received = caller.receive(reader);
    pin!(connection, received);
    let stalled = guard.wait_closed();
    pin!(stalled);
    let end = tokio::select! {
        biased;
        () = received.as_mut() => ConnectionEnd::Left,
        ended = connection.as_mut() => end_of(ended),
        // The response is not complete, so its caller sees that it breaks off.
        () = stalled.as_mut() => ConnectionEnd::Stalled,
        () = wait_to_close(&mut phase, &caller) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection.as_mut() => end_of(ended),
                () = received => ConnectionEnd::Left,
                () = stalled => ConnectionEnd::Stalled,
            }
        }
    };
    log_connection(&state, end, caller.due(), *phase.borrow());
}

fn end_of(ended: hyper::Result<()>) -> ConnectionEnd {
    match ended {
        Ok(()) => ConnectionEnd::Completed,
        Err(error) => {
            log::debug!("[gateway] A connection ended: {error}.");
            ConnectionEnd::Failed
        }
    }
}

/// Counts a connection that has ended, and logs it if requests on it have no
/// response.
fn log_connection(
    state: &TrafficState,
    end: ConnectionEnd,
    due: usize,
    phase: StopPhase,
) {
    let code = end.code(due > 0);
    state.metrics.record_connection_end(code);
    if due > 0 {
        log::info!(
            end = code,
            requests = due,
            phase = phase.code();
            "[gateway] A connection ended before its responses."
        );
    }
}

/// Waits until a connection may be closed after the response to what has
/// arrived on it.
async fn wait_to_close(
    phase: &mut watch::Receiver<StopPhase>,
    caller: &CallerConnection,
) {
    wait_for_close(phase).await;
    // Either way the connection may be closed.
    let _begun = timeout(FIRST_READ_TIME, caller.wait_begun()).await;
    wait_for_last_read(phase).await;
    caller.finish_pending().await;
}

/// Makes the caller open a new connection, which the balancer sends to another
/// VM.
fn request_close(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
