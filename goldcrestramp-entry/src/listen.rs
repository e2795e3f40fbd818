//! Listeners of this VM's own HTTP interfaces.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// The delay after a failed accept, which is mostly due to a lack of
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves requests until the task is dropped; `part` names the interface in
/// logs.
pub(crate) async fn serve_http<Handler, ResponseFuture>(
    listener: TcpListener,
    part: &'static str,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> ResponseFuture + Send + Sync + 'static,
    ResponseFuture: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _address)) => stream,
            Err(error) => {
                log::warn!("[{part}] Accept failed: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("[{part}] A connection ended: {error}.");
            }
        });
    }
}
