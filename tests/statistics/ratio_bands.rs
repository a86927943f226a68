//! Bands of values within a ratio of each other.

use marlshelf::statistics::RatioBands;

#[test]
fn bands_begin_where_a_value_falls_below_the_ratio() {
    let bands = RatioBands::new(vec![1.0, 10.0, 7.0, 6.0, 5.0, 4.0], 0.7);
    // The tops are 10, 6, 4 and 1: 7 is not below 0.7 times 10, and 5 not below 0.7 times 6.
    assert_eq!(bands.count(), 4);
    let expected = [(10.0, 0), (7.0, 0), (6.0, 1), (5.0, 1), (4.0, 2), (1.0, 3)];
    for (value, band) in expected {
        assert_eq!(bands.band_of(value), band, "{value}");
    }
}

#[test]
fn bands_of_nothing_are_one() {
    let bands = RatioBands::new(Vec::new(), 0.7);
    assert_eq!((bands.count(), bands.band_of(3.0)), (1, 0));
}
