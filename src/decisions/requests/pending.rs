//! Requests that are not forwarded yet, and the grants on which they are forwarded.

use super::ReceivedRequest;
use crate::decisions::gossip::QuotaRequestId;
use crate::events::GatewayId;
use crate::units::{Milliseconds, Timestamp};

/// A request that waits for its quota or for a permit.
pub(crate) struct PendingRequest {
    pub received: ReceivedRequest,
    pub state: WaitState,
    /// When the wait ends, and the timer of the request fires.
    pub waits_until: Timestamp,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitState {
    /// The owner has been asked, and its response is awaited.
    AwaitingOwner,
    /// The owner has been asked again, since the first message or the response to it was lost.
    AwaitingOwnerAgain,
    /// The owner has put the request into its queue for a permit.
    QueuedByOwner,
    /// All permits of this gateway's own are in use. The request has its tokens already.
    AwaitingLocalPermit { grant: QuotaGrant },
}

/// What a request is forwarded on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaGrant {
    /// Nothing that the owner has confirmed: its response did not come in time.
    Unconfirmed {
        /// Whether the request has waited for a permit of this gateway's own since. Only then are its tokens
        /// returned if it is rejected after all.
        waited_for_permit: bool,
    },
    /// Tokens that the owner granted in advance.
    Prefetched,
    /// The owner's grant of this request, and its permit where the gateways of the shard share the permits.
    Granted(QuotaRequestId),
    /// The permit of an earlier request of the tenant, which has ended. The tokens were settled as used.
    InheritedPermit(QuotaRequestId),
}

impl QuotaGrant {
    /// The owner's response did not come in time.
    pub(crate) const UNCONFIRMED: QuotaGrant = QuotaGrant::Unconfirmed {
        waited_for_permit: false,
    };

    /// The request under whose number the owner has leased the permit.
    pub(crate) fn permit(self) -> Option<QuotaRequestId> {
        match self {
            QuotaGrant::Granted(permit) | QuotaGrant::InheritedPermit(permit) => Some(permit),
            QuotaGrant::Unconfirmed { .. } | QuotaGrant::Prefetched => None,
        }
    }

    /// Whether the owner has granted the tokens of this request.
    pub(crate) fn covers_cost(self) -> bool {
        matches!(self, QuotaGrant::Granted(_) | QuotaGrant::Prefetched)
    }

    /// Whether the tokens are returned if the request is rejected after all.
    pub(crate) fn is_returned_on_rejection(self) -> bool {
        self != QuotaGrant::UNCONFIRMED
    }

    /// The same grant after the request has waited for a permit of this gateway's own.
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
    /// A request that has just arrived and waits for the owner's response. Without gossip there is none to
    /// wait for.
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

    /// A request that was sent to the owner again. It waits as long for the second response as for the first.
    pub(crate) fn awaiting_owner_again(self) -> PendingRequest {
        // In one operation: the sum of the time and the duration of the first wait would round differently.
        let arrived_at = self.received.arrived_at.as_f64();
        let waits_until = Timestamp(2.0 * self.waits_until.as_f64() - arrived_at);
        PendingRequest {
            state: WaitState::AwaitingOwnerAgain,
            waits_until,
            ..self
        }
    }

    /// A request in the owner's queue for a permit.
    pub(crate) fn queued_by_owner(received: ReceivedRequest) -> PendingRequest {
        PendingRequest {
            waits_until: received.wait_deadline,
            state: WaitState::QueuedByOwner,
            received,
        }
    }

    /// The request after the owner has responded that it is in the queue. A request that has its tokens
    /// already goes on waiting for a permit of this gateway's own: the response was overtaken by the grant.
    pub(crate) fn on_queued(self) -> PendingRequest {
        match self.state {
            WaitState::AwaitingLocalPermit { grant } => {
                PendingRequest::awaiting_local_permit(self.received, grant)
            }
            _ => PendingRequest::queued_by_owner(self.received),
        }
    }

    /// A request that waits for a permit of this gateway's own.
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

    /// Whether the request waits for a permit, be it the owner's or this gateway's own.
    pub(crate) fn awaits_permit(&self) -> bool {
        matches!(
            self.state,
            WaitState::QueuedByOwner | WaitState::AwaitingLocalPermit { .. }
        )
    }

    /// The permit that the owner has leased to the request, if it waits with one.
    pub(crate) fn leased_permit(&self) -> Option<QuotaRequestId> {
        match self.state {
            WaitState::AwaitingLocalPermit { grant } => grant.permit(),
            _ => None,
        }
    }

    /// What the request is forwarded on once this gateway has a permit of its own for it.
    pub(crate) fn grant_with_local_permit(&self, gateway: GatewayId) -> QuotaGrant {
        match self.state {
            WaitState::AwaitingLocalPermit { grant } => grant,
            // The shard has become smaller meanwhile, so that its gateways no longer share the permits.
            WaitState::QueuedByOwner if self.received.account.owner == gateway => {
                QuotaGrant::Granted(self.received.quota_request)
            }
            _ => QuotaGrant::Unconfirmed {
                waited_for_permit: true,
            },
        }
    }
}
