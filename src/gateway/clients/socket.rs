//! The socket of one connection: reading, writing and noticing that the client has disconnected.

use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// The least free space in the input buffer for a read.
const READ_SIZE: usize = 2048;
/// The buffer for input that is discarded.
const DISCARD_SIZE: usize = 4096;

/// How far a read came.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// More input may follow.
    Open,
    /// The end of the input was read.
    InputEnded,
}

/// The socket of one connection.
pub(super) struct ClientSocket {
    stream: TcpStream,
}

impl ClientSocket {
    pub(super) fn new(stream: TcpStream) -> ClientSocket {
        // Small responses must not wait for acknowledgements. A socket that fails here fails at its first read.
        let _ = stream.set_nodelay(true);
        ClientSocket { stream }
    }

    /// Reads what has arrived. Reading goes on to the end of it while less than `limit` bytes are received, so that a
    /// client that has disconnected by now is known to have before any of its requests begins.
    pub(super) fn read(&self, received: &mut Vec<u8>, limit: usize) -> io::Result<ReadOutcome> {
        loop {
            received.reserve(READ_SIZE);
            match self.stream.try_read_buf(received) {
                Ok(0) => return Ok(ReadOutcome::InputEnded),
                Ok(_) if received.len() < limit => {}
                Ok(_) => return Ok(ReadOutcome::Open),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return Ok(ReadOutcome::Open);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Writes as many bytes as the socket accepts at once, and returns their number.
    pub(super) fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.try_write(bytes) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(0),
            result => result,
        }
    }

    /// Ends the output. The client reads the end of the stream behind the last response.
    pub(super) fn end_output(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

    /// Reads and discards input until the client has disconnected.
    pub(super) async fn discard_input(&self) {
        let mut discarded = [0u8; DISCARD_SIZE];
        while self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut discarded) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Waits until input has arrived.
    pub(super) async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Waits until the socket accepts bytes.
    pub(super) async fn writable(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    /// Waits until the client has disconnected, also while earlier input lies unread. The end of the input counts as
    /// priority input, and nothing else is reported with that interest.
    pub(super) async fn disconnected(&self) {
        while self
            .stream
            .ready(Interest::PRIORITY)
            .await
            .is_ok_and(|ready| !ready.is_read_closed())
        {}
    }

    /// Whether the runtime has seen the end of the input, perhaps behind unread bytes.
    pub(super) fn is_input_end_known(&self) -> bool {
        self.stream.try_io(Interest::PRIORITY, || Ok(())).is_ok()
    }

    /// Whether the client has disconnected, as far as is known now. The runtime may not have polled the socket since,
    /// so the socket itself is asked. Unread bytes before the end hide it there; then the runtime knows of it after
    /// its next poll.
    pub(super) fn is_disconnected(&self) -> bool {
        self.is_input_end_known()
            || match self.peek() {
                Ok(length) => length == 0,
                Err(error) => error.kind() != ErrorKind::WouldBlock,
            }
    }

    /// Whether unread input has arrived. The socket itself is asked, as in [`is_disconnected`](Self::is_disconnected).
    pub(super) fn has_unread_input(&self) -> bool {
        self.peek().is_ok_and(|length| length > 0)
    }

    fn peek(&self) -> io::Result<usize> {
        SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()])
    }
}
