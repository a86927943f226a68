//! Estimates of an endpoint: its warm-up, its load, and the latency to expect from it.

use super::parameters::ModelContext;
use super::records::{EndpointRecord, FleetEstimates};
use crate::events::ClassIndex;
use crate::statistics::{AgingReport, exponential_decay, geometric_step};

/// Estimates as of one moment.
pub(crate) struct Estimator<'a> {
    pub context: &'a ModelContext,
    pub fleet: &'a FleetEstimates,
    pub endpoint_count: usize,
    pub now_ms: f64,
}

impl Estimator<'_> {
    /// The minimum fraction of its capacity that an endpoint has by now.
    pub fn warmth(&self, endpoint: &EndpointRecord) -> f64 {
        let settings = &self.context.settings;
        if endpoint.started_at_ms <= 0.0 || settings.warmup_duration.0 <= 0.0 {
            return 1.0;
        }
        let progress = (self.now_ms - endpoint.started_at_ms) / settings.warmup_duration.0;
        settings.initial_warmth + (1.0 - settings.initial_warmth) * progress.clamp(0.0, 1.0)
    }

    /// The fraction that it likely has: what holds for any endpoint is too little for most. One of few
    /// gateways soon has answers of its own and needs no such guess.
    fn expected_warmth(&self, endpoint: &EndpointRecord) -> f64 {
        let least = self.warmth(endpoint);
        let parameters = &self.context.parameters;
        let scale = parameters.fleet_scale;
        least + (1.0 - least) * parameters.warmup_optimism * scale * least
    }

    /// The requests estimated to be in flight at an endpoint, from all gateways.
    pub fn load(&self, endpoint: &EndpointRecord) -> f64 {
        // With all peers, a busy gateway of a hundred would take all endpoints for full and reject for
        // good.
        let parameters = &self.context.parameters;
        let peers = self.context.similar_peers();
        let own_mean = self.fleet_mean_in_flight() / self.endpoint_count.max(1) as f64;
        // The peers together: as this gateway on average, or as fresh reports from any endpoint say.
        let mean_guess = own_mean * peers;
        let peer_mean = self.blend(self.fleet.reported_others, mean_guess);
        // Peers see the same rush: the mean alone lags behind a queue that all of them build at once.
        let own = endpoint.in_flight_count();
        let own_usual =
            endpoint
                .mean_in_flight
                .mean(own, self.now_ms, parameters.in_flight_window_ms);
        let own_usual = own_usual.max(parameters.peer_similarity * own);
        let guess = (peer_mean + (own_usual - own_mean) * peers).max(0.0);
        own + self.blend(endpoint.reported_others, guess)
    }

    fn blend(&self, report: Option<AgingReport>, guess: f64) -> f64 {
        let window_ms = self.context.parameters.report_window_ms;
        AgingReport::blend(report, guess, self.now_ms, window_ms)
    }

    /// The mean over time of this gateway's attempts in flight at all endpoints.
    fn fleet_mean_in_flight(&self) -> f64 {
        let level = self.fleet.in_flight as f64;
        let gauge = &self.fleet.mean_in_flight;
        gauge.mean(
            level,
            self.now_ms,
            self.context.parameters.in_flight_window_ms,
        )
    }

    /// How long this endpoint alone, otherwise idle, takes to answer a request of an average class; 0
    /// when nothing is known. What was learned of it grows old and gives way to what is known of its
    /// hardware.
    pub fn service_time_ms(&self, endpoint: &EndpointRecord) -> f64 {
        let of_hardware = self.fleet.hardware_service_time_ms.get(&endpoint.hardware);
        let of_kind = of_hardware.copied().or(self.fleet.service_time_ms);
        let of_kind = of_kind.unwrap_or(0.0) / self.expected_warmth(endpoint);
        endpoint.service_time_ms.map_or(of_kind, |learned| {
            let age_ms = self.now_ms - endpoint.service_time_learned_at_ms;
            geometric_step(
                of_kind,
                learned,
                exponential_decay(age_ms, self.context.parameters.service_time_window_ms),
            )
        })
    }

    /// The time that an answer should take from this endpoint.
    pub fn latency_ms(&self, endpoint: &EndpointRecord, class: ClassIndex) -> f64 {
        let class_time = self.fleet.class_service_time_ms[class.0];
        let class_factor = match self.fleet.service_time_ms {
            Some(mean) if class_time > 0.0 && mean > 0.0 => class_time / mean,
            _ => 1.0,
        };
        let attempts = endpoint.in_flight.values();
        let sent_times = attempts.map(|attempt| attempt.sent_at_ms);
        let oldest_sent_at_ms = sent_times.fold(self.now_ms, f64::min);
        let service_time_ms = class_factor * self.service_time_ms(endpoint);
        let expected_ms = service_time_ms * self.context.slowdown(self.load(endpoint));
        expected_ms.max(
            self.context.parameters.oldest_attempt_fraction * (self.now_ms - oldest_sent_at_ms),
        )
    }

    /// How much an endpoint fails beyond the fleet's average.
    pub fn excess_failure_rate(&self, endpoint: &EndpointRecord) -> f64 {
        let failure_rate = endpoint
            .failure_rate
            .at(self.now_ms, self.context.parameters.failure_window_ms);
        (failure_rate - self.fleet.failure_rate).max(0.0)
    }
}
