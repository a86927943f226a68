//! Estimates over all endpoints together.

use super::endpoint::IN_FLIGHT_WINDOW;
use crate::events::HardwareId;
use crate::settings::Settings;
use crate::statistics::{TimeAveragedGauge, TimestampedSample};
use crate::units::{Milliseconds, Timestamp};
use std::collections::BTreeMap;

/// The initial estimate of the mean latency, as a fraction of the shortest latency objective.
const INITIAL_LATENCY_FRACTION: f64 = 0.25;

/// Estimates over all endpoints, learned from this gateway's attempts.
pub(super) struct FleetEstimates {
    pub mean_latency: Milliseconds,
    /// The number of responses included in the mean latency.
    pub response_count: f64,
    /// Mean service time at an endpoint without other requests, over all classes.
    pub service_time: Option<Milliseconds>,
    /// The same by class; [`Milliseconds::ZERO`] before the first response.
    pub class_service_time: Vec<Milliseconds>,
    /// The same by hardware model, over all classes.
    pub hardware_service_time: BTreeMap<HardwareId, Milliseconds>,
    pub failure_rate: f64,
    /// The mean over endpoints of their reported requests in flight from other gateways.
    pub reported_peer_load: Option<TimestampedSample>,
    in_flight: usize,
    mean_in_flight: TimeAveragedGauge,
}

impl FleetEstimates {
    /// Creates the estimates that are used before the first response.
    pub(super) fn new(settings: &Settings) -> FleetEstimates {
        FleetEstimates {
            mean_latency: initial_mean_latency(settings),
            response_count: 0.0,
            service_time: None,
            class_service_time: vec![Milliseconds::ZERO; settings.classes.len()],
            hardware_service_time: BTreeMap::new(),
            failure_rate: 0.0,
            reported_peer_load: None,
            in_flight: 0,
            mean_in_flight: TimeAveragedGauge::default(),
        }
    }

    /// Returns the time-averaged number of this gateway's attempts in flight at all endpoints.
    pub(super) fn mean_in_flight(&self, now: Timestamp) -> f64 {
        let level = self.in_flight as f64;
        self.mean_in_flight.mean(level, now, IN_FLIGHT_WINDOW)
    }

    /// Updates the time-averaged number of attempts in flight up to `now`.
    pub(super) fn advance_mean_in_flight(&mut self, now: Timestamp) {
        let level = self.in_flight as f64;
        self.mean_in_flight.advance(level, now, IN_FLIGHT_WINDOW);
    }

    pub(super) fn attempt_started(&mut self, now: Timestamp) {
        self.advance_mean_in_flight(now);
        self.in_flight += 1;
    }

    /// Decrements the attempts in flight. [`FleetEstimates::advance_mean_in_flight`] must be called first.
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
