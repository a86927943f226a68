//! Settlement of usage that differs from the grant of the quota owner.

use crate::decisions::account::AccountId;
use crate::decisions::gossip::{GossipMessage, QuotaRequestId};
use crate::settings::Settings;
use crate::units::{Milliseconds, Tokens, TokensPerSecond};

/// Maximum delay of a settlement without a permit, so that it can share a datagram with other messages.
const MAX_DELAY: Milliseconds = Milliseconds(1000.0);

/// The part of a grant that its request did not use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct UnusedGrant {
    pub tokens: Tokens,
    pub permit: Option<QuotaRequestId>,
}

impl UnusedGrant {
    pub(crate) fn without_permit(tokens: Tokens) -> UnusedGrant {
        UnusedGrant {
            tokens,
            permit: None,
        }
    }
}

/// Tokens to charge (to return if negative) and an optional permit to release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Settlement {
    pub account: AccountId,
    pub cost: Tokens,
    pub permit: Option<QuotaRequestId>,
}

impl Settlement {
    pub(crate) fn for_tokens(account: AccountId, cost: Tokens) -> Settlement {
        Settlement {
            account,
            cost,
            permit: None,
        }
    }

    pub(crate) fn for_permit(account: AccountId, permit: QuotaRequestId) -> Settlement {
        Settlement {
            account,
            cost: Tokens::ZERO,
            permit: Some(permit),
        }
    }

    /// Returns the maximum delay of the message to the owner, or `None` if no message is needed.
    pub(crate) fn max_delay(&self, settings: &Settings) -> Option<Milliseconds> {
        let has_quota = settings.plan(self.account.plan).refill_rate > TokensPerSecond::ZERO;
        if self.permit.is_some() {
            Some(Milliseconds::ZERO)
        } else if self.cost != Tokens::ZERO && has_quota {
            Some(MAX_DELAY)
        } else {
            None
        }
    }

    pub(crate) fn message(&self) -> GossipMessage {
        GossipMessage::SettleUsage {
            plan: self.account.plan,
            cost: self.cost,
            permit: self.permit,
        }
    }
}
