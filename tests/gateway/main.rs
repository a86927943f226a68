//! The gateway inside the test's process: its parts, and races between events that have to be forced.

mod bind;
mod budget;
mod client_connections;
mod client_listener;
mod client_requests;
mod client_responses;
mod discovery;
mod discovery_schedule;
mod gateway;
mod gossip_socket;
mod log;
mod notification_deadline;
mod resp;
mod stand_in_discovery;
mod support;
