//! Updates of the endpoint and fleet estimates from the outcome of an attempt.

use super::context::LoadBalancingContext;
use super::endpoint::{EndpointRecord, InFlightAttempt};
use super::estimates::{Estimator, service_time_step, slowdown};
use super::fleet::FleetEstimates;
use crate::events::{AttemptOutcome, AttemptResult, ClassIndex};
use crate::statistics::{TimestampedSample, arithmetic_step};
use crate::units::{Milliseconds, Timestamp};

/// The smoothing factor of a response for the service time and the failure rate of its endpoint.
const SMOOTHING: f64 = 0.04;
/// The smoothing factor for an endpoint without capacity, and the maximum factor for rare responses. An
/// endpoint without capacity is seldom chosen, and one of hundreds of gateways gets few responses from each
/// endpoint.
const RARE_SMOOTHING: f64 = 0.3;
/// The interval between responses of an endpoint from which they count as rare.
const RARE_RESPONSE_INTERVAL: Milliseconds = Milliseconds(3000.0);
/// The minimum smoothing factor of a response for the fleet estimates. It is lower than for one endpoint,
/// because the fleet has many more responses.
const FLEET_SMOOTHING: f64 = 0.02;
/// The smoothing factor of a load report for the mean over all endpoints.
const REPORT_SMOOTHING: f64 = 0.1;
/// The weight of a failure in the failure rate of its endpoint.
const FAILURE_WEIGHT: f64 = 2.0;
/// The minimum latency of a sample, since ratios of service times need nonzero values.
const MIN_LATENCY: Milliseconds = Milliseconds(0.1);
/// The weight of the initial mean latency, as a number of responses.
const INITIAL_LATENCY_WEIGHT: f64 = 4.0;

/// The estimates and smoothing factors of an endpoint before it is updated.
pub(super) struct PreviousEstimate {
    service_time: Milliseconds,
    is_warm: bool,
    failure_smoothing: f64,
    service_time_smoothing: f64,
}

impl Estimator<'_> {
    /// Captures the estimates of an endpoint before an update.
    pub(super) fn previous_estimate(&self, endpoint: &EndpointRecord) -> PreviousEstimate {
        PreviousEstimate {
            service_time: self.service_time(endpoint),
            is_warm: self.warmup_fraction(endpoint) >= 1.0,
            failure_smoothing: self.smoothing(endpoint.failure_rate_updated_at()),
            service_time_smoothing: self.smoothing(endpoint.service_time_updated_at),
        }
    }

    /// Returns the smoothing factor of a response, which grows with the time since the last response
    /// ([`Timestamp::ZERO`] if never).
    fn smoothing(&self, last_response_at: Timestamp) -> f64 {
        let rarity = if last_response_at > Timestamp::ZERO {
            let relative_age = (self.now - last_response_at).ratio_to(RARE_RESPONSE_INTERVAL);
            1.0 - (-relative_age.powi(2)).exp()
        } else {
            self.context.fleet_scale
        };
        SMOOTHING.max(RARE_SMOOTHING * rarity)
    }
}

/// An observed service time and its class.
struct ServiceTimeSample {
    /// The service time of the attempt, not adjusted for its class.
    observed: Milliseconds,
    class: ClassIndex,
    /// The ratio of the class's service time to the fleet's average.
    class_factor: f64,
}

impl ServiceTimeSample {
    /// Returns the service time adjusted to a request of an average class.
    fn of_average_class(&self) -> Milliseconds {
        self.observed / self.class_factor
    }
}

/// The state needed to update the estimates from one outcome.
pub(super) struct EstimateUpdate<'a> {
    pub context: &'a LoadBalancingContext,
    pub endpoint: &'a mut EndpointRecord,
    pub fleet: &'a mut FleetEstimates,
    pub previous: PreviousEstimate,
    pub now: Timestamp,
}

impl EstimateUpdate<'_> {
    /// Updates all estimates for which the outcome is a sample.
    pub(super) fn apply(&mut self, outcome: &AttemptOutcome, attempt: &InFlightAttempt) {
        if let Some(in_flight) = outcome.load_report.and_then(|report| report.in_flight) {
            self.update_reported_load(in_flight);
        }
        self.update_failure_rates(is_failure(outcome.result));
        if is_latency_sample(outcome.result) {
            let latency = outcome.latency;
            self.update_mean_latency(latency);
            let service_time = latency.max(MIN_LATENCY) / slowdown(attempt.load_at_start);
            self.update_service_times(service_time, attempt.class);
        }
    }

    fn update_reported_load(&mut self, reported_in_flight: f64) {
        let peer_load = (reported_in_flight - self.endpoint.in_flight_count()).max(0.0);
        self.endpoint.reported_peer_load = Some(TimestampedSample::new(peer_load, self.now));
        let fleet_mean = self
            .fleet
            .reported_peer_load
            .map_or(peer_load, |mean| mean.value);
        let fleet_mean = arithmetic_step(fleet_mean, peer_load, REPORT_SMOOTHING);
        self.fleet.reported_peer_load = Some(TimestampedSample::new(fleet_mean, self.now));
    }

    fn update_failure_rates(&mut self, failed: bool) {
        let failure = f64::from(u8::from(failed));
        let weight = self.previous.failure_smoothing;
        let remaining = self.endpoint.failure_rate(self.now) * (1.0 - weight);
        let failure_rate = remaining + weight * FAILURE_WEIGHT * failure;
        self.endpoint.set_failure_rate(failure_rate, self.now);
        let fleet_rate = self.fleet.failure_rate;
        self.fleet.failure_rate = arithmetic_step(fleet_rate, failure, FLEET_SMOOTHING);
    }

    fn update_mean_latency(&mut self, latency: Milliseconds) {
        self.fleet.response_count += 1.0;
        let sample_count = self.fleet.response_count + INITIAL_LATENCY_WEIGHT;
        let weight = SMOOTHING.max(1.0 / sample_count);
        let mean = self.fleet.mean_latency.as_f64();
        let mean = arithmetic_step(mean, latency.as_f64(), weight);
        self.fleet.mean_latency = Milliseconds(mean);
    }

    fn update_service_times(&mut self, observed: Milliseconds, class: ClassIndex) {
        let fleet_weight = FLEET_SMOOTHING.max(1.0 / self.fleet.response_count);
        let fleet_mean = self.fleet.service_time.unwrap_or(observed);
        let class_factor = self.update_class(observed, class, fleet_mean, fleet_weight);
        let sample = ServiceTimeSample {
            observed,
            class,
            class_factor,
        };
        self.update_endpoint(&sample);
        if self.previous.is_warm {
            self.update_hardware(&sample, fleet_mean, fleet_weight);
        }
        self.fleet.service_time = Some(service_time_step(fleet_mean, observed, fleet_weight));
    }

    /// Updates the service time of a class. Returns its ratio to the fleet's average before the update.
    fn update_class(
        &mut self,
        observed: Milliseconds,
        class: ClassIndex,
        fleet_mean: Milliseconds,
        weight: f64,
    ) -> f64 {
        let class_mean = &mut self.fleet.class_service_time[class.0];
        if *class_mean <= Milliseconds::ZERO {
            *class_mean = observed;
            return 1.0;
        }
        let class_factor = class_mean.ratio_to(fleet_mean);
        *class_mean = service_time_step(*class_mean, observed, weight);
        class_factor
    }

    fn update_endpoint(&mut self, sample: &ServiceTimeSample) {
        let previous = if self.previous.service_time > Milliseconds::ZERO {
            self.previous.service_time
        } else {
            sample.observed
        };
        let acceptable = self.context.acceptable_latency(sample.class);
        let weight = if previous * sample.class_factor > acceptable {
            RARE_SMOOTHING
        } else {
            self.previous.service_time_smoothing
        };
        let service_time = service_time_step(previous, sample.of_average_class(), weight);
        self.endpoint.service_time = Some(service_time);
        self.endpoint.service_time_updated_at = self.now;
    }

    fn update_hardware(
        &mut self,
        sample: &ServiceTimeSample,
        fleet_mean: Milliseconds,
        weight: f64,
    ) {
        let by_hardware = &mut self.fleet.hardware_service_time;
        let mean = by_hardware
            .entry(self.endpoint.hardware)
            .or_insert(fleet_mean);
        *mean = service_time_step(*mean, sample.of_average_class(), weight);
    }
}

fn is_failure(result: AttemptResult) -> bool {
    !matches!(
        result,
        AttemptResult::Success | AttemptResult::Cancelled | AttemptResult::NeverSent
    )
}

/// Returns whether the latency of an attempt is a sample of the endpoint's latency. After a timeout it is a
/// lower bound: the endpoint would have taken at least this long.
fn is_latency_sample(result: AttemptResult) -> bool {
    matches!(result, AttemptResult::Success | AttemptResult::TimedOut)
}
