//! Tests of the sliding window of event counts.

use marlshelf::statistics::{SlidingWindow, Tally, WindowShape};
use marlshelf::{Milliseconds, Timestamp};

fn tally(total: u32, accepted: u32) -> Tally {
    Tally {
        total: f64::from(total),
        accepted: f64::from(accepted),
    }
}

/// Three slots, each of which closes after 100 ms with two events, or after 1,000 ms.
const SHAPE: WindowShape = WindowShape {
    slots: 3,
    slot_duration: Milliseconds(100.0),
    min_slot_events: 2,
    max_slot_duration: Milliseconds(1000.0),
};

#[test]
fn a_window_counts_each_series_separately() {
    let mut window = SlidingWindow::new(SHAPE, 2);
    window.record(0, true, Timestamp(10.0));
    window.record(1, false, Timestamp(20.0));
    window.record(1, true, Timestamp(30.0));
    assert_eq!(window.tally(0), tally(1, 1));
    assert_eq!(window.tally(1), tally(2, 1));
}

#[test]
fn a_slot_with_enough_events_closes_after_its_time_and_the_oldest_is_dropped() {
    let mut window = SlidingWindow::new(SHAPE, 1);
    // Each slot of 100 ms holds two events, so three slots hold six.
    for event in 0..20 {
        window.record(0, false, Timestamp(f64::from(event) * 50.0));
    }
    assert_eq!(window.tally(0), tally(6, 0));
    window.advance(Timestamp(1000.0));
    assert_eq!(window.tally(0), tally(4, 0));
}

#[test]
fn a_slot_with_too_few_events_stays_open_up_to_its_longest_time() {
    let mut window = SlidingWindow::new(SHAPE, 1);
    window.record(0, true, Timestamp(0.0));
    window.advance(Timestamp(999.0));
    window.record(0, true, Timestamp(999.0));
    // The first slot now has two events, so it closes and the next event goes into the second slot.
    window.record(0, true, Timestamp(999.0));
    assert_eq!(window.tally(0), tally(3, 3));
    window.advance(Timestamp(1999.0));
    assert_eq!(window.tally(0), tally(3, 3));
    window.advance(Timestamp(2999.0));
    assert_eq!(window.tally(0), tally(1, 1));
}

#[test]
fn a_long_gap_empties_the_window() {
    let mut window = SlidingWindow::new(SHAPE, 1);
    window.record(0, true, Timestamp(0.0));
    window.advance(Timestamp(2999.0));
    assert_eq!(window.tally(0), tally(1, 1));
    window.advance(Timestamp(3000.0));
    assert_eq!(window.tally(0), tally(0, 0));
    window.record(0, true, Timestamp(3000.0));
    // The number of slots to clear is bounded, however long the gap is.
    window.advance(Timestamp(1e15));
    assert_eq!(window.tally(0), tally(0, 0));
}
