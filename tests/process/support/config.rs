//! Gateway configuration, with the parts that tests vary as fields.

use super::GatewayProcess;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// Listen address for any free port of the loopback interface.
pub const ANY_PORT: &str = "127.0.0.1:0";
/// Shell prefix that replaces the shell with the gateway and keeps its resource limits.
pub const NO_SHELL_LIMITS: &str = "exec";

pub const DEFAULT_LIMITS: &str = r#""ConnectTimeout":5000.0,"ConnIdle":600000.0"#;
/// Limits with the longest connect timeout that the gateway allows, for requests with the longest deadline.
const LONGEST_WAIT_LIMITS: &str = r#""ConnectTimeout":60000.0,"ConnIdle":600000.0"#;
/// The default limits with gossip enabled.
pub const GOSSIP_LIMITS: &str = r#""ConnectTimeout":5000.0,"ConnIdle":600000.0,"Peers":true"#;

/// Quota of a plan that no test exhausts. The name and the weight of the plan are added later.
pub const DEFAULT_PLAN: &str = r#""UnitsPerS":1000.0,"PeakUnits":1000.0"#;

#[derive(Clone)]
pub struct GatewayConfig {
    pub listen: String,
    pub gossip_listen: String,
    pub discovery: String,
    /// Endpoint list that the gateway uses until discovery responds, as JSON.
    pub cached_list: String,
    pub socket_limit: u32,
    pub memory_mb: u32,
    /// JSON members of the limits, except for the number of attempts.
    pub limits: &'static str,
    /// JSON members of the tenants' plan: refill rate, burst and concurrency limit.
    pub plan: String,
    /// Latency objective of the class `read`, as a JSON number. It limits the duration of attempts, the wait
    /// for a permit, and the latency above which an endpoint counts as full.
    pub read_objective_ms: &'static str,
    /// Maximum deadline of the class `read`, as a JSON number.
    pub read_deadline_ms: &'static str,
    /// Shell commands before the gateway program. They end with `exec`.
    pub shell_prefix: String,
}

impl GatewayConfig {
    pub fn new(discovery: SocketAddr) -> GatewayConfig {
        GatewayConfig {
            listen: ANY_PORT.into(),
            gossip_listen: String::new(),
            discovery: discovery.to_string(),
            cached_list: "null".into(),
            socket_limit: 1024,
            memory_mb: 192,
            limits: DEFAULT_LIMITS,
            plan: DEFAULT_PLAN.into(),
            read_objective_ms: "8000.0",
            read_deadline_ms: "9000.0",
            shell_prefix: NO_SHELL_LIMITS.into(),
        }
    }

    /// Configures the longest supported waits for permits and connections, for requests of the class `read`
    /// with [`LONGEST_DEADLINE_MS`](super::LONGEST_DEADLINE_MS), and a latency objective that no request
    /// exceeds, so that no latency counts as overload. The other classes keep their objectives, because the
    /// gateway derives its first estimate of the wait for a permit from them.
    pub fn with_longest_waits(self) -> GatewayConfig {
        GatewayConfig {
            limits: LONGEST_WAIT_LIMITS,
            read_objective_ms: "600000.0",
            read_deadline_ms: "60000.0",
            ..self
        }
    }

    /// Starts a gateway and waits until it serves clients.
    pub fn start(&self) -> GatewayProcess {
        GatewayProcess::start(&self.json(), &self.shell_prefix)
    }

    /// Starts a gateway without waiting until it serves clients.
    pub fn spawn(&self) -> GatewayProcess {
        GatewayProcess::spawn(&self.json(), &self.shell_prefix)
    }

    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peer_listen":"{}","peers":[],
            "known":{},"settings":{}}}"#,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.socket_limit,
            self.gossip_listen,
            self.cached_list,
            self.settings_json(),
        )
    }

    fn settings_json(&self) -> String {
        format!(
            r#"{{"Balancers":1,"Me":0,"Areas":["a"],"Kinds":["m"],"Bounds":{{"TryLimit":3,{}}},
            "Classes":[{{"Name":"read","Target":{},"Deadline":{},"Effect":"repeatable","Worth":1.0}},
            {{"Name":"order","Target":8000.0,"Effect":"by_key","Group":"cell","Window":5000.0,"Worth":1.0}},
            {{"Name":"pay","Target":8000.0,"Effect":"once","Worth":1.0}}],
            "Domain":{{"Largest":4,"PeerIntake":60.0}},"Rules":{{"ColdFrom":0.5,"WarmWithin":1.0}},
            "Plans":[{{"Name":"p",{},"ValueFactor":1.0}}]}}"#,
            self.limits, self.read_objective_ms, self.read_deadline_ms, self.plan,
        )
    }
}

/// Writes the configuration to a new temporary file that no other test uses.
pub fn write_config_file(text: &str) -> PathBuf {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("marlshelf-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("the configuration file can be written");
    path
}
