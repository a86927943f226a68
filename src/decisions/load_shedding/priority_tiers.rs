//! Priority tiers, which group request weights of similar size.

/// The index of a priority tier. 0 is the highest priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PriorityTier(pub usize);

/// Tiers of positive weights. Tier 0 begins at the highest weight. Each further tier begins at the first
/// weight below `ratio` times the highest weight of the tier before.
#[derive(Debug, Clone, PartialEq)]
pub struct PriorityTiers {
    highest_weights: Vec<f64>,
}

impl PriorityTiers {
    /// Groups weights into tiers. The weights may be in any order and contain duplicates.
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

    /// Returns the number of tiers, which is at least one even without weights.
    #[must_use]
    pub fn count(&self) -> usize {
        self.highest_weights.len().max(1)
    }

    /// Returns the tier of one of the weights that the tiers were built from.
    #[must_use]
    pub fn tier_of(&self, weight: f64) -> PriorityTier {
        let mut highest_weights = self.highest_weights.iter();
        let lowest_fitting = highest_weights.rposition(|highest| weight <= *highest);
        PriorityTier(lowest_fitting.unwrap_or(0))
    }
}
