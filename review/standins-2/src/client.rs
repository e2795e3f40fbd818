//! A client with one connection.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::http::Head;

/// How a request ended for its client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete answer with this status.
    Answered(u16),
    /// The connection ended without a complete answer.
    Closed(String),
    /// The client gave up.
    GaveUp,
}

/// The body of a request and how it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// A few bytes with their length.
    Short,
    /// This many bytes with their length, at this many bytes a second.
    Long { bytes: usize, per_s: usize },
    /// This many bytes in chunks, at this many bytes a second.
    Chunked { bytes: usize, per_s: usize },
}

/// A new attempt id.
pub fn next_attempt() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", 0x5eed_0000_0000_0000_u64 + number)
}

/// One connection of a client.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// The requests that it has carried.
    pub carried: u32,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let limit = Duration::from_secs(1);
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader, carried: 0 })
    }

    /// Sends an order and waits for its answer.
    pub fn post(
        &mut self,
        path: &str,
        attempt: &str,
        deadline: Duration,
        body: Body,
    ) -> Outcome {
        self.carried += 1;
        let until = Instant::now() + deadline;
        let wait = deadline + Duration::from_millis(50);
        let _set = self.stream.set_read_timeout(Some(wait));
        let _set = self.stream.set_write_timeout(Some(wait));
        let sent = self.send(path, attempt, deadline, body);
        let read = self.read();
        match read {
            Ok(status) => Outcome::Answered(status),
            Err(_) if Instant::now() >= until => Outcome::GaveUp,
            Err(error) => {
                let kind = sent.err().map_or(error.kind(), |e| e.kind());
                Outcome::Closed(kind.to_string())
            }
        }
    }

    fn send(
        &mut self,
        path: &str,
        attempt: &str,
        deadline: Duration,
        body: Body,
    ) -> io::Result<()> {
        let framing = match body {
            Body::Short => "Content-Length: 4\r\n\r\nbuy1".into(),
            Body::Long { bytes, .. } => {
                format!("Content-Length: {bytes}\r\n\r\n")
            }
            Body::Chunked { .. } => "Transfer-Encoding: chunked\r\n\r\n".into(),
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\n\
             X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {}\r\n{framing}",
            deadline.as_millis()
        );
        self.stream.write_all(head.as_bytes())?;
        match body {
            Body::Short => Ok(()),
            Body::Long { bytes, per_s } => {
                self.send_pieces(bytes, per_s, false)
            }
            Body::Chunked { bytes, per_s } => {
                self.send_pieces(bytes, per_s, true)?;
                self.stream.write_all(b"0\r\n\r\n")
            }
        }
    }

    fn send_pieces(
        &mut self,
        bytes: usize,
        per_s: usize,
        chunked: bool,
    ) -> io::Result<()> {
        const PIECE: usize = 16 * 1024;
        let piece = vec![b'x'; PIECE];
        let began_at = Instant::now();
        let mut sent = 0;
        while sent < bytes {
            let due = Duration::from_secs_f64(sent as f64 / per_s as f64);
            thread::sleep(due.saturating_sub(began_at.elapsed()));
            let count = PIECE.min(bytes - sent);
            if chunked {
                let mut frame = format!("{count:x}\r\n").into_bytes();
                frame.extend_from_slice(&piece[..count]);
                frame.extend_from_slice(b"\r\n");
                self.stream.write_all(&frame)?;
            } else {
                self.stream.write_all(&piece[..count])?;
            }
            sent += count;
        }
        Ok(())
    }

    fn read(&mut self) -> io::Result<u16> {
        let head = Head::read(&mut self.reader)?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        head.read_full_body(&mut self.reader, true)?;
        Ok(head.status())
    }
}
