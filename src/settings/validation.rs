//! Validation of [`Settings`] and its errors.

use super::{Idempotency, Plan, RequestClass, Settings};
use crate::events::{ClassIndex, PlanIndex};
use crate::units::{Milliseconds, Tokens, TokensPerSecond};
use std::fmt;
use thiserror::Error;

impl Settings {
    /// Checks that the settings are complete and consistent.
    ///
    /// # Errors
    ///
    /// Returns the first error found. An empty class list and an empty fleet are reported first, then errors
    /// in classes, plans and general settings, in this order.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.gateway_count == 0 {
            return Err(SettingsError::NoGateways);
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(ClassIndex(index))?;
        }
        for (index, plan) in self.plans.iter().enumerate() {
            plan.validate(PlanIndex(index))?;
        }
        self.validate_limits()
    }

    fn validate_limits(&self) -> Result<(), SettingsError> {
        use SettingsField as Field;
        let check = |field, value| check_number(SettingsSection::General, field, value);
        check(Field::GossipIntake, self.gossip_intake_per_second)?;
        check(Field::InitialWarmth, self.initial_warmth)?;
        check(Field::WarmupDuration, self.warmup_duration.as_f64())?;
        check(Field::WarmupOverloadMultiple, self.warmup_overload_multiple)
    }
}

impl RequestClass {
    fn validate(&self, index: ClassIndex) -> Result<(), SettingsError> {
        use SettingsField as Field;
        let check = |field, value| check_number(SettingsSection::Class(index), field, value);
        check(Field::PriorityWeight, self.priority_weight)?;
        check(Field::LatencyObjective, self.latency_objective.as_f64())?;
        check(Field::LateAnswerWeight, self.late_answer_weight)?;
        check(
            Field::DeduplicationWindow,
            self.deduplication_window.as_f64(),
        )?;
        if self.latency_objective == Milliseconds::ZERO {
            return Err(SettingsError::NoLatencyObjective { class: index });
        }
        let keyed = matches!(self.idempotency, Idempotency::Keyed(_));
        if keyed && self.deduplication_window == Milliseconds::ZERO {
            return Err(SettingsError::NoDeduplicationWindow { class: index });
        }
        Ok(())
    }
}

impl Plan {
    fn validate(&self, index: PlanIndex) -> Result<(), SettingsError> {
        use SettingsField as Field;
        let check = |field, value| check_number(SettingsSection::Plan(index), field, value);
        check(Field::RefillRate, self.refill_rate.as_f64())?;
        check(Field::Burst, self.burst.as_f64())?;
        check(Field::PlanWeight, self.weight)?;
        check(Field::OverQuotaPenalty, self.over_quota_penalty)?;
        check(Field::HardLimitRate, self.hard_limit_rate.as_f64())?;
        check(Field::HardLimitBurst, self.hard_limit_burst.as_f64())?;
        check(Field::HardLimitSlack, self.hard_limit_slack.as_f64())?;
        if self.refill_rate > TokensPerSecond::ZERO && self.burst == Tokens::ZERO {
            return Err(SettingsError::RateWithoutBurst {
                plan: index,
                refill_rate: self.refill_rate,
            });
        }
        Ok(())
    }
}

fn check_number(
    section: SettingsSection,
    field: SettingsField,
    value: f64,
) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(SettingsError::InvalidNumber {
            section,
            field,
            value,
        })
    }
}

/// Numeric setting that can be reported in an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsField {
    /// [`RequestClass::priority_weight`](crate::RequestClass::priority_weight), without a unit.
    PriorityWeight,
    /// [`RequestClass::latency_objective`](crate::RequestClass::latency_objective), in milliseconds.
    LatencyObjective,
    /// [`RequestClass::late_answer_weight`](crate::RequestClass::late_answer_weight), a fraction.
    LateAnswerWeight,
    /// [`RequestClass::deduplication_window`](crate::RequestClass::deduplication_window), in milliseconds.
    DeduplicationWindow,
    /// [`Plan::refill_rate`](crate::Plan::refill_rate), in tokens per second.
    RefillRate,
    /// [`Plan::burst`](crate::Plan::burst), in tokens.
    Burst,
    /// [`Plan::weight`](crate::Plan::weight), without a unit.
    PlanWeight,
    /// [`Plan::over_quota_penalty`](crate::Plan::over_quota_penalty), a fraction.
    OverQuotaPenalty,
    /// [`Plan::hard_limit_rate`](crate::Plan::hard_limit_rate), in tokens per second.
    HardLimitRate,
    /// [`Plan::hard_limit_burst`](crate::Plan::hard_limit_burst), in tokens.
    HardLimitBurst,
    /// [`Plan::hard_limit_slack`](crate::Plan::hard_limit_slack), in tokens.
    HardLimitSlack,
    /// [`Settings::gossip_intake_per_second`](crate::Settings::gossip_intake_per_second), in
    /// datagrams per second.
    GossipIntake,
    /// [`Settings::initial_warmth`](crate::Settings::initial_warmth), a fraction.
    InitialWarmth,
    /// [`Settings::warmup_duration`](crate::Settings::warmup_duration), in milliseconds.
    WarmupDuration,
    /// [`Settings::warmup_overload_multiple`](crate::Settings::warmup_overload_multiple), without a unit.
    WarmupOverloadMultiple,
}

impl SettingsField {
    /// Returns the name used in error messages: the field name, with a unit suffix for durations.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            SettingsField::PriorityWeight => "priority_weight",
            SettingsField::LatencyObjective => "latency_objective_ms",
            SettingsField::LateAnswerWeight => "late_answer_weight",
            SettingsField::DeduplicationWindow => "deduplication_window_ms",
            SettingsField::RefillRate => "refill_rate",
            SettingsField::Burst => "burst",
            SettingsField::PlanWeight => "weight",
            SettingsField::OverQuotaPenalty => "over_quota_penalty",
            SettingsField::HardLimitRate => "hard_limit_rate",
            SettingsField::HardLimitBurst => "hard_limit_burst",
            SettingsField::HardLimitSlack => "hard_limit_slack",
            SettingsField::GossipIntake => "gossip_intake_per_second",
            SettingsField::InitialWarmth => "initial_warmth",
            SettingsField::WarmupDuration => "warmup_ms",
            SettingsField::WarmupOverloadMultiple => "warmup_overload_multiple",
        }
    }
}

/// Section of the settings in which an error occurred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsSection {
    /// The request class at this index of [`Settings::classes`](crate::Settings::classes).
    Class(ClassIndex),
    /// The plan at this index of [`Settings::plans`](crate::Settings::plans).
    Plan(PlanIndex),
    /// Settings outside of classes and plans.
    General,
}

impl fmt::Display for SettingsSection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsSection::Class(index) => write!(formatter, "class {index}"),
            SettingsSection::Plan(index) => write!(formatter, "plan {index}"),
            SettingsSection::General => formatter.write_str("general"),
        }
    }
}

/// Error in the settings.
///
/// Messages contain both the field name used in this library and the key of the settings document, because
/// operators edit the document. Class and plan indexes start at 0.
#[derive(Debug, Clone, PartialEq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The list of request classes is empty.
    #[error("settings: there is no request class; at least one is needed (key `Classes`)")]
    NoClasses,
    /// The gateway count is 0.
    #[error("settings: the fleet has no gateway; at least one is needed (key `Balancers`)")]
    NoGateways,
    /// A number is negative, infinite or NaN.
    #[error(
        "settings: {section}: {} is {value}, but must be finite and not negative (key `{}`)",
        field.name(),
        field.document_key()
    )]
    InvalidNumber {
        /// Section that contains the setting.
        section: SettingsSection,
        /// The setting with the invalid value.
        field: SettingsField,
        /// The rejected value.
        value: f64,
    },
    /// The latency objective of a class is 0.
    #[error(
        "settings: class {class}: latency_objective_ms is 0, but must be positive (key `Target`)"
    )]
    NoLatencyObjective {
        /// Index in [`Settings::classes`](crate::Settings::classes).
        class: ClassIndex,
    },
    /// The deduplication window of a keyed class is 0.
    #[error(
        "settings: class {class}: deduplication_window_ms is 0, but must be positive for a keyed class (key `Window`)"
    )]
    NoDeduplicationWindow {
        /// Index in [`Settings::classes`](crate::Settings::classes).
        class: ClassIndex,
    },
    /// A plan with a refill rate has a token bucket without capacity.
    #[error(
        "settings: plan {plan}: burst is 0, but must be positive with a refill_rate of {refill_rate} (key `PeakUnits`)"
    )]
    RateWithoutBurst {
        /// Index in [`Settings::plans`](crate::Settings::plans).
        plan: PlanIndex,
        /// Refill rate of the plan, which is positive.
        refill_rate: TokensPerSecond,
    },
}
