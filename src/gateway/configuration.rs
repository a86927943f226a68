//! The configuration of one gateway: the file that `GW_CONFIG` names, and the variables that override it.

pub use crate::gateway::configuration_error::{
    CONFIG_FILE_VARIABLE, ConfigurationError, ConfigurationSource,
};

use crate::gateway::discovery::EndpointUpdate;
use crate::{Settings, SettingsDocument};
use serde::Deserialize;
use std::env;
use std::net::SocketAddr;

/// Overrides the name of the gateway.
pub const NAME_VARIABLE: &str = "GW_NAME";
/// Overrides the address at which clients connect.
pub const LISTEN_VARIABLE: &str = "GW_LISTEN";
/// Overrides the address of discovery, at the start of the process only.
pub const DISCOVERY_VARIABLE: &str = "GW_DISCOVERY";

/// Traffic fills the memory with four kinds of data: incomplete commands, commands in flight, incomplete responses,
/// and responses that clients do not read. Each may take the memory limit divided by this. The rest is for everything
/// else.
const MEMORY_PURPOSE_DIVISOR: usize = 8;
/// The fewest and the most descriptors that the configuration may set.
const MIN_DESCRIPTORS: usize = 64;
const MAX_DESCRIPTORS: usize = 1 << 20;
/// The least and the most memory that the configuration may set, in MiB.
const MIN_MEMORY_MIB: usize = 32;
const MAX_MEMORY_MIB: usize = 1 << 20;
const BYTES_PER_MIB: usize = 1 << 20;

/// The configuration of one gateway.
pub struct Configuration {
    /// The name of the gateway, the same after a restart.
    pub name: String,
    /// The address at which clients connect.
    pub listen_address: SocketAddr,
    /// The address of discovery.
    pub discovery_address: SocketAddr,
    /// The seed of random numbers, new with each start.
    pub seed: u64,
    /// The most file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The most memory that the process may use, in bytes.
    pub max_memory_bytes: usize,
    /// The address at which gossip arrives, if gossip is enabled.
    pub gossip_address: Option<SocketAddr>,
    /// The gossip addresses of all gateways of the tier, by their numbers.
    pub peer_addresses: Vec<SocketAddr>,
    /// The endpoint list as it was last cached.
    pub known_endpoints: Option<EndpointUpdate>,
    /// The settings as they are serialized.
    pub document: SettingsDocument,
    /// The settings that the decision engine needs.
    pub settings: Settings,
}

/// The file as it is serialized.
#[derive(Deserialize)]
struct ConfigurationFile {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: ProcessLimits,
    #[serde(default)]
    peer_listen: String,
    #[serde(default)]
    peers: Vec<String>,
    #[serde(default)]
    known: serde_json::Value,
    settings: SettingsDocument,
}

#[derive(Deserialize)]
#[serde(default)]
struct ProcessLimits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits {
            sockets: 1024,
            memory_mb: 192,
        }
    }
}

/// Which values the environment overrides.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EnvironmentOverrides {
    /// All that have a variable.
    All,
    /// All but the address of discovery. On a reload the file may have been changed since the start, and the
    /// environment cannot have been.
    AllButDiscovery,
}

impl Configuration {
    /// Reads the file that `GW_CONFIG` names. `GW_NAME`, `GW_LISTEN` and `GW_DISCOVERY` override it.
    ///
    /// # Errors
    /// When the configuration cannot be used: see [`ConfigurationError`].
    pub fn read() -> Result<Configuration, ConfigurationError> {
        Self::load(EnvironmentOverrides::All)
    }

    /// Reads the file again. The address of discovery now comes from the file, which may have been changed since
    /// the environment of the process was set.
    ///
    /// # Errors
    /// When the configuration cannot be used: see [`ConfigurationError`].
    pub fn reload() -> Result<Configuration, ConfigurationError> {
        Self::load(EnvironmentOverrides::AllButDiscovery)
    }

    /// How many bytes of memory each of the kinds of data may take that traffic fills it with.
    #[must_use]
    pub fn memory_per_purpose(&self) -> usize {
        self.max_memory_bytes / MEMORY_PURPOSE_DIVISOR
    }

    fn load(overrides: EnvironmentOverrides) -> Result<Configuration, ConfigurationError> {
        let path = env::var(CONFIG_FILE_VARIABLE).map_err(|_| ConfigurationError::NoFileNamed)?;
        let file = read_file(&path)?;
        let settings = checked_settings(&path, &file.settings)?;
        let seed = parse_seed(&path, &file.seed)?;
        let peer_addresses = file
            .peers
            .iter()
            .map(|peer| in_file(&path, "peers", peer).parse())
            .collect::<Result<Vec<_>, _>>()?;
        let gossip_configured = settings.gossip_enabled && !file.peer_listen.is_empty();
        let gossip_address = gossip_configured
            .then(|| in_file(&path, "peer_listen", &file.peer_listen).parse())
            .transpose()?;
        let listen = in_file(&path, "listen", &file.listen).overridden_by(LISTEN_VARIABLE);
        let listen_address = listen.parse()?;
        let discovery = in_file(&path, "discovery", &file.discovery);
        let discovery_address = match overrides {
            EnvironmentOverrides::All => discovery.overridden_by(DISCOVERY_VARIABLE).parse()?,
            EnvironmentOverrides::AllButDiscovery => discovery.parse()?,
        };
        Ok(Configuration {
            name: override_from(NAME_VARIABLE).unwrap_or(file.name),
            listen_address,
            discovery_address,
            seed,
            max_descriptors: file.limits.sockets.clamp(MIN_DESCRIPTORS, MAX_DESCRIPTORS),
            max_memory_bytes: file.limits.memory_mb.clamp(MIN_MEMORY_MIB, MAX_MEMORY_MIB)
                * BYTES_PER_MIB,
            gossip_address,
            peer_addresses,
            // A cached list that cannot be read is as good as none.
            known_endpoints: EndpointUpdate::from_json(&file.known).ok(),
            document: file.settings,
            settings,
        })
    }
}

fn read_file(path: &str) -> Result<ConfigurationFile, ConfigurationError> {
    let text = std::fs::read(path).map_err(|source| ConfigurationError::Unreadable {
        path: path.to_string(),
        source,
    })?;
    serde_json::from_slice(&text).map_err(|source| ConfigurationError::Malformed {
        path: path.to_string(),
        source,
    })
}

fn checked_settings(
    path: &str,
    document: &SettingsDocument,
) -> Result<Settings, ConfigurationError> {
    let settings = document.settings();
    settings
        .validate()
        .map_err(|source| ConfigurationError::Settings {
            path: path.to_string(),
            source,
        })?;
    if settings.gateway.0 >= settings.gateway_count {
        return Err(ConfigurationError::GatewayNumber {
            path: path.to_string(),
            gateway: settings.gateway.0,
            gateway_count: settings.gateway_count,
        });
    }
    Ok(settings)
}

/// The seed must be there: a process must not repeat the random numbers of its previous incarnation, nor those of
/// its peers.
fn parse_seed(path: &str, text: &str) -> Result<u64, ConfigurationError> {
    u64::from_str_radix(text.trim(), 16).map_err(|source| ConfigurationError::Seed {
        path: path.to_string(),
        text: text.to_string(),
        source,
    })
}

/// The value of a variable that is set and not empty.
fn override_from(variable: &str) -> Option<String> {
    env::var(variable).ok().filter(|value| !value.is_empty())
}

/// The text of an address, with what an error message says about it.
struct AddressValue {
    origin: ConfigurationSource,
    key: &'static str,
    text: String,
}

fn in_file(path: &str, key: &'static str, text: &str) -> AddressValue {
    AddressValue {
        origin: ConfigurationSource::File(path.to_string()),
        key,
        text: text.to_string(),
    }
}

impl AddressValue {
    fn overridden_by(self, variable: &'static str) -> AddressValue {
        match override_from(variable) {
            None => self,
            Some(text) => AddressValue {
                origin: ConfigurationSource::Variable(variable),
                key: self.key,
                text,
            },
        }
    }

    fn parse(self) -> Result<SocketAddr, ConfigurationError> {
        match self.text.parse() {
            Ok(address) => Ok(address),
            Err(_) => Err(ConfigurationError::Address {
                origin: self.origin,
                key: self.key,
                text: self.text,
            }),
        }
    }
}
