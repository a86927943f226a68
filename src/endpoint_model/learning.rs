//! What the outcome of an attempt teaches about its endpoint and about the fleet.

use super::estimates::Estimator;
use super::parameters::ModelContext;
use super::records::{AttemptInFlight, EndpointRecord, FleetEstimates};
use crate::events::ClassIndex;
use crate::events::{AttemptOutcome, AttemptResult};
use crate::statistics::{AgingReport, arithmetic_step, geometric_step};

/// The mean latency to assume before there are answers.
pub(super) fn initial_mean_latency_ms(context: &ModelContext) -> f64 {
    let classes = context.settings.classes.iter();
    let objectives = classes.map(|class| class.latency_objective.0);
    context.parameters.initial_latency_fraction * objectives.fold(f64::INFINITY, f64::min)
}

/// What was thought of an endpoint before an attempt there finished.
pub(super) struct Prior {
    service_time_ms: f64,
    is_warm: bool,
    failure_smoothing: f64,
    latency_smoothing: f64,
}

impl Estimator<'_> {
    /// What is thought of an endpoint now.
    pub(super) fn prior(&self, endpoint: &EndpointRecord) -> Prior {
        let last_failure_update_ms = endpoint.failure_rate.updated_at_ms();
        Prior {
            service_time_ms: self.service_time_ms(endpoint),
            is_warm: self.warmth(endpoint) >= 1.0,
            failure_smoothing: self.smoothing(last_failure_update_ms),
            latency_smoothing: self.smoothing(endpoint.service_time_learned_at_ms),
        }
    }

    /// The smoothing factor of an answer, by when the last one came; 0 for never.
    fn smoothing(&self, last_at_ms: f64) -> f64 {
        let parameters = &self.context.parameters;
        let rarity = if last_at_ms > 0.0 {
            let relative_age = (self.now_ms - last_at_ms) / parameters.rare_answer_ms;
            1.0 - (-relative_age.powi(2)).exp()
        } else {
            parameters.fleet_scale
        };
        parameters.smoothing.max(parameters.rare_smoothing * rarity)
    }
}

/// Applies one outcome to the records.
pub(super) struct Learning<'a> {
    pub context: &'a ModelContext,
    pub endpoint: &'a mut EndpointRecord,
    pub fleet: &'a mut FleetEstimates,
    pub prior: Prior,
    pub now_ms: f64,
}

impl Learning<'_> {
    /// Learns all that an outcome teaches.
    pub fn learn(&mut self, outcome: &AttemptOutcome, attempt: &AttemptInFlight) {
        if let Some(in_flight) = outcome.load_report.and_then(|report| report.in_flight) {
            self.learn_load(in_flight);
        }
        self.learn_failure(is_failure(outcome.result));
        if tells_latency(outcome.result) {
            self.learn_mean_latency(outcome.latency.0);
            let latency_ms = outcome
                .latency
                .0
                .max(self.context.parameters.min_latency_ms);
            let service_time_ms = latency_ms / self.context.slowdown(attempt.load_at_start);
            self.learn_service_time(service_time_ms, attempt.class);
        }
    }

    fn learn_load(&mut self, reported_in_flight: f64) {
        let others = (reported_in_flight - self.endpoint.in_flight_count()).max(0.0);
        let report = |value| {
            Some(AgingReport {
                received_at_ms: self.now_ms,
                value,
            })
        };
        self.endpoint.reported_others = report(others);
        let fleet_report = self.fleet.reported_others;
        let mean = fleet_report.map_or(others, |report| report.value);
        self.fleet.reported_others = report(arithmetic_step(
            mean,
            others,
            self.context.parameters.report_smoothing,
        ));
    }

    fn learn_failure(&mut self, failed: bool) {
        let failure = f64::from(u8::from(failed));
        let parameters = &self.context.parameters;
        let weight = self.prior.failure_smoothing;
        let failure_rate = &mut self.endpoint.failure_rate;
        let remaining = failure_rate.at(self.now_ms, parameters.failure_window_ms) * (1.0 - weight);
        failure_rate.set(
            remaining + weight * parameters.failure_value * failure,
            self.now_ms,
        );
        let fleet_rate = self.fleet.failure_rate;
        self.fleet.failure_rate = arithmetic_step(fleet_rate, failure, parameters.fleet_smoothing);
    }

    fn learn_mean_latency(&mut self, latency_ms: f64) {
        self.fleet.answers += 1.0;
        let parameters = &self.context.parameters;
        let answers = self.fleet.answers + parameters.initial_latency_answers;
        let weight = parameters.smoothing.max(1.0 / answers);
        let mean_ms = self.fleet.mean_latency_ms;
        self.fleet.mean_latency_ms = arithmetic_step(mean_ms, latency_ms, weight);
    }

    fn learn_service_time(&mut self, observed_ms: f64, class: ClassIndex) {
        let fleet_smoothing = self.context.parameters.fleet_smoothing;
        let fleet_weight = fleet_smoothing.max(1.0 / self.fleet.answers);
        let fleet_ms = self.fleet.service_time_ms.unwrap_or(observed_ms);
        let class_factor = self.learn_class(observed_ms, class, fleet_ms, fleet_weight);
        let of_average_class_ms = observed_ms / class_factor;
        self.learn_endpoint(observed_ms, of_average_class_ms, class_factor, class);
        if self.prior.is_warm {
            let by_hardware = &mut self.fleet.hardware_service_time_ms;
            let hardware_ms = by_hardware
                .entry(self.endpoint.hardware)
                .or_insert(fleet_ms);
            *hardware_ms = geometric_step(*hardware_ms, of_average_class_ms, fleet_weight);
        }
        self.fleet.service_time_ms = Some(geometric_step(fleet_ms, observed_ms, fleet_weight));
    }

    /// Learns of a class, and tells how many times the fleet's average its requests took until now.
    fn learn_class(
        &mut self,
        observed_ms: f64,
        class: ClassIndex,
        fleet_ms: f64,
        weight: f64,
    ) -> f64 {
        let class_ms = &mut self.fleet.class_service_time_ms[class.0];
        if *class_ms <= 0.0 {
            *class_ms = observed_ms;
            return 1.0;
        }
        let class_factor = *class_ms / fleet_ms;
        *class_ms = geometric_step(*class_ms, observed_ms, weight);
        class_factor
    }

    fn learn_endpoint(
        &mut self,
        observed_ms: f64,
        of_average_class_ms: f64,
        class_factor: f64,
        class: ClassIndex,
    ) {
        let prior_ms = if self.prior.service_time_ms > 0.0 {
            self.prior.service_time_ms
        } else {
            observed_ms
        };
        let parameters = &self.context.parameters;
        let objective_ms = self.context.settings.class(class).latency_objective.0;
        let weight = if prior_ms * class_factor > parameters.capacity_fraction * objective_ms {
            parameters.rare_smoothing
        } else {
            self.prior.latency_smoothing
        };
        let learned_ms = geometric_step(prior_ms, of_average_class_ms, weight);
        self.endpoint.service_time_ms = Some(learned_ms);
        self.endpoint.service_time_learned_at_ms = self.now_ms;
    }
}

fn is_failure(result: AttemptResult) -> bool {
    !matches!(
        result,
        AttemptResult::Success | AttemptResult::Cancelled | AttemptResult::NeverSent
    )
}

/// A time-out tells that the latency is at least as long as the attempt was in flight.
fn tells_latency(result: AttemptResult) -> bool {
    matches!(result, AttemptResult::Success | AttemptResult::TimedOut)
}
