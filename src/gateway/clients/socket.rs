//! Socket of one client connection: reads, writes, and detection of disconnects.

use bytes::BufMut;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// The least that is read with one call, if the limit allows it.
const MIN_READ_SIZE: usize = 2048;
/// Input that is discarded with one call.
const DISCARD_SIZE: usize = 16 * 1024;
/// Input of a rejected client that is discarded before the rest stays unread. A client that sends more learns
/// of the rejection by its response or by the close.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// All available input was read.
    Drained,
    /// The buffer is full. More input may be available.
    LimitReached,
    /// The client has closed its sending side.
    InputEnded,
}

pub(super) struct ClientSocket {
    stream: TcpStream,
}

impl ClientSocket {
    pub(super) fn new(stream: TcpStream) -> ClientSocket {
        // Small responses must not wait for acknowledgements. An error here also shows at the first read.
        let _ = stream.set_nodelay(true);
        ClientSocket { stream }
    }

    /// Reads the available input, until the socket would block or `received` holds at least `limit`
    /// bytes. Reading to the end detects a client that has already disconnected before any of its
    /// requests is processed.
    pub(super) fn read(&self, received: &mut Vec<u8>, limit: usize) -> io::Result<ReadOutcome> {
        loop {
            let size = read_size(received.len(), limit);
            received.reserve_exact(size);
            match self.stream.try_read_buf(&mut received.limit(size)) {
                Ok(0) => return Ok(ReadOutcome::InputEnded),
                Ok(_) if received.len() < limit => {}
                Ok(_) => return Ok(ReadOutcome::LimitReached),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return Ok(ReadOutcome::Drained);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Writes as many bytes as the socket accepts without blocking, and returns their number.
    pub(super) fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.try_write(bytes) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(0),
            result => result,
        }
    }

    /// Shuts down the sending side. The client reads the end of the stream after the last response.
    pub(super) fn shutdown_write(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

    /// Waits until the client disconnects, and discards up to [`MAX_DISCARDED_BYTES`] of its input.
    pub(super) async fn discard_input(&self) {
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES && self.stream.readable().await.is_ok() {
            match self.discard_available() {
                Ok(0) => return,
                Ok(length) => discarded += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            // The socket of a client that keeps sending is always readable, so waiting for it does not yield.
            yield_now().await;
        }
        self.disconnected().await;
    }

    /// Discards input that is available now, and returns its length; 0 at the end of the input.
    fn discard_available(&self) -> io::Result<usize> {
        self.stream.try_read(&mut [0; DISCARD_SIZE])
    }

    pub(super) async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    pub(super) async fn writable(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    /// Waits until the client disconnects, even while earlier input is still unread. Uses `PRIORITY`
    /// interest, for which the runtime reports the end of the input and nothing else.
    pub(super) async fn disconnected(&self) {
        while self
            .stream
            .ready(Interest::PRIORITY)
            .await
            .is_ok_and(|ready| !ready.is_read_closed())
        {}
    }

    /// Whether the runtime has seen the end of the input, possibly after unread bytes.
    pub(super) fn is_read_closed(&self) -> bool {
        self.stream.try_io(Interest::PRIORITY, || Ok(())).is_ok()
    }

    /// Whether the client is known to have disconnected.
    ///
    /// Peeks at the socket directly, because the runtime may not have polled it since. While unread bytes
    /// precede the end of the input, a peek does not detect it, but the runtime does at its next poll.
    pub(super) fn is_disconnected(&self) -> bool {
        self.is_read_closed()
            || match self.peek() {
                Ok(length) => length == 0,
                Err(error) => error.kind() != ErrorKind::WouldBlock,
            }
    }

    /// Whether unread input has arrived. Peeks at the socket directly, as
    /// [`is_disconnected`](Self::is_disconnected) does.
    pub(super) fn has_unread_input(&self) -> bool {
        self.peek().is_ok_and(|length| length > 0)
    }

    fn peek(&self) -> io::Result<usize> {
        SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()])
    }
}

/// Returns how much to read into a buffer with `length` bytes: as much again, up to `limit`. Of a command that is
/// longer than `limit`, half as much again is read at a time.
fn read_size(length: usize, limit: usize) -> usize {
    match limit.checked_sub(length) {
        Some(space @ 1..) => length.max(MIN_READ_SIZE).min(space),
        _ => (length / 2).max(MIN_READ_SIZE),
    }
}
