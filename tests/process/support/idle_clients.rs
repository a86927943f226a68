//! Clients that hold connections open without a request in flight.

use super::{PARTIAL_PING, TEST_TIMEOUT, ping_command};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Input that an idle client sends before it becomes idle.
#[derive(Clone, Copy, Debug)]
pub enum IdleClientKind {
    /// No input.
    Silent,
    PartialCommand,
    /// One complete command, which the gateway answers.
    BetweenCommands,
    /// 50 pipelined commands, which the gateway answers, and an incomplete one.
    PartialAfterPipeline,
}

impl IdleClientKind {
    pub const ALL: [IdleClientKind; 4] = [
        IdleClientKind::Silent,
        IdleClientKind::PartialCommand,
        IdleClientKind::BetweenCommands,
        IdleClientKind::PartialAfterPipeline,
    ];

    fn connect(self, gateway: SocketAddr) -> TcpStream {
        let mut stream = TcpStream::connect_timeout(&gateway, TEST_TIMEOUT)
            .expect("the kernel completes the connection");
        let input = match self {
            IdleClientKind::Silent => Vec::new(),
            IdleClientKind::PartialCommand => PARTIAL_PING.to_vec(),
            IdleClientKind::BetweenCommands => ping_command(),
            IdleClientKind::PartialAfterPipeline => {
                [ping_command().repeat(50).as_slice(), PARTIAL_PING].concat()
            }
        };
        // The write fails if the gateway has already closed the connection.
        let _ = stream.write_all(&input);
        stream
    }
}

/// Idle clients that reconnect whenever the gateway closes their connection. Their initial connections are
/// established before `connect` returns, and thus before those of any later client.
pub struct IdleClients {
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl IdleClients {
    pub fn connect(gateway: SocketAddr, kinds: &[IdleClientKind], count: usize) -> IdleClients {
        let stopping = Arc::new(AtomicBool::new(false));
        let kinds = kinds.to_vec();
        let streams: Vec<TcpStream> = kinds
            .iter()
            .cycle()
            .take(count)
            .map(|kind| kind.connect(gateway))
            .collect();
        let stop = stopping.clone();
        let thread = thread::spawn(move || reconnect_until(&stop, gateway, &kinds, streams));
        IdleClients {
            stopping,
            thread: Some(thread),
        }
    }
}

fn reconnect_until(
    stop: &AtomicBool,
    gateway: SocketAddr,
    kinds: &[IdleClientKind],
    mut streams: Vec<TcpStream>,
) {
    let mut next_kinds = kinds.iter().cycle();
    while !stop.load(Ordering::Relaxed) {
        for stream in &mut streams {
            if is_closed_now(stream) {
                let kind = next_kinds.next().expect("there is at least one kind");
                *stream = kind.connect(gateway);
            }
        }
        // The gateway closes enough connections within this interval to keep the load high.
        thread::sleep(Duration::from_millis(10));
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        // In a failing test, the thread may block in a connect for a long time.
        if !thread::panicking() {
            let joined = self.thread.take().map(JoinHandle::join);
            assert!(
                joined.is_none_or(|result| result.is_ok()),
                "expected all connects of the idle clients to succeed"
            );
        }
    }
}

/// Discards all received input, and returns whether the other end has closed the connection. Leaves the
/// socket in non-blocking mode.
pub fn is_closed_now(stream: &mut TcpStream) -> bool {
    stream
        .set_nonblocking(true)
        .expect("the socket can be made non-blocking");
    let mut bytes = [0; 4096];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != ErrorKind::WouldBlock,
        }
    }
}
