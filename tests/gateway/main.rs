//! The host inside this process: its parts, and events that cross.

mod backoff;
mod budget;
mod clients;
mod discovery;
mod gateway;
mod gossip_socket;
mod resp;
mod starts;
mod support;
mod told;
