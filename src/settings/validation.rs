//! Which settings are rejected, and with which error.

use super::{Idempotency, Plan, RequestClass, Settings};
use crate::events::{ClassIndex, PlanIndex};
use crate::units::{Milliseconds, Tokens, TokensPerSecond};
use std::fmt;
use thiserror::Error;

impl Settings {
    /// Checks that decisions can be made with these settings.
    ///
    /// # Errors
    ///
    /// Returns the first fault found: in the fleet, then in the classes, the plans and the limits.
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

/// Checks that a number is finite and not negative.
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

/// A setting that is a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsField {
    /// [`RequestClass::priority_weight`](crate::RequestClass::priority_weight)
    PriorityWeight,
    /// [`RequestClass::latency_objective`](crate::RequestClass::latency_objective)
    LatencyObjective,
    /// [`RequestClass::late_answer_weight`](crate::RequestClass::late_answer_weight)
    LateAnswerWeight,
    /// [`RequestClass::deduplication_window`](crate::RequestClass::deduplication_window)
    DeduplicationWindow,
    /// [`Plan::refill_rate`](crate::Plan::refill_rate)
    RefillRate,
    /// [`Plan::burst`](crate::Plan::burst)
    Burst,
    /// [`Plan::weight`](crate::Plan::weight)
    PlanWeight,
    /// [`Plan::over_quota_penalty`](crate::Plan::over_quota_penalty)
    OverQuotaPenalty,
    /// [`Plan::hard_limit_rate`](crate::Plan::hard_limit_rate)
    HardLimitRate,
    /// [`Plan::hard_limit_burst`](crate::Plan::hard_limit_burst)
    HardLimitBurst,
    /// [`Plan::hard_limit_slack`](crate::Plan::hard_limit_slack)
    HardLimitSlack,
    /// [`Settings::gossip_intake_per_second`](crate::Settings::gossip_intake_per_second)
    GossipIntake,
    /// [`Settings::initial_warmth`](crate::Settings::initial_warmth)
    InitialWarmth,
    /// [`Settings::warmup_duration`](crate::Settings::warmup_duration)
    WarmupDuration,
    /// [`Settings::warmup_overload_multiple`](crate::Settings::warmup_overload_multiple)
    WarmupOverloadMultiple,
}

impl SettingsField {
    /// The name of the setting in error messages: that of its field, with the unit where it is a duration.
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

/// The part of the settings that a fault is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsSection {
    /// The request class with this index in [`Settings::classes`](crate::Settings::classes).
    Class(ClassIndex),
    /// The plan with this index in [`Settings::plans`](crate::Settings::plans).
    Plan(PlanIndex),
    /// The settings that belong to no class and no plan.
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

/// Why decisions cannot be made with some settings.
///
/// Messages name each setting by its field in this library and by its key in the settings document, since operators
/// edit the latter. Classes and plans are counted from 0.
#[derive(Debug, Clone, PartialEq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no request class.
    #[error("settings: there is no request class; at least one is needed (key `Classes`)")]
    NoClasses,
    /// The fleet has no gateway.
    #[error("settings: the fleet has no gateway; at least one is needed (key `Balancers`)")]
    NoGateways,
    /// A number is negative, infinite or not a number.
    #[error(
        "settings: {section}: {} is {value}, but must be finite and not negative (key `{}`)",
        field.name(),
        field.document_key()
    )]
    InvalidNumber {
        /// Where the number is.
        section: SettingsSection,
        /// Which number it is.
        field: SettingsField,
        /// The number.
        value: f64,
    },
    /// The latency objective of a class is 0.
    #[error(
        "settings: class {class}: latency_objective_ms is 0, but must be positive (key `Target`)"
    )]
    NoLatencyObjective {
        /// The index of the class.
        class: ClassIndex,
    },
    /// A class is keyed, but its deduplication window is 0.
    #[error(
        "settings: class {class}: deduplication_window_ms is 0, but must be positive for a keyed class (key `Window`)"
    )]
    NoDeduplicationWindow {
        /// The index of the class.
        class: ClassIndex,
    },
    /// A plan limits the rate, but its token bucket has no capacity.
    #[error(
        "settings: plan {plan}: burst is 0, but must be positive with a refill_rate of {refill_rate} (key `PeakUnits`)"
    )]
    RateWithoutBurst {
        /// The index of the plan.
        plan: PlanIndex,
        /// The refill rate.
        refill_rate: TokensPerSecond,
    },
}
