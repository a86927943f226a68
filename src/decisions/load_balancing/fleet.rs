//! What is estimated of all endpoints together.

use super::endpoint::IN_FLIGHT_WINDOW;
use crate::events::HardwareId;
use crate::settings::Settings;
use crate::statistics::{TimeAveragedGauge, TimestampedSample};
use crate::units::{Milliseconds, Timestamp};
use std::collections::BTreeMap;

/// Before the first answer the mean latency is assumed to be this fraction of the shortest latency objective.
const INITIAL_LATENCY_FRACTION: f64 = 0.25;

/// Estimates over all endpoints.
pub(super) struct FleetEstimates {
    pub mean_latency: Milliseconds,
    /// The number of answers that the mean latency was learned from.
    pub answers: f64,
    /// The service time of an endpoint without other requests, over all classes.
    pub service_time: Option<Milliseconds>,
    /// The same by class; [`Milliseconds::ZERO`] before the first answer.
    pub class_service_time: Vec<Milliseconds>,
    /// The same by hardware model, over all classes.
    pub hardware_service_time: BTreeMap<HardwareId, Milliseconds>,
    /// The fraction of attempts that fail.
    pub failure_rate: f64,
    /// The mean over endpoints of the requests from other gateways that they reported in flight.
    pub reported_others: Option<TimestampedSample>,
    /// This gateway's attempts in flight at all endpoints.
    in_flight: usize,
    mean_in_flight: TimeAveragedGauge,
}

impl FleetEstimates {
    /// The estimates before the first answer.
    pub(super) fn new(settings: &Settings) -> FleetEstimates {
        FleetEstimates {
            mean_latency: initial_mean_latency(settings),
            answers: 0.0,
            service_time: None,
            class_service_time: vec![Milliseconds::ZERO; settings.classes.len()],
            hardware_service_time: BTreeMap::new(),
            failure_rate: 0.0,
            reported_others: None,
            in_flight: 0,
            mean_in_flight: TimeAveragedGauge::default(),
        }
    }

    /// The mean over time of this gateway's attempts in flight at all endpoints.
    pub(super) fn mean_in_flight(&self, now: Timestamp) -> f64 {
        let level = self.in_flight as f64;
        self.mean_in_flight.mean(level, now, IN_FLIGHT_WINDOW)
    }

    /// Includes the time up to now in the mean number of attempts in flight.
    pub(super) fn advance_mean_in_flight(&mut self, now: Timestamp) {
        let level = self.in_flight as f64;
        self.mean_in_flight.advance(level, now, IN_FLIGHT_WINDOW);
    }

    /// Counts an attempt as in flight.
    pub(super) fn attempt_started(&mut self, now: Timestamp) {
        self.advance_mean_in_flight(now);
        self.in_flight += 1;
    }

    /// Takes an attempt out of those in flight, after [`FleetEstimates::advance_mean_in_flight`].
    pub(super) fn attempt_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

fn initial_mean_latency(settings: &Settings) -> Milliseconds {
    let classes = settings.classes.iter();
    let shortest_objective = classes
        .map(|class| class.latency_objective)
        .fold(Milliseconds::INFINITY, Milliseconds::min);
    shortest_objective * INITIAL_LATENCY_FRACTION
}
