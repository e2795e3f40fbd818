//! Reads and writes HTTP/1.1 messages.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// A request or a response that was read completely.
#[derive(Clone, Debug)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The path of a request with its query.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; `None` if the connection ends before one begins.
pub fn read_message(
    stream: &mut BufReader<TcpStream>,
) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if stream.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message =
        Message { line: line.trim_end().to_owned(), headers, body: vec![] };
    let chunked = message.header("transfer-encoding").is_some();
    if chunked {
        message.body = read_chunks(stream)?;
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(io::Error::other)?;
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

fn read_chunks(stream: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut size = String::new();
        stream.read_line(&mut size)?;
        let size = usize::from_str_radix(size.trim_end(), 16)
            .map_err(io::Error::other)?;
        let mut chunk = vec![0; size];
        stream.read_exact(&mut chunk)?;
        let mut end = String::new();
        stream.read_line(&mut end)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk);
    }
}

/// A response as bytes; `headers` are complete lines.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}
