//! Adaptive load shedding by priority tier.
//!
//! Each gateway rejects a request with the probability max(0, (requests - K x accepts) / (requests + 1)),
//! counted over a sliding window (client-side throttling, "Handling Overload" in the SRE book). Each tier
//! also counts the failures of all higher tiers, so the lowest tier is shed first.

mod priority_tiers;

pub use priority_tiers::{PriorityTier, PriorityTiers};

use crate::events::{ClassIndex, PlanIndex};
use crate::settings::Settings;
use crate::statistics::{SlidingWindow, WindowShape};
use crate::units::{Milliseconds, Timestamp};
use rand::Rng;
use std::sync::Arc;

/// K, the multiple of the accepted requests that may be forwarded. At a success rate below 1/K, all requests
/// but the guaranteed minimum are rejected.
const ACCEPT_MULTIPLIER: f64 = 2.0;
/// The sliding window of outcomes. One of many gateways receives few requests, and a probability computed
/// from a handful of them is noise. A slot therefore stays open beyond `slot_duration` until it holds
/// `min_slot_events` events or reaches `max_slot_duration`.
const WINDOW: WindowShape = WindowShape {
    slots: 10,
    slot_duration: Milliseconds(300.0),
    min_slot_events: 4,
    max_slot_duration: Milliseconds(3000.0),
};
/// Requests per second and endpoint that each tier forwards whatever the rejection probability, so that
/// recovery is noticed. The rate is a total over all gateways: a minimum per gateway would add up to an
/// overload.
const MIN_FORWARDED_PER_SECOND: f64 = 0.15;
/// A new tier begins at a request weight (class weight times plan weight) below this fraction of the previous
/// tier's highest weight.
const TIER_RATIO: f64 = 0.7;

/// The outcome of a request as counted by load shedding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// An endpoint responded within the latency objective. An error response counts too, since it shows that
    /// the endpoint had capacity.
    Accepted,
    /// The request was rejected or failed, or got no response within its latency objective.
    Unserved,
}

impl RequestOutcome {
    pub(crate) fn accepted_if(condition: bool) -> RequestOutcome {
        if condition {
            RequestOutcome::Accepted
        } else {
            RequestOutcome::Unserved
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SheddingDecision {
    Forward,
    Shed,
}

/// Rejects requests by priority tier, based on the recent outcomes at this gateway.
pub(crate) struct LoadShedder {
    settings: Arc<Settings>,
    tiers: PriorityTiers,
    window: SlidingWindow,
    /// When a request of each tier was last forwarded.
    last_forwarded_at: Vec<Timestamp>,
}

impl LoadShedder {
    /// Creates a load shedder with an empty window.
    pub(crate) fn new(settings: Arc<Settings>) -> LoadShedder {
        let tiers = PriorityTiers::by_weight_ratio(request_weights(&settings), TIER_RATIO);
        LoadShedder {
            window: SlidingWindow::new(WINDOW, tiers.count()),
            last_forwarded_at: vec![Timestamp::DISTANT_PAST; tiers.count()],
            tiers,
            settings,
        }
    }

    /// Returns the tier of a class and a plan, or `None` if the settings lack one of them.
    pub(crate) fn tier_of(&self, class: ClassIndex, plan: PlanIndex) -> Option<PriorityTier> {
        let class = self.settings.classes.get(class.0)?;
        let plan = self.settings.plans.get(plan.0)?;
        Some(self.tiers.tier_of(class.priority_weight * plan.weight))
    }

    /// Adds the final outcome of a request to the window.
    pub(crate) fn record(&mut self, tier: PriorityTier, outcome: RequestOutcome, now: Timestamp) {
        let accepted = outcome == RequestOutcome::Accepted;
        self.window.record(tier.0, accepted, now);
    }

    /// Decides whether to shed a request of this tier. The decision is random, but a request is always
    /// forwarded if the tier has forwarded none within the forwarding interval.
    pub(crate) fn decide(
        &mut self,
        tier: PriorityTier,
        endpoint_count: usize,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> SheddingDecision {
        let probability = self.rejection_probability(tier, now);
        let rejected = probability > 0.0 && rng.random::<f64>() < probability;
        if rejected
            && now - self.last_forwarded_at[tier.0] < self.forwarding_interval(endpoint_count)
        {
            return SheddingDecision::Shed;
        }
        self.last_forwarded_at[tier.0] = now;
        SheddingDecision::Forward
    }

    fn rejection_probability(&mut self, tier: PriorityTier, now: Timestamp) -> f64 {
        self.window.advance(now);
        let higher_tiers = (0..tier.0).map(|higher| self.window.tally(higher));
        let failures: f64 = higher_tiers.map(|tally| tally.total - tally.accepted).sum();
        let own = self.window.tally(tier.0);
        let requests = own.total + failures;
        ((requests - ACCEPT_MULTIPLIER * own.accepted) / (requests + 1.0)).max(0.0)
    }

    /// Returns the longest time for which all requests of a tier may be shed.
    fn forwarding_interval(&self, endpoint_count: usize) -> Milliseconds {
        let gateway_count = f64::from(self.settings.gateway_count);
        let min_per_second = MIN_FORWARDED_PER_SECOND * endpoint_count as f64 / gateway_count;
        Milliseconds(1000.0 / min_per_second)
    }
}

/// Returns the weights of all combinations of class and plan.
fn request_weights(settings: &Settings) -> Vec<f64> {
    let mut weights = Vec::new();
    for class in &settings.classes {
        let plans = settings.plans.iter();
        weights.extend(plans.map(|plan| class.priority_weight * plan.weight));
    }
    weights
}
