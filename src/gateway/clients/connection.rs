//! One client's connection: its socket and its responses, and the events that change its state.

use super::connection_state::{Awaited, CloseWhen, ConnectionState, ConnectionStep};
use super::responses::Responses;
use super::socket::{ClientSocket, ReadOutcome};
use crate::RequestId;
use crate::gateway::memory_budget::MemoryReservation;
use std::cell::RefCell;
use std::io;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The first command of a connection, and the rest of each command that has begun to arrive, must be received within
/// this time, however slowly the bytes trickle in. A client must accept some bytes of its responses as often.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Bytes that a connection may use for its input, and as many for its responses, also while the memory budgets are
/// exhausted. Larger buffers are released between commands.
pub(super) const ALWAYS_ALLOWED_BYTES: usize = 16 * 1024;

/// A client's connection.
pub struct ClientConnection {
    socket: ClientSocket,
    state: RefCell<ConnectionState>,
    responses: RefCell<Responses>,
    /// Wakes the connection's task.
    wake: Notify,
    input_memory: MemoryReservation,
}

impl ClientConnection {
    /// Creates the state of an accepted connection. `close` is given when all connections are being closed.
    pub(super) fn new(
        stream: TcpStream,
        close: Option<CloseWhen>,
        input_memory: MemoryReservation,
        response_memory: MemoryReservation,
    ) -> ClientConnection {
        ClientConnection {
            socket: ClientSocket::new(stream),
            state: RefCell::new(ConnectionState::new(close)),
            responses: RefCell::new(Responses::new(response_memory, ALWAYS_ALLOWED_BYTES)),
            wake: Notify::new(),
            input_memory,
        }
    }

    // Responses.

    /// Gives the answer to a request. It is written once all earlier requests are answered.
    pub fn answer(&self, request: RequestId, response: &[u8]) {
        self.state.borrow_mut().answered();
        self.responses
            .borrow_mut()
            .complete(request, response, &self.socket);
        self.wake_if_needed();
    }

    /// Adds a response that is known at once, in its order.
    pub(super) fn respond(&self, response: &[u8]) {
        self.responses.borrow_mut().push(response, &self.socket);
        self.wake_if_needed();
    }

    /// Wakes the task where a response gives it something to do that it does not wait for otherwise.
    fn wake_if_needed(&self) {
        let responses = self.responses.borrow();
        let state = self.state.borrow();
        if responses.has_failed()
            || responses.has_unsent()
            || state.waits_for_answer()
            || state.is_closing()
        {
            self.wake.notify_one();
        }
    }

    /// Expects an answer to a request.
    pub(super) fn expect_answer(&self, request: RequestId) {
        self.responses.borrow_mut().expect(request);
    }

    /// Stops expecting answers, and returns the requests that have none.
    pub(super) fn take_unanswered(&self) -> impl Iterator<Item = RequestId> + use<> {
        self.responses.borrow_mut().take_pending()
    }

    /// Gives up all responses, so that the task ends.
    pub(super) fn fail(&self) {
        self.responses.borrow_mut().fail();
    }

    /// Whether no response can be delivered any more.
    pub(super) fn has_failed(&self) -> bool {
        self.responses.borrow().has_failed()
    }

    /// The number of responses that are pending, or wait for a pending one.
    pub(super) fn pending_responses(&self) -> usize {
        self.responses.borrow().len()
    }

    /// Whether some bytes wait for the socket to accept them.
    pub(super) fn has_unsent(&self) -> bool {
        self.responses.borrow().has_unsent()
    }

    /// Writes what the socket has not accepted before.
    pub(super) fn flush(&self) {
        self.responses.borrow_mut().flush(&self.socket);
    }

    /// Whether every request is answered, and every response accepted by the socket.
    pub(super) fn is_idle(&self) -> bool {
        self.responses.borrow().is_idle()
    }

    // Input.

    /// Reads what has arrived, and records the end of the input.
    pub(super) fn read(&self, received: &mut Vec<u8>) -> io::Result<()> {
        if self.socket.read(received, ALWAYS_ALLOWED_BYTES)? == ReadOutcome::InputEnded {
            self.state.borrow_mut().input_ended();
        }
        Ok(())
    }

    /// Records that whole commands were received.
    pub(super) fn command_received(&self) {
        self.state.borrow_mut().command_received();
    }

    /// Records that only a part of a command was received.
    pub(super) fn partial_command_received(&self) {
        self.state.borrow_mut().part_received();
    }

    /// Reserves memory for the input. False if the connection has to be closed for lack of memory.
    pub(super) fn reserve_input(&self, bytes: usize) -> bool {
        self.input_memory.set(bytes, ALWAYS_ALLOWED_BYTES)
    }

    /// Whether the end of the input was read.
    pub(super) fn has_input_ended(&self) -> bool {
        self.state.borrow().has_input_ended()
    }

    /// Whether a whole command was ever received.
    pub(super) fn has_sent_command(&self) -> bool {
        self.state.borrow().has_sent_command()
    }

    /// Whether the client has disconnected, as far as is known now, also when the runtime has not seen it yet.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        self.socket.is_disconnected()
    }

    // Closing and timeouts.

    /// Closes the connection at the next opportunity.
    pub(super) fn close_when(&self, when: CloseWhen) {
        self.state.borrow_mut().close_when(when);
        self.wake.notify_one();
    }

    /// Whether the gateway closes the connection at the next opportunity.
    pub(super) fn is_closing(&self) -> bool {
        self.state.borrow().is_closing()
    }

    /// When the connection was accepted, or last received a command or an answer.
    pub(super) fn last_active(&self) -> Instant {
        self.state.borrow().last_active()
    }

    /// Applies the timeouts. `idle_timeout` is how long the connection may pause between commands.
    pub(super) fn expire(&self, now: Instant, idle_timeout: Duration) {
        if self.responses.borrow().is_stalled(now, REQUEST_TIMEOUT) {
            self.fail();
            self.wake.notify_one();
        } else if self.is_idle() && self.state.borrow_mut().expire(now, idle_timeout) {
            self.wake.notify_one();
        }
    }

    /// What the task does next.
    ///
    /// A request that has arrived is served, although the runtime has not seen it yet. Closing over it would also
    /// discard the last response (test `command_that_arrived_before_its_connection_is_closed_is_answered`).
    pub(super) fn next_step(&self) -> ConnectionStep {
        match self.state.borrow().next_step(self.is_idle()) {
            ConnectionStep::Wait => ConnectionStep::Wait,
            _ if self.socket.has_unread_input() => ConnectionStep::Wait,
            end => end,
        }
    }

    // The connection's task.

    /// The socket.
    pub(super) fn socket(&self) -> &ClientSocket {
        &self.socket
    }

    /// Records what the task waits for.
    pub(super) fn set_awaited(&self, awaited: Awaited) {
        self.state.borrow_mut().set_awaited(awaited);
    }

    /// Waits until the task is woken.
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }
}
