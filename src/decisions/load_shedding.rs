//! Load shedding by priority tier.
//!
//! Each gateway rejects a request at once with the probability max(0, (requests - K x accepts) / (requests +
//! 1)), counted over a sliding window ("Handling Overload" in the SRE book, adaptive throttling). A tier
//! counts the failures of all higher tiers as its own, so that the lowest tier is shed first.

use crate::events::ClassIndex;
use crate::events::PlanIndex;
use crate::records::PriorityTier;
use crate::settings::Settings;
use crate::statistics::{RatioBands, SlidingWindow, WindowShape};
use rand::Rng;
use std::sync::Arc;

/// K: how many times the accepts may be forwarded. With a success rate under 1/K, all but the minimum is
/// rejected.
const ACCEPT_MULTIPLIER: f64 = 2.0;
/// The sliding window. One of many gateways sees few requests, and a probability made of a handful is noise,
/// so a slot stays open until it holds a few or has become old.
const WINDOW: WindowShape =
    WindowShape { slots: 10, slot_ms: 300.0, min_slot_events: 4, max_slot_ms: 3000.0 };
/// Each tier forwards this many requests a second for each endpoint, from all gateways together, whatever the
/// probability, so that recovery is seen: a minimum for each gateway would add up to an overload.
const MIN_FORWARDED_PER_SECOND: f64 = 0.15;
/// A request value (class weight times plan weight) below this part of a tier's highest begins the next tier.
const TIER_RATIO: f64 = 0.7;

/// Sheds load by priority tier, judging by the outcomes that this gateway has seen lately.
pub(super) struct LoadShedder {
    settings: Arc<Settings>,
    tiers: RatioBands,
    window: SlidingWindow,
    /// By tier: when a request was last let through.
    last_forwarded_at_ms: Vec<f64>,
}

impl LoadShedder {
    /// A load shedder that has seen nothing yet.
    pub(super) fn new(settings: Arc<Settings>) -> LoadShedder {
        let mut weights = Vec::new();
        for class in &settings.classes {
            weights.extend(settings.plans.iter().map(|plan| class.priority_weight * plan.weight));
        }
        let tiers = RatioBands::new(weights, TIER_RATIO);
        LoadShedder {
            window: SlidingWindow::new(WINDOW, tiers.count()),
            last_forwarded_at_ms: vec![f64::NEG_INFINITY; tiers.count()],
            tiers,
            settings,
        }
    }

    /// The tier of a class and plan, if the settings have both.
    pub(super) fn tier_of(&self, class: ClassIndex, plan: PlanIndex) -> Option<PriorityTier> {
        let class = self.settings.classes.get(class.0)?;
        let plan = self.settings.plans.get(plan.0)?;
        Some(PriorityTier(self.tiers.band_of(class.priority_weight * plan.weight)))
    }

    /// Counts the final outcome of a request.
    pub(super) fn record(&mut self, tier: PriorityTier, accepted: bool, now_ms: f64) {
        self.window.record(tier.0, accepted, now_ms);
    }

    /// Decides whether a request of this tier is shed, and counts it as forwarded if not.
    pub(super) fn sheds(
        &mut self,
        tier: PriorityTier,
        now_ms: f64,
        endpoint_count: usize,
        rng: &mut impl Rng,
    ) -> bool {
        let probability = self.rejection_probability(tier, now_ms);
        let rejected = probability > 0.0 && rng.random::<f64>() < probability;
        let min_per_second =
            MIN_FORWARDED_PER_SECOND * endpoint_count as f64 / f64::from(self.settings.gateway_count);
        let last_forwarded_at_ms = &mut self.last_forwarded_at_ms[tier.0];
        if rejected && now_ms - *last_forwarded_at_ms < 1000.0 / min_per_second {
            return true;
        }
        *last_forwarded_at_ms = now_ms;
        false
    }

    fn rejection_probability(&mut self, tier: PriorityTier, now_ms: f64) -> f64 {
        self.window.advance(now_ms);
        let higher_tiers = (0..tier.0).map(|higher| self.window.tally(higher));
        let failures: f64 = higher_tiers.map(|tally| tally.total - tally.accepted).sum();
        let own = self.window.tally(tier.0);
        let requests = own.total + failures;
        ((requests - ACCEPT_MULTIPLIER * own.accepted) / (requests + 1.0)).max(0.0)
    }
}
