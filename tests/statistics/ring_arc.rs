//! Tests of ring arcs and the weighted random order.

use crate::assertions::assert_exactly;
use marlshelf::statistics::RingArc;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Returns the fraction of random orders in which item 0 comes first.
fn fraction_of_first_places(arc: RingArc, items: &[(usize, f64)]) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let rounds = 20_000;
    let first = (0..rounds)
        .filter(|_| arc.weighted_random_order(items, &mut rng)[0] == 0)
        .count();
    first as f64 / f64::from(rounds)
}

#[test]
fn an_arc_that_wraps_around_overlaps_segments_on_both_sides() {
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
            .map(|number| RingArc::evenly_spaced(number, 0.1).start)
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

#[test]
fn a_weighted_order_puts_items_first_in_proportion_to_their_weights() {
    let arc = RingArc {
        start: 0.0,
        length: 1.0,
    };
    let fraction = fraction_of_first_places(arc, &[(0, 3.0), (1, 1.0)]);
    assert!((fraction - 0.75).abs() < 0.02, "{fraction}");
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
    let fraction = fraction_of_first_places(arc, &items);
    assert!((fraction - 0.75).abs() < 0.02, "{fraction}");
}

#[test]
fn an_item_partly_on_the_arc_counts_by_its_overlap() {
    let arc = RingArc {
        start: 0.25,
        length: 0.5,
    };
    // Both items have the length 0.5, and the arc overlaps 0.25 of each.
    let fraction = fraction_of_first_places(arc, &[(0, 5.0), (1, 5.0)]);
    assert!((fraction - 0.5).abs() < 0.02, "{fraction}");
    let narrow = RingArc {
        start: 0.375,
        length: 0.25,
    };
    let fraction = fraction_of_first_places(narrow, &[(0, 7.0), (1, 7.0)]);
    assert!((fraction - 0.5).abs() < 0.02, "{fraction}");
    let uneven = RingArc {
        start: 0.25,
        length: 0.3125,
    };
    let fraction = fraction_of_first_places(uneven, &[(0, 1.0), (1, 1.0)]);
    assert!((fraction - 0.8).abs() < 0.02, "{fraction}");
}

#[test]
fn the_order_of_no_items_is_empty() {
    let arc = RingArc {
        start: 0.0,
        length: 1.0,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let order: Vec<usize> = arc.weighted_random_order(&[], &mut rng);
    assert!(order.is_empty());
}
