//! End-to-end tests of the gateway binary over loopback sockets. Stand-ins replace clients, endpoints,
//! discovery and the peer gateway.

mod attempts;
mod client_connections;
mod client_disconnects_at_shutdown;
mod client_disconnects_during_attempt;
mod client_disconnects_in_groups;
mod client_disconnects_in_pipeline;
mod client_disconnects_while_waiting;
mod configuration;
mod crowds;
mod descriptor_limit;
mod endpoint_connections;
mod endpoint_lists;
mod endpoint_responses;
mod event_log;
mod floods;
mod gossip;
mod graceful_shutdown;
mod log_output;
mod readiness;
mod resource_limits;
mod serving;
mod support;
mod takeover;
