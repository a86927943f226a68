//! Bands of values that differ by no more than a ratio.

/// Positive values in bands: band 0 begins at the highest value, and the next band at the first
/// value that is below `ratio` times the top of the band before.
#[derive(Debug, Clone, PartialEq)]
pub struct RatioBands {
    tops: Vec<f64>,
}

impl RatioBands {
    /// The bands of these values.
    #[must_use]
    pub fn new(mut values: Vec<f64>, ratio: f64) -> Self {
        values.sort_by(|a, b| b.total_cmp(a));
        let mut tops: Vec<f64> = Vec::new();
        for value in values {
            if tops.last().is_none_or(|top| value < ratio * top) {
                tops.push(value);
            }
        }
        RatioBands { tops }
    }

    /// The number of bands, which is at least one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.tops.len().max(1)
    }

    /// The band of one of the values.
    #[must_use]
    pub fn band_of(&self, value: f64) -> usize {
        let lowest_fitting = self.tops.iter().rposition(|top| value <= *top);
        lowest_fitting.unwrap_or(0)
    }
}
