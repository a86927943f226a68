//! Retry policy: whether and on which endpoints a failed request may be retried, limited by a retry budget.

use crate::events::{AttemptResult, CellId, ClassIndex, ZoneId};
use crate::settings::{DeduplicationScope, Idempotency, RequestClass, Settings};
use crate::units::Timestamp;
use std::sync::Arc;

/// Retries that each request adds to the budget. The budget limits retries to this fraction of requests, so
/// that they cannot amplify an overload ("Handling Overload" in the SRE book).
const RETRIES_PER_REQUEST: f64 = 0.15;
/// The most retries that the budget can accumulate.
const MAX_SAVED_RETRIES: f64 = 10.0;
const RETRY_COST: f64 = 1.0;

/// The location and start time of an attempt that an endpoint may have executed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PossibleExecution {
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Timestamp,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum RetryScope {
    Anywhere,
    /// Endpoints within the deduplication scope of this possible execution. They discard duplicates of it.
    Within(DeduplicationScope, PossibleExecution),
}

impl RetryScope {
    pub(crate) fn includes(&self, zone: ZoneId, cell: CellId) -> bool {
        match self {
            RetryScope::Within(DeduplicationScope::Zone, first) => zone == first.zone,
            RetryScope::Within(DeduplicationScope::Cell, first) => cell == first.cell,
            RetryScope::Within(DeduplicationScope::All, _) | RetryScope::Anywhere => true,
        }
    }
}

/// The inputs of a retry decision after a failed attempt.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub class: ClassIndex,
    /// Attempts of the request so far, including the failed one.
    pub attempts: u32,
    pub result: AttemptResult,
    /// The first attempt that may have been executed, if any.
    pub first_execution: Option<PossibleExecution>,
}

/// Decides whether failed requests are retried, within a retry budget.
pub(crate) struct RetryPolicy {
    settings: Arc<Settings>,
    budget: RetryBudget,
}

impl RetryPolicy {
    /// Creates a policy with a full retry budget.
    pub(crate) fn new(settings: Arc<Settings>) -> RetryPolicy {
        RetryPolicy {
            settings,
            budget: RetryBudget::full(MAX_SAVED_RETRIES),
        }
    }

    /// Credits the budget for a new request.
    pub(crate) fn request_arrived(&mut self) {
        self.budget.deposit(RETRIES_PER_REQUEST);
    }

    /// Charges one retry to the budget.
    pub(crate) fn retry_started(&mut self) {
        self.budget.withdraw(RETRY_COST);
    }

    /// Returns the endpoints on which a request may be retried. Returns `None` if it has used all its
    /// attempts, the budget is exhausted, the result is not retryable, or a retry could execute the request
    /// twice.
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

    /// Returns whether a client may safely retry a request of this class that may have been executed.
    pub(crate) fn client_may_retry(&self, class: ClassIndex) -> bool {
        matches!(
            self.settings.class(class).idempotency,
            Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All)
        )
    }
}

/// Returns the endpoints on which a request may be retried although it may have been executed once.
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

/// Returns whether an attempt with this result may be retried.
fn is_retryable(result: AttemptResult) -> bool {
    !matches!(result, AttemptResult::Cancelled | AttemptResult::NeverSent)
}

/// Returns whether an endpoint may have executed an attempt with this result.
pub(crate) fn may_have_executed(result: AttemptResult) -> bool {
    use AttemptResult::{ConnectFailed, NeverSent, Overloaded};
    !matches!(result, Overloaded | ConnectFailed | NeverSent)
}

/// A budget of retries: each request adds a fraction of a retry, and each retry takes one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    balance: f64,
    limit: f64,
}

impl RetryBudget {
    /// Creates a budget whose balance is at its limit.
    #[must_use]
    pub fn full(limit: f64) -> Self {
        RetryBudget {
            balance: limit,
            limit,
        }
    }

    /// The number of retries left. It is negative if the budget is overdrawn.
    #[must_use]
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Adds retries to the balance, up to the limit.
    pub fn deposit(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(self.limit);
    }

    /// Subtracts retries from the balance, which may become negative.
    pub fn withdraw(&mut self, retries: f64) {
        self.balance -= retries;
    }
}
