//! Counts over a sliding window of slots that close by time and by count.

use crate::units::{Milliseconds, Timestamp};

/// How a window is cut into slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowShape {
    /// The number of slots, at least one. The oldest slot is dropped when a new one opens.
    pub slots: usize,
    /// A slot with enough events closes after this time.
    pub slot_duration: Milliseconds,
    /// The number of events that is enough.
    pub min_slot_events: u32,
    /// A slot closes after this time however few its events are. Not less than `slot_duration`.
    pub max_slot_duration: Milliseconds,
}

/// The number of events, and how many of them were accepted.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Tally {
    /// All events.
    pub total: f64,
    /// The accepted ones among them.
    pub accepted: f64,
}

/// Tallies of several lanes over the same sliding window.
///
/// The slots are shared by all lanes. A slot stays open until it holds enough events, so that a
/// window of few events spans a longer time instead of holding too few to judge by.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    shape: WindowShape,
    slots: Vec<Vec<Tally>>,
    open_slot: usize,
    opened_at: Timestamp,
    open_slot_events: u32,
}

impl SlidingWindow {
    /// An empty window whose first slot opens at [`Timestamp::ZERO`].
    #[must_use]
    pub fn new(shape: WindowShape, lanes: usize) -> Self {
        SlidingWindow {
            shape,
            slots: vec![vec![Tally::default(); lanes]; shape.slots],
            open_slot: 0,
            opened_at: Timestamp::ZERO,
            open_slot_events: 0,
        }
    }

    /// Closes the slots that are over by now.
    pub fn advance(&mut self, now: Timestamp) {
        let mut slot_age = now - self.opened_at;
        while self.open_slot_is_over(slot_age) {
            slot_age = if self.open_slot_has_enough() {
                Milliseconds::ZERO
            } else {
                slot_age - self.shape.max_slot_duration
            };
            // After a long silence one round over all slots empties the window.
            slot_age = slot_age.min(self.shape.max_slot_duration * self.shape.slots as f64);
            self.open_next_slot();
        }
        self.opened_at = now - slot_age;
    }

    /// Counts one event of a lane.
    ///
    /// # Panics
    /// When the window has no such lane.
    pub fn record(&mut self, lane: usize, accepted: bool, now: Timestamp) {
        self.advance(now);
        let tally = &mut self.slots[self.open_slot][lane];
        tally.total += 1.0;
        tally.accepted += f64::from(u8::from(accepted));
        self.open_slot_events += 1;
    }

    /// The tally of a lane over all slots, as of the last advance.
    ///
    /// # Panics
    /// When the window has no such lane.
    #[must_use]
    pub fn tally(&self, lane: usize) -> Tally {
        self.slots
            .iter()
            .map(|slot| slot[lane])
            .fold(Tally::default(), |sum, tally| Tally {
                total: sum.total + tally.total,
                accepted: sum.accepted + tally.accepted,
            })
    }

    fn open_slot_has_enough(&self) -> bool {
        self.open_slot_events >= self.shape.min_slot_events
    }

    fn open_slot_is_over(&self, slot_age: Milliseconds) -> bool {
        slot_age >= self.shape.max_slot_duration
            || (slot_age >= self.shape.slot_duration && self.open_slot_has_enough())
    }

    fn open_next_slot(&mut self) {
        self.open_slot = (self.open_slot + 1) % self.shape.slots;
        self.open_slot_events = 0;
        self.slots[self.open_slot].fill(Tally::default());
    }
}
