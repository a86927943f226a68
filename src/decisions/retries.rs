//! Retries: whether a request may be attempted again after an attempt has failed, on which endpoints, and
//! how many retries the retry budget allows.

use crate::events::{AttemptResult, CellId, ClassIndex, ZoneId};
use crate::settings::{DeduplicationScope, Idempotency, RequestClass, Settings};
use crate::units::Timestamp;
use std::sync::Arc;

/// The retries that each request adds to the budget. The budget keeps retries at a fraction of the
/// requests, so that they cannot multiply an overload ("Handling Overload" in the SRE book).
const RETRIES_PER_REQUEST: f64 = 0.15;
/// The most retries that are saved up in the budget.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// What one retry takes from the budget.
const RETRY_COST: f64 = 1.0;

/// An attempt that an endpoint may have executed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PossibleExecution {
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Timestamp,
}

/// The endpoints on which a request may be attempted.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RetryScope {
    Anywhere,
    /// Those that discard a duplicate of a request that the endpoint of this attempt executed.
    Within(DeduplicationScope, PossibleExecution),
}

impl RetryScope {
    /// Whether endpoints of this zone and cell are in the scope.
    pub(crate) fn includes(&self, zone: ZoneId, cell: CellId) -> bool {
        match self {
            RetryScope::Within(DeduplicationScope::Zone, first) => zone == first.zone,
            RetryScope::Within(DeduplicationScope::Cell, first) => cell == first.cell,
            RetryScope::Within(DeduplicationScope::All, _) | RetryScope::Anywhere => true,
        }
    }
}

/// Inputs to the decision on a retry, after an attempt has failed.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub class: ClassIndex,
    /// The number of attempts of the request so far.
    pub attempts: u32,
    pub result: AttemptResult,
    /// The first attempt of the request that may have been executed.
    pub first_execution: Option<PossibleExecution>,
}

/// Decides on retries, within a retry budget.
pub(crate) struct RetryPolicy {
    settings: Arc<Settings>,
    budget: RetryBudget,
}

impl RetryPolicy {
    /// A policy whose budget is full.
    pub(crate) fn new(settings: Arc<Settings>) -> RetryPolicy {
        RetryPolicy {
            settings,
            budget: RetryBudget::full(MAX_SAVED_RETRIES),
        }
    }

    /// Adds to the budget for a request that has arrived.
    pub(crate) fn request_arrived(&mut self) {
        self.budget.deposit(RETRIES_PER_REQUEST);
    }

    /// Takes a retry from the budget.
    pub(crate) fn retry_started(&mut self) {
        self.budget.withdraw(RETRY_COST);
    }

    /// Where a request may be attempted again after an attempt has failed. Returns `None` if it may not, or
    /// if the budget does not allow it.
    pub(crate) fn retry_scope(&self, failed: &FailedAttempt, now: Timestamp) -> Option<RetryScope> {
        let max_attempts = self.settings.max_attempts;
        let exhausted = max_attempts > 0 && failed.attempts >= max_attempts;
        let affordable = self.budget.balance() >= RETRY_COST;
        if exhausted || !affordable || !is_retryable(failed.result) {
            return None;
        }
        let class = self.settings.class(failed.class);
        match failed.first_execution {
            Some(first) => deduplicated_scope(class, first, now),
            None => Some(RetryScope::Anywhere),
        }
    }

    /// Whether a client may repeat a request of this class that an endpoint may have executed.
    pub(crate) fn client_may_repeat(&self, class: ClassIndex) -> bool {
        matches!(
            self.settings.class(class).idempotency,
            Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All)
        )
    }
}

/// Where a request of this class may be attempted again that may have been executed once.
fn deduplicated_scope(
    class: &RequestClass,
    first: PossibleExecution,
    now: Timestamp,
) -> Option<RetryScope> {
    let window = class.deduplication_window;
    match class.idempotency {
        Idempotency::Idempotent => Some(RetryScope::Anywhere),
        Idempotency::Keyed(scope) if now - first.sent_at < window => {
            Some(RetryScope::Within(scope, first))
        }
        Idempotency::Keyed(_) | Idempotency::NonIdempotent => None,
    }
}

/// Whether an attempt that ended like this may be followed by another.
fn is_retryable(result: AttemptResult) -> bool {
    !matches!(result, AttemptResult::Cancelled | AttemptResult::NeverSent)
}

/// Whether an attempt that ended like this may have been executed.
pub(crate) fn may_have_executed(result: AttemptResult) -> bool {
    use AttemptResult::{ConnectFailed, NeverSent, Overloaded};
    !matches!(result, Overloaded | ConnectFailed | NeverSent)
}

/// The number of retries that may be made. Each request adds a fraction of a retry, and each retry takes one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    balance: f64,
    limit: f64,
}

impl RetryBudget {
    /// A budget that holds as many retries as the limit allows.
    #[must_use]
    pub fn full(limit: f64) -> Self {
        RetryBudget {
            balance: limit,
            limit,
        }
    }

    /// The retries that are left; below zero if more were taken.
    #[must_use]
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Adds retries, up to the limit.
    pub fn deposit(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(self.limit);
    }

    /// Takes retries.
    pub fn withdraw(&mut self, retries: f64) {
        self.balance -= retries;
    }
}
