//! The generic estimators, each on its own.

use marlshelf::statistics::{
    AgingReport, BucketLimits, DecayingValue, RatioBands, RingArc, SavingsBudget, SlidingWindow,
    Tally, TimeAveragedGauge, TokenBucket, WindowShape, arithmetic_step, exponential_decay,
    geometric_step,
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn assert_near(actual: f64, expected: f64) {
    let tolerance = 1e-9 * expected.abs().max(1.0);
    assert!(
        (actual - expected).abs() <= tolerance,
        "{actual} instead of {expected}"
    );
}

fn assert_exactly(actual: f64, expected: f64) {
    assert_eq!(
        actual.to_bits(),
        expected.to_bits(),
        "{actual} instead of {expected}"
    );
}

fn tally(total: u32, accepted: u32) -> Tally {
    Tally {
        total: f64::from(total),
        accepted: f64::from(accepted),
    }
}

/// Three slots of 100 ms and two events, or of 1,000 ms.
const SHAPE: WindowShape = WindowShape {
    slots: 3,
    slot_ms: 100.0,
    min_slot_events: 2,
    max_slot_ms: 1000.0,
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

#[test]
fn a_window_counts_each_lane_for_itself() {
    let mut window = SlidingWindow::new(SHAPE, 2);
    window.record(0, true, 10.0);
    window.record(1, false, 20.0);
    window.record(1, true, 30.0);
    assert_eq!(window.tally(0), tally(1, 1));
    assert_eq!(window.tally(1), tally(2, 1));
}

#[test]
fn a_slot_with_enough_events_closes_after_its_time_and_the_oldest_is_dropped() {
    let mut window = SlidingWindow::new(SHAPE, 1);
    // Two events in each slot of 100 ms: three slots hold six events.
    for event in 0..20 {
        window.record(0, false, f64::from(event) * 50.0);
    }
    assert_eq!(window.tally(0), tally(6, 0));
    window.advance(1000.0);
    assert_eq!(window.tally(0), tally(4, 0));
}

#[test]
fn a_slot_with_too_few_events_stays_open_up_to_its_longest_time() {
    let mut window = SlidingWindow::new(SHAPE, 1);
    window.record(0, true, 0.0);
    window.advance(999.0);
    window.record(0, true, 999.0);
    // Both are in the first slot, which now has enough and is over, so two more slots follow it.
    window.record(0, true, 999.0);
    assert_eq!(window.tally(0), tally(3, 3));
    window.advance(1999.0);
    assert_eq!(window.tally(0), tally(3, 3));
    window.advance(2999.0);
    assert_eq!(window.tally(0), tally(1, 1));
}

#[test]
fn a_long_silence_empties_the_window() {
    let mut window = SlidingWindow::new(SHAPE, 1);
    window.record(0, true, 0.0);
    window.advance(2999.0);
    assert_eq!(window.tally(0), tally(1, 1));
    window.advance(3000.0);
    assert_eq!(window.tally(0), tally(0, 0));
    window.record(0, true, 3000.0);
    // The number of steps does not grow with the silence.
    window.advance(1e15);
    assert_eq!(window.tally(0), tally(0, 0));
}

#[test]
fn a_bucket_fills_at_its_rate_up_to_the_burst() {
    let limits = BucketLimits {
        tokens_per_second: 10.0,
        burst: 20.0,
    };
    let mut bucket = TokenBucket::default();
    let refill = bucket.refill(limits, 500.0);
    assert_exactly(refill.level, 5.0);
    assert_exactly(refill.overflow(), 0.0);
    let refill = bucket.refill(limits, 2500.0);
    assert_exactly(refill.unlimited_level, 30.0);
    assert_exactly(refill.overflow(), 10.0);
    assert_exactly(bucket.level(), 20.0);
}

#[test]
fn a_bucket_above_a_lowered_burst_loses_the_rest_at_its_next_refill() {
    let mut bucket = TokenBucket::with_level(50.0);
    let limits = BucketLimits {
        tokens_per_second: 0.0,
        burst: 20.0,
    };
    assert_exactly(bucket.refill(limits, 0.0).overflow(), 30.0);
    assert_exactly(bucket.level(), 20.0);
}

#[test]
fn a_bucket_can_be_overdrawn_and_pays_its_debt_off() {
    let mut bucket = TokenBucket::with_level(3.0);
    bucket.take(5.0);
    assert_exactly(bucket.level(), -2.0);
    let limits = BucketLimits {
        tokens_per_second: 4.0,
        burst: 20.0,
    };
    bucket.refill(limits, 1000.0);
    assert_exactly(bucket.level(), 2.0);
}

#[test]
fn taking_without_debt_stops_at_an_empty_bucket() {
    let mut bucket = TokenBucket::with_level(3.0);
    bucket.take_without_debt(1.0);
    assert_exactly(bucket.level(), 2.0);
    bucket.take_without_debt(5.0);
    assert_exactly(bucket.level(), 0.0);
    bucket.take(4.0);
    bucket.take_without_debt(1.0);
    assert_exactly(bucket.level(), -4.0);
}

#[test]
fn settling_stays_between_a_debt_of_the_burst_and_a_full_bucket() {
    let mut bucket = TokenBucket::with_level(3.0);
    bucket.settle(1.0, 20.0);
    assert_exactly(bucket.level(), 2.0);
    bucket.settle(-100.0, 20.0);
    assert_exactly(bucket.level(), 20.0);
    bucket.settle(100.0, 20.0);
    assert_exactly(bucket.level(), -20.0);
}

#[test]
fn an_arc_overlaps_segments_also_past_the_end_of_the_ring() {
    let arc = RingArc {
        start: 0.75,
        length: 0.5,
    };
    assert_exactly(arc.overlap(0.0, 0.125), 0.125);
    assert_exactly(arc.overlap(0.125, 0.5), 0.125);
    assert_exactly(arc.overlap(0.375, 0.625), 0.0);
    assert_exactly(arc.overlap(0.5, 1.0), 0.25);
    assert_exactly(arc.overlap(0.0, 1.0), 0.5);
}

#[test]
fn consecutive_arcs_are_spread_evenly() {
    for first in [0, 7, 100] {
        let mut starts: Vec<f64> = (first..first + 13)
            .map(|number| RingArc::spread(number, 0.1).start)
            .collect();
        starts.sort_by(f64::total_cmp);
        let gaps = starts.windows(2).map(|pair| pair[1] - pair[0]);
        let widest = gaps.fold(starts[0] + 1.0 - starts[12], f64::max);
        assert!(widest < 2.0 / 13.0, "{widest} from {first}");
    }
}

#[test]
fn an_arc_of_the_whole_ring_overlaps_everything() {
    let arc = RingArc {
        start: 0.3,
        length: 1.0,
    };
    assert_exactly(arc.overlap(0.25, 0.75), 0.5);
}

/// How often item 0 of these comes first, of 1.
fn part_of_first_places(arc: RingArc, items: &[(usize, f64)]) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let rounds = 20_000;
    let first = (0..rounds)
        .filter(|_| arc.weighted_random_order(items, &mut rng)[0] == 0)
        .count();
    first as f64 / f64::from(rounds)
}

#[test]
fn a_weighted_order_puts_items_first_in_proportion_to_their_weights() {
    let arc = RingArc {
        start: 0.0,
        length: 1.0,
    };
    let part = part_of_first_places(arc, &[(0, 3.0), (1, 1.0)]);
    assert!((part - 0.75).abs() < 0.02, "{part}");
}

#[test]
fn items_on_the_arc_come_before_all_others() {
    let arc = RingArc {
        start: 0.5,
        length: 0.5,
    };
    let items = [(2, 100.0), (3, 100.0), (0, 150.0), (1, 50.0)];
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..100 {
        let order = arc.weighted_random_order(&items, &mut rng);
        assert!(order[0] < 2 && order[1] < 2, "{order:?}");
        assert_eq!(order.len(), 4);
    }
    let part = part_of_first_places(arc, &items);
    assert!((part - 0.75).abs() < 0.02, "{part}");
}

#[test]
fn an_item_partly_on_the_arc_counts_with_that_part() {
    let arc = RingArc {
        start: 0.25,
        length: 0.5,
    };
    // On the arc lie 0.25 of item 0 and 0.25 of item 1, of 0.5 each.
    let part = part_of_first_places(arc, &[(0, 5.0), (1, 5.0)]);
    assert!((part - 0.5).abs() < 0.02, "{part}");
    let narrow = RingArc {
        start: 0.375,
        length: 0.25,
    };
    let part = part_of_first_places(narrow, &[(0, 7.0), (1, 7.0)]);
    assert!((part - 0.5).abs() < 0.02, "{part}");
    let uneven = RingArc {
        start: 0.25,
        length: 0.3125,
    };
    let part = part_of_first_places(uneven, &[(0, 1.0), (1, 1.0)]);
    assert!((part - 0.8).abs() < 0.02, "{part}");
}

#[test]
fn an_order_of_nothing_is_empty() {
    let arc = RingArc {
        start: 0.0,
        length: 1.0,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let order: Vec<usize> = arc.weighted_random_order(&[], &mut rng);
    assert!(order.is_empty());
}

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

#[test]
fn a_savings_budget_is_earned_up_to_its_limit_and_can_be_overspent() {
    let mut budget = SavingsBudget::full(2.0);
    assert_exactly(budget.saved(), 2.0);
    budget.earn(1.0);
    assert_exactly(budget.saved(), 2.0);
    budget.spend(3.0);
    assert_exactly(budget.saved(), -1.0);
    budget.earn(0.25);
    assert_exactly(budget.saved(), -0.75);
}
