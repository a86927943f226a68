//! The log of the gateway process: one line on standard error for each event.
//!
//! A line reads `marlshelf-gateway: NAME KEY=VALUE ...: SENTENCE`. The name and the keys are constant, so that an
//! operator can search and count them; the sentence says what happened and what the gateway does now. Nothing is
//! logged for single requests, apart from a request that the gateway failed to answer in time.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The name of the program, with which each line begins.
const PROGRAM: &str = "marlshelf-gateway";

/// Something that the log records. Errors are known here only by their texts, so that every module may log.
pub enum LogEvent<'a> {
    /// The process cannot start, and ends.
    StartupFailed {
        /// What was wrong.
        error: &'a dyn Error,
    },
    /// An address is in use, and the gateway waits until it is free.
    AddressInUse {
        /// What the address is for.
        purpose: &'a dyn Display,
        /// The address.
        address: SocketAddr,
        /// How long the gateway waits at most.
        timeout: Duration,
    },
    /// The gateway accepts clients from now on.
    Serving {
        /// The name of the gateway.
        gateway: &'a str,
        /// The address at which it listens.
        address: SocketAddr,
    },
    /// A signal has asked the gateway to end, and the graceful shutdown begins.
    ShutdownStarted {
        /// The name of the gateway.
        gateway: &'a str,
    },
    /// The accept grace period of the graceful shutdown is over.
    ListenerClosing {
        /// The name of the gateway.
        gateway: &'a str,
    },
    /// The configuration was read again on SIGHUP.
    ConfigurationReloaded {
        /// The address of discovery from now on.
        discovery: SocketAddr,
    },
    /// The configuration could not be read on SIGHUP, and the one in use stays.
    ConfigurationReloadFailed {
        /// What was wrong.
        error: &'a dyn Error,
    },
    /// A call to discovery failed, and the gateway calls again.
    DiscoveryFailed {
        /// The address of discovery.
        address: SocketAddr,
        /// What went wrong.
        error: &'a dyn Error,
    },
    /// A connection of a client could not be accepted.
    AcceptFailed {
        /// The error of the operating system.
        error: &'a io::Error,
    },
    /// Endpoints sent responses that could not be read since the last line about it.
    MalformedResponses {
        /// How many responses there were.
        count: u32,
        /// The endpoint that sent the last of them.
        last_endpoint: &'a str,
        /// What was wrong with the last of them.
        last_error: &'a dyn Error,
    },
    /// The gateway failed to answer a request by the client's deadline.
    RequestOverdue,
}

/// Writes one line about the event to standard error.
pub fn event(event: &LogEvent<'_>) {
    // Formatted first, so that the line is one write and lines of several processes do not mix.
    let line = format!("{event}\n");
    eprint!("{line}");
}

impl LogEvent<'_> {
    /// The constant name of the event.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            LogEvent::StartupFailed { .. } => "startup_failed",
            LogEvent::AddressInUse { .. } => "address_in_use",
            LogEvent::Serving { .. } => "serving",
            LogEvent::ShutdownStarted { .. } => "shutdown_started",
            LogEvent::ListenerClosing { .. } => "listener_closing",
            LogEvent::ConfigurationReloaded { .. } => "configuration_reloaded",
            LogEvent::ConfigurationReloadFailed { .. } => "configuration_reload_failed",
            LogEvent::DiscoveryFailed { .. } => "discovery_failed",
            LogEvent::AcceptFailed { .. } => "accept_failed",
            LogEvent::MalformedResponses { .. } => "malformed_responses",
            LogEvent::RequestOverdue => "request_overdue",
        }
    }

    /// Writes the fields, each with a space before it.
    fn write_fields(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::AddressInUse { address, .. } | LogEvent::DiscoveryFailed { address, .. } => {
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
            LogEvent::StartupFailed { .. }
            | LogEvent::ConfigurationReloadFailed { .. }
            | LogEvent::AcceptFailed { .. }
            | LogEvent::RequestOverdue => Ok(()),
        }
    }

    /// Writes what happened and what the gateway does now. Tests and deployment tools look for the texts
    /// "serves at ADDRESS" at the end of a line, "stops", and "lets nobody new in".
    fn write_sentence(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::StartupFailed { error } => write!(formatter, "{error}"),
            LogEvent::AddressInUse {
                purpose,
                address,
                timeout,
            } => write!(
                formatter,
                "cannot {purpose} yet: {address} is in use; retrying for up to {} s",
                timeout.as_secs()
            ),
            LogEvent::Serving { gateway, address } => {
                write!(formatter, "{gateway} serves at {address}")
            }
            LogEvent::ShutdownStarted { gateway } => write!(formatter, "{gateway} stops"),
            LogEvent::ListenerClosing { gateway } => {
                write!(formatter, "{gateway} lets nobody new in")
            }
            LogEvent::ConfigurationReloaded { discovery } => {
                write!(
                    formatter,
                    "configuration reloaded; discovery at {discovery}"
                )
            }
            LogEvent::ConfigurationReloadFailed { error } => {
                write!(formatter, "keeping the current configuration: {error}")
            }
            LogEvent::DiscoveryFailed { address, error } => {
                write!(
                    formatter,
                    "call to discovery at {address} failed: {error}; retrying"
                )
            }
            LogEvent::AcceptFailed { error } => write!(
                formatter,
                "cannot accept a connection: {error}; closing an idle connection and retrying"
            ),
            LogEvent::MalformedResponses {
                count,
                last_endpoint,
                last_error,
            } => write!(
                formatter,
                "{count} malformed responses, the last from {last_endpoint}: {last_error}"
            ),
            LogEvent::RequestOverdue => {
                formatter.write_str("a request was not answered by its deadline and fails")
            }
        }
    }
}

impl Display for LogEvent<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{PROGRAM}: {}", self.name())?;
        self.write_fields(formatter)?;
        formatter.write_str(": ")?;
        self.write_sentence(formatter)
    }
}
