//! Usage that went ahead while the owner of a quota was silent.

use super::AccountId;
use crate::gossip::{GossipMessage, QuotaRequestId, TenantKey};
use std::collections::BTreeMap;

/// For each tenant the usage that its owner has not been notified of.
#[derive(Default)]
pub(crate) struct UnconfirmedUsage {
    by_tenant: BTreeMap<TenantKey, Usage>,
}

struct Usage {
    account: AccountId,
    last_request: QuotaRequestId,
    cost: f64,
}

impl UnconfirmedUsage {
    /// Adds the cost of a request.
    pub(crate) fn add(&mut self, account: AccountId, request: QuotaRequestId, cost: f64) {
        let usage = self.by_tenant.entry(account.tenant).or_insert(Usage {
            account,
            last_request: request,
            cost: 0.0,
        });
        usage.last_request = request;
        usage.cost += cost;
    }

    /// Takes a report for each tenant, in the order of their keys.
    pub(crate) fn take_reports(
        &mut self,
    ) -> impl Iterator<Item = (AccountId, GossipMessage)> + use<> {
        std::mem::take(&mut self.by_tenant)
            .into_values()
            .map(|usage| {
                let Usage {
                    account,
                    last_request,
                    cost,
                } = usage;
                let plan = account.plan;
                (
                    account,
                    GossipMessage::ReportUnconfirmedUsage {
                        plan,
                        last_request,
                        cost,
                    },
                )
            })
    }

    /// Drops the usage of tenants that are no longer known.
    pub(crate) fn retain_tenants(&mut self, is_known: impl Fn(TenantKey) -> bool) {
        self.by_tenant.retain(|tenant, _| is_known(*tenant));
    }
}
