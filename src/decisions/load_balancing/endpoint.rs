//! The record of one endpoint: its entry on the endpoint list, the attempts in flight there, and what has
//! been learned from its answers.

use crate::events::{CellId, ClassIndex, EndpointState, HardwareId, RequestId, ZoneId};
use crate::statistics::{DecayingValue, TimeAveragedGauge, TimestampedSample};
use crate::units::{Milliseconds, Timestamp};
use std::collections::BTreeMap;

/// The time constant of the mean number of attempts in flight. It equals the window over which the demand of
/// tenants is measured.
pub(super) const IN_FLIGHT_WINDOW: Milliseconds = Milliseconds(2000.0);
/// The time constant with which failures are forgotten. Short, so that an endpoint that failed is tried
/// again.
const FAILURE_WINDOW: Milliseconds = Milliseconds(4000.0);

/// An attempt that this gateway has in flight at an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlightAttempt {
    pub class: ClassIndex,
    pub sent_at: Timestamp,
    /// The requests estimated to be in flight at the endpoint, from all gateways, when the attempt
    /// started.
    pub load_at_start: f64,
}

/// What is known of one endpoint.
#[derive(Debug, Default)]
pub(super) struct EndpointRecord {
    pub zone: ZoneId,
    pub cell: CellId,
    /// Its registered weight, positive and finite.
    pub weight: f64,
    pub state: EndpointState,
    pub hardware: HardwareId,
    /// When its present incarnation started; [`Timestamp::ZERO`] means long ago.
    pub started_at: Timestamp,
    pub last_attempt_at: Timestamp,
    /// How long the endpoint takes to answer a request of average cost when it has no other, as learned
    /// from its answers.
    pub service_time: Option<Milliseconds>,
    /// When the service time was last updated, also by a former incarnation; [`Timestamp::ZERO`] for never.
    pub service_time_updated_at: Timestamp,
    /// The requests from other gateways that it reported in flight.
    pub reported_others: Option<TimestampedSample>,
    /// This gateway's attempts there.
    in_flight: BTreeMap<RequestId, InFlightAttempt>,
    mean_in_flight: TimeAveragedGauge,
    failure_rate: DecayingValue,
}

impl EndpointRecord {
    /// An endpoint that is new on the list. It counts as used now, so that it is not explored at once.
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

    /// Whether this gateway has no attempt in flight at the endpoint.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// The number of this gateway's attempts in flight.
    pub(super) fn in_flight_count(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// The mean over time of this gateway's attempts in flight.
    pub(super) fn mean_in_flight(&self, now: Timestamp) -> f64 {
        let level = self.in_flight_count();
        self.mean_in_flight.mean(level, now, IN_FLIGHT_WINDOW)
    }

    /// When the oldest attempt in flight was sent; now if there is none.
    pub(super) fn oldest_sent_at(&self, now: Timestamp) -> Timestamp {
        let attempts = self.in_flight.values();
        attempts
            .map(|attempt| attempt.sent_at)
            .fold(now, Timestamp::min)
    }

    /// Counts an attempt as in flight.
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
            sent_at: now,
            load_at_start,
        };
        self.in_flight.insert(request, attempt);
    }

    /// Takes an attempt out of those in flight, if it is one of them.
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

    /// The failure rate: the decaying average of the values that [`EndpointRecord::set_failure_rate`] was
    /// given.
    pub(super) fn failure_rate(&self, now: Timestamp) -> f64 {
        self.failure_rate.at(now, FAILURE_WINDOW)
    }

    /// When the failure rate was last updated; [`Timestamp::ZERO`] for never.
    pub(super) fn failure_rate_updated_at(&self) -> Timestamp {
        self.failure_rate.updated_at()
    }

    pub(super) fn set_failure_rate(&mut self, rate: f64, now: Timestamp) {
        self.failure_rate.set(rate, now);
    }

    /// Clears what was learned of a former incarnation, which no longer holds.
    pub(super) fn forget_incarnation(&mut self) {
        self.service_time = None;
        self.mean_in_flight.clear();
        self.reported_others = None;
        self.failure_rate.clear();
    }
}
