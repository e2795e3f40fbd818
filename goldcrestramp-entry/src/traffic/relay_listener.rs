//! Accepts connections of VMs that pass requests to this one.

use std::{convert::Infallible, rc::Rc};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    pin,
    sync::watch,
    task::spawn_local,
};

use crate::{
    run::StopPhase,
    traffic::{
        ConnectionCount, ConnectionGuard,
        listener::{accept, wait_for_close},
        relay::serve_passed,
        state::TrafficState,
    },
};

/// The head buffer: a caller's head with the envelope.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Accepts connections of other VMs until the process closes.
///
/// A draining VM still serves what is passed to it: its entry is gone from the
/// store, so the other VMs soon choose another one.
pub(super) async fn serve_relays(
    state: Rc<TrafficState>,
    listener: TcpListener,
    mut phase: watch::Receiver<StopPhase>,
    connections: Rc<ConnectionCount>,
) {
    while let Some(stream) = accept(&listener, &mut phase).await {
        let guard = connections.enter();
        let (state, phase) = (Rc::clone(&state), phase.clone());
        spawn_local(serve_stream(state, stream, phase, guard));
    }
}

async fn serve_stream(
    state: Rc<TrafficState>,
    stream: TcpStream,
    mut phase: watch::Receiver<StopPhase>,
    _guard: ConnectionGuard,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("[relay] Setting TCP_NODELAY failed: {error}.");
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Rc::clone(&state);
        async move { Ok::<_, Infallible>(serve_passed(&state, request).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_for_close(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("[relay] A connection ended: {error}.");
    }
}
