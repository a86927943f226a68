//! Requests that have been forwarded to an endpoint and have not ended.

use super::{QuotaGrant, ReceivedRequest};
use crate::decisions::retries::PossibleExecution;
use crate::units::Timestamp;

/// A request from its first attempt until its last attempt has ended.
pub(crate) struct InFlightRequest {
    pub received: ReceivedRequest,
    pub grant: QuotaGrant,
    pub attempts: u32,
    pub client_disconnected: bool,
    /// When to renew the lease of the permit.
    pub renew_permit_at: Timestamp,
    /// The first attempt that may have been executed, which limits where the request may be retried.
    pub first_execution: Option<PossibleExecution>,
}

impl InFlightRequest {
    /// Creates the record of a request whose first attempt is about to start.
    pub(crate) fn new(received: ReceivedRequest, grant: QuotaGrant) -> InFlightRequest {
        InFlightRequest {
            received,
            grant,
            attempts: 0,
            client_disconnected: false,
            renew_permit_at: Timestamp::ZERO,
            first_execution: None,
        }
    }

    /// Returns whether the request was forwarded without a grant, so that a late grant still confirms it.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        matches!(self.grant, QuotaGrant::Unconfirmed { .. })
    }
}
