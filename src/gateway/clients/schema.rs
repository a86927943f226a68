//! The schema that requests are validated against.

use crate::gateway::engine_time::to_duration;
use crate::{ClassIndex, IdempotencyDocument, Milliseconds, PlanIndex, SettingsDocument, Tokens};
use std::time::Duration;

/// Names and limits from the settings for validating requests. Classes and plans are identified by their
/// index.
#[derive(Debug, Clone)]
pub struct RequestSchema {
    classes: Vec<ClassSchema>,
    plan_names: Vec<String>,
    gateway_count: u32,
    max_cost: Tokens,
}

/// Settings of one class that apply to its requests.
#[derive(Debug, Clone)]
pub(super) struct ClassSchema {
    name: String,
    pub(super) idempotency: IdempotencyDocument,
    /// Upper limit for client deadlines in this class; `None` if the class has no deadline.
    pub(super) deadline: Option<Duration>,
}

impl RequestSchema {
    /// Extracts the schema from the settings.
    #[must_use]
    pub fn new(document: &SettingsDocument) -> RequestSchema {
        let classes = document
            .classes
            .iter()
            .map(|class| ClassSchema {
                name: class.name.clone(),
                idempotency: class.idempotency,
                deadline: (class.deadline_ms > 0.0)
                    .then(|| to_duration(Milliseconds(class.deadline_ms))),
            })
            .collect();
        RequestSchema {
            classes,
            plan_names: document.plans.iter().map(|p| p.name.clone()).collect(),
            gateway_count: document.gateway_count(),
            max_cost: document.settings().effective_max_request_cost(),
        }
    }

    pub(super) fn class_index(&self, name: &str) -> Option<ClassIndex> {
        self.classes
            .iter()
            .position(|class| class.name == name)
            .map(ClassIndex)
    }

    pub(super) fn class(&self, index: ClassIndex) -> &ClassSchema {
        &self.classes[index.0]
    }

    pub(super) fn plan_index(&self, name: &str) -> Option<PlanIndex> {
        self.plan_names
            .iter()
            .position(|plan| plan == name)
            .map(PlanIndex)
    }

    pub(super) fn gateway_count(&self) -> u32 {
        self.gateway_count
    }

    pub(super) fn max_cost(&self) -> Tokens {
        self.max_cost
    }
}
