//! Moving averages whose caller chooses the weight of each sample.

/// Moves `average` by `weight`, between 0 and 1, of its difference to `sample`.
#[must_use]
pub fn arithmetic_step(average: f64, sample: f64, weight: f64) -> f64 {
    average + weight * (sample - average)
}

/// Moves `average` towards `sample` by ratio: a weight of 0.5 gives their geometric mean.
///
/// A few samples of many times the usual size move this average far less than an arithmetic one.
/// Both arguments must be positive.
#[must_use]
pub fn geometric_step(average: f64, sample: f64, weight: f64) -> f64 {
    average * (sample / average).powf(weight)
}
