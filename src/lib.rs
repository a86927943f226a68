//! A gateway that enforces fleet-wide tenant quotas, sheds load by priority, and balances requests over
//! endpoints.
//!
//! [`DecisionEngine`] makes all decisions of one gateway. The caller passes each [`Event`] to the engine with
//! its time and executes the [`Action`]s that the engine returns. The engine performs no I/O and reads no
//! clock. Its random numbers depend only on the seed passed at creation, so the same events always produce
//! the same actions. The [`gateway`] module connects an engine to real sockets.
//!
//! ```
//! use marlshelf::{
//!     Action, CellId, ClassIndex, DecisionEngine, Endpoint, EndpointListKind, EndpointState, Event,
//!     GatewayId, HardwareId, Idempotency, Milliseconds, Plan, PlanIndex, Request, RequestClass, RequestId,
//!     Settings, Timestamp, Tokens, TokensPerSecond, ZoneId,
//! };
//!
//! let settings = Settings {
//!     gateway_count: 1,
//!     classes: vec![RequestClass {
//!         idempotency: Idempotency::Idempotent,
//!         latency_objective: Milliseconds(500.0),
//!         priority_weight: 1.0,
//!         ..RequestClass::default()
//!     }],
//!     plans: vec![Plan {
//!         refill_rate: TokensPerSecond(10.0),
//!         burst: Tokens(20.0),
//!         weight: 1.0,
//!         ..Plan::default()
//!     }],
//!     ..Settings::default()
//! };
//! let mut engine = DecisionEngine::new(settings, 7)?;
//! let endpoint = Endpoint {
//!     name: "endpoint-1".into(),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     hardware: HardwareId(0),
//!     weight: 1.0,
//!     state: EndpointState::Ready,
//!     started_at: Timestamp(0.0),
//! };
//! let list = Event::EndpointsChanged { kind: EndpointListKind::Snapshot, endpoints: vec![endpoint] };
//! engine.handle_event(Timestamp(0.0), list);
//! let request = Request {
//!     id: RequestId(1),
//!     tenant: "acme".into(),
//!     class: ClassIndex(0),
//!     plan: PlanIndex(0),
//!     cost: Tokens(1.0),
//!     shard_start: GatewayId(0),
//!     shard_size: 1,
//!     client_deadline: Timestamp(1000.0),
//!     is_retry: false,
//! };
//! let actions = engine.handle_event(Timestamp(1.0), Event::RequestReceived(request));
//! assert!(actions.iter().any(|action| matches!(action, Action::Forward { request: RequestId(1), .. })));
//! # Ok::<(), marlshelf::SettingsError>(())
//! ```

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

mod decisions;
mod engine;
mod events;
pub mod gateway;
mod settings;
pub mod statistics;
mod token_bucket;
mod units;

pub use decisions::load_shedding::{PriorityTier, PriorityTiers};
pub use decisions::retries::RetryBudget;
pub use engine::DecisionEngine;
pub use events::*;
pub use settings::*;
pub use token_bucket::{BucketLimits, Refill, TokenBucket};
pub use units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};
