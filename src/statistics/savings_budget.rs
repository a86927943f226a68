//! A budget that is earned bit by bit and saved up to a limit.

/// What has been earned and not spent yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SavingsBudget {
    saved: f64,
    limit: f64,
}

impl SavingsBudget {
    /// A budget with all savings that the limit allows.
    #[must_use]
    pub fn full(limit: f64) -> Self {
        SavingsBudget {
            saved: limit,
            limit,
        }
    }

    /// What is saved; below zero where more was spent.
    #[must_use]
    pub fn saved(&self) -> f64 {
        self.saved
    }

    /// Adds to the savings, up to the limit.
    pub fn earn(&mut self, amount: f64) {
        self.saved = (self.saved + amount).min(self.limit);
    }

    /// Takes from the savings.
    pub fn spend(&mut self, amount: f64) {
        self.saved -= amount;
    }
}
