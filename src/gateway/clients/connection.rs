//! One client's connection: its state and its timeouts.

use super::responses::Responses;
use super::socket::{ClientSocket, ReadOutcome};
use crate::RequestId;
use crate::gateway::memory_budget::MemoryReservation;
use std::cell::{Cell, RefCell};
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

/// When a connection is to be closed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseWhen {
    /// As soon as every request is answered.
    NoRequestPending,
    /// As soon as every request is answered and no part of a command is received.
    NoCommandPartial,
}

/// The phases of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Lifecycle {
    /// Commands are read.
    Open,
    /// The gateway closes the connection at the next opportunity.
    Closing(CloseWhen),
    /// The end of the input was read: the client has disconnected.
    InputEnded,
}

/// What was received since the last whole command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum InputState {
    /// Nothing.
    BetweenCommands,
    /// A part of a command.
    PartialCommand { since: Instant },
    /// No whole command within [`REQUEST_TIMEOUT`].
    TimedOut,
}

/// A client's connection.
pub struct ClientConnection {
    socket: ClientSocket,
    responses: RefCell<Responses>,
    /// Wakes the connection's task.
    wake: Notify,
    lifecycle: Cell<Lifecycle>,
    input: Cell<InputState>,
    /// Whether a whole command was ever received.
    has_sent_command: Cell<bool>,
    /// When the connection was accepted, or last received a command or an answer.
    last_active: Cell<Instant>,
    /// Whether the connection's task waits for an answer rather than for input.
    waits_for_answer: Cell<bool>,
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
            responses: RefCell::new(Responses::new(response_memory, ALWAYS_ALLOWED_BYTES)),
            wake: Notify::new(),
            lifecycle: Cell::new(close.map_or(Lifecycle::Open, Lifecycle::Closing)),
            input: Cell::new(InputState::BetweenCommands),
            has_sent_command: Cell::new(false),
            last_active: Cell::new(Instant::now()),
            waits_for_answer: Cell::new(false),
            input_memory,
        }
    }

    // Responses.

    /// Gives the answer to a request. It is written once all earlier requests are answered.
    pub fn answer(&self, request: RequestId, response: &[u8]) {
        self.last_active.set(Instant::now());
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
        if responses.has_failed()
            || responses.has_unsent()
            || self.waits_for_answer.get()
            || self.is_closing()
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

    // State.

    /// Whether every request is answered, and every response accepted by the socket.
    pub(super) fn is_idle(&self) -> bool {
        self.responses.borrow().is_idle()
    }

    /// Whether the gateway closes the connection at the next opportunity.
    pub(super) fn is_closing(&self) -> bool {
        matches!(self.lifecycle.get(), Lifecycle::Closing(_))
    }

    /// Whether the end of the input was read.
    pub(super) fn has_input_ended(&self) -> bool {
        self.lifecycle.get() == Lifecycle::InputEnded
    }

    /// Whether a whole command was ever received.
    pub(super) fn has_sent_command(&self) -> bool {
        self.has_sent_command.get()
    }

    /// When the connection was accepted, or last received a command or an answer.
    pub(super) fn last_active(&self) -> Instant {
        self.last_active.get()
    }

    /// Records that whole commands were received.
    pub(super) fn command_received(&self) {
        self.input.set(InputState::BetweenCommands);
        self.has_sent_command.set(true);
        self.last_active.set(Instant::now());
    }

    /// Records that only a part of a command was received.
    pub(super) fn partial_command_received(&self) {
        if self.input.get() == InputState::BetweenCommands {
            self.input.set(InputState::PartialCommand {
                since: Instant::now(),
            });
        }
    }

    /// Records whether the task waits for an answer rather than for input.
    pub(super) fn set_waits_for_answer(&self, waits: bool) {
        self.waits_for_answer.set(waits);
    }

    /// Reserves memory for the input. False if the connection has to be closed for lack of memory.
    pub(super) fn reserve_input(&self, bytes: usize) -> bool {
        self.input_memory.set(bytes, ALWAYS_ALLOWED_BYTES)
    }

    /// Closes the connection at the next opportunity.
    pub(super) fn close_when(&self, when: CloseWhen) {
        if self.lifecycle.get() != Lifecycle::InputEnded {
            self.lifecycle.set(Lifecycle::Closing(when));
        }
        self.wake.notify_one();
    }

    /// Whether the connection is to be closed now.
    pub(super) fn should_close(&self) -> bool {
        let is_due = match self.lifecycle.get() {
            Lifecycle::Open | Lifecycle::InputEnded => false,
            Lifecycle::Closing(CloseWhen::NoRequestPending) => self.is_idle(),
            Lifecycle::Closing(CloseWhen::NoCommandPartial) => {
                self.is_idle() && self.input.get() == InputState::BetweenCommands
            }
        };
        // A request that has arrived is served. Closing over it would also discard the last response.
        is_due && !self.socket.has_unread_input()
    }

    /// Whether the client is to be notified that no complete command arrived in time.
    pub(super) fn has_timed_out(&self) -> bool {
        self.input.get() == InputState::TimedOut
            && self.is_idle()
            && !self.socket.has_unread_input()
    }

    /// Applies the timeouts. `idle_timeout` is how long the connection may pause between commands.
    pub(super) fn expire(&self, now: Instant, idle_timeout: Duration) {
        let exceeds =
            |since: Instant, limit: Duration| now.saturating_duration_since(since) > limit;
        if self.responses.borrow().is_stalled(now, REQUEST_TIMEOUT) {
            self.fail();
            self.wake.notify_one();
            return;
        }
        if !self.is_idle() {
            return;
        }
        let inactive_since = self.last_active.get();
        let first_command_is_late =
            !self.has_sent_command.get() && exceeds(inactive_since, REQUEST_TIMEOUT);
        let command_is_late = match self.input.get() {
            InputState::BetweenCommands => first_command_is_late,
            InputState::PartialCommand { since } => {
                first_command_is_late || exceeds(since, REQUEST_TIMEOUT)
            }
            InputState::TimedOut => true,
        };
        if command_is_late {
            self.input.set(InputState::TimedOut);
            self.wake.notify_one();
        } else if self.input.get() == InputState::BetweenCommands
            && exceeds(inactive_since, idle_timeout)
        {
            self.close_when(CloseWhen::NoRequestPending);
        }
    }

    /// Whether the client has disconnected, as far as is known now, also when the runtime has not seen it yet.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        self.socket.is_disconnected()
    }

    /// The socket.
    pub(super) fn socket(&self) -> &ClientSocket {
        &self.socket
    }

    /// Reads what has arrived, and records the end of the input.
    pub(super) fn read(&self, received: &mut Vec<u8>) -> io::Result<()> {
        if self.socket.read(received, ALWAYS_ALLOWED_BYTES)? == ReadOutcome::InputEnded {
            self.lifecycle.set(Lifecycle::InputEnded);
        }
        Ok(())
    }

    /// Waits until the task is woken.
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }
}
