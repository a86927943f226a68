//! Counts how requests and attempts end, and logs examples.

use crate::gateway::engine_time::to_duration;
use crate::gateway::event_loop::proxied_request::ProxiedRequest;
use crate::gateway::log::{self, TrafficEvent};
use crate::{AttemptOutcome, AttemptResult, RejectReason};
use metrics::counter;

pub(super) fn request_received() {
    counter!("requests_received").increment(1);
}

pub(super) fn request_served() {
    counter!("requests_served").increment(1);
}

pub(super) fn request_rejected(request: &ProxiedRequest, reason: RejectReason) {
    let reason = reason.as_str();
    counter!("requests_rejected", "reason" => reason).increment(1);
    let request = request.logged();
    log::example(&TrafficEvent::RequestRejected { request, reason });
}

pub(super) fn request_failed(request: &ProxiedRequest) {
    counter!("requests_failed").increment(1);
    let request = request.logged();
    log::example(&TrafficEvent::RequestFailed { request });
}

pub(super) fn request_overdue(request: &ProxiedRequest) {
    counter!("requests_overdue").increment(1);
    let request = request.logged();
    log::example(&TrafficEvent::RequestOverdue { request });
}

pub(super) fn request_abandoned(request: &ProxiedRequest) {
    counter!("requests_abandoned").increment(1);
    let request = request.logged();
    log::example(&TrafficEvent::RequestAbandoned { request });
}

/// Counts an attempt that was started. `number` is 0 for the first attempt of a request.
pub(super) fn attempt_started(number: u32) {
    counter!("attempts_started").increment(1);
    if number > 0 {
        counter!("attempts_retried").increment(1);
    }
}

/// Counts an attempt that ended. `client_request_id` is known while the request is in flight.
pub(super) fn attempt_finished(outcome: &AttemptOutcome, client_request_id: Option<u64>) {
    if outcome.result == AttemptResult::Success {
        return;
    }
    let result = outcome.result.as_str();
    counter!("attempts_failed", "result" => result).increment(1);
    log::example(&TrafficEvent::AttemptFailed {
        client_request_id,
        attempt: outcome.attempt,
        endpoint: &outcome.endpoint,
        result,
        latency: to_duration(outcome.latency),
    });
}
