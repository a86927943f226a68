//! The configuration of one gateway: a JSON file at the path in `GW_CONFIG`, and environment variables that
//! override some of its keys.

pub use crate::gateway::configuration_error::{
    CONFIG_FILE_VARIABLE, ConfigurationError, ConfigurationSource,
};

use crate::gateway::discovery::EndpointUpdate;
use crate::{Settings, SettingsDocument};
use serde::Deserialize;
use std::env;
use std::net::SocketAddr;

/// Environment variable that overrides the gateway name.
pub const NAME_VARIABLE: &str = "GW_NAME";
/// Environment variable that overrides the client listen address.
pub const LISTEN_VARIABLE: &str = "GW_LISTEN";
/// Environment variable that overrides the discovery address at startup. A reload ignores it.
pub const DISCOVERY_VARIABLE: &str = "GW_DISCOVERY";

/// Divides the memory limit into the budget of one kind of traffic data. There are five kinds: incomplete
/// commands, commands in flight, incomplete responses, responses that clients have not read, and the state of
/// tenants. The rest of the limit is for everything else.
const MEMORY_BUDGET_DIVISOR: usize = 8;
const MIN_DESCRIPTORS: usize = 64;
const MAX_DESCRIPTORS: usize = 1 << 20;
const MIN_MEMORY_MIB: usize = 32;
const MAX_MEMORY_MIB: usize = 1 << 20;
const BYTES_PER_MIB: usize = 1 << 20;

/// The validated configuration of one gateway.
pub struct Configuration {
    /// The name of the gateway in log lines. It is the same after a restart.
    pub name: String,
    /// The address on which the gateway accepts client connections. With port 0 the system chooses one.
    pub listen_address: SocketAddr,
    /// The address of the discovery service or of the local discovery agent.
    pub discovery_address: SocketAddr,
    /// The seed of all random numbers. The deployment sets a new one for each start.
    pub seed: u64,
    /// The limit on open file descriptors of the process, clamped to the range from 64 to 1,048,576.
    pub max_descriptors: usize,
    /// The limit on the memory of the process in bytes, clamped to the range from 32 MiB to 1 TiB.
    pub max_memory_bytes: usize,
    /// The address on which the gateway receives gossip; `None` if gossip is disabled or no address is set.
    pub gossip_address: Option<SocketAddr>,
    /// The gossip addresses of all gateways of the tier, indexed by gateway id.
    pub peer_addresses: Vec<SocketAddr>,
    /// The endpoint list cached from an earlier process; `None` if there is none or it is malformed.
    pub cached_endpoints: Option<EndpointUpdate>,
    /// The settings document, for the settings that are used outside the decision engine.
    pub document: SettingsDocument,
    /// The decision engine's settings, converted from `document`.
    pub settings: Settings,
}

/// The serialized form of the configuration file.
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

/// Which environment variables take precedence over the file.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EnvironmentOverrides {
    /// All of them, at startup.
    All,
    /// All but the one for the discovery address, on a reload: the file may have changed since startup, while
    /// the environment of a running process cannot.
    AllButDiscovery,
}

impl Configuration {
    /// Reads the configuration file at startup. `GW_NAME`, `GW_LISTEN` and `GW_DISCOVERY` override its
    /// values.
    ///
    /// # Errors
    /// Returns a [`ConfigurationError`] if the file cannot be read or a value is missing or invalid.
    pub fn read() -> Result<Configuration, ConfigurationError> {
        Self::load(EnvironmentOverrides::All)
    }

    /// Reads the configuration file again. `GW_DISCOVERY` no longer applies, because the discovery address in
    /// the file may be newer than the environment of the process.
    ///
    /// # Errors
    /// Returns a [`ConfigurationError`] if the file cannot be read or a value is missing or invalid.
    pub fn reload() -> Result<Configuration, ConfigurationError> {
        Self::load(EnvironmentOverrides::AllButDiscovery)
    }

    /// Returns the memory budget in bytes for each kind of traffic data, such as incomplete commands. That for
    /// the state of tenants is in `settings`.
    #[must_use]
    pub fn memory_budget_bytes(&self) -> usize {
        self.max_memory_bytes / MEMORY_BUDGET_DIVISOR
    }

    fn load(overrides: EnvironmentOverrides) -> Result<Configuration, ConfigurationError> {
        let path = env::var(CONFIG_FILE_VARIABLE).map_err(|_| ConfigurationError::MissingPath)?;
        let file = read_file(&path)?;
        let mut settings = validated_settings(&path, &file.settings)?;
        let max_memory_bytes =
            file.limits.memory_mb.clamp(MIN_MEMORY_MIB, MAX_MEMORY_MIB) * BYTES_PER_MIB;
        settings.tenant_memory_bytes = max_memory_bytes / MEMORY_BUDGET_DIVISOR;
        let seed = parse_seed(&path, &file.seed)?;
        let peer_addresses = file
            .peers
            .iter()
            .map(|peer| address_in_file(&path, "peers", peer).parse())
            .collect::<Result<Vec<_>, _>>()?;
        let gossip_configured = settings.gossip_enabled && !file.peer_listen.is_empty();
        let gossip_address = gossip_configured
            .then(|| address_in_file(&path, "peer_listen", &file.peer_listen).parse())
            .transpose()?;
        let listen = address_in_file(&path, "listen", &file.listen).overridden_by(LISTEN_VARIABLE);
        let listen_address = listen.parse()?;
        let discovery = address_in_file(&path, "discovery", &file.discovery);
        let discovery_address = match overrides {
            EnvironmentOverrides::All => discovery.overridden_by(DISCOVERY_VARIABLE).parse()?,
            EnvironmentOverrides::AllButDiscovery => discovery.parse()?,
        };
        Ok(Configuration {
            name: non_empty_variable(NAME_VARIABLE).unwrap_or(file.name),
            listen_address,
            discovery_address,
            seed,
            max_descriptors: file.limits.sockets.clamp(MIN_DESCRIPTORS, MAX_DESCRIPTORS),
            max_memory_bytes,
            gossip_address,
            peer_addresses,
            // A malformed cached list is ignored; discovery will send the list.
            cached_endpoints: EndpointUpdate::from_json(&file.known).ok(),
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

fn validated_settings(
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
        return Err(ConfigurationError::GatewayIdOutOfRange {
            path: path.to_string(),
            gateway: settings.gateway.0,
            gateway_count: settings.gateway_count,
        });
    }
    Ok(settings)
}

/// Parses the hexadecimal seed. There is no default seed, because a process must not repeat the random
/// numbers of its previous run or of its peers.
fn parse_seed(path: &str, text: &str) -> Result<u64, ConfigurationError> {
    u64::from_str_radix(text.trim(), 16).map_err(|source| ConfigurationError::Seed {
        path: path.to_string(),
        text: text.to_string(),
        source,
    })
}

/// Returns the value of an environment variable; `None` if it is unset, empty or not valid Unicode.
fn non_empty_variable(variable: &str) -> Option<String> {
    env::var(variable).ok().filter(|value| !value.is_empty())
}

/// The text of an address, with its source and key for error messages.
struct AddressValue {
    origin: ConfigurationSource,
    key: &'static str,
    text: String,
}

fn address_in_file(path: &str, key: &'static str, text: &str) -> AddressValue {
    AddressValue {
        origin: ConfigurationSource::File(path.to_string()),
        key,
        text: text.to_string(),
    }
}

impl AddressValue {
    fn overridden_by(self, variable: &'static str) -> AddressValue {
        match non_empty_variable(variable) {
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
