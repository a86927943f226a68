//! A received request with its deadlines and the time that it may wait.

use crate::decisions::account::AccountId;
use crate::decisions::gossip::QuotaRequestId;
use crate::decisions::load_shedding::PriorityTier;
use crate::events::Request;
use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp};

/// The fraction of the latency objective that a request may spend waiting for a permit.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// The fraction of the time until the client's deadline that a request may spend waiting. The deadline of a
/// client's retry may be close.
const MAX_CLIENT_WAIT_FRACTION: f64 = 0.5;
/// The fraction of the latency objective after which an owner that has not responded counts as unavailable.
const OWNER_TIMEOUT_FRACTION: f64 = 0.3;

/// A request with its account, tier and deadlines, which are determined on arrival.
pub(crate) struct ReceivedRequest {
    pub request: Request,
    pub account: AccountId,
    pub tier: PriorityTier,
    pub arrived_at: Timestamp,
    /// The number that identifies the request to the quota owner.
    pub quota_request: QuotaRequestId,
    /// The latest time until which the request may wait for the owner and for a permit.
    pub wait_deadline: Timestamp,
    /// The deadline of attempts: a later response has no value to the client.
    pub attempt_deadline: Timestamp,
    latency_objective: Milliseconds,
}

impl ReceivedRequest {
    /// Determines the account and the deadlines of a request that arrives at `now`.
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
        // Responses after the latency objective may have no value for the class. Attempts then end at the
        // objective, and no failure is counted for a missing late response.
        let late_answers_have_value = class.late_answer_weight > 0.0;
        let attempt_deadline = if late_answers_have_value {
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
            attempt_deadline,
            latency_objective,
        }
    }

    /// Returns the end of the latency objective or the client deadline, whichever is earlier.
    pub(crate) fn objective_deadline(&self) -> Timestamp {
        let objective_ends_at = self.arrived_at + self.latency_objective;
        objective_ends_at.min(self.request.client_deadline)
    }

    /// Returns whether a response at `now` meets the latency objective.
    pub(crate) fn meets_latency_objective(&self, now: Timestamp) -> bool {
        now - self.arrived_at <= self.latency_objective
    }

    /// Returns how long to wait for the owner's response before sending the quota request again. It is half
    /// of the time allowed to the owner; the other half is for the second attempt.
    pub(crate) fn response_timeout(&self) -> Milliseconds {
        let max_wait = self.wait_deadline - self.arrived_at;
        let owner_timeout = self.latency_objective * OWNER_TIMEOUT_FRACTION;
        owner_timeout.min(max_wait / 2.0) / 2.0
    }
}
