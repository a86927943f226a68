//! Errors that prevent a gateway from starting.

use crate::SettingsError;
use crate::gateway::bind::BindError;
use crate::gateway::configuration::ConfigurationError;
use std::io;
use thiserror::Error;

/// A fatal error during startup. The process logs it and exits with code 1.
#[derive(Debug, Error)]
pub enum StartupError {
    /// Building the Tokio runtime failed.
    #[error("cannot create the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// Registering a signal handler failed.
    #[error("cannot register a handler for {name}: {source}")]
    Signal {
        /// The name of the signal, such as `SIGHUP`.
        name: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// The configuration is missing or invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// A listening address could not be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The decision engine rejected the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
