//! The description of a simulated fleet.

use crate::{EndpointPool, GossipNetwork, PlannedIncident};
use marlshelf::{Milliseconds, Settings, Timestamp};

/// What the hosts of the gateways do wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewayHost {
    /// The longest time by which a timer fires too early.
    pub max_timer_lead: Milliseconds,
    /// The fraction of attempts that a host aborts.
    pub abort_ratio: f64,
}

/// A fleet, what surrounds it except for its clients, and what happens to it.
#[derive(Clone, Debug)]
pub struct FleetScenario {
    /// The settings of all gateways. The fleet fills in the number and the zone of each.
    pub settings: Settings,
    /// The number of zones in which the gateways run. Gateway `k` runs in zone `k % gateway_zones`.
    pub gateway_zones: u32,
    /// The hosts of the gateways.
    pub host: GatewayHost,
    /// The endpoints.
    pub endpoints: EndpointPool,
    /// The network between gateways.
    pub gossip: GossipNetwork,
    /// What happens when.
    pub incidents: Vec<PlannedIncident>,
    /// When the run ends. Without an end it runs until nothing is left to happen.
    pub end: Timestamp,
}

impl Default for FleetScenario {
    /// One gateway and one endpoint without faults, until nothing is left to happen.
    fn default() -> Self {
        FleetScenario {
            settings: Settings::default(),
            gateway_zones: 1,
            host: GatewayHost::default(),
            endpoints: EndpointPool::default(),
            gossip: GossipNetwork::default(),
            incidents: Vec::new(),
            end: Timestamp::DISTANT_FUTURE,
        }
    }
}
