//! The decision engine with the events that wait for it.

use crate::gateway::engine_time::EngineClock;
use crate::{Action, DecisionEngine, Event};
use std::collections::VecDeque;
use std::time::Instant;

/// The decision engine, which handles one event after another. An action that ends at once brings an event of its
/// own, which waits until all actions of the present one are carried out.
pub(super) struct EngineQueue {
    engine: DecisionEngine,
    waiting: VecDeque<Event>,
    /// Whether the actions of an event are being carried out.
    is_busy: bool,
}

/// What the engine has decided on one event.
pub(super) struct Decision {
    /// The actions, to be carried out in this order.
    pub actions: Vec<Action>,
    /// When the event was handled.
    pub made_at: Instant,
}

impl EngineQueue {
    /// A queue without events.
    pub fn new(engine: DecisionEngine) -> EngineQueue {
        EngineQueue {
            engine,
            waiting: VecDeque::new(),
            is_busy: false,
        }
    }

    /// Adds an event. True if the caller has to carry out the decisions: nobody does so yet.
    pub fn push(&mut self, event: Event) -> bool {
        self.waiting.push_back(event);
        !std::mem::replace(&mut self.is_busy, true)
    }

    /// The decision on the next event; `None` when no event waits any more.
    pub fn next_decision(&mut self, clock: &EngineClock) -> Option<Decision> {
        let Some(event) = self.waiting.pop_front() else {
            self.is_busy = false;
            return None;
        };
        let made_at = Instant::now();
        let now = clock.timestamp(made_at);
        Some(Decision {
            actions: self.engine.handle_event(now, event),
            made_at,
        })
    }
}
