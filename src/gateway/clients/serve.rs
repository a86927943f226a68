//! The connection task: reads and dispatches commands, and writes output that the socket did not accept
//! at once.

use super::close_reason::{CloseReason, OutputFailure};
use super::connection::{ClientConnection, READ_LIMIT_BYTES};
use super::connection_error::ConnectionError;
use super::connection_state::{AwaitedEvent, ConnectionStep};
use super::pace::CommandPace;
use super::request::ClientRequest;
use super::schema::RequestSchema;
use super::socket::ReadOutcome;
use super::{ClientEvent, ClientEventHandler};
use crate::gateway::log::{self, TrafficEvent};
use crate::gateway::resp::{self, Command, ProtocolError};
use metrics::counter;
use std::io;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout};

/// Limit on concurrent requests of one connection. Further commands stay unread in the socket.
const MAX_PIPELINED: usize = 128;
/// Limit on commands that are dispatched before the task yields and checks again whether the client has
/// disconnected. Selecting one of several hundred endpoints takes a large part of a millisecond on a slow
/// core.
const MAX_COMMANDS_PER_TURN: usize = 16;
/// Time that a client has to read an error response. Closing a socket with unread input would discard the
/// response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

pub(super) struct ConnectionTask {
    connection: Rc<ClientConnection>,
    handler: Rc<dyn ClientEventHandler>,
    schema: Rc<RequestSchema>,
    /// Received input that is not consumed yet.
    received: Vec<u8>,
    /// Whether the socket has been read since the last batch of commands. Such a read has detected a
    /// disconnect, so no separate check is needed.
    read_since_batch: bool,
    pace: CommandPace,
}

enum DispatchOutcome {
    /// This many commands were dispatched, at least one.
    Dispatched { commands: usize },
    /// The input holds no complete command.
    Incomplete,
}

impl ConnectionTask {
    pub(super) fn new(
        connection: Rc<ClientConnection>,
        handler: Rc<dyn ClientEventHandler>,
        schema: Rc<RequestSchema>,
        pace: CommandPace,
    ) -> ConnectionTask {
        ConnectionTask {
            connection,
            handler,
            schema,
            received: Vec::new(),
            read_since_batch: false,
            pace,
        }
    }

    /// Serves the connection until either side closes it, and returns why it ends.
    pub(super) async fn run(mut self) -> CloseReason {
        match self.serve().await {
            Ok(reason) => reason,
            Err(error) => {
                self.reject(error).await;
                CloseReason::Rejected(error)
            }
        }
    }

    async fn serve(&mut self) -> Result<CloseReason, ConnectionError> {
        loop {
            if let Some(failure) = self.connection.failure() {
                return Ok(CloseReason::OutputFailed(failure));
            }
            // Input that was received while the pipeline was full is processed once the pipeline has
            // room. The client may have disconnected in the meantime (test
            // `a_command_behind_a_full_pipeline_is_not_started_after_an_unseen_disconnect`).
            let mut holds_complete_command = !self.received.is_empty();
            if self.has_pipeline_capacity() && !self.received.is_empty() {
                if !std::mem::take(&mut self.read_since_batch) && self.connection.is_disconnected()
                {
                    return Ok(CloseReason::Disconnected);
                }
                match self.dispatch_commands()? {
                    DispatchOutcome::Dispatched { commands } => {
                        self.pause_after(commands).await;
                        continue;
                    }
                    DispatchOutcome::Incomplete => {
                        holds_complete_command = false;
                        self.connection.partial_command_received();
                    }
                }
            }
            if self.connection.has_input_ended() {
                return Ok(CloseReason::Disconnected);
            }
            // Commands that wait for the pipeline are owed an answer (test
            // `complete_commands_behind_a_long_one_are_answered_if_their_buffer_exceeds_the_memory`). Nothing
            // is read behind them unless there is ample memory, so their buffer does not grow.
            if !self.reserve_input() && !holds_complete_command {
                return Err(ConnectionError::OutOfMemory);
            }
            match self.connection.next_step() {
                ConnectionStep::Reject(error) => return Err(error),
                ConnectionStep::Close => return Ok(CloseReason::Idle),
                ConnectionStep::Wait => {
                    if self.wait().await.is_break() {
                        return Ok(CloseReason::Disconnected);
                    }
                }
            }
        }
    }

    /// Lets other tasks run if more commands wait, and for longer if the client sends too many.
    async fn pause_after(&mut self, commands: usize) {
        match self.pace.commands_processed(commands, Instant::now()) {
            Some(pause) => {
                tokio::select! {
                    () = sleep(pause) => {}
                    () = self.connection.socket().disconnected() => {}
                }
            }
            None if !self.received.is_empty() => yield_now().await,
            None => {}
        }
    }

    /// Reserves memory for the input buffer, and releases the unused part of the buffer if that is necessary.
    /// Returns `false` if the memory is exceeded.
    fn reserve_input(&mut self) -> bool {
        if self.connection.reserve_input(self.received.capacity()) {
            return true;
        }
        self.received.shrink_to_fit();
        self.connection.reserve_input(self.received.capacity())
    }

    fn has_pipeline_capacity(&self) -> bool {
        self.connection.pending_responses() < MAX_PIPELINED && self.connection.has_response_room()
    }

    /// Waits for input, room for output, or a wake-up. Returns `Break` if the client has disconnected, which
    /// is also detected while no input is read (test
    /// `a_disconnect_behind_a_full_pipeline_is_noticed_while_no_input_is_read`).
    async fn wait(&mut self) -> ControlFlow<()> {
        let connection = &self.connection;
        let socket = connection.socket();
        let accepts_requests = !connection.is_closing() || connection.pending_responses() == 0;
        let processes_input = self.has_pipeline_capacity() && accepts_requests;
        let reads_ahead = !processes_input && connection.may_read_ahead(&self.received);
        let has_unsent = connection.has_unsent();
        connection.set_awaited_event(if processes_input {
            AwaitedEvent::Input
        } else {
            AwaitedEvent::Response
        });
        tokio::select! {
            () = socket.disconnected(), if !processes_input => return ControlFlow::Break(()),
            readiness = socket.readable(), if processes_input || reads_ahead => {
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
        let outcome = if reads_ahead {
            self.connection.read_ahead(&mut self.received)
        } else {
            self.connection.read(&mut self.received)
        };
        self.input_read(outcome).await
    }

    async fn input_read(&mut self, outcome: io::Result<ReadOutcome>) -> ControlFlow<()> {
        let Ok(outcome) = outcome else {
            return ControlFlow::Break(());
        };
        self.read_since_batch = true;
        if outcome == ReadOutcome::LimitReached {
            // More input may follow. Yielding lets other connections run and the runtime detect the end of
            // this input.
            yield_now().await;
        }
        ControlFlow::Continue(())
    }

    /// Dispatches complete commands from the input, up to the limits per turn and of the pipeline. The
    /// caller checks for a disconnect before the next batch (test
    /// `the_rest_of_a_batch_of_commands_is_not_started_after_an_unseen_disconnect`).
    fn dispatch_commands(&mut self) -> Result<DispatchOutcome, ProtocolError> {
        let mut consumed = 0;
        let mut dispatched = 0;
        let result = loop {
            if dispatched >= MAX_COMMANDS_PER_TURN || !self.has_pipeline_capacity() {
                break Ok(());
            }
            match resp::parse_command(&self.received[consumed..]) {
                Ok(Some(command)) => {
                    self.dispatch(&command);
                    consumed += command.bytes().len();
                    dispatched += 1;
                }
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            }
        };
        self.consume(consumed);
        result.map(|()| {
            if dispatched > 0 {
                DispatchOutcome::Dispatched {
                    commands: dispatched,
                }
            } else {
                DispatchOutcome::Incomplete
            }
        })
    }

    /// Removes dispatched commands from the input. Releases a large buffer once it is empty.
    fn consume(&mut self, consumed: usize) {
        if consumed == self.received.len() && self.received.capacity() > READ_LIMIT_BYTES {
            self.received = Vec::new();
        } else {
            self.received.drain(..consumed);
        }
        if consumed > 0 {
            self.connection.command_received();
        }
    }

    fn dispatch(&self, command: &Command) {
        let name = command.part(0);
        if ClientRequest::is_request(name) {
            self.dispatch_request(command);
        } else if name.eq_ignore_ascii_case(b"PING") {
            self.respond_to_ping(command);
        } else {
            self.connection.respond(b"-ERR unknown command\r\n");
        }
    }

    fn dispatch_request(&self, command: &Command) {
        if self.connection.has_input_ended() || self.connection.socket().is_read_closed() {
            // The client has disconnected. Responses are sent in order, so no later command can be
            // answered either (test
            // `request_that_arrives_together_with_the_disconnect_is_not_forwarded`).
            self.connection.fail(OutputFailure::Disconnected);
            return;
        }
        let is_active = |id| self.handler.is_active(id);
        let request = match ClientRequest::parse(command, &self.schema, is_active) {
            Ok(request) => request,
            Err(error) => {
                counter!("requests_invalid").increment(1);
                log::example(&TrafficEvent::RequestInvalid { error: &error });
                let response = format!("-ERR {error}\r\n");
                return self.connection.respond(response.as_bytes());
            }
        };
        if !self.handler.has_capacity_for(request.command_len()) {
            counter!("requests_rejected", "reason" => "gateway_capacity").increment(1);
            return self.connection.respond(b"-BUSY\r\n");
        }
        // The handler may answer during the call, so the position of the response is reserved first.
        let id = self.handler.next_id();
        self.connection.reserve_response(id);
        self.handler
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

    /// Sends a protocol error after the responses to all earlier requests, and waits until the client has
    /// read it. A client that disconnects earlier gets no response, and its requests are dropped (test
    /// `half_close_behind_malformed_input_drops_the_waiting_request`).
    async fn reject(&self, error: ConnectionError) {
        let connection = &self.connection;
        let socket = connection.socket();
        connection.respond(format!("-ERR protocol error: {error}\r\n").as_bytes());
        connection.set_awaited_event(AwaitedEvent::Response);
        while !connection.is_idle() && !connection.has_failed() {
            let has_unsent = connection.has_unsent();
            tokio::select! {
                () = socket.disconnected() => return,
                _ = socket.writable(), if has_unsent => connection.flush(),
                () = connection.woken() => {}
            }
        }
        socket.shutdown_write();
        let _ = timeout(LINGER_TIMEOUT, socket.discard_input()).await;
    }
}
