//! Retries: when a request may be attempted again, where, and how many retries the budget allows.

use crate::events::AttemptResult;
use crate::records::{PossibleExecution, RetryScope};
use crate::settings::{DeduplicationScope, Idempotency, RequestClass};

/// Retries earned by each request, and the most that are saved up.
pub(super) const RETRIES_PER_REQUEST: f64 = 0.15;
pub(super) const MAX_SAVED_RETRIES: f64 = 10.0;

/// Where a request of this class may be attempted again, if it may, given the first attempt that may have
/// been executed.
pub(super) fn retry_scope(
    class: &RequestClass,
    first: Option<PossibleExecution>,
    now_ms: f64,
) -> Option<RetryScope> {
    let Some(first) = first else { return Some(RetryScope::Anywhere) };
    let in_window = now_ms - first.sent_at_ms < class.deduplication_window.0;
    match class.idempotency {
        Idempotency::Idempotent => Some(RetryScope::Anywhere),
        Idempotency::Keyed(scope) if in_window => Some(RetryScope::Within(scope, first)),
        Idempotency::Keyed(_) | Idempotency::NonIdempotent => None,
    }
}

/// Whether an attempt that ended like this may be followed by another.
pub(super) fn is_retryable(result: AttemptResult) -> bool {
    !matches!(result, AttemptResult::Cancelled | AttemptResult::NeverSent)
}

/// Whether an attempt that ended like this may have been executed.
pub(super) fn may_have_executed(result: AttemptResult) -> bool {
    use AttemptResult::{ConnectFailed, NeverSent, Overloaded};
    !matches!(result, Overloaded | ConnectFailed | NeverSent)
}

/// Whether a client may repeat a request of this class that an endpoint may have executed.
pub(super) fn client_may_repeat(class: &RequestClass) -> bool {
    matches!(class.idempotency, Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All))
}
