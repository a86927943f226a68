//! Estimates of an endpoint: its load, and the latency to expect from it.

use super::context::ModelContext;
use super::endpoint::EndpointRecord;
use super::fleet::FleetEstimates;
use super::slow_start::{expected_warmup_fraction, warmup_fraction};
use crate::events::ClassIndex;
use crate::statistics::{TimestampedSample, exponential_decay, geometric_step};
use crate::units::{Milliseconds, Timestamp};

/// The time constant with which a load report loses its weight.
const LOAD_REPORT_WINDOW: Milliseconds = Milliseconds(1000.0);
/// The time constant with which the service time learned of an endpoint gives way to that of its hardware.
const SERVICE_TIME_WINDOW: Milliseconds = Milliseconds(20_000.0);
/// The number of other requests in flight at an endpoint with which its answer takes twice as long.
const REQUESTS_THAT_DOUBLE_LATENCY: f64 = 2.0;
/// Each similar peer is assumed to have at least this fraction of this gateway's own attempts in flight at
/// an endpoint.
const PEER_SIMILARITY: f64 = 0.5;
/// An endpoint is expected to take at least this fraction of the age of its oldest attempt, so that one
/// that has stopped answering looks slow before any attempt times out.
const OLDEST_ATTEMPT_FRACTION: f64 = 0.5;

/// Estimates as of one point in time.
pub(super) struct Estimator<'a> {
    pub context: &'a ModelContext,
    pub fleet: &'a FleetEstimates,
    pub endpoint_count: usize,
    pub now: Timestamp,
}

impl Estimator<'_> {
    /// The fraction of its capacity that an endpoint has at least by now.
    pub(super) fn warmup_fraction(&self, endpoint: &EndpointRecord) -> f64 {
        warmup_fraction(endpoint.started_at, &self.context.settings, self.now)
    }

    /// The requests estimated to be in flight at an endpoint, from all gateways.
    pub(super) fn load(&self, endpoint: &EndpointRecord) -> f64 {
        // If all peers counted, a busy gateway among a hundred would estimate every endpoint as full and
        // would go on rejecting.
        let peers = self.context.similar_peers;
        let fleet_mean = self.fleet.mean_in_flight(self.now) / self.endpoint_count.max(1) as f64;
        // The mean load from all peers together: as fresh load reports say, or else as from this gateway.
        let peer_mean = self.reported_or(self.fleet.reported_others, fleet_mean * peers);
        // Peers get more requests at the same time as this gateway: the mean alone lags behind a queue that
        // all of them build at once.
        let own = endpoint.in_flight_count();
        let own_mean = endpoint.mean_in_flight(self.now).max(PEER_SIMILARITY * own);
        let others = (peer_mean + (own_mean - fleet_mean) * peers).max(0.0);
        own + self.reported_or(endpoint.reported_others, others)
    }

    fn reported_or(&self, report: Option<TimestampedSample>, fallback: f64) -> f64 {
        TimestampedSample::estimate(report, fallback, self.now, LOAD_REPORT_WINDOW)
    }

    /// How long this endpoint takes to answer a request of an average class when it has no other; zero when
    /// nothing is known. What was learned of it grows old and gives way to what is known of its hardware.
    pub(super) fn service_time(&self, endpoint: &EndpointRecord) -> Milliseconds {
        let of_hardware = self.fleet.hardware_service_time.get(&endpoint.hardware);
        let of_kind = of_hardware.copied().or(self.fleet.service_time);
        let of_kind = of_kind.unwrap_or(Milliseconds::ZERO) / self.expected_warmup(endpoint);
        endpoint.service_time.map_or(of_kind, |learned| {
            let age = self.now - endpoint.service_time_updated_at;
            let weight = exponential_decay(age, SERVICE_TIME_WINDOW);
            service_time_step(of_kind, learned, weight)
        })
    }

    fn expected_warmup(&self, endpoint: &EndpointRecord) -> f64 {
        expected_warmup_fraction(self.warmup_fraction(endpoint), self.context.fleet_scale)
    }

    /// The latency to expect from this endpoint for a request of a class.
    pub(super) fn latency(&self, endpoint: &EndpointRecord, class: ClassIndex) -> Milliseconds {
        let class_time = self.fleet.class_service_time[class.0];
        let class_factor = match self.fleet.service_time {
            Some(mean) if class_time > Milliseconds::ZERO && mean > Milliseconds::ZERO => {
                class_time.ratio_to(mean)
            }
            _ => 1.0,
        };
        let oldest_age = self.now - endpoint.oldest_sent_at(self.now);
        let service_time = self.service_time(endpoint) * class_factor;
        let latency = service_time * slowdown(self.load(endpoint));
        latency.max(oldest_age * OLDEST_ATTEMPT_FRACTION)
    }

    /// By how much the failure rate of an endpoint exceeds the fleet's average.
    pub(super) fn excess_failure_rate(&self, endpoint: &EndpointRecord) -> f64 {
        (endpoint.failure_rate(self.now) - self.fleet.failure_rate).max(0.0)
    }
}

/// How many times as long an answer takes with this many other requests in flight.
pub(super) fn slowdown(others: f64) -> f64 {
    1.0 + others / REQUESTS_THAT_DOUBLE_LATENCY
}

/// Moves a service time towards a sample by ratio: see [`geometric_step`].
pub(super) fn service_time_step(
    average: Milliseconds,
    sample: Milliseconds,
    weight: f64,
) -> Milliseconds {
    Milliseconds(geometric_step(average.as_f64(), sample.as_f64(), weight))
}
