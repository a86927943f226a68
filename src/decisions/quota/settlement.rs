//! The settlement of usage that differs from what the owner of a quota granted.

use crate::decisions::account::AccountId;
use crate::decisions::gossip::{GossipMessage, QuotaRequestId};
use crate::settings::Settings;
use crate::units::{Milliseconds, Tokens, TokensPerSecond};

/// A settlement without a permit may wait this long for a datagram that is sent anyway.
const MAX_DELAY: Milliseconds = Milliseconds(1000.0);

/// What was granted to a request and is not used by it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Unused {
    pub tokens: Tokens,
    pub permit: Option<QuotaRequestId>,
}

impl Unused {
    /// Unused tokens without a permit.
    pub(crate) fn tokens(tokens: Tokens) -> Unused {
        Unused {
            tokens,
            permit: None,
        }
    }
}

/// Tokens to charge, or to return where negative, and a permit to release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Settlement {
    pub account: AccountId,
    pub cost: Tokens,
    pub permit: Option<QuotaRequestId>,
}

impl Settlement {
    /// A settlement of tokens only.
    pub(crate) fn of_tokens(account: AccountId, cost: Tokens) -> Settlement {
        Settlement {
            account,
            cost,
            permit: None,
        }
    }

    /// The release of a permit.
    pub(crate) fn of_permit(account: AccountId, permit: QuotaRequestId) -> Settlement {
        Settlement {
            account,
            cost: Tokens::ZERO,
            permit: Some(permit),
        }
    }

    /// How long the message to the owner may wait for a datagram; `None` if no message is needed.
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

    /// The message to the owner.
    pub(crate) fn message(&self) -> GossipMessage {
        GossipMessage::SettleUsage {
            plan: self.account.plan,
            cost: self.cost,
            permit: self.permit,
        }
    }
}
