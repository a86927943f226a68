//! Errors from reading and validating the configuration.

use crate::SettingsError;
use std::fmt;
use std::io;
use std::num::ParseIntError;
use thiserror::Error;

/// Environment variable with the path of the configuration file.
pub const CONFIG_FILE_VARIABLE: &str = "GW_CONFIG";

/// An error from reading or validating the configuration. Each message is a single line.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// `GW_CONFIG` is unset or not valid Unicode.
    #[error("{CONFIG_FILE_VARIABLE} must be set to the path of the configuration file")]
    MissingPath,
    /// The file does not exist or cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path from `GW_CONFIG`.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is not valid JSON, or a key is missing or has the wrong type.
    #[error("{path}: {source}")]
    Malformed {
        /// The path from `GW_CONFIG`.
        path: String,
        /// The parse error, with the key and the position in the file.
        source: serde_json::Error,
    },
    /// The settings contain a value that the decision engine rejects.
    #[error("{path}: {source}")]
    Settings {
        /// The path from `GW_CONFIG`.
        path: String,
        /// The first error that the validation found.
        source: SettingsError,
    },
    /// The id of this gateway is not less than the number of gateways.
    #[error(
        "{path}: settings: Me is {gateway}, expected less than the number of gateways, {gateway_count}"
    )]
    GatewayIdOutOfRange {
        /// The path from `GW_CONFIG`.
        path: String,
        /// The configured gateway id, which counts from 0.
        gateway: u32,
        /// The configured number of gateways in the tier.
        gateway_count: u32,
    },
    /// The seed is missing or is not a 64-bit hexadecimal number.
    #[error("{path}: seed: {text:?} is not a hexadecimal number: {source}")]
    Seed {
        /// The path from `GW_CONFIG`.
        path: String,
        /// The configured text; empty if the key is missing.
        text: String,
        /// The parse error.
        source: ParseIntError,
    },
    /// A value is not an IP address with a port.
    #[error("{origin}: {key}: {text:?} is not an address and port")]
    Address {
        /// The file or variable that the value was read from.
        origin: ConfigurationSource,
        /// The configuration key that the value was read for.
        key: &'static str,
        /// The configured text.
        text: String,
    },
}

/// The source of a configuration value, as named in error messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// The configuration file at this path.
    File(String),
    /// The environment variable with this name.
    Variable(&'static str),
}

impl fmt::Display for ConfigurationSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationSource::File(path) => formatter.write_str(path),
            ConfigurationSource::Variable(name) => formatter.write_str(name),
        }
    }
}
