//! Tests that run the gateway's components inside the test process, where races between events can be forced.

mod bind;
mod budget;
mod client_connections;
mod client_listener;
mod client_pace;
mod client_requests;
mod client_response_memory;
mod client_responses;
mod discovery;
mod discovery_fleet;
mod discovery_schedule;
mod gateway;
mod gossip_socket;
mod log;
mod log_output;
mod notification_deadline;
mod panics;
mod resp;
mod slow_discovery;
mod stand_in_discovery;
mod support;
mod uptime;
