//! The frames that the simulator sends, as they are serialized.
//!
//! Kinds and keys of the wire are the simulator's and appear only in the `rename` attributes here. Keys that are not
//! known are skipped. Where a key has a default, the simulator omits it if the value is absent, zero or false.
//!
//! Times are in milliseconds on the simulator's clock.

use marlshelf::{EndpointName, SettingsDocument, TenantName};
use serde::Deserialize;
use std::sync::Arc;

/// The name of a gateway instance in the simulator.
pub type InstanceName = Arc<str>;

/// One line of the input.
#[derive(Deserialize)]
#[serde(tag = "kind")]
pub enum Frame {
    /// A batch begins.
    BeginBatch(BeginBatch),
    /// The batch ends and must be answered.
    #[serde(rename = "Eob")]
    EndBatch,
    /// An endpoint list that frames of all instances may refer to by its number.
    #[serde(rename = "Directory")]
    EndpointList(EndpointListFrame),
    /// An instance starts without any state.
    #[serde(rename = "Hello")]
    StartInstance(StartInstance),
    /// An instance is killed.
    #[serde(rename = "Retire")]
    StopInstance(InstanceFrame),
    /// Discovery answers an instance.
    #[serde(rename = "DirectoryUpdate")]
    EndpointsChanged(EndpointsChanged),
    /// A request arrives at an instance.
    #[serde(rename = "Incoming")]
    RequestReceived(RequestReceived),
    /// A streamed answer has begun. Decisions do not depend on it.
    #[serde(rename = "Accepted")]
    StreamStarted(InstanceFrame),
    /// A health check has finished.
    #[serde(rename = "StatusBack")]
    HealthChecked(HealthChecked),
    /// An attempt has ended.
    #[serde(rename = "Done")]
    AttemptFinished(AttemptFinished),
    /// The client has left, or its answer is overdue.
    #[serde(rename = "Lapsed")]
    ClientDisconnected(ClientDisconnected),
    /// A gossip message arrives.
    #[serde(rename = "FromPeer")]
    GossipReceived(GossipReceived),
    /// The shared counter answers. No instance calls it.
    #[serde(rename = "TallyBack")]
    CounterAnswered(InstanceFrame),
    /// A timer fires.
    #[serde(rename = "Fired")]
    TimerFired(TimerFired),
}

/// The beginning of a batch.
#[derive(Deserialize, Clone, Copy)]
pub struct BeginBatch {
    /// The time at which everything in the batch happens.
    #[serde(rename = "Clock")]
    pub now_ms: f64,
    /// The number of the batch, which the reply repeats.
    #[serde(rename = "n")]
    pub number: u64,
}

/// A frame of which only the instance matters.
#[derive(Deserialize)]
pub struct InstanceFrame {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
}

/// A numbered endpoint list. It replaces the former list with this number.
#[derive(Deserialize)]
pub struct EndpointListFrame {
    #[serde(rename = "Sheet")]
    pub number: u32,
    #[serde(rename = "Records")]
    pub entries: Vec<EndpointEntry>,
}

/// An entry of an endpoint list.
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

/// The state of an endpoint in a list.
#[derive(Deserialize, Clone, Copy)]
pub enum EntryState {
    #[serde(rename = "up")]
    Ready,
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "removed")]
    Removed,
}

/// The start of an instance.
#[derive(Deserialize)]
pub struct StartInstance {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "Prng")]
    pub seed: u64,
    /// Boxed since it is much larger than all other frames.
    #[serde(rename = "Conf")]
    pub settings: Box<SettingsDocument>,
}

/// An answer of discovery.
#[derive(Deserialize)]
pub struct EndpointsChanged {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "Form")]
    pub form: EndpointListForm,
    /// The number of the endpoint list. It has no meaning for an error.
    #[serde(rename = "Sheet", default)]
    pub list: u32,
}

/// What discovery has answered.
#[derive(Deserialize, Clone, Copy)]
pub enum EndpointListForm {
    /// The entries that have changed.
    #[serde(rename = "diff")]
    Delta,
    /// All entries.
    #[serde(rename = "snapshot")]
    Snapshot,
    /// All entries as the instance had them before its start, possibly outdated.
    #[serde(rename = "disk")]
    Cached,
    /// The call has failed. The list that the instance has remains valid.
    #[serde(rename = "error")]
    Error,
}

/// A request that arrives at an instance.
#[derive(Deserialize)]
pub struct RequestReceived {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "RequestId")]
    pub request: u64,
    /// The first gateway of the tenant's shard.
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
    /// A sum of bit values, among them [`RETRY_FLAG`].
    #[serde(rename = "StateBits", default)]
    pub flags: u64,
    #[serde(rename = "Tier", default)]
    pub plan: usize,
    /// The number of gateways in the tenant's shard.
    #[serde(rename = "Doors", default)]
    pub shard_size: f64,
}

/// The bit of [`RequestReceived::flags`] that marks a retry of the client.
pub const RETRY_FLAG: u64 = 2;

/// The result of a health check.
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

/// The end of an attempt.
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
    /// 1 more than the tenant's metered use in percent; 0 means that there is none.
    #[serde(rename = "SeenUse", default)]
    pub metered_use_code: u32,
    /// The actual cost in tokens; 0 means that it is not known.
    #[serde(rename = "Actual", default)]
    pub actual_cost: f64,
    #[serde(rename = "Usage", default)]
    pub load_report: Option<LoadReportFrame>,
}

/// How an attempt or a health check has ended.
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

/// The load that an endpoint reports. A site chooses which values are present.
#[derive(Deserialize)]
pub struct LoadReportFrame {
    #[serde(rename = "outstanding")]
    pub in_flight: Option<f64>,
    pub utilization: Option<f64>,
    #[serde(rename = "throughput")]
    pub requests_per_second: Option<f64>,
}

/// The end of a request whose client waits no longer.
#[derive(Deserialize)]
pub struct ClientDisconnected {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "RequestId")]
    pub request: u64,
}

/// A gossip message from another gateway.
#[derive(Deserialize)]
pub struct GossipReceived {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "Src", default)]
    pub from: u32,
    #[serde(rename = "Content", default)]
    pub text: String,
}

/// A timer that fires.
#[derive(Deserialize)]
pub struct TimerFired {
    #[serde(rename = "GatekeeperId")]
    pub instance: InstanceName,
    #[serde(rename = "Nonce", default)]
    pub token: u64,
}
