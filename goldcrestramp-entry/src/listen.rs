//! Listeners of this VM's own interfaces.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// After a connection that could not be taken, mostly for want of a
/// descriptor, the next one is waited for so long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers requests until the task is dropped; `part` names the interface
/// in logs.
pub(crate) async fn serve_http<Handler, Answer>(
    listener: TcpListener,
    part: &'static str,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _address)) => stream,
            Err(error) => {
                log::warn!("[{part}] No connection was taken: {error}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request| {
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
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
