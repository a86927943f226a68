//! Assertions on floating-point numbers.

/// Asserts equality up to a tolerance of 1e-9, relative for numbers above 1.
pub fn assert_near(actual: f64, expected: f64) {
    let tolerance = 1e-9 * expected.abs().max(1.0);
    assert!(
        (actual - expected).abs() <= tolerance,
        "expected {expected}, got {actual}"
    );
}

/// Asserts that both numbers have the same bits.
pub fn assert_exactly(actual: f64, expected: f64) {
    assert_eq!(
        actual.to_bits(),
        expected.to_bits(),
        "expected {expected}, got {actual}"
    );
}
