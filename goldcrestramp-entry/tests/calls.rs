//! Tests of the timeouts of calls.

use std::{net::SocketAddr, time::Duration};

use goldcrestramp_entry::http::{
    CallFailure, CallPool, CallRequest, CloseMode, ConnectionReuse,
    TimeoutScope,
};
use http::{HeaderMap, Method};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// The size of the server's response, and the delay before each byte.
const RESPONSE_BYTES: usize = 20;
const BYTE_DELAY: Duration = Duration::from_millis(50);

/// The timeout of a call: half of the time that the response takes.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts a server that sends its response byte by byte.
async fn slow_server() -> SocketAddr {
    let listener =
        TcpListener::bind("127.0.0.1:0").await.expect("listener binds");
    let address = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) =
            listener.accept().await.expect("caller connects");
        let mut request = [0; 1_024];
        let _read = stream.read(&mut request).await.expect("request is read");
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {RESPONSE_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("head is sent");
        for _ in 0..RESPONSE_BYTES {
            tokio::time::sleep(BYTE_DELAY).await;
            if stream.write_all(b"x").await.is_err() {
                return;
            }
        }
    });
    address
}

async fn call(scope: TimeoutScope) -> Result<usize, CallFailure> {
    let request = CallRequest {
        address: slow_server().await,
        method: Method::GET,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: "".into(),
    };
    let pool = CallPool::open(CloseMode::Close, scope, 1_024);
    let response =
        pool.call(request, ConnectionReuse::Any, CALL_TIMEOUT).await;
    response.map(|response| response.body.len())
}

/// Guards against orders that stay in flight without end.
#[tokio::test]
async fn a_call_for_a_full_response_times_out_while_bytes_arrive() {
    assert_eq!(
        call(TimeoutScope::FullResponse).await,
        Err(CallFailure::TimedOut)
    );
}

/// Guards against giving up a long response half way.
#[tokio::test]
async fn a_response_whose_head_arrived_is_not_given_up() {
    assert_eq!(call(TimeoutScope::ResponseHead).await, Ok(RESPONSE_BYTES));
}
