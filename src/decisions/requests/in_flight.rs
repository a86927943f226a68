//! Requests that have been forwarded.

use super::{QuotaGrant, ReceivedRequest};
use crate::decisions::retries::PossibleExecution;
use crate::units::Timestamp;

/// A request that has been forwarded and whose last attempt has not ended.
pub(crate) struct InFlightRequest {
    pub received: ReceivedRequest,
    pub grant: QuotaGrant,
    pub attempts: u32,
    pub client_disconnected: bool,
    /// When the lease of the permit is to be renewed next.
    pub renew_permit_at: Timestamp,
    /// The first attempt that may have been executed.
    pub first_execution: Option<PossibleExecution>,
}

impl InFlightRequest {
    /// A request whose first attempt is about to start.
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

    /// Whether a late grant for the request confirms it: it was forwarded without one.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        matches!(self.grant, QuotaGrant::Unconfirmed { .. })
    }
}
