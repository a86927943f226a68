//! A model of the endpoints: what the list says of them, which attempts are in flight there, and estimates of load,
//! service time and failures that are learned from the outcomes.
//!
//! The model counts and averages. Which endpoint is chosen by its estimates is decided in [`crate::decisions`], and
//! so are the parameters of the estimates.

mod estimates;
mod learning;
mod parameters;
mod records;

use crate::events::ClassIndex;
use crate::events::{
    AttemptOutcome, Endpoint, EndpointListKind, EndpointName, EndpointState, RequestId,
};
use crate::records::PossibleExecution;
use crate::settings::Settings;
use learning::{Learning, initial_mean_latency_ms};
use records::{AttemptInFlight, FleetEstimates};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub(crate) use estimates::Estimator;
pub(crate) use parameters::{EstimationParameters, ModelContext};
pub(crate) use records::EndpointRecord;

/// An endpoint as a candidate for an attempt.
pub(crate) type Candidate<'a> = (&'a EndpointName, &'a EndpointRecord);

/// All endpoints that a gateway knows.
pub(crate) struct EndpointModel {
    context: ModelContext,
    endpoints: BTreeMap<EndpointName, EndpointRecord>,
    fleet: FleetEstimates,
}

impl EndpointModel {
    /// A model that knows no endpoint yet.
    pub(crate) fn new(settings: Arc<Settings>, parameters: EstimationParameters) -> EndpointModel {
        let class_service_time_ms = vec![0.0; settings.classes.len()];
        let context = ModelContext {
            settings,
            parameters,
        };
        let mean_latency_ms = initial_mean_latency_ms(&context);
        let fleet = FleetEstimates {
            mean_latency_ms,
            class_service_time_ms,
            ..FleetEstimates::default()
        };
        EndpointModel {
            context,
            endpoints: BTreeMap::new(),
            fleet,
        }
    }

    /// The number of endpoints on the list, and of removed ones that still have attempts in flight.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// The endpoints that are ready, in the order of their names.
    pub(crate) fn ready(&self) -> impl Iterator<Item = Candidate<'_>> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.state == EndpointState::Ready)
    }

    /// The part of a class's latency objective within which an endpoint has capacity for a first attempt.
    pub(crate) fn acceptable_latency_ms(&self, class: ClassIndex) -> f64 {
        let objective_ms = self.context.settings.class(class).latency_objective.0;
        self.context.parameters.capacity_fraction * objective_ms
    }

    /// The mean time to an answer.
    pub(crate) fn mean_latency_ms(&self) -> f64 {
        self.fleet.mean_latency_ms
    }

    /// Applies an endpoint list.
    pub(crate) fn apply_list(&mut self, kind: EndpointListKind, list: Vec<Endpoint>, now_ms: f64) {
        if kind == EndpointListKind::Snapshot {
            self.remove_all_but(&list);
        }
        for listed in list {
            self.apply_listed(listed, now_ms);
        }
        self.endpoints.retain(|_, endpoint| {
            endpoint.state != EndpointState::Removed || !endpoint.in_flight.is_empty()
        });
    }

    fn remove_all_but(&mut self, list: &[Endpoint]) {
        let listed: BTreeSet<&EndpointName> = list.iter().map(|endpoint| &endpoint.name).collect();
        for (name, endpoint) in &mut self.endpoints {
            if !listed.contains(name) {
                endpoint.state = EndpointState::Removed;
            }
        }
    }

    fn apply_listed(&mut self, listed: Endpoint, now_ms: f64) {
        let entry = self.endpoints.entry(listed.name);
        let endpoint = entry.or_insert_with(|| EndpointRecord {
            started_at_ms: listed.started_at.0,
            last_attempt_at_ms: now_ms,
            hardware: listed.hardware,
            ..EndpointRecord::default()
        });
        if listed.started_at.0 > endpoint.started_at_ms {
            endpoint.forget_incarnation();
        }
        endpoint.started_at_ms = listed.started_at.0;
        endpoint.state = listed.state;
        endpoint.weight = if listed.weight.is_finite() {
            listed.weight.max(self.context.parameters.min_weight)
        } else {
            1.0
        };
        // The last place of a removed endpoint still tells where its attempts may have been executed.
        if listed.state != EndpointState::Removed {
            endpoint.zone = listed.zone;
            endpoint.cell = listed.cell;
        }
    }

    /// Counts an attempt as in flight.
    pub(crate) fn attempt_started(
        &mut self,
        request: RequestId,
        class: ClassIndex,
        endpoint: &EndpointName,
        now_ms: f64,
    ) {
        let Some(record) = self.endpoints.get(endpoint) else {
            return;
        };
        let load_at_start = self.estimator(now_ms).load(record);
        self.advance_fleet_mean(now_ms);
        self.fleet.in_flight += 1;
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        record.advance_mean_in_flight(now_ms, self.context.parameters.in_flight_window_ms);
        record.last_attempt_at_ms = now_ms;
        let attempt = AttemptInFlight {
            class,
            sent_at_ms: now_ms,
            load_at_start,
        };
        record.in_flight.insert(request, attempt);
    }

    /// Takes an attempt out of those in flight and learns from its outcome. An attempt that is not in flight
    /// teaches nothing.
    ///
    /// Returns where the attempt was.
    pub(crate) fn attempt_finished(
        &mut self,
        outcome: &AttemptOutcome,
        now_ms: f64,
    ) -> Option<PossibleExecution> {
        self.advance_fleet_mean(now_ms);
        let estimator = self.estimator(now_ms);
        let prior = estimator.prior(self.endpoints.get(&outcome.endpoint)?);
        let endpoint = self.endpoints.get_mut(&outcome.endpoint)?;
        let attempt = endpoint.finish_attempt(
            outcome.request,
            now_ms,
            self.context.parameters.in_flight_window_ms,
        )?;
        self.fleet.in_flight = self.fleet.in_flight.saturating_sub(1);
        let execution = PossibleExecution {
            zone: endpoint.zone,
            cell: endpoint.cell,
            sent_at_ms: attempt.sent_at_ms,
        };
        let mut learning = Learning {
            endpoint,
            fleet: &mut self.fleet,
            prior,
            context: &self.context,
            now_ms,
        };
        learning.learn(outcome, &attempt);
        Some(execution)
    }

    fn advance_fleet_mean(&mut self, now_ms: f64) {
        let fleet = &mut self.fleet;
        let level = fleet.in_flight as f64;
        fleet
            .mean_in_flight
            .advance(level, now_ms, self.context.parameters.in_flight_window_ms);
    }

    /// Estimates as of now.
    pub(crate) fn estimator(&self, now_ms: f64) -> Estimator<'_> {
        Estimator {
            context: &self.context,
            fleet: &self.fleet,
            endpoint_count: self.endpoints.len(),
            now_ms,
        }
    }
}
