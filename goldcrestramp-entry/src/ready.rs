//! Tells the balancer whether this VM takes new connections.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use goldcrestramp_adapter::READY_PATH;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::watch};

use crate::{run::StopPhase, view::FleetView};

/// Answers until the listener's task is dropped.
///
/// A VM is ready once it knows a configuration: without one it could only
/// refuse. It stays so while the store is away, as it serves on.
pub(crate) async fn serve_ready(
    listener: TcpListener,
    views: watch::Receiver<Arc<FleetView>>,
    phase: watch::Receiver<StopPhase>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _address)) => stream,
            Err(error) => {
                log::warn!("[ready] No connection was taken: {error}.");
                tokio::time::sleep(std::time::Duration::from_millis(100))
                    .await;
                continue;
            }
        };
        let (views, phase) = (views.clone(), phase.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let known = views.borrow().routes.is_some();
            let serving = *phase.borrow() == StopPhase::Serving;
            let ready = known && serving;
            async move { Ok::<_, Infallible>(answer(request.uri().path(), ready)) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("[ready] A connection ended: {error}.");
            }
        });
    }
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
