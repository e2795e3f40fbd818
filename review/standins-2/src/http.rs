//! Heads and bodies of HTTP/1.1 messages, read from blocking streams.

use std::io::{self, BufRead};

/// The head of a request or of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// The request line or the status line.
    pub line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` if the stream ends before its first byte.
    pub fn read(stream: &mut impl BufRead) -> io::Result<Option<Self>> {
        let Some(line) = read_line(stream)? else { return Ok(None) };
        let mut headers = Vec::new();
        loop {
            let header = read_line(stream)?.ok_or_else(cut_off)?;
            if header.is_empty() {
                return Ok(Some(Self { line, headers }));
            }
            let (name, value) =
                header.split_once(':').ok_or_else(malformed)?;
            headers.push((name.to_ascii_lowercase(), value.trim().into()));
        }
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known == name);
        header.map(|(_, value)| value.as_str())
    }

    /// The word of the first line at a position.
    pub fn word(&self, position: usize) -> &str {
        self.line.split(' ').nth(position).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        let coding = self.get("transfer-encoding");
        coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }

    fn length(&self) -> Option<u64> {
        self.get("content-length")?.parse().ok()
    }

    /// Reads the body and passes its pieces to `take`; returns its length. A
    /// response without a length ends with its connection.
    pub fn read_body(
        &self,
        stream: &mut impl BufRead,
        is_response: bool,
        mut take: impl FnMut(&[u8]),
    ) -> io::Result<u64> {
        if self.is_chunked() {
            let mut total = 0;
            loop {
                let size = read_line(stream)?.ok_or_else(cut_off)?;
                let digits = size.split(';').next().unwrap_or("").trim();
                let size =
                    u64::from_str_radix(digits, 16).map_err(|_| malformed())?;
                if size == 0 {
                    while !read_line(stream)?.ok_or_else(cut_off)?.is_empty() {
                    }
                    return Ok(total);
                }
                copy(stream, size, &mut take)?;
                total += size;
                if read_line(stream)?.ok_or_else(cut_off)? != "" {
                    return Err(malformed());
                }
            }
        }
        if let Some(length) = self.length() {
            copy(stream, length, &mut take)?;
            return Ok(length);
        }
        if !is_response {
            return Ok(0);
        }
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest)?;
        take(&rest);
        Ok(rest.len() as u64)
    }

    /// Reads the body into memory.
    pub fn read_full_body(
        &self,
        stream: &mut impl BufRead,
        is_response: bool,
    ) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        self.read_body(stream, is_response, |piece| {
            body.extend_from_slice(piece);
        })?;
        Ok(body)
    }
}

fn copy(
    stream: &mut impl BufRead,
    mut remaining: u64,
    take: &mut impl FnMut(&[u8]),
) -> io::Result<()> {
    let mut buffer = vec![0; 8 * 1024];
    while remaining > 0 {
        let wanted = buffer.len().min(remaining as usize);
        let count = stream.read(&mut buffer[..wanted])?;
        if count == 0 {
            return Err(cut_off());
        }
        take(&buffer[..count]);
        remaining -= count as u64;
    }
    Ok(())
}

fn read_line(stream: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if stream.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(cut_off());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).map(Some).map_err(|_| malformed())
}

fn cut_off() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

fn malformed() -> io::Error {
    io::ErrorKind::InvalidData.into()
}
