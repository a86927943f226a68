//! RESP2: parts of commands, and replies to clients.

use std::io::{self, Read};
use std::net::TcpStream;

/// Buffered reader of one connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// What a client reads.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Bulk(Vec<u8>),
    /// A line that begins with `-`, without its end.
    Error(String),
    /// A line that begins with `+`.
    Simple(String),
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Whether bytes are left that were read and not used.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn more(&mut self) -> io::Result<()> {
        let mut chunk = [0u8; 16384];
        let length = self.stream.read(&mut chunk)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.more()?;
        }
    }

    fn bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length + 2 {
            self.more()?;
        }
        let value = self.buffer[..length].to_vec();
        if &self.buffer[length..length + 2] != b"\r\n" {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "no line end after a bulk string",
            ));
        }
        self.buffer.drain(..length + 2);
        Ok(value)
    }

    /// Reads a command: an array of bulk strings.
    pub fn command(&mut self) -> io::Result<Vec<Vec<u8>>> {
        let head = self.line()?;
        let count: usize = parse(&head, '*')?;
        let mut parts = Vec::with_capacity(count);
        for _ in 0..count {
            let head = self.line()?;
            let length = parse(&head, '$')?;
            parts.push(self.bytes(length)?);
        }
        Ok(parts)
    }

    /// Reads a reply to a client.
    pub fn reply(&mut self) -> io::Result<Reply> {
        let head = self.line()?;
        match head.as_bytes().first() {
            Some(b'$') => {
                let length = parse(&head, '$')?;
                Ok(Reply::Bulk(self.bytes(length)?))
            }
            Some(b'-') => Ok(Reply::Error(head)),
            Some(b'+') => Ok(Reply::Simple(head)),
            _ => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("not a reply: {head:?}"),
            )),
        }
    }
}

fn parse(line: &str, kind: char) -> io::Result<usize> {
    line.strip_prefix(kind)
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, format!("unexpected line: {line:?}")))
}

/// Encodes an array of bulk strings.
pub fn encode(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}
