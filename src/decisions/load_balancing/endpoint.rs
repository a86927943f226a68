//! The state of one endpoint: its list entry, the attempts in flight and the estimates learned from its
//! responses.

use crate::events::{CellId, ClassIndex, EndpointState, HardwareId, RequestId, ZoneId};
use crate::statistics::{DecayingValue, TimeAveragedGauge, TimestampedSample};
use crate::units::{Milliseconds, Timestamp};
use std::collections::BTreeMap;

/// The time constant of the mean number of attempts in flight. It equals the window over which tenant demand
/// is measured.
pub(super) const IN_FLIGHT_WINDOW: Milliseconds = Milliseconds(2000.0);
/// The time constant with which the failure rate decays. It is short so that a failed endpoint is tried
/// again.
const FAILURE_WINDOW: Milliseconds = Milliseconds(4000.0);

#[derive(Debug, Clone, Copy)]
pub(super) struct InFlightAttempt {
    pub class: ClassIndex,
    /// Zone and cell of the endpoint when the attempt started. The endpoint may have moved since.
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Timestamp,
    /// The estimated number of requests in flight at the endpoint, from all gateways, when the attempt
    /// started.
    pub load_at_start: f64,
}

/// The list entry, the attempts in flight and the estimates of one endpoint.
#[derive(Debug, Default)]
pub(super) struct EndpointRecord {
    pub zone: ZoneId,
    pub cell: CellId,
    /// The registered weight, corrected to be positive and finite.
    pub weight: f64,
    pub state: EndpointState,
    pub hardware: HardwareId,
    /// The start of the present incarnation; [`Timestamp::ZERO`] means long ago.
    pub started_at: Timestamp,
    pub last_attempt_at: Timestamp,
    /// The estimated service time of a request of an average class without other load, learned from
    /// responses.
    pub service_time: Option<Milliseconds>,
    /// When the service time was last updated, including updates in an earlier incarnation;
    /// [`Timestamp::ZERO`] if never.
    pub service_time_updated_at: Timestamp,
    /// The requests in flight from other gateways, as reported by the endpoint.
    pub reported_peer_load: Option<TimestampedSample>,
    /// Attempts of this gateway, by request.
    in_flight: BTreeMap<RequestId, InFlightAttempt>,
    mean_in_flight: TimeAveragedGauge,
    failure_rate: DecayingValue,
}

impl EndpointRecord {
    /// Creates the record of a newly listed endpoint. Its last attempt is set to `now`, so that it is not
    /// explored at once.
    pub(super) fn new(
        hardware: HardwareId,
        started_at: Timestamp,
        now: Timestamp,
    ) -> EndpointRecord {
        EndpointRecord {
            hardware,
            started_at,
            last_attempt_at: now,
            ..EndpointRecord::default()
        }
    }

    /// Returns whether this gateway has no attempt in flight at the endpoint.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Returns the number of this gateway's attempts in flight.
    pub(super) fn in_flight_count(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// Returns the time-averaged number of this gateway's attempts in flight.
    pub(super) fn mean_in_flight(&self, now: Timestamp) -> f64 {
        let level = self.in_flight_count();
        self.mean_in_flight.mean(level, now, IN_FLIGHT_WINDOW)
    }

    /// Returns when the oldest attempt in flight was sent, or `now` if there is none.
    pub(super) fn oldest_sent_at(&self, now: Timestamp) -> Timestamp {
        let attempts = self.in_flight.values();
        attempts
            .map(|attempt| attempt.sent_at)
            .fold(now, Timestamp::min)
    }

    pub(super) fn attempt_started(
        &mut self,
        request: RequestId,
        class: ClassIndex,
        load_at_start: f64,
        now: Timestamp,
    ) {
        let level = self.in_flight_count();
        self.mean_in_flight.advance(level, now, IN_FLIGHT_WINDOW);
        self.last_attempt_at = now;
        let attempt = InFlightAttempt {
            class,
            zone: self.zone,
            cell: self.cell,
            sent_at: now,
            load_at_start,
        };
        self.in_flight.insert(request, attempt);
    }

    /// Removes and returns an attempt. Returns `None` if it is not in flight.
    pub(super) fn attempt_finished(
        &mut self,
        request: RequestId,
        now: Timestamp,
    ) -> Option<InFlightAttempt> {
        let level = self.in_flight_count();
        let attempt = self.in_flight.remove(&request)?;
        self.mean_in_flight.advance(level, now, IN_FLIGHT_WINDOW);
        Some(attempt)
    }

    /// Returns the failure rate, decayed from the value that was set last.
    pub(super) fn failure_rate(&self, now: Timestamp) -> f64 {
        self.failure_rate.at(now, FAILURE_WINDOW)
    }

    /// Returns when the failure rate was last updated; [`Timestamp::ZERO`] if never.
    pub(super) fn failure_rate_updated_at(&self) -> Timestamp {
        self.failure_rate.updated_at()
    }

    pub(super) fn set_failure_rate(&mut self, rate: f64, now: Timestamp) {
        self.failure_rate.set(rate, now);
    }

    /// Resets the estimates learned from an earlier incarnation, which no longer apply.
    pub(super) fn reset_estimates(&mut self) {
        self.service_time = None;
        self.mean_in_flight.clear();
        self.reported_peer_load = None;
        self.failure_rate.clear();
    }
}
