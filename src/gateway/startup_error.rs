//! Why a gateway cannot start.

use crate::SettingsError;
use crate::gateway::bind::BindError;
use crate::gateway::configuration::ConfigurationError;
use std::io;
use thiserror::Error;

/// Why the gateway cannot start. The process ends after each of these.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The asynchronous runtime could not be created.
    #[error("cannot create the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be registered.
    #[error("cannot register a handler for {name}: {source}")]
    Signal {
        /// The name of the signal.
        name: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// An address cannot be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The decision engine cannot use the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
