//! The event log of the gateway process, one line on standard error per event.
//!
//! The line format is `marlshelf-gateway: NAME KEY=VALUE ...: SENTENCE`. Event names and keys are stable, so
//! operators can search for and count them. The sentence describes the event and how the gateway reacts to
//! it. Of the events about individual requests and client connections, [`TrafficEvent`], only some examples are
//! logged for each reason.
//!
//! Logging never waits and never fails: [`start_output`] starts a thread that writes the lines, and lines that
//! standard error does not take are dropped and counted.

mod examples;
mod line_queue;
mod line_writer;
mod output;
mod traffic;

pub use line_queue::{LineQueue, QueuedLine};
pub use line_writer::LineWriter;
pub use output::{flush, start as start_output};
pub use traffic::{LoggedRequest, RequestStage, TrafficEvent};

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

const PROGRAM: &str = "marlshelf-gateway";

/// A loggable event with its fields. Errors are trait objects, so this module depends on no other module of
/// the gateway and all of them can log.
pub enum LogEvent<'a> {
    /// Startup failed, and the process exits.
    StartupFailed {
        /// The cause, which becomes the sentence of the line.
        error: &'a dyn Error,
    },
    /// A thread or task has panicked, and the process exits.
    Panicked {
        /// The place in the source.
        location: &'a dyn Display,
        /// The message of the panic.
        message: &'a str,
    },
    /// Lines were dropped, because standard error did not take them, and it takes lines again.
    LogLinesDropped {
        /// The number of lines that were dropped since the previous event of this kind.
        count: u64,
    },
    /// A listening address is in use by another process, and the gateway retries until it is free.
    AddressInUse {
        /// What the socket is needed for, as the verb phrase after "cannot".
        purpose: &'a dyn Display,
        /// The address that is in use.
        address: SocketAddr,
        /// The time limit on the retries.
        timeout: Duration,
    },
    /// The system lacks a resource for a listening socket, and the gateway retries.
    BindDelayed {
        /// What the socket is needed for, as the verb phrase after "cannot".
        purpose: &'a dyn Display,
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        error: &'a io::Error,
    },
    /// Startup is complete, and the gateway begins to accept clients.
    Serving {
        /// The configured name of the gateway.
        gateway: &'a str,
        /// The client listen address, with the actual port.
        address: SocketAddr,
    },
    /// SIGTERM or SIGINT arrived, and the graceful shutdown begins.
    ShutdownStarted {
        /// The configured name of the gateway.
        gateway: &'a str,
    },
    /// The accept grace period of the graceful shutdown has ended, and the listener is about to close.
    ListenerClosing {
        /// The configured name of the gateway.
        gateway: &'a str,
    },
    /// SIGHUP arrived, and the configuration was reloaded.
    ConfigurationReloaded {
        /// The discovery address after the reload, whether or not it has changed.
        discovery: SocketAddr,
    },
    /// SIGHUP arrived, but the configuration file is invalid. The gateway keeps the configuration in use.
    ConfigurationReloadFailed {
        /// The cause.
        error: &'a dyn Error,
    },
    /// A call to discovery failed, and the gateway retries. Logged once per outage.
    DiscoveryFailed {
        /// The discovery address.
        address: SocketAddr,
        /// The cause of the first failure of the outage.
        error: &'a dyn Error,
    },
    /// A client connection could not be accepted.
    AcceptFailed {
        /// The operating system's error.
        error: &'a io::Error,
    },
    /// Endpoints have sent malformed responses since the previous event of this kind.
    MalformedResponses {
        /// The number of malformed responses since then.
        count: u32,
        /// The endpoint that sent the most recent one.
        last_endpoint: &'a str,
        /// The parse error of the most recent one.
        last_error: &'a dyn Error,
    },
    /// Responses were discarded for lack of memory since the previous event of this kind, and their requests
    /// failed.
    ResponsesDiscarded {
        /// The number of responses.
        count: u32,
    },
    /// The state of tenants was dropped to make room for others since the previous event of this kind.
    TenantsDisplaced {
        /// The number of tenants whose state was dropped.
        count: u64,
        /// The number of tenants whose state is kept.
        known: usize,
    },
    /// The counters of the process since its start.
    Counters {
        /// The counters in the form ` NAME=VALUE`.
        counters: &'a str,
    },
}

/// Logs an event.
pub fn event(event: &LogEvent<'_>) {
    write_line(event);
}

/// Logs an event that may be frequent, unless enough examples with the same reason were logged recently.
pub fn example(event: &TrafficEvent<'_>) {
    if examples::may_log(event.name(), event.reason()) {
        write_line(event);
    }
}

/// Hands the line of an event to the output.
fn write_line(event: &dyn Display) {
    tracing::info!("{event}");
}

impl LogEvent<'_> {
    /// Returns the stable name of the event, for searching the log.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            LogEvent::StartupFailed { .. } => "startup_failed",
            LogEvent::Panicked { .. } => "panicked",
            LogEvent::LogLinesDropped { .. } => "log_lines_dropped",
            LogEvent::AddressInUse { .. } => "address_in_use",
            LogEvent::BindDelayed { .. } => "bind_delayed",
            LogEvent::Serving { .. } => "serving",
            LogEvent::ShutdownStarted { .. } => "shutdown_started",
            LogEvent::ListenerClosing { .. } => "listener_closing",
            LogEvent::ConfigurationReloaded { .. } => "configuration_reloaded",
            LogEvent::ConfigurationReloadFailed { .. } => "configuration_reload_failed",
            LogEvent::DiscoveryFailed { .. } => "discovery_failed",
            LogEvent::AcceptFailed { .. } => "accept_failed",
            LogEvent::MalformedResponses { .. } => "malformed_responses",
            LogEvent::ResponsesDiscarded { .. } => "responses_discarded",
            LogEvent::TenantsDisplaced { .. } => "tenants_displaced",
            LogEvent::Counters { .. } => "counters",
        }
    }

    /// Writes the `KEY=VALUE` fields, each with a leading space.
    fn write_fields(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::AddressInUse { address, .. }
            | LogEvent::BindDelayed { address, .. }
            | LogEvent::DiscoveryFailed { address, .. } => {
                write!(formatter, " address={address}")
            }
            LogEvent::Serving { gateway, address } => {
                write!(formatter, " gateway={gateway} address={address}")
            }
            LogEvent::ShutdownStarted { gateway } | LogEvent::ListenerClosing { gateway } => {
                write!(formatter, " gateway={gateway}")
            }
            LogEvent::ConfigurationReloaded { discovery } => {
                write!(formatter, " discovery={discovery}")
            }
            LogEvent::MalformedResponses {
                count,
                last_endpoint,
                ..
            } => write!(formatter, " count={count} last_endpoint={last_endpoint}"),
            LogEvent::Panicked { location, .. } => write!(formatter, " location={location}"),
            LogEvent::LogLinesDropped { count } => write!(formatter, " count={count}"),
            LogEvent::ResponsesDiscarded { count } => write!(formatter, " count={count}"),
            LogEvent::TenantsDisplaced { count, known } => {
                write!(formatter, " count={count} known={known}")
            }
            LogEvent::Counters { counters } => formatter.write_str(counters),
            LogEvent::StartupFailed { .. }
            | LogEvent::ConfigurationReloadFailed { .. }
            | LogEvent::AcceptFailed { .. } => Ok(()),
        }
    }

    /// Writes the sentence. Tests and deployment tools match the texts "serves at ADDRESS" at the end of a
    /// line, "stops" and "lets nobody new in", so these must not change.
    fn write_sentence(&self, line: &mut Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::StartupFailed { error } => write!(line, "{error}"),
            LogEvent::Panicked { message, .. } => write!(line, "{message}; the process exits"),
            LogEvent::LogLinesDropped { count } => {
                write!(line, "standard error did not take {count} lines")
            }
            LogEvent::AddressInUse {
                purpose,
                address,
                timeout,
            } => write!(
                line,
                "cannot {purpose} yet: {address} is in use; retrying for up to {} s",
                timeout.as_secs()
            ),
            LogEvent::BindDelayed {
                purpose,
                address,
                error,
            } => write!(line, "cannot {purpose} at {address} yet: {error}; retrying"),
            LogEvent::Serving { gateway, address } => {
                write!(line, "{gateway} serves at {address}")
            }
            LogEvent::ShutdownStarted { gateway } => write!(line, "{gateway} stops"),
            LogEvent::ListenerClosing { gateway } => {
                write!(line, "{gateway} lets nobody new in")
            }
            LogEvent::ConfigurationReloaded { discovery } => {
                write!(line, "configuration reloaded; discovery at {discovery}")
            }
            LogEvent::ConfigurationReloadFailed { error } => {
                write!(line, "keeping the current configuration: {error}")
            }
            LogEvent::DiscoveryFailed { address, error } => {
                write!(
                    line,
                    "call to discovery at {address} failed: {error}; retrying"
                )
            }
            LogEvent::AcceptFailed { .. }
            | LogEvent::MalformedResponses { .. }
            | LogEvent::ResponsesDiscarded { .. }
            | LogEvent::TenantsDisplaced { .. }
            | LogEvent::Counters { .. } => self.write_traffic_sentence(line),
        }
    }

    /// Writes the sentence of an event that clients or endpoints cause.
    fn write_traffic_sentence(&self, line: &mut Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::AcceptFailed { error } => write!(
                line,
                "cannot accept a connection: {error}; closing an idle connection and retrying"
            ),
            LogEvent::MalformedResponses {
                count,
                last_endpoint,
                last_error,
            } => write!(
                line,
                "{count} malformed responses, the last from {last_endpoint}: {last_error}"
            ),
            LogEvent::ResponsesDiscarded { count } => write!(
                line,
                "no memory for {count} responses that clients could not be sent yet; their requests fail"
            ),
            LogEvent::TenantsDisplaced { count, known } => write!(
                line,
                "dropped the state of {count} tenants for lack of memory, {known} are kept"
            ),
            LogEvent::Counters { .. } => line.write_str("totals since the start"),
            _ => Ok(()),
        }
    }
}

impl Display for LogEvent<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write_name(formatter, self.name())?;
        self.write_fields(formatter)?;
        formatter.write_str(": ")?;
        self.write_sentence(formatter)
    }
}

/// Writes the program and the name of an event, with which its line begins.
fn write_name(formatter: &mut Formatter<'_>, name: &str) -> fmt::Result {
    write!(formatter, "{PROGRAM}: {name}")
}
