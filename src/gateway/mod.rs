//! The gateway on real sockets: clients on one side, endpoints on the other, and the decisions of
//! [`crate::DecisionEngine`] between them.
//!
//! # Tasks
//!
//! Everything runs on one thread, in one `LocalSet`. These tasks run as long as the process:
//!
//! | task | module | job |
//! | --- | --- | --- |
//! | main | [`run`] | startup, accepting clients, shutdown |
//! | timers | [`event_loop`] | fires what is due: timers of the engine, attempts, deadlines |
//! | client expiry | [`clients`] | closes connections whose time is up |
//! | gossip | [`gossip_socket`] | receives datagrams of other gateways, if gossip is enabled |
//! | discovery | [`discovery`] | keeps the endpoint list up to date |
//! | reload | `signals` | reads the configuration again on SIGHUP |
//!
//! Besides these, each client connection, each endpoint connection and each attempt that opens a connection has a
//! task of its own.
//!
//! # State
//!
//! [`event_loop::EventLoop`] owns the engine, the requests in flight, the endpoint pool and the timers. Every task
//! borrows it for the length of one call and never across an `await`. [`clients::ClientConnections`]
//! owns the client connections. The discovery task owns the revision of the list and its [`discovery::PollSchedule`].
//!
//! # Life of the process
//!
//! `process` calls `startup`, serves until `signals` reports SIGTERM or SIGINT, and calls `shutdown`. [`bind`]
//! waits for addresses that the previous incarnation still uses, [`configuration`] reads the configuration, and
//! [`log`] writes every line of the log.


mod background_tasks;
pub mod bind;
pub mod clients;
pub mod configuration;
mod configuration_error;
pub mod discovery;
mod endpoints;
mod engine_time;
pub mod event_loop;
pub mod gossip_socket;
pub mod log;
pub mod memory_budget;
mod process;
pub mod resp;
mod shutdown;
mod signals;
mod startup;
mod startup_error;

pub use process::run;
pub use startup_error::StartupError;
