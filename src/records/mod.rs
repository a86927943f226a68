//! Storage for the decision engine: tables, pools and queues that hold what the decisions need and decide nothing.
//!
//! What to store, for how long, and what follows from it is chosen in [`crate::decisions`], which passes it in.

mod action_sink;
mod bounded_history;
mod client_ledger;
mod expiring_map;
mod gossip_outbox;
mod owner_ledger;
mod permit_pool;
mod quota;
mod request_table;
mod requests;
mod tenants;
mod unconfirmed_usage;

pub(crate) use action_sink::{ActionSink, TimerPurpose};
use bounded_history::BoundedHistory;
pub(crate) use client_ledger::{ClientLedger, ReceivedState};
use expiring_map::ExpiringMap;
pub(crate) use gossip_outbox::OutboxLimits;
pub(crate) use owner_ledger::{OwnerLedger, OwnerLedgerParameters};
use permit_pool::PermitPool;
pub(crate) use quota::{ClientTerms, LeasePlan, LocalPermits, OwnerTerms};
pub(crate) use request_table::RequestTable;
pub(crate) use requests::{AccountId, Authorization, InFlightRequest, PendingRequest, WaitingFor};
pub(crate) use tenants::{Tenant, Tenants};
pub(crate) use unconfirmed_usage::UnconfirmedUsage;
