//! A client connection: combines the socket, the response queue and the connection state.

use super::close_reason::OutputFailure;
use super::connection_state::{AwaitedEvent, ConnectionState, ConnectionStep};
use super::response_memory::ConnectionMemory;
use super::responses::Responses;
use super::socket::{ClientSocket, ReadOutcome};
use crate::RequestId;
use crate::gateway::memory_budget::MemoryReservation;
use std::cell::RefCell;
use std::io;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Timeout for receiving the first command of a connection, and for receiving each command from its first
/// byte on, even if bytes keep arriving slowly. A client must also accept some response bytes within this
/// time while any are unsent.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Input that is read at once while the memory budget is not exhausted. Larger input buffers are released
/// between commands.
pub(super) const READ_LIMIT_BYTES: usize = 16 * 1024;

/// Input that is read behind commands that can't be processed yet.
const MAX_READ_AHEAD_BYTES: usize = 512 * 1024;

/// A client connection, shared by its task and the handler of its requests.
pub struct ClientConnection {
    accepted_at: Instant,
    socket: ClientSocket,
    state: RefCell<ConnectionState>,
    responses: RefCell<Responses>,
    /// Wakes the connection task.
    wake: Notify,
    input_memory: MemoryReservation,
}

impl ClientConnection {
    /// Creates a connection from an accepted socket. `is_close_requested` is set if all connections are
    /// being closed.
    pub(super) fn new(
        stream: TcpStream,
        is_close_requested: bool,
        input_memory: MemoryReservation,
        response_memory: ConnectionMemory,
    ) -> ClientConnection {
        ClientConnection {
            accepted_at: Instant::now(),
            socket: ClientSocket::new(stream),
            state: RefCell::new(ConnectionState::new(is_close_requested)),
            responses: RefCell::new(Responses::new(response_memory)),
            wake: Notify::new(),
            input_memory,
        }
    }

    // Responses.

    /// Answers a request. The response is written after those to all earlier requests on the connection.
    /// Does nothing if the request was already answered.
    pub fn answer(&self, request: RequestId, response: &[u8]) {
        self.state.borrow_mut().request_answered();
        self.responses
            .borrow_mut()
            .complete(request, response, &self.socket);
        self.wake_if_needed();
    }

    /// Responds to a command that is not forwarded. The response is written in request order.
    pub(super) fn respond(&self, response: &[u8]) {
        self.responses
            .borrow_mut()
            .push_ready(response, &self.socket);
        self.wake_if_needed();
    }

    /// Wakes the task if a new response requires it to act: unsent or failed output, a pending close, or
    /// a task that waits for a response.
    fn wake_if_needed(&self) {
        let responses = self.responses.borrow();
        let state = self.state.borrow();
        if responses.has_failed()
            || responses.has_unsent()
            || state.awaits_response()
            || state.is_closing()
        {
            self.wake.notify_one();
        }
    }

    /// Reserves the position of a request's response in the response queue.
    pub(super) fn reserve_response(&self, request: RequestId) {
        self.responses.borrow_mut().push_pending(request);
    }

    /// Clears the response queue and returns the requests that were not answered.
    pub(super) fn take_unanswered(&self) -> impl Iterator<Item = RequestId> + use<> {
        self.responses.borrow_mut().take_pending()
    }

    /// Marks the output as failed, which ends the task.
    pub(super) fn fail(&self, failure: OutputFailure) {
        self.responses.borrow_mut().fail(failure);
    }

    /// Why the output has failed, if it has.
    pub(super) fn failure(&self) -> Option<OutputFailure> {
        self.responses.borrow().failure()
    }

    pub(super) fn has_failed(&self) -> bool {
        self.failure().is_some()
    }

    /// Number of queued responses: pending ones, and complete ones that wait for a pending one.
    pub(super) fn pending_responses(&self) -> usize {
        self.responses.borrow().len()
    }

    /// Whether there is room for the response to a further command.
    pub(super) fn has_response_room(&self) -> bool {
        self.responses.borrow().has_room_for_another()
    }

    pub(super) fn has_unsent(&self) -> bool {
        self.responses.borrow().has_unsent()
    }

    /// Writes as many unsent bytes as the socket accepts.
    pub(super) fn flush(&self) {
        self.responses.borrow_mut().flush(&self.socket);
    }

    /// Whether all requests are answered and the socket has accepted all responses.
    pub(super) fn is_idle(&self) -> bool {
        self.responses.borrow().is_idle()
    }

    /// Whether the connection may be closed without a loss for its client: it is idle, and no part of a
    /// command has been read.
    pub(super) fn is_between_requests(&self) -> bool {
        self.is_idle() && self.state.borrow().is_between_commands()
    }

    // Input.

    /// Reads the available input into `received`, up to a limit, and records the end of the input.
    pub(super) fn read(&self, received: &mut Vec<u8>) -> io::Result<ReadOutcome> {
        let limit = if self.input_memory.may_grow() {
            READ_LIMIT_BYTES
        } else {
            self.input_memory.always_allowed()
        };
        self.read_up_to(limit, received)
    }

    /// Whether input may be read although it can't be processed yet. A disconnect shows only once the input
    /// before it has been read or fits into the socket's receive buffer (test
    /// `client_that_leaves_behind_more_than_the_receive_buffer_holds_is_noticed_while_its_pipeline_is_full`).
    pub(super) fn may_read_ahead(&self, received: &[u8]) -> bool {
        received.len() < MAX_READ_AHEAD_BYTES && self.input_memory.is_ample()
    }

    /// Reads further input behind commands that can't be processed yet.
    pub(super) fn read_ahead(&self, received: &mut Vec<u8>) -> io::Result<ReadOutcome> {
        let limit = received.len() + READ_LIMIT_BYTES;
        self.read_up_to(limit.min(MAX_READ_AHEAD_BYTES), received)
    }

    fn read_up_to(&self, limit: usize, received: &mut Vec<u8>) -> io::Result<ReadOutcome> {
        let outcome = self.socket.read(received, limit)?;
        if outcome == ReadOutcome::InputEnded {
            self.state.borrow_mut().input_ended();
        }
        Ok(outcome)
    }

    /// Records that complete commands were received and processed.
    pub(super) fn command_received(&self) {
        self.state.borrow_mut().command_received();
    }

    /// Records that the input ends with a partial command.
    pub(super) fn partial_command_received(&self) {
        self.state.borrow_mut().partial_command_received();
    }

    /// Sets the memory reserved for the input. Returns `false` if the budget is exceeded and the
    /// connection must be closed.
    pub(super) fn reserve_input(&self, bytes: usize) -> bool {
        self.input_memory.set(bytes)
    }

    pub(super) fn has_input_ended(&self) -> bool {
        self.state.borrow().has_input_ended()
    }

    pub(super) fn has_sent_command(&self) -> bool {
        self.state.borrow().has_sent_command()
    }

    /// Whether the client is known to have disconnected. Queries the socket directly, so it also detects
    /// a disconnect that the runtime has not seen yet.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        self.socket.is_disconnected()
    }

    // Closing and timeouts.

    /// Requests that the connection be closed once it is between requests, and wakes the task.
    pub(super) fn request_close(&self) {
        self.state.borrow_mut().request_close();
        self.wake.notify_one();
    }

    /// Whether a part of the connection's first command has been received.
    pub(super) fn is_receiving_first_command(&self) -> bool {
        self.state.borrow().is_receiving_first_command()
    }

    /// Answers the command of which a part has been received with an error, and wakes the task to close the
    /// connection.
    pub(super) fn give_up_command(&self) {
        self.state.borrow_mut().give_up_command();
        self.wake.notify_one();
    }

    /// Time since the connection was accepted.
    pub(super) fn age(&self) -> Duration {
        self.accepted_at.elapsed()
    }

    pub(super) fn is_closing(&self) -> bool {
        self.state.borrow().is_closing()
    }

    /// Time of the last command or response, or of the accept if there was none.
    pub(super) fn last_active(&self) -> Instant {
        self.state.borrow().last_active()
    }

    /// Applies the timeouts. `idle_timeout` limits how long the connection may be idle between commands.
    pub(super) fn expire(&self, now: Instant, idle_timeout: Duration) {
        if self.responses.borrow().is_stalled(now, REQUEST_TIMEOUT) {
            self.fail(OutputFailure::Stalled);
            self.wake.notify_one();
        } else if self.is_idle() && self.state.borrow_mut().expire(now, idle_timeout) {
            self.wake.notify_one();
        }
    }

    /// Returns the next step of the task.
    ///
    /// A command that has arrived is still processed, even if the runtime has not seen it yet. Closing a
    /// socket with unread input would also discard the last response (test
    /// `command_that_arrived_before_its_connection_is_closed_is_answered`).
    pub(super) fn next_step(&self) -> ConnectionStep {
        match self.state.borrow().next_step(self.is_idle()) {
            ConnectionStep::Wait => ConnectionStep::Wait,
            _ if self.socket.has_unread_input() => ConnectionStep::Wait,
            end => end,
        }
    }

    // Connection task.

    pub(super) fn socket(&self) -> &ClientSocket {
        &self.socket
    }

    pub(super) fn set_awaited_event(&self, awaited: AwaitedEvent) {
        self.state.borrow_mut().set_awaited_event(awaited);
    }

    /// Waits for a wake-up by a response, a close request or an expired timeout.
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }
}
