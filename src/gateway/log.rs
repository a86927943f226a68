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
pub enum Event<'a> {
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
pub fn event(event: &Event<'_>) {
    // Formatted first, so that the line is one write and lines of several processes do not mix.
    let line = format!("{event}\n");
    eprint!("{line}");
}

impl Event<'_> {
    /// The constant name of the event.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Event::StartupFailed { .. } => "startup_failed",
            Event::AddressInUse { .. } => "address_in_use",
            Event::Serving { .. } => "serving",
            Event::ShutdownStarted { .. } => "shutdown_started",
            Event::ListenerClosing { .. } => "listener_closing",
            Event::ConfigurationReloaded { .. } => "configuration_reloaded",
            Event::ConfigurationReloadFailed { .. } => "configuration_reload_failed",
            Event::DiscoveryFailed { .. } => "discovery_failed",
            Event::AcceptFailed { .. } => "accept_failed",
            Event::MalformedResponses { .. } => "malformed_responses",
            Event::RequestOverdue => "request_overdue",
        }
    }

    /// Writes the fields, each with a space before it.
    fn write_fields(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Event::AddressInUse { address, .. } | Event::DiscoveryFailed { address, .. } => {
                write!(formatter, " address={address}")
            }
            Event::Serving { gateway, address } => {
                write!(formatter, " gateway={gateway} address={address}")
            }
            Event::ShutdownStarted { gateway } | Event::ListenerClosing { gateway } => {
                write!(formatter, " gateway={gateway}")
            }
            Event::ConfigurationReloaded { discovery } => {
                write!(formatter, " discovery={discovery}")
            }
            Event::MalformedResponses {
                count,
                last_endpoint,
                ..
            } => write!(formatter, " count={count} last_endpoint={last_endpoint}"),
            Event::StartupFailed { .. }
            | Event::ConfigurationReloadFailed { .. }
            | Event::AcceptFailed { .. }
            | Event::RequestOverdue => Ok(()),
        }
    }

    /// Writes what happened and what the gateway does now. Tests and deployment tools look for the texts
    /// "serves at ADDRESS" at the end of a line, "stops", and "lets nobody new in".
    fn write_sentence(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Event::StartupFailed { error } => write!(formatter, "{error}"),
            Event::AddressInUse {
                purpose,
                address,
                timeout,
            } => write!(
                formatter,
                "cannot {purpose} yet: {address} is in use; retrying for up to {} s",
                timeout.as_secs()
            ),
            Event::Serving { gateway, address } => {
                write!(formatter, "{gateway} serves at {address}")
            }
            Event::ShutdownStarted { gateway } => write!(formatter, "{gateway} stops"),
            Event::ListenerClosing { gateway } => {
                write!(formatter, "{gateway} lets nobody new in")
            }
            Event::ConfigurationReloaded { discovery } => {
                write!(
                    formatter,
                    "configuration read again; discovery at {discovery}"
                )
            }
            Event::ConfigurationReloadFailed { error } => {
                write!(formatter, "the configuration in use stays: {error}")
            }
            Event::DiscoveryFailed { address, error } => {
                write!(formatter, "discovery at {address}: {error}; retrying")
            }
            Event::AcceptFailed { error } => write!(
                formatter,
                "cannot accept a connection: {error}; closing an idle one and retrying"
            ),
            Event::MalformedResponses {
                count,
                last_endpoint,
                last_error,
            } => write!(
                formatter,
                "{count} malformed responses, the last from {last_endpoint}: {last_error}"
            ),
            Event::RequestOverdue => {
                formatter.write_str("a request had no answer at its deadline, and fails")
            }
        }
    }
}

impl Display for Event<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{PROGRAM}: {}", self.name())?;
        self.write_fields(formatter)?;
        formatter.write_str(": ")?;
        self.write_sentence(formatter)
    }
}
