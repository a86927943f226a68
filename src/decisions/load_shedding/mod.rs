//! Load shedding by priority tier.
//!
//! Each gateway rejects a request at once with the probability max(0, (requests - K x accepts) / (requests +
//! 1)), counted over a sliding window ("Handling Overload" in the SRE book, client-side throttling). A tier
//! counts the failures of all higher tiers as its own, so that the lowest tier is shed first.

mod priority_tiers;

pub use priority_tiers::{PriorityTier, PriorityTiers};

use crate::events::{ClassIndex, PlanIndex};
use crate::settings::Settings;
use crate::statistics::{SlidingWindow, WindowShape};
use crate::units::{Milliseconds, Timestamp};
use rand::Rng;
use std::sync::Arc;

/// K: how many times the accepts may be forwarded. With a success rate under 1/K, all but the minimum is
/// rejected.
const ACCEPT_MULTIPLIER: f64 = 2.0;
/// The sliding window. One of many gateways receives few requests, and a probability computed from a handful
/// is noise, so a slot stays open until it holds a few or has become old.
const WINDOW: WindowShape = WindowShape {
    slots: 10,
    slot_duration: Milliseconds(300.0),
    min_slot_events: 4,
    max_slot_duration: Milliseconds(3000.0),
};
/// Each tier forwards this many requests a second for each endpoint, from all gateways together, whatever the
/// probability, so that recovery is noticed. A minimum for each gateway would add up to an overload.
const MIN_FORWARDED_PER_SECOND: f64 = 0.15;
/// A request value (class weight times plan weight) below this fraction of a tier's highest begins the next
/// tier.
const TIER_RATIO: f64 = 0.7;

/// How a request ended, as load shedding counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// An endpoint answered it within the latency objective, if only with an error: there was capacity for
    /// it.
    Accepted,
    /// It was rejected or failed, or its latency objective passed before an answer.
    Unserved,
}

impl RequestOutcome {
    /// Accepted if the condition holds.
    pub(crate) fn accepted_if(condition: bool) -> RequestOutcome {
        if condition {
            RequestOutcome::Accepted
        } else {
            RequestOutcome::Unserved
        }
    }
}

/// Whether load shedding lets a request through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SheddingDecision {
    Forward,
    Shed,
}

/// Sheds load by priority tier, by the recent outcomes of requests at this gateway.
pub(crate) struct LoadShedder {
    settings: Arc<Settings>,
    tiers: PriorityTiers,
    window: SlidingWindow,
    /// By tier: when a request was last let through.
    last_forwarded_at: Vec<Timestamp>,
}

impl LoadShedder {
    /// A load shedder that has counted nothing yet.
    pub(crate) fn new(settings: Arc<Settings>) -> LoadShedder {
        let tiers = PriorityTiers::by_weight_ratio(request_weights(&settings), TIER_RATIO);
        LoadShedder {
            window: SlidingWindow::new(WINDOW, tiers.count()),
            last_forwarded_at: vec![Timestamp::DISTANT_PAST; tiers.count()],
            tiers,
            settings,
        }
    }

    /// The tier of a class and plan, if the settings have both.
    pub(crate) fn tier_of(&self, class: ClassIndex, plan: PlanIndex) -> Option<PriorityTier> {
        let class = self.settings.classes.get(class.0)?;
        let plan = self.settings.plans.get(plan.0)?;
        Some(self.tiers.tier_of(class.priority_weight * plan.weight))
    }

    /// Counts the final outcome of a request.
    pub(crate) fn record(&mut self, tier: PriorityTier, outcome: RequestOutcome, now: Timestamp) {
        let accepted = outcome == RequestOutcome::Accepted;
        self.window.record(tier.0, accepted, now);
    }

    /// Decides whether a request of this tier is shed.
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

    /// The longest time between two requests of a tier that are let through.
    fn forwarding_interval(&self, endpoint_count: usize) -> Milliseconds {
        let gateway_count = f64::from(self.settings.gateway_count);
        let min_per_second = MIN_FORWARDED_PER_SECOND * endpoint_count as f64 / gateway_count;
        Milliseconds(1000.0 / min_per_second)
    }
}

/// The values of requests of all classes and plans.
fn request_weights(settings: &Settings) -> Vec<f64> {
    let mut weights = Vec::new();
    for class in &settings.classes {
        let plans = settings.plans.iter();
        weights.extend(plans.map(|plan| class.priority_weight * plan.weight));
    }
    weights
}
