//! The state of a client's connection: what is received, what is sent, and whether the gateway wants to close it.
//!
//! The two directions of a TCP connection end independently of each other, so each has states of its own. All
//! transitions are here, and none of them does input or output. The connection's task asks for the [`ConnectionStep`].
//!
//! Input, [`ConnectionState`]:
//!
//! | state | part of a command | whole command | end of the input | timeout check while idle |
//! | --- | --- | --- | --- | --- |
//! | `BetweenCommands` | `ReceivingCommand` | stays | `Ended` | `TimedOut` if the first command is late; closing if idle for too long |
//! | `ReceivingCommand` | stays | `BetweenCommands` | `Ended` | `TimedOut` if the command is late |
//! | `TimedOut` | stays | `BetweenCommands` | `Ended` | stays |
//! | `Ended` | stays | stays | stays | stays |
//!
//! Output, [`OutputState`]:
//!
//! | state | socket takes everything | socket takes a part | socket takes nothing | error, too much unread, or stalled |
//! | --- | --- | --- | --- | --- |
//! | `Writable` | stays | `Blocked` | `Blocked` | `Failed` |
//! | `Blocked` | `Writable` | `Blocked`, counted from now | stays | `Failed` |
//! | `Failed` | stays | stays | stays | stays |
//!
//! What the task does next:
//!
//! | input | output | closing | next step |
//! | --- | --- | --- | --- |
//! | any | `Failed` | any | end |
//! | `Ended` | not `Failed` | any | start what was received before the end, then end |
//! | `TimedOut` | idle | any | [`ConnectionStep::RejectLateCommand`] |
//! | any | idle | [`CloseWhen::NoRequestPending`] | [`ConnectionStep::Close`] |
//! | `BetweenCommands` | idle | [`CloseWhen::NoCommandPartial`] | [`ConnectionStep::Close`] |
//! | otherwise | | | [`ConnectionStep::Wait`] |

use super::connection::REQUEST_TIMEOUT;
use std::time::{Duration, Instant};

/// When the gateway closes a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseWhen {
    /// As soon as every request is answered.
    NoRequestPending,
    /// As soon as every request is answered and no part of a command is received.
    NoCommandPartial,
}

/// What the task of a connection does once it has started every command that it may.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionStep {
    /// It waits for input, for an answer, or for the socket.
    Wait,
    /// It closes the connection.
    Close,
    /// It notifies the client that no whole command arrived in time, and closes the connection.
    RejectLateCommand,
}

/// What the task of a connection waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Awaited {
    /// Input. An answer alone gives it nothing to do.
    Input,
    /// An answer: no further command may be started before.
    Answer,
}

/// What was received since the last whole command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum InputState {
    /// Nothing.
    BetweenCommands,
    /// A part of a command.
    ReceivingCommand { since: Instant },
    /// No whole command within [`REQUEST_TIMEOUT`].
    TimedOut,
    /// The end of the input: the client has disconnected.
    Ended,
}

/// The state of a connection but for its output.
pub(super) struct ConnectionState {
    input: InputState,
    /// Whether the gateway wants to close the connection, and when it may.
    close: Option<CloseWhen>,
    /// Whether a whole command was ever received.
    has_sent_command: bool,
    /// When the connection was accepted, or last received a command or an answer.
    last_active: Instant,
    awaited: Awaited,
}

impl ConnectionState {
    /// The state of a connection that was accepted just now. `close` is given when all connections are being closed.
    pub(super) fn new(close: Option<CloseWhen>) -> ConnectionState {
        ConnectionState {
            input: InputState::BetweenCommands,
            close,
            has_sent_command: false,
            last_active: Instant::now(),
            awaited: Awaited::Input,
        }
    }

    // Transitions.

    /// The input ends in a part of a command.
    ///
    /// The time for the command runs from its first byte, so that a client cannot hold a connection by sending a byte
    /// now and then. It is not cancelled by further bytes, and a connection that has timed out stays so.
    pub(super) fn part_received(&mut self) {
        if self.input == InputState::BetweenCommands {
            self.input = InputState::ReceivingCommand {
                since: Instant::now(),
            };
        }
    }

    /// Whole commands were received and started.
    ///
    /// This also cancels a timeout that the client has not been notified of: a command that arrived as its time was up
    /// is answered (test `command_that_arrived_before_the_request_timeout_is_answered`). After the end of the input
    /// there is no next command, so the end stays known.
    pub(super) fn command_received(&mut self) {
        if self.input != InputState::Ended {
            self.input = InputState::BetweenCommands;
        }
        self.has_sent_command = true;
        self.last_active = Instant::now();
    }

    /// A request was answered. The pause that the idle timeout limits begins anew.
    pub(super) fn answered(&mut self) {
        self.last_active = Instant::now();
    }

    /// The end of the input was read.
    ///
    /// The protocol takes it for a disconnect: nobody reads the answers, so no request may be started any more. Commands
    /// that were received before are still parsed, because those that are no requests are answered (test
    /// `ping_that_arrives_together_with_a_half_close_is_answered`).
    pub(super) fn input_ended(&mut self) {
        self.input = InputState::Ended;
    }

    /// The gateway wants to close the connection. A later wish replaces an earlier one.
    ///
    /// Nothing is closed yet: a request that was received is answered first, and on a shutdown also one of which a part
    /// was received (test `partial_command_at_shutdown_is_completed_and_answered`).
    pub(super) fn close_when(&mut self, when: CloseWhen) {
        self.close = Some(when);
    }

    /// Applies the timeouts to a connection on which every request is answered and every response delivered. Returns
    /// whether the task has something to do because of that.
    ///
    /// The protocol gives the first command, and each command that has begun to arrive, [`REQUEST_TIMEOUT`]; the client
    /// is notified when it is late. A pause between commands may last for `idle_timeout`, and ends without a message.
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
            InputState::TimedOut => true,
            InputState::Ended => return false,
        };
        let is_idle_too_long =
            self.input == InputState::BetweenCommands && exceeds(self.last_active, idle_timeout);
        if is_command_late {
            self.input = InputState::TimedOut;
        } else if is_idle_too_long {
            self.close_when(CloseWhen::NoRequestPending);
        }
        is_command_late || is_idle_too_long
    }

    /// The task waits for something else from now on.
    pub(super) fn set_awaited(&mut self, awaited: Awaited) {
        self.awaited = awaited;
    }

    // Queries.

    /// What the task does next. `is_idle` says whether every request is answered and every response delivered.
    ///
    /// The caller must not end the connection over unread input, which only the socket knows of.
    pub(super) fn next_step(&self, is_idle: bool) -> ConnectionStep {
        let is_between_commands = self.input == InputState::BetweenCommands;
        match (self.input, self.close) {
            _ if !is_idle => ConnectionStep::Wait,
            (InputState::TimedOut, _) => ConnectionStep::RejectLateCommand,
            (InputState::Ended, _) | (_, None) => ConnectionStep::Wait,
            (_, Some(CloseWhen::NoRequestPending)) => ConnectionStep::Close,
            (_, Some(CloseWhen::NoCommandPartial)) if is_between_commands => ConnectionStep::Close,
            (_, Some(CloseWhen::NoCommandPartial)) => ConnectionStep::Wait,
        }
    }

    /// Whether the gateway closes the connection at the next opportunity. After the end of the input there is nothing
    /// left that it could close in order.
    pub(super) fn is_closing(&self) -> bool {
        self.close.is_some() && !self.has_input_ended()
    }

    /// Whether the end of the input was read.
    pub(super) fn has_input_ended(&self) -> bool {
        self.input == InputState::Ended
    }

    /// Whether a whole command was ever received.
    pub(super) fn has_sent_command(&self) -> bool {
        self.has_sent_command
    }

    /// When the connection was accepted, or last received a command or an answer.
    pub(super) fn last_active(&self) -> Instant {
        self.last_active
    }

    /// Whether the task waits for an answer rather than for input.
    pub(super) fn waits_for_answer(&self) -> bool {
        self.awaited == Awaited::Answer
    }
}

/// Whether the socket accepts what is written.
#[derive(Clone, Copy)]
pub(super) enum OutputState {
    /// Everything was accepted.
    Writable,
    /// Some bytes were not accepted. The last ones that were, or the first that were not, date from `since`.
    Blocked { since: Instant },
    /// No response can be delivered any more.
    Failed,
}

impl OutputState {
    /// The socket has accepted everything.
    pub(super) fn accepted_everything(&mut self) {
        if !self.has_failed() {
            *self = OutputState::Writable;
        }
    }

    /// The socket has accepted a part. The client reads, if slowly, so that its time begins anew.
    pub(super) fn accepted_part(&mut self) {
        if !self.has_failed() {
            *self = OutputState::Blocked {
                since: Instant::now(),
            };
        }
    }

    /// Some bytes wait for the socket. The time of a client that has not read before goes on.
    pub(super) fn blocked(&mut self) {
        if matches!(self, OutputState::Writable) {
            *self = OutputState::Blocked {
                since: Instant::now(),
            };
        }
    }

    /// The socket is broken, the client has left too much unread or nothing read for too long, or it has disconnected
    /// before a request in its order. Responses leave in the order of their requests, so that none can be left out: the
    /// connection cannot go on.
    pub(super) fn fail(&mut self) {
        *self = OutputState::Failed;
    }

    /// Whether no response can be delivered any more.
    pub(super) fn has_failed(self) -> bool {
        matches!(self, OutputState::Failed)
    }

    /// Whether the socket has accepted nothing for longer than `limit`.
    pub(super) fn is_stalled(self, now: Instant, limit: Duration) -> bool {
        matches!(self, OutputState::Blocked { since } if now.saturating_duration_since(since) > limit)
    }
}
