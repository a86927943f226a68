//! How the model of the endpoints estimates and learns.

use crate::settings::Settings;
use std::sync::Arc;

/// The figures that estimates and learning go by. Which values they have is a decision.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EstimationParameters {
    /// The number of attempts in flight is averaged over this time.
    pub in_flight_window_ms: f64,
    /// Failures of an endpoint are forgotten over this time.
    pub failure_window_ms: f64,
    /// A load report loses its weight over this time.
    pub report_window_ms: f64,
    /// The service time learned of an endpoint gives way to that of its hardware over this time.
    pub service_time_window_ms: f64,
    /// So many other requests in flight at an endpoint make its answer take twice as long.
    pub requests_that_double_latency: f64,
    /// Peers are taken to have at least this part of this gateway's own attempts in flight at an endpoint.
    pub peer_similarity: f64,
    /// No more peers than these are taken to be like this gateway.
    pub max_similar_peers: f64,
    /// The part of what is missing, times the guaranteed minimum, that a warming endpoint is taken to do beyond it.
    pub warmup_optimism: f64,
    /// An endpoint is expected to take at least this part of the age of its oldest attempt.
    pub oldest_attempt_fraction: f64,
    /// The smoothing factor of one answer for the service time and failure rate of its endpoint.
    pub smoothing: f64,
    /// The same for an endpoint that seems to have no capacity, and the most for answers that are rare.
    pub rare_smoothing: f64,
    /// From about this time between them on, answers of an endpoint are rare.
    pub rare_answer_ms: f64,
    /// The smoothing factor of one answer for the whole fleet of endpoints.
    pub fleet_smoothing: f64,
    /// The smoothing factor of one report for the mean load of all endpoints.
    pub report_smoothing: f64,
    /// What a failure counts in the failure rate.
    pub failure_value: f64,
    /// Shorter latencies are taken as this long.
    pub min_latency_ms: f64,
    /// The mean latency is first taken as this part of the shortest latency objective.
    pub initial_latency_fraction: f64,
    /// That guess counts as so many answers.
    pub initial_latency_answers: f64,
    /// The weight of an endpoint that is registered with none, or with less.
    pub min_weight: f64,
    /// The part of a latency objective beyond which an idle endpoint seems to have no capacity.
    pub capacity_fraction: f64,
    /// How near the fleet of gateways is to a large one, from 0 to 1.
    pub fleet_scale: f64,
}

/// The parameters, and the settings that they belong to.
#[derive(Clone)]
pub(crate) struct ModelContext {
    pub settings: Arc<Settings>,
    pub parameters: EstimationParameters,
}

impl ModelContext {
    /// The number of other gateways that are taken to be like this one.
    pub fn similar_peers(&self) -> f64 {
        f64::from(self.settings.gateway_count - 1).min(self.parameters.max_similar_peers)
    }

    /// How many times as long an answer takes with so many other requests in flight.
    pub fn slowdown(&self, others: f64) -> f64 {
        1.0 + others / self.parameters.requests_that_double_latency
    }
}
