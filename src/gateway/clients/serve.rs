//! The task of one connection: it reads commands, starts them and writes what the socket did not accept at once.

use super::connection::{ALWAYS_ALLOWED_BYTES, ClientConnection};
use super::connection_error::ConnectionError;
use super::connection_state::{Awaited, ConnectionStep};
use super::request::ClientRequest;
use super::schema::RequestSchema;
use super::{ClientEvent, ClientEventHandler};
use crate::gateway::resp::{self, Command, ProtocolError};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Requests of one connection that are active at once. More stay in the socket.
const MAX_PIPELINED: usize = 128;
/// Commands that are started before other tasks run, and before it is checked again whether the client has
/// disconnected: the choice among hundreds of endpoints takes a good part of a millisecond on a slow core.
const MAX_COMMANDS_PER_TURN: usize = 16;
/// After an error response the client is given this long to read it: closing over unread input would discard it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// The task of one connection.
pub(super) struct ConnectionTask {
    connection: Rc<ClientConnection>,
    events: Rc<dyn ClientEventHandler>,
    schema: Rc<RequestSchema>,
    /// Input that is not consumed yet.
    received: Vec<u8>,
    /// Whether the socket was just read, so that a disconnected client is known to be.
    just_read: bool,
}

/// What came of the attempt to start commands.
enum CommandBatch {
    /// At least one command was started.
    Started,
    /// The input holds no whole command.
    Incomplete,
}

impl ConnectionTask {
    pub(super) fn new(
        connection: Rc<ClientConnection>,
        events: Rc<dyn ClientEventHandler>,
        schema: Rc<RequestSchema>,
    ) -> ConnectionTask {
        ConnectionTask {
            connection,
            events,
            schema,
            received: Vec::new(),
            just_read: false,
        }
    }

    /// Serves the connection until either side ends it.
    pub(super) async fn run(mut self) {
        if let Err(error) = self.serve().await {
            self.reject(error).await;
        }
    }

    async fn serve(&mut self) -> Result<(), ConnectionError> {
        loop {
            if self.connection.has_failed() {
                return Ok(());
            }
            // Input that arrived while the pipeline was full is consumed once there is capacity again. The client may
            // have disconnected meanwhile (test
            // `a_command_behind_a_full_pipeline_is_not_started_after_an_unseen_disconnect`).
            if self.has_pipeline_capacity() && !self.received.is_empty() {
                if !std::mem::take(&mut self.just_read) && self.connection.is_disconnected() {
                    return Ok(());
                }
                match self.start_commands()? {
                    CommandBatch::Started => {
                        if !self.received.is_empty() {
                            yield_now().await;
                        }
                        continue;
                    }
                    CommandBatch::Incomplete => self.connection.partial_command_received(),
                }
            }
            if self.connection.has_input_ended() {
                return Ok(());
            }
            if !self.connection.reserve_input(self.received.capacity()) {
                return Err(ConnectionError::OutOfMemory);
            }
            match self.connection.next_step() {
                ConnectionStep::RejectLateCommand => return Err(ConnectionError::RequestTimeout),
                ConnectionStep::Close => return Ok(()),
                ConnectionStep::Wait => {
                    if self.wait().await.is_break() {
                        return Ok(());
                    }
                }
            }
        }
    }

    fn has_pipeline_capacity(&self) -> bool {
        self.connection.pending_responses() < MAX_PIPELINED
    }

    /// Waits for something to do. Breaks when the client has disconnected, also while its input is not read (test
    /// `a_disconnect_behind_a_full_pipeline_is_noticed_while_no_input_is_read`).
    async fn wait(&mut self) -> ControlFlow<()> {
        let connection = &self.connection;
        let socket = connection.socket();
        let accepts_requests = !connection.is_closing() || connection.pending_responses() == 0;
        let reads = self.has_pipeline_capacity() && accepts_requests;
        let has_unsent = connection.has_unsent();
        connection.set_awaited(if reads {
            Awaited::Input
        } else {
            Awaited::Answer
        });
        tokio::select! {
            () = socket.disconnected(), if !reads => return ControlFlow::Break(()),
            readiness = socket.readable(), if reads => {
                if readiness.is_err() {
                    return ControlFlow::Break(());
                }
            }
            _ = socket.writable(), if has_unsent => {
                connection.flush();
                return ControlFlow::Continue(());
            }
            () = connection.woken() => return ControlFlow::Continue(()),
        }
        self.read().await
    }

    async fn read(&mut self) -> ControlFlow<()> {
        if self.connection.read(&mut self.received).is_err() {
            return ControlFlow::Break(());
        }
        self.just_read = true;
        if self.received.len() >= ALWAYS_ALLOWED_BYTES {
            // There may be more. Other connections run first, and the end of this input may be seen meanwhile.
            yield_now().await;
        }
        ControlFlow::Continue(())
    }

    /// Starts whole commands of the input, as many as a turn and the pipeline allow. After the turn it is checked again
    /// whether the client has disconnected (test
    /// `the_rest_of_a_batch_of_commands_is_not_started_after_an_unseen_disconnect`).
    fn start_commands(&mut self) -> Result<CommandBatch, ProtocolError> {
        let mut consumed = 0;
        let mut started = 0;
        let result = loop {
            if started >= MAX_COMMANDS_PER_TURN || !self.has_pipeline_capacity() {
                break Ok(());
            }
            match resp::parse_command(&self.received[consumed..]) {
                Ok(Some(command)) => {
                    self.start(&command);
                    consumed += command.bytes().len();
                    started += 1;
                }
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            }
        };
        self.consume(consumed);
        result.map(|()| {
            if consumed > 0 {
                CommandBatch::Started
            } else {
                CommandBatch::Incomplete
            }
        })
    }

    /// Removes started commands from the input. A large buffer that is empty now is released.
    fn consume(&mut self, consumed: usize) {
        if consumed == self.received.len() && self.received.capacity() > ALWAYS_ALLOWED_BYTES {
            self.received = Vec::new();
        } else {
            self.received.drain(..consumed);
        }
        if consumed > 0 {
            self.connection.command_received();
        }
    }

    fn start(&self, command: &Command) {
        let name = command.part(0);
        if ClientRequest::is_request(name) {
            self.start_request(command);
        } else if name.eq_ignore_ascii_case(b"PING") {
            self.respond_to_ping(command);
        } else {
            self.connection.respond(b"-ERR unknown command\r\n");
        }
    }

    fn start_request(&self, command: &Command) {
        if self.connection.has_input_ended() || self.connection.socket().is_input_end_known() {
            // The client has disconnected. No later command can be answered in its order either (test
            // `request_that_arrives_together_with_the_disconnect_is_not_forwarded`).
            self.connection.fail();
            return;
        }
        let is_active = |id| self.events.is_active(id);
        let request = match ClientRequest::parse(command, &self.schema, is_active) {
            Ok(request) => request,
            Err(error) => {
                let response = format!("-ERR {error}\r\n");
                return self.connection.respond(response.as_bytes());
            }
        };
        if !self.events.has_capacity_for(request.command_len()) {
            return self.connection.respond(b"-BUSY\r\n");
        }
        // The answer may be given while the event is handled, so its place comes first.
        let id = self.events.next_id();
        self.connection.expect_answer(id);
        self.events
            .handle_client_event(ClientEvent::RequestReceived {
                request: id,
                command: request,
                connection: self.connection.clone(),
            });
    }

    fn respond_to_ping(&self, command: &Command) {
        if command.part_count() == 1 {
            return self.connection.respond(b"+PONG\r\n");
        }
        let mut echo = Vec::new();
        resp::put_bulk(&mut echo, command.part(1));
        self.connection.respond(&echo);
    }

    /// Responds with an error once all earlier requests are answered, and waits until the client has read it. A client
    /// that disconnects before gets nothing, and its requests are dropped (test
    /// `half_close_behind_malformed_input_drops_the_waiting_request`).
    async fn reject(&self, error: ConnectionError) {
        let connection = &self.connection;
        let socket = connection.socket();
        connection.respond(format!("-ERR protocol error: {error}\r\n").as_bytes());
        connection.set_awaited(Awaited::Answer);
        while !connection.is_idle() && !connection.has_failed() {
            let has_unsent = connection.has_unsent();
            tokio::select! {
                () = socket.disconnected() => return,
                _ = socket.writable(), if has_unsent => connection.flush(),
                () = connection.woken() => {}
            }
        }
        socket.end_output();
        let _ = timeout(LINGER_TIMEOUT, socket.discard_input()).await;
    }
}
