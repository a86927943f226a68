//! Moving averages with a weight per sample that the caller chooses.

/// Moves `average` towards `sample` by the fraction `weight` of their difference. The weight is between 0 and
/// 1.
#[must_use]
pub fn arithmetic_step(average: f64, sample: f64, weight: f64) -> f64 {
    average + weight * (sample - average)
}

/// Moves `average` towards `sample` by ratio: a weight of 0.5 returns their geometric mean.
///
/// An outlier of many times the usual value moves a geometric average far less than an arithmetic one. Both
/// arguments must be positive.
#[must_use]
pub fn geometric_step(average: f64, sample: f64, weight: f64) -> f64 {
    average * (sample / average).powf(weight)
}
