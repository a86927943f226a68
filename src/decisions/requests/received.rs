//! What is known of a request from its arrival on, and the durations that it may wait.

use crate::decisions::account::AccountId;
use crate::decisions::gossip::QuotaRequestId;
use crate::decisions::load_shedding::PriorityTier;
use crate::events::Request;
use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp};

/// The fraction of its latency objective for which a request may wait for a permit.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// The fraction of the time until the client's deadline for which a request may wait. A client's retry may
/// have little of it left.
const MAX_CLIENT_WAIT_FRACTION: f64 = 0.5;
/// The fraction of the latency objective after which an owner that has not responded is considered
/// unavailable.
const OWNER_TIMEOUT_FRACTION: f64 = 0.3;

/// A request with what was determined on its arrival.
pub(crate) struct ReceivedRequest {
    pub request: Request,
    pub account: AccountId,
    pub tier: PriorityTier,
    pub arrived_at: Timestamp,
    /// The number under which the owner knows the request.
    pub quota_request: QuotaRequestId,
    /// Until when the request may wait for the owner and for a permit.
    pub wait_deadline: Timestamp,
    /// Until when an answer is of use.
    pub useful_until: Timestamp,
    latency_objective: Milliseconds,
}

impl ReceivedRequest {
    /// A request that has arrived now.
    pub(crate) fn new(
        request: Request,
        tier: PriorityTier,
        quota_request: QuotaRequestId,
        settings: &Settings,
        now: Timestamp,
    ) -> ReceivedRequest {
        let class = settings.class(request.class);
        let latency_objective = class.latency_objective;
        let client_deadline = request.client_deadline;
        let client_wait =
            (client_deadline - now).max(Milliseconds::ZERO) * MAX_CLIENT_WAIT_FRACTION;
        let max_wait = (latency_objective * MAX_WAIT_FRACTION).min(client_wait);
        // A late answer that has no value is not waited for, and its absence is not counted as a failure.
        let late_answers_count = class.late_answer_weight > 0.0;
        let useful_until = if late_answers_count {
            client_deadline
        } else {
            client_deadline.min(now + latency_objective)
        };
        ReceivedRequest {
            account: AccountId::for_request(&request, settings.gateway_count),
            request,
            tier,
            arrived_at: now,
            quota_request,
            wait_deadline: now + max_wait,
            useful_until,
            latency_objective,
        }
    }

    /// When the latency objective of the request ends, or its client stops waiting if that is earlier.
    pub(crate) fn objective_deadline(&self) -> Timestamp {
        let objective_ends_at = self.arrived_at + self.latency_objective;
        objective_ends_at.min(self.request.client_deadline)
    }

    /// Whether an answer now is within the latency objective.
    pub(crate) fn is_in_time(&self, now: Timestamp) -> bool {
        now - self.arrived_at <= self.latency_objective
    }

    /// How long the request waits for the owner's response before it is sent again. Half of the time that the
    /// owner has is for the request that is sent again.
    pub(crate) fn response_timeout(&self) -> Milliseconds {
        let max_wait = self.wait_deadline - self.arrived_at;
        let owner_timeout = self.latency_objective * OWNER_TIMEOUT_FRACTION;
        owner_timeout.min(max_wait / 2.0) / 2.0
    }
}
