//! The host inside this process: its parts, and events that cross.

mod backoff;
mod budget;
mod clients;
mod discovery;
mod gateway;
mod resp;
mod starts;
mod support;
mod told;
