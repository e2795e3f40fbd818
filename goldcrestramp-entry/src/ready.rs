//! The readiness check: the balancer asks whether this VM accepts new
//! connections.

use std::sync::Arc;

use bytes::Bytes;
use goldcrestramp_adapter::READY_PATH;
use http::{Response, StatusCode};
use http_body_util::Full;
use tokio::{net::TcpListener, sync::watch};

use crate::{listen::serve_http, run::StopPhase, view::FleetView};

/// Serves readiness checks until the listener's task is dropped.
///
/// A VM is ready once it knows a configuration: without one it could only
/// refuse requests. It stays ready while the store is unreachable, since it
/// continues to serve.
pub(crate) async fn serve_ready(
    listener: TcpListener,
    views: watch::Receiver<Arc<FleetView>>,
    phase: watch::Receiver<StopPhase>,
) {
    serve_http(listener, "ready", move |request| {
        let has_configuration = views.borrow().routes.is_some();
        let is_serving = *phase.borrow() == StopPhase::Serving;
        let response =
            respond(request.uri().path(), has_configuration && is_serving);
        async move { response }
    })
    .await;
}

fn respond(path: &str, ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = match (path == READY_PATH, ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}
