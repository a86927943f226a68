//! Tests of decaying values, moving averages, timestamped samples and time-averaged gauges.

use crate::assertions::{assert_exactly, assert_near};
use marlshelf::statistics::{
    DecayingValue, TimeAveragedGauge, TimestampedSample, arithmetic_step, exponential_decay,
    geometric_step,
};
use marlshelf::{Milliseconds, Timestamp};

const TIME_CONSTANT: Milliseconds = Milliseconds(2000.0);

#[test]
fn exponential_decay_leaves_a_fraction_of_e_for_each_time_constant() {
    assert_exactly(
        exponential_decay(Milliseconds(0.0), Milliseconds(2000.0)),
        1.0,
    );
    assert_near(
        exponential_decay(Milliseconds(2000.0), Milliseconds(2000.0)),
        1.0 / std::f64::consts::E,
    );
    assert_near(
        exponential_decay(Milliseconds(6000.0), Milliseconds(2000.0)),
        std::f64::consts::E.powi(-3),
    );
    assert_exactly(
        exponential_decay(Milliseconds(f64::INFINITY), Milliseconds(2000.0)),
        0.0,
    );
}

#[test]
fn a_decaying_value_decays_from_its_last_update() {
    let mut value = DecayingValue::new(8.0, Timestamp(1000.0));
    assert_exactly(value.at(Timestamp(1000.0), Milliseconds(500.0)), 8.0);
    assert_near(
        value.at(Timestamp(1500.0), Milliseconds(500.0)),
        8.0 / std::f64::consts::E,
    );
    assert_exactly(value.last_value(), 8.0);
    let decayed = value.at(Timestamp(1500.0), Milliseconds(500.0));
    value.set(decayed, Timestamp(1500.0));
    assert_near(value.last_value(), 8.0 / std::f64::consts::E);
    assert_exactly(value.updated_at().as_f64(), 1500.0);
    value.set(3.0, Timestamp(1600.0));
    assert_exactly(value.at(Timestamp(1600.0), Milliseconds(500.0)), 3.0);
}

#[test]
fn a_cleared_decaying_value_keeps_the_time_of_its_last_update() {
    let mut value = DecayingValue::new(8.0, Timestamp(1000.0));
    value.clear();
    assert_exactly(value.at(Timestamp(1200.0), Milliseconds(500.0)), 0.0);
    assert_exactly(value.updated_at().as_f64(), 1000.0);
}

#[test]
fn regular_events_converge_to_their_rate_per_second() {
    let mut rate = DecayingValue::default();
    rate.add_event(2.0, Timestamp(0.0), TIME_CONSTANT);
    assert_exactly(rate.last_value(), 1.0);
    for event in 1..=3000 {
        rate.add_event(2.0, Timestamp(f64::from(event) * 10.0), TIME_CONSTANT);
    }
    // Two units every 10 ms are 200 units per second.
    assert!(
        (199.0..202.0).contains(&rate.last_value()),
        "{}",
        rate.last_value()
    );
}

#[test]
fn an_arithmetic_step_moves_by_a_fraction_of_the_difference() {
    assert_exactly(arithmetic_step(10.0, 20.0, 0.25), 12.5);
    assert_exactly(arithmetic_step(10.0, 20.0, 0.0), 10.0);
    assert_exactly(arithmetic_step(10.0, 20.0, 1.0), 20.0);
}

#[test]
fn a_geometric_step_moves_by_ratio() {
    assert_near(geometric_step(10.0, 1000.0, 0.5), 100.0);
    assert_exactly(geometric_step(10.0, 1000.0, 0.0), 10.0);
    assert_near(geometric_step(10.0, 1000.0, 1.0), 1000.0);
    assert_near(geometric_step(10.0, 0.1, 0.5), 1.0);
}

#[test]
fn an_outlier_moves_a_geometric_average_less_than_an_arithmetic_one() {
    let geometric = geometric_step(10.0, 1000.0, 0.04);
    let arithmetic = arithmetic_step(10.0, 1000.0, 0.04);
    assert!(
        geometric < 12.5 && arithmetic > 49.0,
        "{geometric}, {arithmetic}"
    );
}

#[test]
fn the_weight_of_a_sample_shifts_to_the_fallback_with_its_age() {
    let sample = TimestampedSample::new(10.0, Timestamp(500.0));
    let mean_at = |now| sample.weighted_mean(2.0, Timestamp(now), Milliseconds(1000.0));
    assert_exactly(mean_at(500.0), 10.0);
    assert_near(mean_at(1500.0), 2.0 + 8.0 / std::f64::consts::E);
    assert_near(mean_at(1e6), 2.0);
}

#[test]
fn the_estimate_without_a_sample_is_the_fallback() {
    let estimate =
        |sample| TimestampedSample::estimate(sample, 2.0, Timestamp(500.0), Milliseconds(1000.0));
    let sample = TimestampedSample::new(10.0, Timestamp(500.0));
    assert_exactly(estimate(Some(sample)), 10.0);
    assert_exactly(estimate(None), 2.0);
}

#[test]
fn a_time_averaged_gauge_approaches_a_constant_level() {
    let mut gauge = TimeAveragedGauge::default();
    assert_exactly(gauge.mean(4.0, Timestamp(0.0), TIME_CONSTANT), 0.0);
    assert_near(
        gauge.mean(4.0, Timestamp(2000.0), TIME_CONSTANT),
        4.0 * (1.0 - 1.0 / std::f64::consts::E),
    );
    gauge.advance(4.0, Timestamp(50_000.0), TIME_CONSTANT);
    assert_near(gauge.mean(4.0, Timestamp(60_000.0), TIME_CONSTANT), 4.0);
}

#[test]
fn a_time_averaged_gauge_does_not_depend_on_how_often_it_advances() {
    let mut often = TimeAveragedGauge::default();
    for step in 1..=100 {
        often.advance(3.0, Timestamp(f64::from(step) * 25.0), TIME_CONSTANT);
    }
    assert_near(
        often.mean(3.0, Timestamp(2500.0), TIME_CONSTANT),
        TimeAveragedGauge::default().mean(3.0, Timestamp(2500.0), TIME_CONSTANT),
    );
}

#[test]
fn a_time_averaged_gauge_counts_a_level_only_while_it_lasts() {
    let mut gauge = TimeAveragedGauge::default();
    gauge.advance(0.0, Timestamp(10_000.0), TIME_CONSTANT);
    // The level was 5 for a duration of zero.
    gauge.advance(5.0, Timestamp(10_000.0), TIME_CONSTANT);
    assert_exactly(gauge.mean(0.0, Timestamp(10_000.0), TIME_CONSTANT), 0.0);
    gauge.advance(5.0, Timestamp(12_000.0), TIME_CONSTANT);
    gauge.clear();
    assert_exactly(gauge.mean(0.0, Timestamp(12_000.0), TIME_CONSTANT), 0.0);
    assert_exactly(gauge.mean(7.0, Timestamp(12_000.0), TIME_CONSTANT), 0.0);
}
