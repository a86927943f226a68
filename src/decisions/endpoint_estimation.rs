//! How endpoints are estimated.

use super::{DEMAND_WINDOW_MS, fleet_scale};
use crate::endpoint_model::EstimationParameters;
use crate::settings::Settings;

/// The latency to expect at an endpoint may be this part of the latency objective, as latencies scatter
/// widely around it. With many gateways, which can only guess at an endpoint's load, half as much again.
const OBJECTIVE_FRACTION: f64 = 0.19;
/// What one of hundreds of gateways has in flight tells nothing of the others' part.
pub(super) const MAX_SIMILAR_PEERS: f64 = 3.0;

/// The parameters of the estimates.
pub(super) fn estimation_parameters(settings: &Settings) -> EstimationParameters {
    let known_part = (MAX_SIMILAR_PEERS / f64::from(settings.gateway_count)).min(1.0);
    EstimationParameters {
        in_flight_window_ms: DEMAND_WINDOW_MS,
        // Short, so that an endpoint that failed is tried again.
        failure_window_ms: 4000.0,
        report_window_ms: 1000.0,
        service_time_window_ms: 20_000.0,
        requests_that_double_latency: 2.0,
        peer_similarity: 0.5,
        max_similar_peers: MAX_SIMILAR_PEERS,
        // By the guaranteed minimum alone an endpoint looks too slow until it is warm.
        warmup_optimism: 0.6,
        oldest_attempt_fraction: 0.5,
        smoothing: 0.04,
        // An endpoint without capacity is seldom chosen, and one of hundreds of gateways has few answers from
        // each.
        rare_smoothing: 0.3,
        rare_answer_ms: 3000.0,
        fleet_smoothing: 0.02,
        report_smoothing: 0.1,
        failure_value: 2.0,
        min_latency_ms: 0.1,
        initial_latency_fraction: 0.25,
        initial_latency_answers: 4.0,
        min_weight: 1e-3,
        capacity_fraction: OBJECTIVE_FRACTION * (1.5 - 0.5 * known_part),
        fleet_scale: fleet_scale(settings),
    }
}
