//! Event counts over a sliding window of slots, which close by age and by number of events.

use crate::units::{Milliseconds, Timestamp};

/// The slots of a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowShape {
    /// The number of slots, at least one. Opening a new slot drops the oldest.
    pub slots: usize,
    /// The age at which a slot with at least `min_slot_events` events closes.
    pub slot_duration: Milliseconds,
    /// The number of events that lets a slot close at `slot_duration`.
    pub min_slot_events: u32,
    /// The age at which a slot closes regardless of its number of events, at least `slot_duration`.
    pub max_slot_duration: Milliseconds,
}

/// The number of events and the number of accepted events.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Tally {
    /// All events, accepted or not.
    pub total: f64,
    /// The accepted events, at most `total`.
    pub accepted: f64,
}

/// Tallies of several event series over one sliding window.
///
/// All series share the slots. A slot stays open until it holds enough events, so a window with few events
/// covers a longer time instead of holding too few events for an estimate.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    shape: WindowShape,
    slots: Vec<Vec<Tally>>,
    open_slot: usize,
    opened_at: Timestamp,
    open_slot_events: u32,
}

impl SlidingWindow {
    /// Creates an empty window for `series_count` series, whose first slot opens at [`Timestamp::ZERO`].
    #[must_use]
    pub fn new(shape: WindowShape, series_count: usize) -> Self {
        SlidingWindow {
            shape,
            slots: vec![vec![Tally::default(); series_count]; shape.slots],
            open_slot: 0,
            opened_at: Timestamp::ZERO,
            open_slot_events: 0,
        }
    }

    /// Closes the slots that have expired by `now`.
    pub fn advance(&mut self, now: Timestamp) {
        let mut slot_age = now - self.opened_at;
        while self.open_slot_has_expired(slot_age) {
            slot_age = if self.open_slot_has_enough_events() {
                Milliseconds::ZERO
            } else {
                slot_age - self.shape.max_slot_duration
            };
            // After a long time without events, one pass over all slots is enough to empty the window.
            slot_age = slot_age.min(self.shape.max_slot_duration * self.shape.slots as f64);
            self.open_next_slot();
        }
        self.opened_at = now - slot_age;
    }

    /// Adds one event to a series.
    ///
    /// # Panics
    /// Panics if the window has no such series.
    pub fn record(&mut self, series: usize, accepted: bool, now: Timestamp) {
        self.advance(now);
        let tally = &mut self.slots[self.open_slot][series];
        tally.total += 1.0;
        tally.accepted += f64::from(u8::from(accepted));
        self.open_slot_events += 1;
    }

    /// Returns the tally of a series over all slots, as of the last advance.
    ///
    /// # Panics
    /// Panics if the window has no such series.
    #[must_use]
    pub fn tally(&self, series: usize) -> Tally {
        self.slots
            .iter()
            .map(|slot| slot[series])
            .fold(Tally::default(), |sum, tally| Tally {
                total: sum.total + tally.total,
                accepted: sum.accepted + tally.accepted,
            })
    }

    fn open_slot_has_enough_events(&self) -> bool {
        self.open_slot_events >= self.shape.min_slot_events
    }

    fn open_slot_has_expired(&self, slot_age: Milliseconds) -> bool {
        slot_age >= self.shape.max_slot_duration
            || (slot_age >= self.shape.slot_duration && self.open_slot_has_enough_events())
    }

    fn open_next_slot(&mut self) {
        self.open_slot = (self.open_slot + 1) % self.shape.slots;
        self.open_slot_events = 0;
        self.slots[self.open_slot].fill(Tally::default());
    }
}
