//! Records of endpoints and of the whole fleet of endpoints. They only store: estimates and learning are in the
//! modules beside this one.

use crate::events::CellId;
use crate::events::ClassIndex;
use crate::events::HardwareId;
use crate::events::ZoneId;
use crate::events::{EndpointState, RequestId};
use crate::statistics::{AgingReport, DecayingValue, TimeAveragedGauge};
use std::collections::BTreeMap;

/// An attempt that this gateway has in flight at an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptInFlight {
    pub class: ClassIndex,
    pub sent_at_ms: f64,
    /// The requests estimated to be in flight at the endpoint, from all gateways, when the attempt
    /// started.
    pub load_at_start: f64,
}

/// What is known of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointRecord {
    pub zone: ZoneId,
    pub cell: CellId,
    /// Its registered weight, positive and finite.
    pub weight: f64,
    pub state: EndpointState,
    pub hardware: HardwareId,
    /// When its present incarnation started; 0 means long ago.
    pub started_at_ms: f64,
    /// This gateway's attempts there.
    pub in_flight: BTreeMap<RequestId, AttemptInFlight>,
    pub mean_in_flight: TimeAveragedGauge,
    pub last_attempt_at_ms: f64,
    /// How long it alone, otherwise idle, takes to answer a request of average cost, as learned from its
    /// answers.
    pub service_time_ms: Option<f64>,
    /// When the service time was last learned, also by a former incarnation; 0 for never.
    pub service_time_learned_at_ms: f64,
    /// The requests from other gateways that it reported in flight.
    pub reported_others: Option<AgingReport>,
    /// Average of attempts, which count 2 where they failed and 0 otherwise.
    pub failure_rate: DecayingValue,
}

impl EndpointRecord {
    /// The number of this gateway's attempts in flight.
    pub fn in_flight_count(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// Takes the time up to now into the mean number of attempts in flight, before that number changes.
    pub fn advance_mean_in_flight(&mut self, now_ms: f64, time_constant_ms: f64) {
        let level = self.in_flight_count();
        self.mean_in_flight.advance(level, now_ms, time_constant_ms);
    }

    /// Takes an attempt out of those in flight, if it is one of them.
    pub fn finish_attempt(
        &mut self,
        request: RequestId,
        now_ms: f64,
        time_constant_ms: f64,
    ) -> Option<AttemptInFlight> {
        if !self.in_flight.contains_key(&request) {
            return None;
        }
        self.advance_mean_in_flight(now_ms, time_constant_ms);
        self.in_flight.remove(&request)
    }

    /// Clears what was learned of a former incarnation, which no longer holds.
    pub fn forget_incarnation(&mut self) {
        self.service_time_ms = None;
        self.mean_in_flight.clear();
        self.reported_others = None;
        self.failure_rate.clear();
    }
}

/// What is known of all endpoints together.
#[derive(Debug, Default)]
pub(crate) struct FleetEstimates {
    /// The mean time to an answer.
    pub mean_latency_ms: f64,
    pub answers: f64,
    /// The service time of an idle endpoint: of all, by class (0 before the first answer) and by
    /// hardware.
    pub service_time_ms: Option<f64>,
    pub class_service_time_ms: Vec<f64>,
    pub hardware_service_time_ms: BTreeMap<HardwareId, f64>,
    pub failure_rate: f64,
    /// This gateway's attempts in flight at all endpoints.
    pub in_flight: usize,
    pub mean_in_flight: TimeAveragedGauge,
    /// The mean over endpoints of what they report to have in flight from other gateways.
    pub reported_others: Option<AgingReport>,
}
