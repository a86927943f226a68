//! Load balancing: the choice of an endpoint for each attempt.
//!
//! [`LoadBalancer`] owns the state of all endpoints. It estimates the latency of each endpoint from the
//! outcomes of attempts (`learning.rs`, `estimates.rs`). For each attempt it compares a few candidates in a
//! weighted random order that starts with the gateway's own subset of endpoints (`selection.rs`,
//! `subset.rs`). Endpoints that are warming up are chosen less often (`slow_start.rs`).

mod context;
mod endpoint;
mod endpoint_table;
mod estimates;
mod fleet;
mod learning;
mod selection;
mod slow_start;
mod subset;

use super::retries::{PossibleExecution, RetryScope};
use crate::events::{
    AttemptOutcome, ClassIndex, Endpoint, EndpointListKind, EndpointName, RequestId,
};
use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp};
use context::LoadBalancingContext;
use endpoint_table::EndpointTable;
use estimates::Estimator;
use fleet::FleetEstimates;
use learning::EstimateUpdate;
use rand::Rng;
use selection::{Attempt, AttemptKind, choose_endpoint};
use std::sync::Arc;

/// The inputs for choosing the endpoint of a retry.
#[derive(Debug)]
pub(crate) struct RetryAttempt<'a> {
    pub class: ClassIndex,
    /// The time left for a response. Endpoints with a higher expected latency are not chosen.
    pub remaining: Milliseconds,
    /// The endpoints on which a retry is safe.
    pub scope: RetryScope,
    /// The endpoint of the failed attempt, which is excluded.
    pub previous_endpoint: &'a EndpointName,
}

/// Chooses endpoints for attempts and updates its latency and failure estimates from their outcomes.
pub(crate) struct LoadBalancer {
    context: LoadBalancingContext,
    endpoints: EndpointTable,
    fleet: FleetEstimates,
}

impl LoadBalancer {
    /// Creates a load balancer without endpoints.
    pub(crate) fn new(settings: Arc<Settings>) -> LoadBalancer {
        LoadBalancer {
            fleet: FleetEstimates::new(&settings),
            endpoints: EndpointTable::default(),
            context: LoadBalancingContext::new(settings),
        }
    }

    pub(crate) fn apply_list(
        &mut self,
        kind: EndpointListKind,
        list: Vec<Endpoint>,
        now: Timestamp,
    ) {
        self.endpoints.apply_list(kind, list, now);
    }

    /// Returns the number of listed endpoints, including removed ones that still have attempts in flight.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the mean latency of endpoint responses, over all endpoints and classes.
    pub(crate) fn mean_latency(&self) -> Milliseconds {
        self.fleet.mean_latency
    }

    /// Chooses an endpoint for the first attempt of a request. Returns `None` if no endpoint has capacity for
    /// it.
    pub(crate) fn choose_for_first_attempt(
        &self,
        class: ClassIndex,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<EndpointName> {
        let attempt = Attempt {
            class,
            max_latency: self.context.acceptable_latency(class),
            kind: AttemptKind::First,
        };
        choose_endpoint(&self.endpoints, &attempt, &self.estimator(now), rng)
    }

    /// Chooses an endpoint for a retry. Returns `None` if no other endpoint in the scope is expected to
    /// respond in the remaining time.
    pub(crate) fn choose_for_retry(
        &self,
        retry: &RetryAttempt,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<EndpointName> {
        let attempt = Attempt {
            class: retry.class,
            max_latency: retry.remaining,
            kind: AttemptKind::Retry {
                scope: retry.scope,
                previous_endpoint: retry.previous_endpoint,
            },
        };
        choose_endpoint(&self.endpoints, &attempt, &self.estimator(now), rng)
    }

    /// Adds an attempt to those in flight at an endpoint, with the estimated load at its start.
    pub(crate) fn attempt_started(
        &mut self,
        request: RequestId,
        class: ClassIndex,
        endpoint: &EndpointName,
        now: Timestamp,
    ) {
        let endpoint_count = self.endpoints.len();
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let estimator = Estimator {
            context: &self.context,
            fleet: &self.fleet,
            endpoint_count,
            now,
        };
        let load_at_start = estimator.load(endpoint);
        self.fleet.attempt_started(now);
        endpoint.attempt_started(request, class, load_at_start, now);
    }

    /// Removes an attempt from those in flight and updates the estimates from its outcome. Returns the
    /// location and start time of the attempt. For an attempt that is not in flight, no estimate is updated
    /// and `None` is returned.
    pub(crate) fn attempt_finished(
        &mut self,
        outcome: &AttemptOutcome,
        now: Timestamp,
    ) -> Option<PossibleExecution> {
        self.fleet.advance_mean_in_flight(now);
        let endpoint_count = self.endpoints.len();
        let endpoint = self.endpoints.get_mut(&outcome.endpoint)?;
        let estimator = Estimator {
            context: &self.context,
            fleet: &self.fleet,
            endpoint_count,
            now,
        };
        let previous = estimator.previous_estimate(endpoint);
        let attempt = endpoint.attempt_finished(outcome.request, now)?;
        self.fleet.attempt_finished();
        let execution = PossibleExecution {
            zone: attempt.zone,
            cell: attempt.cell,
            sent_at: attempt.sent_at,
        };
        let mut update = EstimateUpdate {
            context: &self.context,
            endpoint,
            fleet: &mut self.fleet,
            previous,
            now,
        };
        update.apply(outcome, &attempt);
        Some(execution)
    }

    fn estimator(&self, now: Timestamp) -> Estimator<'_> {
        Estimator {
            context: &self.context,
            fleet: &self.fleet,
            endpoint_count: self.endpoints.len(),
            now,
        }
    }
}
