//! Load balancing: the choice of an endpoint among candidates in random order.

use super::endpoint_estimation::MAX_SIMILAR_PEERS;
use super::subset::preferred_arc;
use crate::endpoint_model::{Candidate, EndpointModel, EndpointRecord, Estimator};
use crate::events::ClassIndex;
use crate::events::EndpointName;
use crate::records::RetryScope;
use crate::settings::Settings;
use rand::Rng;

/// At least this many endpoints with capacity are compared, and more where each gateway knows more. With few
/// gateways each knows every endpoint and compares all; with many, all would choose the same few.
const MIN_COMPARED: f64 = 2.0;
/// An endpoint that warms up gets this part of what its share of capacity would allow.
const WARMING_PART: f64 = 0.9;
/// The exploration interval: each gateway leaves an endpoint without capacity alone for this long before one
/// attempt tries it again.
const EXPLORATION_INTERVAL_MS: f64 = 250.0;
/// An endpoint in another zone counts as this many times slower.
const OTHER_ZONE_FACTOR: f64 = 1.05;
/// Expected latencies are spread at random by up to this part, so that gateways don't all choose alike.
const JITTER: f64 = 0.1;

/// What an attempt needs.
#[derive(Debug)]
pub(super) struct Selection<'a> {
    pub class: ClassIndex,
    /// An endpoint that is expected to take longer has no capacity for the attempt.
    pub max_latency_ms: f64,
    pub scope: RetryScope,
    /// For a retry: the endpoint of the attempt before.
    pub avoid: Option<&'a EndpointName>,
}

impl Selection<'_> {
    /// Whether the attempt may go to an endpoint, whatever its load.
    fn permits(&self, candidate: &Candidate) -> bool {
        let (name, endpoint) = *candidate;
        self.scope.includes(endpoint.zone, endpoint.cell) && self.avoid != Some(name)
    }
}

/// Chooses an endpoint for an attempt, if there is one with capacity for it.
pub(super) fn choose_endpoint(
    model: &EndpointModel,
    settings: &Settings,
    selection: &Selection,
    now_ms: f64,
    rng: &mut impl Rng,
) -> Option<EndpointName> {
    let ready: Vec<(Candidate, f64)> = model.ready().map(|ready| (ready, ready.1.weight)).collect();
    let arc = preferred_arc(settings, ready.len() as f64);
    let mut candidates = arc.weighted_random_order(&ready, rng);
    candidates.retain(|candidate| selection.permits(candidate));
    select(candidates, selection, &model.estimator(now_ms), rng).cloned()
}

/// Chooses the candidate of the lowest cost among the first ones that have capacity.
fn select<'a>(
    candidates: Vec<Candidate<'a>>,
    selection: &Selection,
    estimator: &Estimator,
    rng: &mut impl Rng,
) -> Option<&'a EndpointName> {
    let to_compare = candidates_to_compare(candidates.len(), estimator);
    let mut warm_up = WarmUpPicks::new(selection, estimator, to_compare);
    let mut compared = 0.0;
    let mut best: Option<(f64, &EndpointName)> = None;
    for (name, endpoint) in candidates {
        if !warm_up.permits(estimator.warmth(endpoint), rng) {
            continue;
        }
        let expected_ms = estimator.latency_ms(endpoint, selection.class);
        let lacks_capacity = expected_ms > selection.max_latency_ms;
        if lacks_capacity && !may_explore(endpoint, selection, estimator) {
            continue;
        }
        let cost = cost_ms(endpoint, expected_ms, selection.class, estimator);
        let cost = cost * (1.0 + JITTER * rng.random::<f64>());
        if best.is_none_or(|(least, _)| cost < least) {
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

/// Whether the attempt may test an endpoint that seems to have no capacity, since nothing of ours has gone
/// there lately: else nothing more would be learned. All gateways do so, so the interval grows with their
/// number.
fn may_explore(endpoint: &EndpointRecord, selection: &Selection, estimator: &Estimator) -> bool {
    let gateway_count = f64::from(estimator.context.settings.gateway_count);
    let idle_ms = estimator.now_ms - endpoint.last_attempt_at_ms;
    let is_due = idle_ms > EXPLORATION_INTERVAL_MS * gateway_count;
    selection.avoid.is_none() && endpoint.in_flight.is_empty() && is_due
}

/// The expected latency, and for excess failures a part of the latency objective.
fn cost_ms(endpoint: &EndpointRecord, expected_ms: f64, class: ClassIndex, estimator: &Estimator) -> f64 {
    let settings = &estimator.context.settings;
    let zone_factor = if endpoint.zone == settings.zone { 1.0 } else { OTHER_ZONE_FACTOR };
    let objective_ms = settings.class(class).latency_objective.0;
    expected_ms * zone_factor + estimator.excess_failure_rate(endpoint) * objective_ms
}

/// Limits how often endpoints that warm up are chosen.
///
/// Were one chosen each time it is met, it would get more than its part of a warm one's share. And where
/// nearly all are warming up, a pick for each would nearly always end with one of them, hence a limit on the
/// picks. It follows from the overload that the rules forgive. A retry has one: what endpoints that warm up
/// reject must not go round them all.
struct WarmUpPicks {
    left: f64,
    compared: f64,
}

impl WarmUpPicks {
    fn new(selection: &Selection, estimator: &Estimator, to_compare: f64) -> Self {
        let overload_multiple = estimator.context.settings.warmup_overload_multiple;
        let picks = if selection.avoid.is_some() { 1.0 } else { overload_multiple.max(1.0) };
        WarmUpPicks { left: to_compare * picks, compared: to_compare }
    }

    /// Whether an endpoint of this warmth may be looked at. Always true of a warm one.
    fn permits(&mut self, warmth: f64, rng: &mut impl Rng) -> bool {
        if warmth >= 1.0 {
            return true;
        }
        self.left -= 1.0;
        self.left >= 0.0 && rng.random::<f64>() < WARMING_PART * warmth / self.compared
    }
}
