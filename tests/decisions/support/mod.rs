//! Test doubles for the environment of a decision engine: gateways, endpoints, clients and the network
//! between them.

pub mod actions;
pub mod gateway;
pub mod gateway_pair;
pub mod gossip_text;
pub mod quota_fleet;
pub mod recorded_gossip;
pub mod recorded_scenario;
pub mod requests;
pub mod settings;
pub mod slow_start_fleet;
pub mod workload;
