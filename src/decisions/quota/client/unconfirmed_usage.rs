//! Usage of requests forwarded while the quota owner did not respond.

use crate::decisions::account::AccountId;
use crate::decisions::gossip::{GossipMessage, QuotaRequestId, TenantKey};
use crate::units::Tokens;
use std::collections::BTreeMap;

/// Usage per tenant that has not been reported to the owner yet.
#[derive(Default)]
pub(crate) struct UnconfirmedUsage {
    by_tenant: BTreeMap<TenantKey, Usage>,
}

struct Usage {
    account: AccountId,
    last_request: QuotaRequestId,
    cost: Tokens,
}

impl UnconfirmedUsage {
    pub(crate) fn add(&mut self, account: AccountId, request: QuotaRequestId, cost: Tokens) {
        let usage = self.by_tenant.entry(account.tenant).or_insert(Usage {
            account,
            last_request: request,
            cost: Tokens::ZERO,
        });
        usage.last_request = request;
        usage.cost += cost;
    }

    /// Removes all usage and returns one report per tenant, ordered by tenant key.
    pub(crate) fn take_reports(
        &mut self,
    ) -> impl Iterator<Item = (AccountId, GossipMessage)> + use<> {
        std::mem::take(&mut self.by_tenant)
            .into_values()
            .map(|usage| (usage.account, usage.report()))
    }

    /// Drops the usage of a tenant.
    pub(crate) fn remove(&mut self, tenant: TenantKey) {
        self.by_tenant.remove(&tenant);
    }
}

impl Usage {
    fn report(&self) -> GossipMessage {
        GossipMessage::ReportUnconfirmedUsage {
            plan: self.account.plan,
            last_request: self.last_request,
            cost: self.cost,
        }
    }
}
