//! Records that the components of the decision engine share.

use crate::events::{CellId, ZoneId};
use crate::settings::DeduplicationScope;

/// A tier of priority, counted from the highest, 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PriorityTier(pub usize);

/// The endpoints on which a request may be attempted.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RetryScope {
    Anywhere,
    /// Those that drop a repeat of what ran there.
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

/// An attempt that an endpoint may have executed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PossibleExecution {
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at_ms: f64,
}
