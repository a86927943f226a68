//! The requests that a gateway is processing: pending requests, which wait for a quota grant or a permit, and
//! requests in flight.

mod in_flight;
mod pending;
mod received;
mod table;

pub(crate) use in_flight::InFlightRequest;
pub(crate) use pending::{PendingRequest, QuotaGrant, WaitState};
pub(crate) use received::ReceivedRequest;
pub(crate) use table::{LateGrant, RequestTable};
