//! Estimates of the load, the latency and the failure rate of an endpoint.

use super::context::LoadBalancingContext;
use super::endpoint::EndpointRecord;
use super::fleet::FleetEstimates;
use super::slow_start::{expected_warmup_fraction, warmup_fraction};
use crate::events::ClassIndex;
use crate::statistics::{TimestampedSample, exponential_decay, geometric_step};
use crate::units::{Milliseconds, Timestamp};

/// The time constant with which the weight of a load report decays.
const LOAD_REPORT_WINDOW: Milliseconds = Milliseconds(1000.0);
/// The time constant with which an endpoint's own service time estimate decays towards that of its hardware
/// model.
const SERVICE_TIME_WINDOW: Milliseconds = Milliseconds(20_000.0);
/// The number of other requests in flight at an endpoint that doubles its latency.
const REQUESTS_THAT_DOUBLE_LATENCY: f64 = 2.0;
/// The assumed minimum number of attempts that each similar peer has in flight at an endpoint, as a fraction
/// of this gateway's own.
const PEER_SIMILARITY: f64 = 0.5;
/// The assumed minimum latency of an endpoint, as a fraction of the age of its oldest attempt. It makes an
/// endpoint that has stopped responding look slow before an attempt times out.
const OLDEST_ATTEMPT_FRACTION: f64 = 0.5;

/// Computes estimates as of `now`.
pub(super) struct Estimator<'a> {
    pub context: &'a LoadBalancingContext,
    pub fleet: &'a FleetEstimates,
    pub endpoint_count: usize,
    pub now: Timestamp,
}

impl Estimator<'_> {
    /// Returns the minimum fraction of its capacity that the endpoint has during slow start.
    pub(super) fn warmup_fraction(&self, endpoint: &EndpointRecord) -> f64 {
        warmup_fraction(endpoint.started_at, &self.context.settings, self.now)
    }

    /// Returns the estimated number of requests in flight at an endpoint, from all gateways.
    pub(super) fn load(&self, endpoint: &EndpointRecord) -> f64 {
        // Only similar peers are extrapolated from this gateway. With all peers, a busy gateway in a fleet of
        // a hundred would estimate every endpoint as full and keep rejecting requests.
        let peers = self.context.similar_peers;
        let fleet_mean = self.fleet.mean_in_flight(self.now) / self.endpoint_count.max(1) as f64;
        // The mean load per endpoint from all peers: from fresh load reports, otherwise extrapolated from
        // this gateway.
        let peer_mean = self.reported_or(self.fleet.reported_peer_load, fleet_mean * peers);
        // Traffic to peers rises together with this gateway's own, so the time average alone would lag behind
        // a queue that all gateways build up at once.
        let own = endpoint.in_flight_count();
        let own_mean = endpoint.mean_in_flight(self.now).max(PEER_SIMILARITY * own);
        let peer_load = (peer_mean + (own_mean - fleet_mean) * peers).max(0.0);
        own + self.reported_or(endpoint.reported_peer_load, peer_load)
    }

    fn reported_or(&self, report: Option<TimestampedSample>, fallback: f64) -> f64 {
        TimestampedSample::estimate(report, fallback, self.now, LOAD_REPORT_WINDOW)
    }

    /// Returns the service time of the endpoint for a request of an average class without other load, or zero
    /// if nothing is known. The endpoint's own estimate decays towards that of its hardware model.
    pub(super) fn service_time(&self, endpoint: &EndpointRecord) -> Milliseconds {
        let hardware_mean = self.fleet.hardware_service_time.get(&endpoint.hardware);
        let prior = hardware_mean.copied().or(self.fleet.service_time);
        let prior = prior.unwrap_or(Milliseconds::ZERO) / self.expected_warmup(endpoint);
        endpoint.service_time.map_or(prior, |learned| {
            let age = self.now - endpoint.service_time_updated_at;
            let weight = exponential_decay(age, SERVICE_TIME_WINDOW);
            service_time_step(prior, learned, weight)
        })
    }

    fn expected_warmup(&self, endpoint: &EndpointRecord) -> f64 {
        expected_warmup_fraction(self.warmup_fraction(endpoint), self.context.fleet_scale)
    }

    /// Returns the expected latency of a request of a class at this endpoint.
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

    /// Returns how far the failure rate of an endpoint is above the fleet's average, or zero if it is below.
    pub(super) fn excess_failure_rate(&self, endpoint: &EndpointRecord) -> f64 {
        (endpoint.failure_rate(self.now) - self.fleet.failure_rate).max(0.0)
    }
}

/// Returns the factor by which this many other requests in flight increase the latency.
pub(super) fn slowdown(other_requests: f64) -> f64 {
    1.0 + other_requests / REQUESTS_THAT_DOUBLE_LATENCY
}

/// Moves a service time estimate towards a sample by ratio: see [`geometric_step`].
pub(super) fn service_time_step(
    average: Milliseconds,
    sample: Milliseconds,
    weight: f64,
) -> Milliseconds {
    Milliseconds(geometric_step(average.as_f64(), sample.as_f64(), weight))
}
