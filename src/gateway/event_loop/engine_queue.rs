//! Event queue in front of the decision engine.

use crate::gateway::engine_time::EngineClock;
use crate::gateway::log::{self, LogEvent};
use crate::{Action, DecisionEngine, Event, TenantStatistics};
use std::collections::VecDeque;
use std::time::Instant;

/// The decision engine with its queue of events, which are handled one after another. An action that
/// completes immediately produces another event. That event is queued until all actions of the current
/// one are executed.
pub(super) struct EngineQueue {
    engine: DecisionEngine,
    events: VecDeque<Event>,
    /// Whether the actions of an event are being executed.
    is_executing: bool,
    /// Number of displaced tenants that the log tells of.
    displaced_tenants_logged: u64,
}

pub(super) struct Decision {
    /// The actions, in order of execution.
    pub actions: Vec<Action>,
    /// Time at which the event was handled.
    pub made_at: Instant,
}

impl EngineQueue {
    pub fn new(engine: DecisionEngine) -> EngineQueue {
        EngineQueue {
            engine,
            events: VecDeque::new(),
            is_executing: false,
            displaced_tenants_logged: 0,
        }
    }

    /// Adds an event. Returns `true` if the caller must execute the pending decisions, because no other
    /// call is doing so.
    pub fn push(&mut self, event: Event) -> bool {
        self.events.push_back(event);
        !std::mem::replace(&mut self.is_executing, true)
    }

    /// Logs how many tenants lost their quota state to others since the last call, if there were any.
    pub fn log_displaced_tenants(&mut self) {
        let TenantStatistics { known, displaced } = self.engine.tenant_statistics();
        let count = displaced - std::mem::replace(&mut self.displaced_tenants_logged, displaced);
        if count > 0 {
            log::event(&LogEvent::TenantsDisplaced { count, known });
        }
    }

    /// Handles the next event and returns the decision on it, or `None` if the queue is empty.
    pub fn next_decision(&mut self, clock: &EngineClock) -> Option<Decision> {
        let Some(event) = self.events.pop_front() else {
            self.is_executing = false;
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
