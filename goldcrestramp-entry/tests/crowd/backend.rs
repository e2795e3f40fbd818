//! A backend server that reads bodies of any framing and returns their size.

use std::{net::SocketAddr, thread};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    sync::watch,
};

use crate::port::HeldPort;

/// The path of a request that is rejected before its body is read. Nothing
/// more is read on its connection.
pub const EARLY_REJECTION: &str = "/order/rejected";

/// The size of a large response, which is buffered if there is room.
const LARGE_BYTES: usize = 250_000;

/// The size of a response that is buffered in any case.
const SMALL_BYTES: usize = 16_000;

/// A server in a thread of its own, so that a crowd does not delay it; the
/// thread ends with its test process.
pub struct CountingBackend {
    pub address: SocketAddr,
    is_reading: watch::Sender<bool>,
}

impl CountingBackend {
    pub fn spawn() -> Self {
        let port = HeldPort::open();
        let address = port.address;
        let listener = port.listen(4_096).into_std().expect("handed over");
        let (is_reading, reading) = watch::channel(true);
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("runtime starts");
            runtime.block_on(accept(listener, reading));
            drop(port);
        });
        Self { address, is_reading }
    }

    /// Sets whether it reads the bodies of requests.
    pub fn set_reading(&self, is_reading: bool) {
        self.is_reading.send_replace(is_reading);
    }
}

async fn accept(
    listener: std::net::TcpListener,
    reading: watch::Receiver<bool>,
) {
    let listener = TcpListener::from_std(listener).expect("taken over");
    loop {
        let (stream, _) = listener.accept().await.expect("accept succeeds");
        let reading = reading.clone();
        tokio::spawn(async move {
            // The daemon may disconnect at any time.
            let _left = serve(BufReader::new(stream), reading).await;
        });
    }
}

async fn serve(
    mut stream: BufReader<TcpStream>,
    mut reading: watch::Receiver<bool>,
) -> std::io::Result<()> {
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if stream.read_line(&mut head).await? == 0 {
                return Ok(());
            }
        }
        if head.contains(EARLY_REJECTION) {
            let attempt = header(&head, "x-attempt-id").unwrap_or_default();
            let response = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n\
                 X-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.get_mut().write_all(response.as_bytes()).await?;
            std::future::pending::<()>().await;
        }
        let length = header(&head, "content-length");
        let is_chunked = header(&head, "transfer-encoding").is_some();
        if length.is_some() || is_chunked {
            let _is_reading = reading.wait_for(|is_reading| *is_reading).await;
        }
        let bytes = if is_chunked {
            read_chunks(&mut stream).await?
        } else {
            let length = length.and_then(|text| text.parse().ok());
            skip(&mut stream, length.unwrap_or(0)).await?
        };
        let attempt = header(&head, "x-attempt-id").unwrap_or_default();
        let body = match head.split(' ').nth(1) {
            Some("/list/large") => "x".repeat(LARGE_BYTES),
            Some("/list/small") => "x".repeat(SMALL_BYTES),
            _ => bytes.to_string(),
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n\
             X-Response-Stamp: stamp\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.get_mut().write_all(response.as_bytes()).await?;
    }
}

async fn read_chunks(
    stream: &mut BufReader<TcpStream>,
) -> std::io::Result<u64> {
    let mut total = 0;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let size = u64::from_str_radix(line.trim(), 16);
        let size = size.map_err(std::io::Error::other)?;
        skip(stream, size + 2).await?;
        if size == 0 {
            return Ok(total);
        }
        total += size;
    }
}

/// Reads and drops so many bytes.
async fn skip(
    stream: &mut BufReader<TcpStream>,
    bytes: u64,
) -> std::io::Result<u64> {
    let mut body = stream.take(bytes);
    match tokio::io::copy(&mut body, &mut tokio::io::sink()).await? {
        read if read == bytes => Ok(bytes),
        _ => Err(std::io::ErrorKind::UnexpectedEof.into()),
    }
}

/// The value of a header in the text of a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}
