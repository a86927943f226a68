//! Clients: requests, and a connection that sends one request at a time.

use crate::resp::{Reader, Reply, encode};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Read,
    Submit,
}

/// A request with a fresh id.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub class: Class,
    pub customer: u64,
    pub plan: &'static str,
    /// Milliseconds that the client waits.
    pub wait_ms: u64,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(class: Class, customer: u64, plan: &'static str, wait_ms: u64) -> Request {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Request {
            id,
            class,
            customer,
            plan,
            wait_ms,
            body: Vec::new(),
        }
    }

    /// The command, for a customer whose set is all `gateways`.
    pub fn command(&self, gateways: usize) -> Vec<u8> {
        let customer = format!("{:016x}", self.customer);
        let class = match self.class {
            Class::Read => "board-read",
            Class::Submit => "run-submit",
        };
        let fields = format!(
            "c={class},t={},d={},units=1,spread={gateways},first=0",
            self.plan, self.wait_ms
        );
        let name: &[u8] = if self.class == Class::Read { b"Q.ASK" } else { b"Q.DO" };
        let mut parts: Vec<&[u8]> = vec![name, customer.as_bytes(), self.id.as_bytes(), fields.as_bytes()];
        if !self.body.is_empty() {
            parts.push(&self.body);
        }
        encode(&parts)
    }
}

pub struct Connection {
    pub stream: TcpStream,
    pub reader: Reader,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let reader = Reader::new(stream.try_clone()?);
        Ok(Connection { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one reply; fails if nothing comes for `limit`.
    pub fn reply(&mut self, limit: Duration) -> io::Result<Reply> {
        self.stream.set_read_timeout(Some(limit))?;
        self.reader.reply()
    }
}

/// How a reply counts for a client.
pub fn meaning(reply: &Reply) -> &'static str {
    match reply {
        Reply::Bulk(_) => "served",
        Reply::Error(line) if line == "-BUSY" || line.starts_with("-BUSY ") => "refused",
        _ => "failed",
    }
}
