//! Requests that have not been forwarded yet, and the quota grants that let them be forwarded.

use super::ReceivedRequest;
use crate::decisions::gossip::QuotaRequestId;
use crate::events::GatewayId;
use crate::units::{Milliseconds, Timestamp};

/// A request that waits for a quota grant or a permit.
pub(crate) struct PendingRequest {
    pub received: ReceivedRequest,
    pub state: WaitState,
    /// The end of the wait, when the timer of the request fires.
    pub waits_until: Timestamp,
}

/// What a pending request is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitState {
    /// A quota request has been sent to the owner and its response is outstanding.
    AwaitingOwner,
    /// The quota request has been sent again, because it or the response was probably lost.
    AwaitingOwnerAgain,
    /// The owner has queued the request until a permit is free.
    QueuedByOwner,
    /// All local permits of this gateway are in use. The request already has its tokens.
    AwaitingLocalPermit { grant: QuotaGrant },
}

/// The basis on which a request is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaGrant {
    /// No confirmation by the owner: its response did not arrive in time.
    Unconfirmed {
        /// Whether the request has waited for a local permit since. Only then are its tokens returned if it
        /// is rejected later.
        waited_for_permit: bool,
    },
    /// Tokens that the owner granted in advance of the request.
    Prefetched,
    /// The owner's grant for this request. It includes a permit if the gateways of the shard share the
    /// permits.
    Granted(QuotaRequestId),
    /// The permit of an earlier, finished request of the tenant. The tokens of this request were settled as
    /// used.
    InheritedPermit(QuotaRequestId),
}

impl QuotaGrant {
    /// No response by the owner, and no wait for a local permit.
    pub(crate) const UNCONFIRMED: QuotaGrant = QuotaGrant::Unconfirmed {
        waited_for_permit: false,
    };

    /// Returns the number of the quota request for which the owner leased the permit, or `None` without such
    /// a lease.
    pub(crate) fn permit(self) -> Option<QuotaRequestId> {
        match self {
            QuotaGrant::Granted(permit) | QuotaGrant::InheritedPermit(permit) => Some(permit),
            QuotaGrant::Unconfirmed { .. } | QuotaGrant::Prefetched => None,
        }
    }

    /// Returns whether the owner has granted the tokens of this request.
    pub(crate) fn covers_cost(self) -> bool {
        matches!(self, QuotaGrant::Granted(_) | QuotaGrant::Prefetched)
    }

    /// Returns whether the tokens are returned if the request is rejected after all.
    pub(crate) fn is_returned_on_rejection(self) -> bool {
        self != QuotaGrant::UNCONFIRMED
    }

    /// Marks an unconfirmed grant as having waited for a local permit.
    fn after_permit_wait(self) -> QuotaGrant {
        match self {
            QuotaGrant::Unconfirmed { .. } => QuotaGrant::Unconfirmed {
                waited_for_permit: true,
            },
            grant => grant,
        }
    }
}

impl PendingRequest {
    /// Creates a request that waits for the first response of the owner. Without gossip no response can
    /// arrive, so the wait ends at once.
    pub(crate) fn awaiting_owner(
        received: ReceivedRequest,
        gossip_enabled: bool,
    ) -> PendingRequest {
        let timeout = if gossip_enabled {
            received.response_timeout()
        } else {
            Milliseconds::ZERO
        };
        PendingRequest {
            waits_until: received.arrived_at + timeout,
            state: WaitState::AwaitingOwner,
            received,
        }
    }

    /// Restarts the wait after the quota request has been sent again. The second wait is as long as the
    /// first.
    pub(crate) fn awaiting_owner_again(self) -> PendingRequest {
        // Computed in one operation, because adding the duration of the first wait to the current time would
        // round differently.
        let arrived_at = self.received.arrived_at.as_f64();
        let waits_until = Timestamp(2.0 * self.waits_until.as_f64() - arrived_at);
        PendingRequest {
            state: WaitState::AwaitingOwnerAgain,
            waits_until,
            ..self
        }
    }

    /// Creates a request that waits in the owner's permit queue until its wait deadline.
    pub(crate) fn queued_by_owner(received: ReceivedRequest) -> PendingRequest {
        PendingRequest {
            waits_until: received.wait_deadline,
            state: WaitState::QueuedByOwner,
            received,
        }
    }

    /// Updates the request after the owner has responded that it is queued. If the request already has its
    /// tokens, a later grant overtook this response, and it keeps waiting for a local permit.
    pub(crate) fn on_queued(self) -> PendingRequest {
        match self.state {
            WaitState::AwaitingLocalPermit { grant } => {
                PendingRequest::awaiting_local_permit(self.received, grant)
            }
            _ => PendingRequest::queued_by_owner(self.received),
        }
    }

    /// Creates a request that waits for a local permit until its wait deadline.
    pub(crate) fn awaiting_local_permit(
        received: ReceivedRequest,
        grant: QuotaGrant,
    ) -> PendingRequest {
        let grant = grant.after_permit_wait();
        PendingRequest {
            waits_until: received.wait_deadline,
            state: WaitState::AwaitingLocalPermit { grant },
            received,
        }
    }

    /// Returns whether the request waits for a permit of the owner or a local permit.
    pub(crate) fn awaits_permit(&self) -> bool {
        matches!(
            self.state,
            WaitState::QueuedByOwner | WaitState::AwaitingLocalPermit { .. }
        )
    }

    /// Returns the permit that the owner has leased to a request that waits for a local permit.
    pub(crate) fn leased_permit(&self) -> Option<QuotaRequestId> {
        match self.state {
            WaitState::AwaitingLocalPermit { grant } => grant.permit(),
            _ => None,
        }
    }

    /// Returns the grant with which the request is forwarded after it has received a local permit.
    pub(crate) fn grant_with_local_permit(&self, gateway: GatewayId) -> QuotaGrant {
        match self.state {
            WaitState::AwaitingLocalPermit { grant } => grant,
            // The shard has shrunk since the request was queued, and its gateways no longer share permits.
            WaitState::QueuedByOwner if self.received.account.owner == gateway => {
                QuotaGrant::Granted(self.received.quota_request)
            }
            _ => QuotaGrant::Unconfirmed {
                waited_for_permit: true,
            },
        }
    }
}
