//! Values, averages and reports that decay with time or with each sample.

use crate::assertions::{assert_exactly, assert_near};
use marlshelf::statistics::{
    AgingReport, DecayingValue, TimeAveragedGauge, arithmetic_step, exponential_decay,
    geometric_step,
};

#[test]
fn exponential_decay_leaves_a_fraction_of_e_for_each_time_constant() {
    assert_exactly(exponential_decay(0.0, 2000.0), 1.0);
    assert_near(exponential_decay(2000.0, 2000.0), 1.0 / std::f64::consts::E);
    assert_near(
        exponential_decay(6000.0, 2000.0),
        std::f64::consts::E.powi(-3),
    );
    assert_exactly(exponential_decay(f64::INFINITY, 2000.0), 0.0);
}

#[test]
fn a_decaying_value_decays_from_its_last_update() {
    let mut value = DecayingValue::new(8.0, 1000.0);
    assert_exactly(value.at(1000.0, 500.0), 8.0);
    assert_near(value.at(1500.0, 500.0), 8.0 / std::f64::consts::E);
    assert_exactly(value.last_value(), 8.0);
    value.decay_to(1500.0, 500.0);
    assert_near(value.last_value(), 8.0 / std::f64::consts::E);
    assert_exactly(value.updated_at_ms(), 1500.0);
    value.set(3.0, 1600.0);
    assert_exactly(value.at(1600.0, 500.0), 3.0);
}

#[test]
fn a_cleared_decaying_value_keeps_the_time_of_its_last_update() {
    let mut value = DecayingValue::new(8.0, 1000.0);
    value.clear();
    assert_exactly(value.at(1200.0, 500.0), 0.0);
    assert_exactly(value.updated_at_ms(), 1000.0);
}

#[test]
fn regular_events_settle_at_their_rate_per_second() {
    let mut rate = DecayingValue::default();
    rate.add_event(2.0, 0.0, 2000.0);
    assert_exactly(rate.last_value(), 1.0);
    for event in 1..=3000 {
        rate.add_event(2.0, f64::from(event) * 10.0, 2000.0);
    }
    // Two units each 10 ms are 200 a second.
    assert!(
        (199.0..202.0).contains(&rate.last_value()),
        "{}",
        rate.last_value()
    );
}

#[test]
fn an_arithmetic_step_moves_by_a_part_of_the_difference() {
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
fn an_aging_report_gives_way_to_the_guess() {
    let report = AgingReport::new(10.0, 500.0);
    assert_exactly(report.blended_with(2.0, 500.0, 1000.0), 10.0);
    assert_near(
        report.blended_with(2.0, 1500.0, 1000.0),
        2.0 + 8.0 / std::f64::consts::E,
    );
    assert_near(report.blended_with(2.0, 1e6, 1000.0), 2.0);
    assert_exactly(AgingReport::blend(Some(report), 2.0, 500.0, 1000.0), 10.0);
    assert_exactly(AgingReport::blend(None, 2.0, 500.0, 1000.0), 2.0);
}

#[test]
fn a_time_averaged_gauge_approaches_a_constant_level() {
    let mut gauge = TimeAveragedGauge::default();
    assert_exactly(gauge.mean(4.0, 0.0, 2000.0), 0.0);
    assert_near(
        gauge.mean(4.0, 2000.0, 2000.0),
        4.0 * (1.0 - 1.0 / std::f64::consts::E),
    );
    gauge.advance(4.0, 50_000.0, 2000.0);
    assert_near(gauge.mean(4.0, 60_000.0, 2000.0), 4.0);
}

#[test]
fn a_time_averaged_gauge_does_not_depend_on_how_often_it_advances() {
    let mut often = TimeAveragedGauge::default();
    for step in 1..=100 {
        often.advance(3.0, f64::from(step) * 25.0, 2000.0);
    }
    assert_near(
        often.mean(3.0, 2500.0, 2000.0),
        TimeAveragedGauge::default().mean(3.0, 2500.0, 2000.0),
    );
}

#[test]
fn a_time_averaged_gauge_counts_a_level_only_while_it_lasts() {
    let mut gauge = TimeAveragedGauge::default();
    gauge.advance(0.0, 10_000.0, 2000.0);
    // The level has been 5 for no time at all when it falls again.
    gauge.advance(5.0, 10_000.0, 2000.0);
    assert_exactly(gauge.mean(0.0, 10_000.0, 2000.0), 0.0);
    gauge.advance(5.0, 12_000.0, 2000.0);
    gauge.clear();
    assert_exactly(gauge.mean(0.0, 12_000.0, 2000.0), 0.0);
    assert_exactly(gauge.mean(7.0, 12_000.0, 2000.0), 0.0);
}
