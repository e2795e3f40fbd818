//! Tests of the timeouts and the connections of calls.

use std::{net::SocketAddr, time::Duration};

use goldcrestramp_entry::http::{
    CallFailure, CallPool, CallRequest, CloseMode, ConnectionReuse,
    TimeoutScope,
};
use http::{HeaderMap, Method};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The size of the server's response, and the delay before each byte.
const RESPONSE_BYTES: usize = 20;
const BYTE_DELAY: Duration = Duration::from_millis(50);

/// The timeout of a call: half of the time that the response takes.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts a server that handles each connection by `serve`.
async fn spawn_server<Serve>(
    serve: impl Fn(TcpStream) -> Serve + Send + 'static,
) -> SocketAddr
where
    Serve: Future<Output = ()> + Send + 'static,
{
    let listener =
        TcpListener::bind("127.0.0.1:0").await.expect("listener binds");
    let address = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        loop {
            let accepted = listener.accept().await;
            let (stream, _) = accepted.expect("caller connects");
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Whether another request arrives on a connection.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = [0; 1_024];
    stream.read(&mut request).await.is_ok_and(|bytes| bytes > 0)
}

/// Sends its response byte by byte.
async fn respond_slowly(mut stream: TcpStream) {
    read_request(&mut stream).await;
    let head =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {RESPONSE_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("head is sent");
    for _ in 0..RESPONSE_BYTES {
        tokio::time::sleep(BYTE_DELAY).await;
        if stream.write_all(b"x").await.is_err() {
            return;
        }
    }
}

/// Responds to any number of calls.
async fn respond_promptly(mut stream: TcpStream) {
    while read_request(&mut stream).await {
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        // The caller may have closed the connection.
        let _sent = stream.write_all(response).await;
    }
}

/// Sends the start of a response, and then `piece` until the caller
/// disconnects.
async fn respond_without_end(mut stream: TcpStream, piece: &[u8]) {
    read_request(&mut stream).await;
    let start = b"HTTP/1.1 200 OK\r\n";
    stream.write_all(start).await.expect("start is sent");
    while stream.write_all(piece).await.is_ok() {}
}

fn request_to(address: SocketAddr) -> CallRequest {
    CallRequest {
        address,
        method: Method::GET,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: "".into(),
    }
}

async fn call(scope: TimeoutScope) -> Result<usize, CallFailure> {
    let request = request_to(spawn_server(respond_slowly).await);
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

/// Guards against a second copy of a response that counts for a later call.
#[tokio::test]
async fn a_connection_that_is_not_kept_carries_no_other_call() {
    let address = spawn_server(respond_promptly).await;
    let pool =
        CallPool::open(CloseMode::Close, TimeoutScope::FullResponse, 1_024);
    let mut first = Vec::new();

    for keeps in [true, true, false, false] {
        let request = request_to(address);
        let called = pool.call_keeping(
            request,
            ConnectionReuse::Any,
            tokio::time::sleep(CALL_TIMEOUT),
            |_response| keeps,
        );
        first.push(called.await.expect("server responds").is_first);
    }

    assert_eq!(first, [true, false, false, true]);
}

/// Guards against a call that reads a response without end for as long as it
/// is sent.
#[tokio::test]
async fn a_response_without_end_fails_its_call() {
    const BODY: &[u8] = b"\r\nbytes of a body that ends with its connection";
    const HEADER: &[u8] = b"x-endless: x\r\n";
    for piece in [BODY, HEADER] {
        let serve = |stream| respond_without_end(stream, piece);
        let request = request_to(spawn_server(serve).await);
        let scope = TimeoutScope::ResponseHead;
        let pool = CallPool::open(CloseMode::Reset, scope, 1_024);

        let called =
            pool.call(request, ConnectionReuse::Any, CALL_TIMEOUT).await;

        let failure = called.expect_err("the response does not end");
        assert_eq!(failure, CallFailure::Unknown);
    }
}
