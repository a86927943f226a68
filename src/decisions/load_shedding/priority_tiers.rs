//! Priority tiers: groups of request values of similar size.

/// A tier of priority, counted from the highest, 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PriorityTier(pub usize);

/// Tiers of positive weights that differ by no more than a ratio: tier 0 begins at the highest weight, and
/// the next tier at the first weight that is below `ratio` times the highest of the tier before.
#[derive(Debug, Clone, PartialEq)]
pub struct PriorityTiers {
    highest_weights: Vec<f64>,
}

impl PriorityTiers {
    /// The tiers of these weights.
    #[must_use]
    pub fn by_weight_ratio(mut weights: Vec<f64>, ratio: f64) -> Self {
        weights.sort_by(|a, b| b.total_cmp(a));
        let mut highest_weights: Vec<f64> = Vec::new();
        for weight in weights {
            let highest = highest_weights.last();
            if highest.is_none_or(|highest| weight < ratio * highest) {
                highest_weights.push(weight);
            }
        }
        PriorityTiers { highest_weights }
    }

    /// The number of tiers, which is at least one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.highest_weights.len().max(1)
    }

    /// The tier of one of the weights.
    #[must_use]
    pub fn tier_of(&self, weight: f64) -> PriorityTier {
        let mut highest_weights = self.highest_weights.iter();
        let lowest_fitting = highest_weights.rposition(|highest| weight <= *highest);
        PriorityTier(lowest_fitting.unwrap_or(0))
    }
}
