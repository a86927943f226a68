//! Configuration of a simulated fleet.

use crate::{EndpointPool, GossipNetwork, PlannedIncident};
use marlshelf::{Milliseconds, Settings, Timestamp};

/// Faults of the processes that host the decision engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostFaults {
    /// Timers fire early by a random time of up to this value.
    pub max_timer_lead: Milliseconds,
    /// Fraction of attempts that the host aborts, from 0 to 1.
    pub abort_ratio: f64,
}

/// A fleet and its environment, without the clients.
#[derive(Clone, Debug)]
pub struct FleetScenario {
    /// Settings shared by all gateways. [`Fleet::new`](crate::Fleet::new) sets the gateway id and zone of
    /// each.
    pub settings: Settings,
    /// Number of zones with gateways. Gateway `k` is in zone `k % gateway_zones`.
    pub gateway_zones: u32,
    /// Early timers and aborted attempts.
    pub host_faults: HostFaults,
    /// The endpoints that exist when the run starts, and their service model.
    pub endpoints: EndpointPool,
    /// Network that carries gossip between gateways.
    pub gossip: GossipNetwork,
    /// Virtual time at which all gateways start.
    pub start: Timestamp,
    /// Faults and changes of the fleet during the run, in any order.
    pub incidents: Vec<PlannedIncident>,
    /// Time at which the run ends. With [`Timestamp::DISTANT_FUTURE`] the run ends when no event is left.
    pub end: Timestamp,
}

impl Default for FleetScenario {
    /// Returns a scenario with one gateway and one endpoint, without faults, that runs until no event is
    /// left.
    fn default() -> Self {
        FleetScenario {
            settings: Settings::default(),
            gateway_zones: 1,
            host_faults: HostFaults::default(),
            endpoints: EndpointPool::default(),
            gossip: GossipNetwork::default(),
            start: Timestamp::ZERO,
            incidents: Vec::new(),
            end: Timestamp::DISTANT_FUTURE,
        }
    }
}
