//! Deterministic simulation of a gateway fleet in virtual time, used by tests and tools.
//!
//! A [`Fleet`] runs one [`DecisionEngine`](marlshelf::DecisionEngine) per gateway and executes the actions
//! that the engines return, as a real gateway process does. Each part of the environment is a separate model:
//!
//! | type | models |
//! | --- | --- |
//! | [`EventQueue`] | virtual time: events ordered by timestamp |
//! | [`GossipNetwork`] | datagrams between gateways, with delay, loss, partitions and tampering |
//! | [`SimulatedEndpoint`] | endpoints with cores, a bounded queue, slow start and [faults](Fault) |
//! | [`Clients`] | requests, client deadlines, disconnects and retries |
//! | [`Incident`] | faults and changes of the fleet at scheduled times |
//! | [`Observer`] | recording for a test or tool; the [`ledgers`] check quotas and slow start |
//!
//! A [`FleetScenario`], its clients and its [`Randomness`] determine a run completely: the simulation never
//! reads a clock, and it draws all random numbers from the seeds of the run.
//!
//! ```
//! use marlshelf::{
//!     GatewayId, Milliseconds, Plan, RequestClass, Settings, Timestamp, Tokens, TokensPerSecond,
//! };
//! use marlshelf_simulation::{
//!     ClientRequest, Fleet, FleetScenario, GatewaySeeds, Randomness, ScheduledClients, ScheduledRequest,
//!     Shard,
//! };
//! use rand::SeedableRng;
//! use rand_pcg::Pcg64Mcg;
//!
//! let request = ClientRequest {
//!     tenant: "acme".into(),
//!     shard: Shard { start: GatewayId(0), size: 2 },
//!     ..ClientRequest::to_gateway(GatewayId(1))
//! };
//! let request = ScheduledRequest { at: Timestamp(5.0), request };
//! let clients = ScheduledClients::new(vec![request], Milliseconds(1000.0));
//! let scenario = FleetScenario {
//!     settings: Settings {
//!         gateway_count: 2,
//!         classes: vec![RequestClass {
//!             latency_objective: Milliseconds(500.0),
//!             priority_weight: 1.0,
//!             ..RequestClass::default()
//!         }],
//!         plans: vec![Plan {
//!             refill_rate: TokensPerSecond(10.0),
//!             burst: Tokens(20.0),
//!             weight: 1.0,
//!             ..Plan::default()
//!         }],
//!         ..Settings::default()
//!     },
//!     ..FleetScenario::default()
//! };
//! let randomness = Randomness::shared(Pcg64Mcg::seed_from_u64(1), GatewaySeeds::consecutive_from(1));
//! let run = Fleet::new(&scenario, clients, (), randomness).run();
//! assert_eq!(run.endpoints[0].work_received_between(Timestamp::ZERO, Timestamp(10.0)), 1.0);
//! ```

mod clients;
mod endpoint;
mod event_queue;
mod fleet;
mod gossip_network;
mod incident;
pub mod ledgers;
mod observer;
mod randomness;
mod scenario;

pub use clients::{
    Arrival, ArrivalSource, ClientDeadline, ClientRequest, ClientRetry, Clients, Shard,
    scheduled::{ScheduledClients, ScheduledRequest},
    tenants::{IdlePeriod, Surge, TenantClients, TenantTraffic},
};
pub use endpoint::{
    AttemptEnd, Fault, ServiceModel, SimulatedEndpoint, SlowStart,
    pool::{EndpointNames, EndpointPool, EndpointWeights, ResponseDelays, ResponseReports},
};
pub use event_queue::{EventQueue, ScheduledEvent};
pub use fleet::{Fleet, FleetRun};
pub use gossip_network::{Datagram, Delivery, GossipNetwork, Tampering};
pub use incident::{EndpointIndex, Incident, PlannedIncident};
pub use observer::Observer;
pub use randomness::{GatewaySeeds, RandomStream, Randomness};
pub use scenario::{FleetScenario, HostFaults};
