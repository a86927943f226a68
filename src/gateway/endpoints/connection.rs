//! One connection to an endpoint: writing a command, reading responses, closing.

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

/// The longest whole response: a value, and a little for the load report and the actual cost.
const MAX_RESPONSE_BYTES: usize = MAX_VALUE_LEN + 4096;
/// Buffer capacity that a connection keeps between responses, and may have however full the memory budget is.
const RETAINED_BUFFER_BYTES: usize = 8 * 1024;
/// Free space in the buffer before each read.
const READ_CHUNK_BYTES: usize = 1024;

/// Why the bytes read on a connection could not be used. The connection is closed, and the attempt that it
/// carried counts as reset.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EndpointProtocolError {
    /// All connections together hold as many bytes of incomplete responses as the memory budget allows.
    #[error("memory budget for incomplete responses exceeded")]
    OutOfMemory,
    /// The response is still incomplete at the longest length that a response can have.
    #[error("response exceeds {MAX_RESPONSE_BYTES} bytes")]
    ResponseTooLong,
    /// The bytes are not a response in the protocol.
    #[error(transparent)]
    Malformed(#[from] ProtocolError),
}

/// What a connection is used for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Assignment {
    /// It carries no attempt: it is new, idle or closed.
    Unassigned,
    /// The command is partly written, so the endpoint cannot have begun to execute it.
    Writing { request: RequestId },
    /// The whole command is written, so the endpoint may have executed it.
    AwaitingResponse { request: RequestId },
}

impl Assignment {
    /// The request whose attempt the connection carries.
    pub fn request(self) -> Option<RequestId> {
        match self {
            Assignment::Unassigned => None,
            Assignment::Writing { request } | Assignment::AwaitingResponse { request } => {
                Some(request)
            }
        }
    }
}

/// A connection to an endpoint.
pub(crate) struct EndpointConnection {
    stream: TcpStream,
    /// The endpoint at its other end.
    pub endpoint: EndpointName,
    /// The incarnation of the endpoint that the connection was opened to.
    pub incarnation: u64,
    assignment: Cell<Assignment>,
    handler: Weak<dyn EndpointEventHandler>,
    reader: OnceCell<AbortHandle>,
    read_memory: MemoryReservation,
    _permit: ConnectionPermit,
}

impl EndpointConnection {
    /// Takes over an open socket and starts the task that reads responses from it.
    pub fn open(
        stream: TcpStream,
        endpoint: EndpointName,
        incarnation: u64,
        permit: ConnectionPermit,
        read_memory: MemoryReservation,
        handler: Weak<dyn EndpointEventHandler>,
    ) -> Rc<EndpointConnection> {
        // Without this option small commands wait for acknowledgements. A socket that fails here fails again at
        // its next use, so the error needs no handling of its own.
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

    /// Ends the connection's part in an attempt, and returns the state that it was in.
    pub fn unassign(&self) -> Assignment {
        self.assignment.replace(Assignment::Unassigned)
    }

    /// Closes the connection at once: the endpoint sees the end before anything else is decided, and no late
    /// response is read.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
        if let Some(reader) = self.reader.get() {
            reader.abort();
        }
    }

    /// Whether the endpoint has closed the connection, or sent bytes that belong to no request. The runtime may
    /// not have seen that yet, so this asks the socket itself.
    pub fn is_stale(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Writes a request's command and assigns the connection to its attempt. What the socket does not take at
    /// once is written by a task of its own.
    ///
    /// # Errors
    /// When the connection broke before it took a single byte. It stays unassigned, and is to be closed.
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
            // The attempt may have ended meanwhile.
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

    /// Reads responses until the connection ends.
    ///
    /// # Errors
    /// When it ends because of the bytes that were read. An end by the endpoint or the network is none.
    async fn read_responses(
        self: &Rc<EndpointConnection>,
        handler: &dyn EndpointEventHandler,
    ) -> Result<(), EndpointProtocolError> {
        let mut buffer: Vec<u8> = Vec::new();
        loop {
            if self.read_more(&mut buffer).await.is_break() {
                return Ok(());
            }
            // Bytes that belong to no request must not be taken for the response to the next one.
            if self.assignment.get() == Assignment::Unassigned {
                return Ok(());
            }
            if !self
                .read_memory
                .set(buffer.capacity(), RETAINED_BUFFER_BYTES)
            {
                return Err(EndpointProtocolError::OutOfMemory);
            }
            let Some((reply, length)) = parse_reply(&buffer)? else {
                if buffer.len() > MAX_RESPONSE_BYTES {
                    return Err(EndpointProtocolError::ResponseTooLong);
                }
                continue;
            };
            let nothing_follows = length == buffer.len();
            handler.handle_endpoint_event(EndpointEvent::ResponseReceived {
                connection: self,
                response: EndpointResponse::read(reply, &buffer),
                nothing_follows,
            });
            if !nothing_follows {
                return Ok(());
            }
            self.recycle(&mut buffer);
        }
    }

    /// Appends what arrives next. Breaks when the connection has ended.
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

    /// Empties the buffer, and gives its memory back after a long response.
    fn recycle(&self, buffer: &mut Vec<u8>) {
        buffer.clear();
        if buffer.capacity() > RETAINED_BUFFER_BYTES {
            *buffer = Vec::new();
            self.read_memory.set(0, 0);
        }
    }
}
