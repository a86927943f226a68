//! The input frames of the simulator protocol.
//!
//! The simulator defines the kinds and keys of the protocol. Where they differ from the names used here, a
//! `rename` attribute states them. Unknown keys are ignored. For keys with a default, the simulator omits a
//! value that is absent, zero or false.
//!
//! Times are in milliseconds on the simulator's clock.

use marlshelf::{EndpointName, SettingsDocument, TenantName};
use serde::Deserialize;
use std::sync::Arc;

/// The simulator's name for a gateway instance.
pub type InstanceName = Arc<str>;

/// One line of the input.
#[derive(Deserialize)]
#[serde(tag = "kind")]
pub enum Frame {
    /// Begins a batch.
    BeginBatch(BeginBatch),
    /// Ends the batch, which requires a reply.
    #[serde(rename = "Eob")]
    EndBatch,
    /// Defines a numbered endpoint list, to which later frames of all instances may refer.
    #[serde(rename = "Directory")]
    EndpointList(EndpointListFrame),
    /// Starts an instance without any state.
    #[serde(rename = "Hello")]
    StartInstance(StartInstance),
    /// Stops an instance and discards its state.
    #[serde(rename = "Retire")]
    StopInstance(InstanceFrame),
    /// Reports a discovery response for an instance.
    #[serde(rename = "DirectoryUpdate")]
    EndpointsChanged(EndpointsChanged),
    /// Reports a client request.
    #[serde(rename = "Incoming")]
    RequestReceived(RequestReceived),
    /// Reports the start of a streamed response, which does not affect decisions.
    #[serde(rename = "Accepted")]
    StreamStarted(InstanceFrame),
    /// Reports the result of a health check.
    #[serde(rename = "StatusBack")]
    HealthChecked(HealthChecked),
    /// Reports the end of an attempt.
    #[serde(rename = "Done")]
    AttemptFinished(AttemptFinished),
    /// Reports that the client has disconnected or stopped waiting.
    #[serde(rename = "Lapsed")]
    ClientDisconnected(ClientDisconnected),
    /// Reports a gossip message from another gateway.
    #[serde(rename = "FromPeer")]
    GossipReceived(GossipReceived),
    /// Reports a response of the shared counter, which no instance calls.
    #[serde(rename = "TallyBack")]
    CounterAnswered(InstanceFrame),
    /// Reports that a timer has fired.
    #[serde(rename = "Fired")]
    TimerFired(TimerFired),
}

/// The content of a frame that begins a batch.
#[derive(Deserialize, Clone, Copy)]
pub struct BeginBatch {
    /// The time of all events in the batch.
    #[serde(rename = "Clock")]
    pub now_ms: f64,
    /// The number of the batch, repeated in the reply.
    #[serde(rename = "n")]
    pub number: u64,
}

/// The content of a frame of which only the instance is used.
#[derive(Deserialize)]
pub struct InstanceFrame {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
}

/// A numbered endpoint list. It replaces an earlier list with the same number.
#[derive(Deserialize)]
pub struct EndpointListFrame {
    #[serde(rename = "Sheet")]
    pub number: u32,
    #[serde(rename = "Records")]
    pub entries: Vec<EndpointEntry>,
}

#[derive(Deserialize)]
pub struct EndpointEntry {
    #[serde(rename = "Worker")]
    pub endpoint: EndpointName,
    #[serde(rename = "Share", default)]
    pub weight: f64,
    #[serde(rename = "RegionPart", default)]
    pub zone: u32,
    #[serde(rename = "Pod", default)]
    pub cell: u32,
    #[serde(rename = "FamilyType", default)]
    pub hardware: u32,
    #[serde(rename = "Health")]
    pub state: EntryState,
    #[serde(rename = "Since", default)]
    pub started_at_ms: f64,
}

/// The state of an endpoint according to an endpoint list.
#[derive(Deserialize, Clone, Copy)]
pub enum EntryState {
    #[serde(rename = "up")]
    Ready,
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "removed")]
    Removed,
}

/// The name, seed and settings of an instance to start.
#[derive(Deserialize)]
pub struct StartInstance {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "Prng")]
    pub seed: u64,
    /// Boxed because it is much larger than all other frames.
    #[serde(rename = "Conf")]
    pub settings: Box<SettingsDocument>,
}

/// A discovery response for one instance.
#[derive(Deserialize)]
pub struct EndpointsChanged {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "Form")]
    pub form: EndpointListForm,
    /// The number of the endpoint list. It is meaningless for an error.
    #[serde(rename = "Sheet", default)]
    pub list: u32,
}

/// The kind of a discovery response.
#[derive(Deserialize, Clone, Copy)]
pub enum EndpointListForm {
    /// Only the entries that have changed.
    #[serde(rename = "diff")]
    Delta,
    #[serde(rename = "snapshot")]
    Snapshot,
    /// All entries, as cached by the instance before its start and possibly outdated.
    #[serde(rename = "disk")]
    Cached,
    /// The discovery call failed. The current list of the instance remains valid.
    #[serde(rename = "error")]
    Error,
}

/// A client request.
#[derive(Deserialize)]
pub struct RequestReceived {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "RequestId")]
    pub request: u64,
    /// The number of the first gateway in the tenant's shard. A whole number, which the simulator writes as a
    /// float.
    #[serde(rename = "First", default)]
    pub shard_start: f64,
    #[serde(rename = "GiveUpAt")]
    pub client_deadline_ms: f64,
    #[serde(rename = "Weight", default)]
    pub cost: f64,
    #[serde(rename = "Band", default)]
    pub class: usize,
    #[serde(rename = "ClientId", default)]
    pub tenant: Option<TenantName>,
    /// A bit set that includes [`RETRY_FLAG`].
    #[serde(rename = "StateBits", default)]
    pub flags: u64,
    #[serde(rename = "Tier", default)]
    pub plan: usize,
    /// The number of gateways in the tenant's shard. A whole number, which the simulator writes as a float.
    #[serde(rename = "Doors", default)]
    pub shard_size: f64,
}

/// The bit of [`RequestReceived::flags`] that marks a client retry.
pub const RETRY_FLAG: u64 = 2;

#[derive(Deserialize)]
pub struct HealthChecked {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "Worker")]
    pub endpoint: EndpointName,
    #[serde(rename = "Ending")]
    pub status: Status,
    #[serde(rename = "Usage", default)]
    pub load_report: Option<LoadReportFrame>,
}

#[derive(Deserialize)]
pub struct AttemptFinished {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "RequestId")]
    pub request: u64,
    #[serde(rename = "Trial", default)]
    pub attempt: u32,
    #[serde(rename = "Worker")]
    pub endpoint: EndpointName,
    #[serde(rename = "Ending")]
    pub status: Status,
    #[serde(rename = "Latency", default)]
    pub latency_ms: f64,
    #[serde(rename = "Terminal", default)]
    pub request_ended: bool,
    /// The tenant's metered use in percent plus 1, or 0 if absent.
    #[serde(rename = "SeenUse", default)]
    pub metered_use_code: u32,
    /// The actual cost in tokens, or 0 if unknown.
    #[serde(rename = "Actual", default)]
    pub actual_cost: f64,
    #[serde(rename = "Usage", default)]
    pub load_report: Option<LoadReportFrame>,
}

/// The result of an attempt or a health check.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    #[serde(rename = "OK")]
    Success,
    #[serde(rename = "INTERNAL")]
    Error,
    #[serde(rename = "RESOURCE_EXHAUSTED")]
    Overloaded,
    #[serde(rename = "DEADLINE_EXCEEDED")]
    TimedOut,
    #[serde(rename = "UNAVAILABLE")]
    ConnectFailed,
    #[serde(rename = "ABORTED")]
    ConnectionReset,
    #[serde(rename = "CANCELLED")]
    Cancelled,
    #[serde(rename = "TOO_LATE")]
    NeverSent,
}

/// The load reported by an endpoint. Which values are present depends on the site.
#[derive(Deserialize)]
pub struct LoadReportFrame {
    #[serde(rename = "outstanding")]
    pub in_flight: Option<f64>,
    pub utilization: Option<f64>,
    #[serde(rename = "throughput")]
    pub requests_per_second: Option<f64>,
}

/// The disconnection of a request's client, or the end of its wait.
#[derive(Deserialize)]
pub struct ClientDisconnected {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "RequestId")]
    pub request: u64,
}

#[derive(Deserialize)]
pub struct GossipReceived {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "Src", default)]
    pub from: u32,
    #[serde(rename = "Content", default)]
    pub text: String,
}

#[derive(Deserialize)]
pub struct TimerFired {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "Nonce", default)]
    pub token: u64,
}
