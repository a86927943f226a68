//! The choice of the endpoint with the lowest cost among candidates in a weighted random order.

use super::context::MAX_SIMILAR_PEERS;
use super::endpoint::EndpointRecord;
use super::endpoint_table::{Candidate, EndpointTable};
use super::estimates::Estimator;
use super::slow_start::SlowStartLimiter;
use super::subset::preferred_arc;
use crate::decisions::retries::RetryScope;
use crate::events::{ClassIndex, EndpointName};
use crate::units::Milliseconds;
use rand::Rng;

/// The minimum number of endpoints with capacity that are compared. In a small fleet a gateway knows the load
/// of every endpoint and compares all of them. In a large fleet, gateways that compared all endpoints would
/// converge on the same few.
const MIN_COMPARED: f64 = 2.0;
/// How long an endpoint without capacity must have been unused before an attempt probes it, multiplied by the
/// number of gateways.
const EXPLORATION_INTERVAL: Milliseconds = Milliseconds(250.0);
/// The cost factor of endpoints in other zones.
const OTHER_ZONE_FACTOR: f64 = 1.05;
/// The maximum fraction by which costs are increased at random, so that gateways don't all choose the same
/// endpoint.
const JITTER: f64 = 0.1;

/// An attempt for which an endpoint is chosen.
pub(super) struct Attempt<'a> {
    pub class: ClassIndex,
    /// The highest expected latency at which an endpoint has capacity for the attempt.
    pub max_latency: Milliseconds,
    pub kind: AttemptKind<'a>,
}

pub(super) enum AttemptKind<'a> {
    First,
    Retry {
        scope: RetryScope,
        previous_endpoint: &'a EndpointName,
    },
}

impl Attempt<'_> {
    fn is_first(&self) -> bool {
        matches!(self.kind, AttemptKind::First)
    }

    /// Returns whether the retry constraints permit this endpoint, regardless of its load.
    fn permits(&self, candidate: &Candidate) -> bool {
        let (name, endpoint) = *candidate;
        match &self.kind {
            AttemptKind::First => true,
            AttemptKind::Retry {
                scope,
                previous_endpoint,
            } => scope.includes(endpoint.zone, endpoint.cell) && *previous_endpoint != name,
        }
    }
}

/// Chooses an endpoint for an attempt. Returns `None` if no permitted endpoint has capacity for it.
pub(super) fn choose_endpoint(
    endpoints: &EndpointTable,
    attempt: &Attempt,
    estimator: &Estimator,
    rng: &mut impl Rng,
) -> Option<EndpointName> {
    let ready: Vec<(Candidate, f64)> = endpoints
        .ready()
        .map(|candidate| (candidate, candidate.1.weight))
        .collect();
    let arc = preferred_arc(&estimator.context.settings, ready.len() as f64);
    let mut candidates = arc.weighted_random_order(&ready, rng);
    candidates.retain(|candidate| attempt.permits(candidate));
    lowest_cost(candidates, attempt, estimator, rng).cloned()
}

/// Returns the candidate with the lowest cost among the first ones that have capacity.
fn lowest_cost<'a>(
    candidates: Vec<Candidate<'a>>,
    attempt: &Attempt,
    estimator: &Estimator,
    rng: &mut impl Rng,
) -> Option<&'a EndpointName> {
    let to_compare = candidates_to_compare(candidates.len(), estimator);
    let mut slow_start = slow_start_limiter(attempt, estimator, to_compare);
    let mut compared = 0.0;
    let mut best: Option<(Milliseconds, &EndpointName)> = None;
    for (name, endpoint) in candidates {
        if !slow_start.permits(estimator.warmup_fraction(endpoint), rng) {
            continue;
        }
        let latency = estimator.latency(endpoint, attempt.class);
        let lacks_capacity = latency > attempt.max_latency;
        if lacks_capacity && !may_explore(endpoint, attempt, estimator) {
            continue;
        }
        let jitter = 1.0 + JITTER * rng.random::<f64>();
        let cost = cost(endpoint, latency, attempt.class, estimator) * jitter;
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, name));
        }
        compared += 1.0;
        if compared >= to_compare {
            break;
        }
    }
    best.map(|(_, name)| name)
}

fn candidates_to_compare(candidate_count: usize, estimator: &Estimator) -> f64 {
    let count = candidate_count as f64;
    let gateway_count = f64::from(estimator.context.settings.gateway_count);
    let known = MAX_SIMILAR_PEERS * count / gateway_count;
    known.max(MIN_COMPARED).min(count)
}

/// Creates the slow-start limiter of an attempt. For a first attempt, the number of draws per endpoint is the
/// overload multiple that warming endpoints tolerate. For a retry it is one, so that a request rejected by
/// one warming endpoint is not tried at all the others in turn.
fn slow_start_limiter(
    attempt: &Attempt,
    estimator: &Estimator,
    to_compare: f64,
) -> SlowStartLimiter {
    let overload_multiple = estimator.context.settings.warmup_overload_multiple;
    let draws_per_endpoint = if attempt.is_first() {
        overload_multiple.max(1.0)
    } else {
        1.0
    };
    SlowStartLimiter::new(to_compare, draws_per_endpoint)
}

/// Returns whether the attempt may probe an endpoint that seems to have no capacity. This gateway must have
/// sent nothing there recently: it would otherwise get no new information about the endpoint. All gateways
/// probe, so the interval is proportional to their number.
fn may_explore(endpoint: &EndpointRecord, attempt: &Attempt, estimator: &Estimator) -> bool {
    let gateway_count = f64::from(estimator.context.settings.gateway_count);
    let unused_for = estimator.now - endpoint.last_attempt_at;
    let is_due = unused_for > EXPLORATION_INTERVAL * gateway_count;
    attempt.is_first() && endpoint.is_idle() && is_due
}

/// Returns the expected latency plus a penalty for excess failures, which is a fraction of the latency
/// objective.
fn cost(
    endpoint: &EndpointRecord,
    latency: Milliseconds,
    class: ClassIndex,
    estimator: &Estimator,
) -> Milliseconds {
    let zone_factor = if endpoint.zone == estimator.context.settings.zone {
        1.0
    } else {
        OTHER_ZONE_FACTOR
    };
    let objective = estimator.context.latency_objective(class);
    latency * zone_factor + objective * estimator.excess_failure_rate(endpoint)
}
