//! Tells the balancer whether this VM takes new connections.

use std::sync::Arc;

use bytes::Bytes;
use goldcrestramp_adapter::READY_PATH;
use http::{Response, StatusCode};
use http_body_util::Full;
use tokio::{net::TcpListener, sync::watch};

use crate::{listen::serve_http, run::StopPhase, view::FleetView};

/// Answers until the listener's task is dropped.
///
/// A VM is ready once it knows a configuration: without one it could only
/// refuse. It stays so while the store is away, as it serves on.
pub(crate) async fn serve_ready(
    listener: TcpListener,
    views: watch::Receiver<Arc<FleetView>>,
    phase: watch::Receiver<StopPhase>,
) {
    serve_http(listener, "ready", move |request| {
        let known = views.borrow().routes.is_some();
        let serving = *phase.borrow() == StopPhase::Serving;
        let answer = answer(request.uri().path(), known && serving);
        async move { answer }
    })
    .await;
}

fn answer(path: &str, ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = match (path == READY_PATH, ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}
