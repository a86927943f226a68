//! Comparisons of floating-point numbers.

/// Allows for rounding errors.
pub fn assert_near(actual: f64, expected: f64) {
    let tolerance = 1e-9 * expected.abs().max(1.0);
    assert!(
        (actual - expected).abs() <= tolerance,
        "{actual} instead of {expected}"
    );
}

/// Allows for no rounding error.
pub fn assert_exactly(actual: f64, expected: f64) {
    assert_eq!(
        actual.to_bits(),
        expected.to_bits(),
        "{actual} instead of {expected}"
    );
}
