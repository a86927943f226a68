//! A connection to an endpoint: writes commands and reads responses.

use crate::gateway::endpoints::permits::ConnectionPermit;
use crate::gateway::endpoints::response::EndpointResponse;
use crate::gateway::endpoints::{EndpointEvent, EndpointEventHandler};
use crate::gateway::memory_budget::MemoryReservation;
use crate::gateway::resp::{MAX_VALUE_LEN, ProtocolError, parse_reply};
use crate::{EndpointName, RequestId};
use socket2::SockRef;
use std::cell::{Cell, OnceCell};
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::ops::ControlFlow;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// The maximum length of a response: a value of maximum length, plus space for the load report and the actual
/// cost.
const MAX_RESPONSE_BYTES: usize = MAX_VALUE_LEN + 4096;
/// The most read buffer capacity that a connection retains between responses.
pub(super) const RETAINED_BUFFER_BYTES: usize = 8 * 1024;
/// Free space that is reserved in the read buffer before each read.
const READ_CHUNK_BYTES: usize = 1024;

/// An error in the bytes that were read from an endpoint. The connection is closed, and its attempt counts as
/// reset.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EndpointProtocolError {
    /// The incomplete responses of all connections together exceed the memory budget.
    #[error("memory budget for incomplete responses exceeded")]
    OutOfMemory,
    /// The response is still incomplete after [`MAX_RESPONSE_BYTES`].
    #[error("response exceeds {MAX_RESPONSE_BYTES} bytes")]
    ResponseTooLong,
    /// The bytes are not a valid response.
    #[error(transparent)]
    Malformed(#[from] ProtocolError),
}

/// The attempt that a connection carries, and how far its command has been written.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Assignment {
    /// The connection is new, idle or closed, and carries no attempt.
    Unassigned,
    /// The command is not completely written, so the endpoint cannot have started to execute it.
    Writing { request: RequestId },
    /// The command is completely written, so the endpoint may have executed it.
    AwaitingResponse { request: RequestId },
}

impl Assignment {
    /// Returns the request whose attempt the connection carries.
    pub fn request(self) -> Option<RequestId> {
        match self {
            Assignment::Unassigned => None,
            Assignment::Writing { request } | Assignment::AwaitingResponse { request } => {
                Some(request)
            }
        }
    }
}

/// An open connection with a task that reads responses. The socket closes once the task has ended and the
/// last reference is dropped.
pub(crate) struct EndpointConnection {
    stream: TcpStream,
    pub endpoint: EndpointName,
    /// The endpoint's incarnation at the time of the connect.
    pub incarnation: u64,
    assignment: Cell<Assignment>,
    handler: Weak<dyn EndpointEventHandler>,
    reader: OnceCell<AbortHandle>,
    read_memory: MemoryReservation,
    _permit: ConnectionPermit,
}

impl EndpointConnection {
    /// Wraps a connected socket and spawns the task that reads responses from it.
    pub fn open(
        stream: TcpStream,
        endpoint: EndpointName,
        incarnation: u64,
        permit: ConnectionPermit,
        read_memory: MemoryReservation,
        handler: Weak<dyn EndpointEventHandler>,
    ) -> Rc<EndpointConnection> {
        // Without this option, small commands wait for acknowledgements. The error can be ignored, because a
        // broken socket also fails on its next use.
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(EndpointConnection {
            stream,
            endpoint,
            incarnation,
            assignment: Cell::new(Assignment::Unassigned),
            handler,
            reader: OnceCell::new(),
            read_memory,
            _permit: permit,
        });
        connection.spawn_reader();
        connection
    }

    pub fn assignment(&self) -> Assignment {
        self.assignment.get()
    }

    /// Detaches the connection from its attempt, and returns the previous assignment.
    pub fn unassign(&self) -> Assignment {
        self.assignment.replace(Assignment::Unassigned)
    }

    /// Closes the connection immediately and aborts its reader. The endpoint sees the end of the stream
    /// before the gateway makes further decisions, and a late response is never read.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
        if let Some(reader) = self.reader.get() {
            reader.abort();
        }
    }

    /// Whether the endpoint has closed the connection or sent unsolicited bytes. Checks the socket directly,
    /// because the runtime may not have polled these events yet.
    pub fn is_stale(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Writes a request's command and assigns the connection to its attempt. If the socket does not accept
    /// all bytes immediately, a separate task writes the rest.
    ///
    /// # Errors
    /// Fails if the connection broke before any byte was written. The connection remains unassigned, and the
    /// caller must close it.
    pub fn send_command(
        self: &Rc<EndpointConnection>,
        request: RequestId,
        command: &[u8],
    ) -> io::Result<()> {
        let written = match self.stream.try_write(command) {
            Ok(written) => written,
            Err(error) if error.kind() == ErrorKind::WouldBlock => 0,
            Err(error) => return Err(error),
        };
        if written == command.len() {
            self.assignment
                .set(Assignment::AwaitingResponse { request });
        } else {
            self.assignment.set(Assignment::Writing { request });
            self.spawn_writer(request, command[written..].to_vec());
        }
        Ok(())
    }

    fn spawn_writer(self: &Rc<EndpointConnection>, request: RequestId, remaining: Vec<u8>) {
        let Some(handler) = self.handler.upgrade() else {
            return;
        };
        let connection = self.clone();
        tokio::task::spawn_local(async move {
            let result = connection.write_all(&remaining).await;
            // The attempt may have ended while the rest was being written.
            if connection.assignment.get() != (Assignment::Writing { request }) {
                return;
            }
            match result {
                Ok(()) => connection
                    .assignment
                    .set(Assignment::AwaitingResponse { request }),
                Err(_) => handler.handle_endpoint_event(EndpointEvent::WriteFailed { request }),
            }
        });
    }

    async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        let mut written = 0;
        while written < bytes.len() {
            self.stream.writable().await?;
            match self.stream.try_write(&bytes[written..]) {
                Ok(count) => written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn spawn_reader(self: &Rc<EndpointConnection>) {
        let Some(handler) = self.handler.upgrade() else {
            return;
        };
        let connection = self.clone();
        let reader = tokio::task::spawn_local(async move {
            let error = connection.read_responses(&*handler).await.err();
            handler.handle_endpoint_event(EndpointEvent::ConnectionClosed {
                connection: &connection,
                error,
            });
        });
        let _ = self.reader.set(reader.abort_handle());
    }

    /// Reads responses until the connection ends. Returns `Ok` if the endpoint or the network closed it, or
    /// if it received bytes that belong to no request.
    ///
    /// # Errors
    /// Fails if a response is malformed, too long or exceeds the memory budget.
    async fn read_responses(
        self: &Rc<EndpointConnection>,
        handler: &dyn EndpointEventHandler,
    ) -> Result<(), EndpointProtocolError> {
        let mut buffer: Vec<u8> = Vec::new();
        loop {
            if self.read_more(&mut buffer).await.is_break() {
                return Ok(());
            }
            // Unsolicited bytes end the connection. They must not be taken for the response to the next
            // request.
            if self.assignment.get() == Assignment::Unassigned {
                return Ok(());
            }
            if !self.read_memory.set(buffer.capacity()) {
                return Err(EndpointProtocolError::OutOfMemory);
            }
            let Some(parsed) = parse_reply(&buffer)? else {
                if buffer.len() > MAX_RESPONSE_BYTES {
                    return Err(EndpointProtocolError::ResponseTooLong);
                }
                continue;
            };
            let no_surplus_bytes = parsed.length == Some(buffer.len());
            handler.handle_endpoint_event(EndpointEvent::ResponseReceived {
                connection: self,
                response: EndpointResponse::from_reply(parsed.reply, &buffer),
                no_surplus_bytes,
            });
            if !no_surplus_bytes {
                return Ok(());
            }
            self.reset_buffer(&mut buffer);
        }
    }

    /// Waits for bytes and appends them to the buffer. Breaks if the connection has ended.
    async fn read_more(&self, buffer: &mut Vec<u8>) -> ControlFlow<()> {
        loop {
            if self.stream.readable().await.is_err() {
                return ControlFlow::Break(());
            }
            buffer.reserve(READ_CHUNK_BYTES);
            match self.stream.try_read_buf(buffer) {
                Ok(0) => return ControlFlow::Break(()),
                Ok(_) => return ControlFlow::Continue(()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return ControlFlow::Break(()),
            }
        }
    }

    /// Clears the buffer, and frees its memory if a long response has made it grow.
    fn reset_buffer(&self, buffer: &mut Vec<u8>) {
        buffer.clear();
        if buffer.capacity() > self.read_memory.always_allowed() {
            *buffer = Vec::new();
            self.read_memory.set(0);
        }
    }
}
