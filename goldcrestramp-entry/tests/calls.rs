//! When calls are given up.

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

/// The bytes of the server's answer, and the pause before each.
const ANSWER_BYTES: usize = 20;
const PAUSE: Duration = Duration::from_millis(50);

/// Half of the time that the answer takes.
const LIMIT: Duration = Duration::from_millis(500);

/// A server whose answer comes byte by byte.
async fn slow_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut request = [0; 1_024];
        let _read = stream.read(&mut request).await.expect("a request");
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("a caller");
        for _ in 0..ANSWER_BYTES {
            tokio::time::sleep(PAUSE).await;
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
    let answer = pool.call(request, ConnectionReuse::Any, LIMIT).await;
    answer.map(|answer| answer.body.len())
}

/// Guards against orders that are under way without end.
#[tokio::test]
async fn a_call_for_a_short_answer_ends_while_bytes_come() {
    assert_eq!(
        call(TimeoutScope::FullResponse).await,
        Err(CallFailure::TimedOut)
    );
}

/// Guards against giving a long answer up half way.
#[tokio::test]
async fn an_answer_that_is_coming_is_not_given_up() {
    assert_eq!(call(TimeoutScope::ResponseHead).await, Ok(ANSWER_BYTES));
}
