//! Scenarios: the fleet, the traffic and the incidents that one run plays.

mod defaults;
mod large_fleets;
mod small_fleets;

use crate::endpoint::{EndpointPool, Fault};
use marlshelf::Settings;
use std::ops::Range;

/// The network that carries gossip between gateways.
#[derive(Clone, Debug)]
pub struct GossipNetwork {
    /// The share of datagrams that are lost.
    pub loss_ratio: f64,
    /// The range of the delivery delay, in milliseconds.
    pub delay_ms: Range<f64>,
    /// The period in which nothing passes between gateways of even and of odd numbers.
    pub partition_ms: Option<Range<f64>>,
    /// The share of datagrams that arrive damaged.
    pub damage_ratio: f64,
    /// The share of datagrams that arrive several times, each time under the number of some gateway.
    pub forgery_ratio: f64,
}

/// A period with more requests than usual.
#[derive(Clone, Debug)]
pub struct Surge {
    /// When it begins and ends, in milliseconds.
    pub period_ms: Range<f64>,
    /// The factor on the request rate.
    pub factor: f64,
}

/// A period in which all tenants but the first few send nothing.
#[derive(Clone, Debug)]
pub struct IdlePeriod {
    /// When it begins, and when the first idle tenant would send again, in milliseconds.
    pub period_ms: Range<f64>,
    /// The time from the return of one tenant to the return of the next.
    pub return_interval_ms: f64,
}

/// What the clients do.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The number of tenants; tenant `k` has plan `k % plans`.
    pub tenants: usize,
    /// Requests per second of all tenants together, without client retries.
    pub requests_per_second: f64,
    /// A period of more requests.
    pub surge: Option<Surge>,
    /// A period in which most tenants are idle.
    pub idle: Option<IdlePeriod>,
    /// The shard sizes of the tenants, assigned in turn; 0 stands for all gateways.
    pub shard_sizes: Vec<u32>,
    /// The share of requests that go to the gateway which the tenant currently prefers.
    pub sticky_ratio: f64,
    /// The share of clients that disconnect early.
    pub disconnect_ratio: f64,
    /// The share of clients that retry after a final answer other than a success.
    pub retry_ratio: f64,
    /// The share of successful responses that state the actual cost.
    pub actual_cost_ratio: f64,
    /// The share of requests whose class or plan does not exist.
    pub invalid_ratio: f64,
    /// The share of attempts that the gateway's host aborts.
    pub host_abort_ratio: f64,
}

/// A change or a fault that a scenario causes.
#[derive(Clone, Copy, Debug)]
pub enum Incident {
    /// An endpoint starts to drain and is removed three seconds later.
    Drain(usize),
    /// An endpoint is removed, and another one with a new name takes its place.
    Replace(usize),
    /// An endpoint's process exits and starts again a second later.
    Restart(usize),
    /// The service time of an endpoint is multiplied by this factor from now on.
    Slow(usize, f64),
    /// An endpoint has this fault from now on.
    Fault(usize, Fault),
    /// A gateway restarts without its state.
    RestartGateway(usize),
    /// All gateways receive a snapshot of the endpoint list.
    Snapshot,
    /// All gateways receive the result of a health check of an endpoint.
    HealthCheck(usize),
}

/// An incident with its time.
#[derive(Clone, Copy, Debug)]
pub struct PlannedIncident {
    /// When it happens, in milliseconds.
    pub at_ms: f64,
    /// What happens.
    pub incident: Incident,
}

impl PlannedIncident {
    /// An incident at this time.
    pub fn at(at_ms: f64, incident: Incident) -> PlannedIncident {
        PlannedIncident { at_ms, incident }
    }
}

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name on the command line and in the output.
    pub name: &'static str,
    /// The seeds it is played with.
    pub seeds: Vec<u64>,
    /// The settings of all gateways; the number and zone of each are filled in later.
    pub settings: Settings,
    /// The number of zones in which the gateways run.
    pub gateway_zones: u32,
    /// The endpoints.
    pub endpoints: EndpointPool,
    /// The network between gateways.
    pub gossip: GossipNetwork,
    /// The longest time by which a timer fires too early, in milliseconds.
    pub max_timer_lead_ms: f64,
    /// The clients.
    pub traffic: Traffic,
    /// What happens when.
    pub incidents: Vec<PlannedIncident>,
    /// The simulated time that it takes, in milliseconds.
    pub duration_ms: f64,
}

/// All scenarios, in the order of the output.
pub fn all() -> Vec<Scenario> {
    let mut scenarios = small_fleets::all();
    scenarios.extend(large_fleets::all());
    scenarios
}
