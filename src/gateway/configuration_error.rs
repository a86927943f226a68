//! Why a configuration cannot be used.

use crate::SettingsError;
use std::fmt;
use std::io;
use std::num::ParseIntError;
use thiserror::Error;

/// The environment variable that names the configuration file.
pub const CONFIG_FILE_VARIABLE: &str = "GW_CONFIG";

/// Why the configuration cannot be used. Each message is one line.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The variable that names the file is absent or not Unicode.
    #[error("{CONFIG_FILE_VARIABLE} must be set to the path of the configuration file")]
    NoFileNamed,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not JSON, or a key in it is missing or has the wrong type.
    #[error("{path}: {source}")]
    Malformed {
        /// The path of the file.
        path: String,
        /// The error with the key and the position in the file.
        source: serde_json::Error,
    },
    /// The settings hold a value that the decision engine cannot use.
    #[error("{path}: {source}")]
    Settings {
        /// The path of the file.
        path: String,
        /// What is wrong with the settings.
        source: SettingsError,
    },
    /// The number of this gateway is not below the number of gateways.
    #[error(
        "{path}: settings: Me is {gateway}, expected less than the number of gateways, {gateway_count}"
    )]
    GatewayNumber {
        /// The path of the file.
        path: String,
        /// The number of this gateway.
        gateway: u32,
        /// The number of gateways of the tier.
        gateway_count: u32,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("{path}: seed: {text:?} is not a hexadecimal number: {source}")]
    Seed {
        /// The path of the file.
        path: String,
        /// The text in its place.
        text: String,
        /// What is wrong with the text.
        source: ParseIntError,
    },
    /// A value is not an address with a port.
    #[error("{origin}: {key}: {text:?} is not an address and port")]
    Address {
        /// Where the value was found.
        origin: ConfigurationSource,
        /// The key of the configuration that the value is for.
        key: &'static str,
        /// The value.
        text: String,
    },
}

/// Where a value of the configuration was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// In the file at this path.
    File(String),
    /// In the environment variable of this name.
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
