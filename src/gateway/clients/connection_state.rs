//! State machine of a client connection: its input, its output, and a pending close by the gateway.
//!
//! The two directions of a TCP connection end independently, so each has its own states. All transitions
//! are in this module, and none performs I/O. The connection task queries the next [`ConnectionStep`].
//!
//! Input, [`InputState`]:
//!
//! | state | partial command | complete command | end of input | timeout check while idle | eviction |
//! | --- | --- | --- | --- | --- | --- |
//! | `BetweenCommands` | `ReceivingCommand` | unchanged | `Ended` | `GivenUp` or close, see `expire` | close |
//! | `ReceivingCommand` | unchanged | `BetweenCommands` | `Ended` | `GivenUp` if the command is late | `GivenUp` if it is the first command |
//! | `GivenUp` | unchanged | `BetweenCommands` | `Ended` | unchanged | unchanged |
//! | `Ended` | unchanged | unchanged | unchanged | unchanged | unchanged |
//!
//! Output, [`OutputState`]:
//!
//! | state | all bytes accepted | some bytes accepted | no bytes accepted | error, no memory, stalled |
//! | --- | --- | --- | --- | --- |
//! | `Writable` | unchanged | `Blocked` | `Blocked` | `Failed` |
//! | `Blocked` | `Writable` | `Blocked` since now | unchanged | `Failed` |
//! | `Failed` | unchanged | unchanged | unchanged | unchanged |
//!
//! Next step of the task. "Idle" means that every request is answered and every response is delivered:
//!
//! | input | output | close requested | next step |
//! | --- | --- | --- | --- |
//! | any | `Failed` | any | end the task |
//! | `Ended` | not `Failed` | any | process the commands received before the end, then end the task |
//! | `GivenUp` | idle | any | [`ConnectionStep::Reject`] |
//! | `BetweenCommands` | idle | yes | [`ConnectionStep::Close`] |
//! | otherwise | | | [`ConnectionStep::Wait`] |
//!
//! So a client whose command was read in part always gets an answer: to the command, or an error if its rest
//! does not come.

use super::close_reason::OutputFailure;
use super::connection::REQUEST_TIMEOUT;
use super::connection_error::ConnectionError;
use std::time::{Duration, Instant};

/// What the connection task does once it has processed all the input that it may process for now.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionStep {
    /// Wait for input, for a response, or for the socket to become writable.
    Wait,
    Close,
    /// Send the client an error and close the connection.
    Reject(ConnectionError),
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AwaitedEvent {
    /// Further input. A response alone does not wake the task.
    Input,
    /// A response. No further command may be processed until it is given.
    Response,
}

/// The input received since the last complete command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum InputState {
    /// No input since the last complete command.
    BetweenCommands,
    /// Part of a command, whose first byte arrived at `since`.
    ReceivingCommand { since: Instant },
    /// The rest of a command is not waited for any longer.
    GivenUp { error: ConnectionError },
    /// The end of the input was read: the client has disconnected.
    Ended,
}

/// State of a connection, except for its output.
pub(super) struct ConnectionState {
    input: InputState,
    /// Whether to close the connection as soon as it is between requests.
    is_close_requested: bool,
    /// Whether the client has sent at least one complete command.
    has_sent_command: bool,
    /// Time of the last command or response, or of the accept if there was none.
    last_active: Instant,
    awaited: AwaitedEvent,
}

impl ConnectionState {
    /// Creates the state of a newly accepted connection. `is_close_requested` is set if all connections are
    /// being closed.
    pub(super) fn new(is_close_requested: bool) -> ConnectionState {
        ConnectionState {
            input: InputState::BetweenCommands,
            is_close_requested,
            has_sent_command: false,
            last_active: Instant::now(),
            awaited: AwaitedEvent::Input,
        }
    }

    // Transitions.

    /// Records that the input ends with a partial command.
    ///
    /// The timeout starts at the first byte of the command, so a client cannot hold a connection open by
    /// sending a byte now and then. Further bytes neither extend nor cancel it.
    pub(super) fn partial_command_received(&mut self) {
        if self.input == InputState::BetweenCommands {
            self.input = InputState::ReceivingCommand {
                since: Instant::now(),
            };
        }
    }

    /// Records that complete commands were received and processed.
    ///
    /// This also cancels a timeout that was not yet reported to the client: a command that arrived just
    /// as the timeout expired is answered (test
    /// `command_that_arrived_before_the_request_timeout_is_answered`). It does not cancel the end of the
    /// input, after which no command can follow.
    pub(super) fn command_received(&mut self) {
        if self.input != InputState::Ended {
            self.input = InputState::BetweenCommands;
        }
        self.has_sent_command = true;
        self.last_active = Instant::now();
    }

    /// Records that a request was answered, which restarts the idle timeout.
    pub(super) fn request_answered(&mut self) {
        self.last_active = Instant::now();
    }

    /// Records the end of the input.
    ///
    /// The protocol treats a half-close as a disconnect. Nobody reads the responses, so no further
    /// request may be processed. Commands received earlier are still parsed, because those that are not
    /// requests are answered (test `ping_that_arrives_together_with_a_half_close_is_answered`).
    pub(super) fn input_ended(&mut self) {
        self.input = InputState::Ended;
    }

    /// Requests that the connection be closed once it is between requests.
    ///
    /// Received requests are answered before the close, and so is a request of which only a part has been
    /// received (tests `partial_command_at_shutdown_is_completed_and_answered`,
    /// `connection_that_has_received_a_part_of_a_command_is_not_evicted`).
    pub(super) fn request_close(&mut self) {
        self.is_close_requested = true;
    }

    /// Stops waiting for the rest of a command, to make room for other connections.
    pub(super) fn give_up_command(&mut self) {
        self.input = InputState::GivenUp {
            error: ConnectionError::TableFull,
        };
    }

    /// Applies the timeouts to an idle connection: every request is answered and every response
    /// delivered. Returns whether the task has to act on an expired timeout.
    ///
    /// The first command of a connection, and each partially received command, must be complete within
    /// [`REQUEST_TIMEOUT`]; the client is sent an error otherwise. A connection may be idle between
    /// commands for `idle_timeout` and is then closed without a message.
    pub(super) fn expire(&mut self, now: Instant, idle_timeout: Duration) -> bool {
        let exceeds =
            |since: Instant, limit: Duration| now.saturating_duration_since(since) > limit;
        let is_first_command_late =
            !self.has_sent_command && exceeds(self.last_active, REQUEST_TIMEOUT);
        let is_command_late = match self.input {
            InputState::BetweenCommands => is_first_command_late,
            InputState::ReceivingCommand { since } => {
                is_first_command_late || exceeds(since, REQUEST_TIMEOUT)
            }
            InputState::GivenUp { .. } => true,
            InputState::Ended => return false,
        };
        let is_idle_too_long =
            self.input == InputState::BetweenCommands && exceeds(self.last_active, idle_timeout);
        if is_command_late {
            self.input = InputState::GivenUp {
                error: ConnectionError::RequestTimeout,
            };
        } else if is_idle_too_long {
            self.request_close();
        }
        is_command_late || is_idle_too_long
    }

    pub(super) fn set_awaited_event(&mut self, awaited: AwaitedEvent) {
        self.awaited = awaited;
    }

    // Queries.

    /// Returns the next step of the task. `is_idle` is whether every request is answered and every response
    /// delivered.
    ///
    /// The caller must check the socket for unread input before it closes the connection.
    pub(super) fn next_step(&self, is_idle: bool) -> ConnectionStep {
        match self.input {
            _ if !is_idle => ConnectionStep::Wait,
            InputState::GivenUp { error } => ConnectionStep::Reject(error),
            InputState::BetweenCommands if self.is_close_requested => ConnectionStep::Close,
            InputState::BetweenCommands
            | InputState::ReceivingCommand { .. }
            | InputState::Ended => ConnectionStep::Wait,
        }
    }

    /// Whether a part of the connection's first command has been received.
    pub(super) fn is_receiving_first_command(&self) -> bool {
        !self.has_sent_command && matches!(self.input, InputState::ReceivingCommand { .. })
    }

    /// Whether no part of a command has been received since the last complete one.
    pub(super) fn is_between_commands(&self) -> bool {
        self.input == InputState::BetweenCommands
    }

    /// Whether the gateway will close the connection. False after the end of the input, when an orderly
    /// close is no longer possible.
    pub(super) fn is_closing(&self) -> bool {
        self.is_close_requested && !self.has_input_ended()
    }

    pub(super) fn has_input_ended(&self) -> bool {
        self.input == InputState::Ended
    }

    pub(super) fn has_sent_command(&self) -> bool {
        self.has_sent_command
    }

    pub(super) fn last_active(&self) -> Instant {
        self.last_active
    }

    pub(super) fn awaits_response(&self) -> bool {
        self.awaited == AwaitedEvent::Response
    }
}

/// Whether the socket accepts output.
#[derive(Clone, Copy)]
pub(super) enum OutputState {
    /// All output was accepted.
    Writable,
    /// Some bytes were not accepted. `since` is the time of the last progress, or of the first rejected
    /// write.
    Blocked { since: Instant },
    /// No further response can be delivered.
    Failed(OutputFailure),
}

impl OutputState {
    pub(super) fn accepted_everything(&mut self) {
        if !self.has_failed() {
            *self = OutputState::Writable;
        }
    }

    /// Records that the socket accepted some bytes. The client is reading, if slowly, so the stall
    /// timeout restarts.
    pub(super) fn accepted_part(&mut self) {
        if !self.has_failed() {
            *self = OutputState::Blocked {
                since: Instant::now(),
            };
        }
    }

    /// Records that bytes are waiting for the socket. Does not restart the stall timeout of a blocked
    /// output.
    pub(super) fn blocked(&mut self) {
        if matches!(self, OutputState::Writable) {
            *self = OutputState::Blocked {
                since: Instant::now(),
            };
        }
    }

    /// Marks the output as failed, unless it has failed already. Responses are sent in request order and none
    /// can be skipped, so the connection cannot continue.
    pub(super) fn fail(&mut self, failure: OutputFailure) {
        if !self.has_failed() {
            *self = OutputState::Failed(failure);
        }
    }

    pub(super) fn has_failed(self) -> bool {
        self.failure().is_some()
    }

    /// Why the output has failed, if it has.
    pub(super) fn failure(self) -> Option<OutputFailure> {
        match self {
            OutputState::Failed(failure) => Some(failure),
            OutputState::Writable | OutputState::Blocked { .. } => None,
        }
    }

    /// Whether the socket has accepted no bytes for longer than `limit`.
    pub(super) fn is_stalled(self, now: Instant, limit: Duration) -> bool {
        matches!(self, OutputState::Blocked { since } if now.saturating_duration_since(since) > limit)
    }
}
