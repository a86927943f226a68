//! Which settings are rejected, and with which error.

use crate::samples::{COMPLETE_SETTINGS, complete_settings, parse};
use marlshelf::{
    ClassIndex, DecisionEngine, GatewayId, Milliseconds, PlanIndex, Settings, SettingsDocument,
    SettingsError, SettingsField, SettingsSection, Tokens, TokensPerSecond,
};
use serde_json::json;

/// A change of valid settings.
type SettingsChange = fn(&mut Settings);

/// A number in the settings, with the names that an error must give it.
struct NumericSetting {
    section: SettingsSection,
    field: SettingsField,
    name: &'static str,
    key: &'static str,
    set: fn(&mut Settings, f64),
}

const fn class(index: usize) -> SettingsSection {
    SettingsSection::Class(ClassIndex(index))
}

const fn plan(index: usize) -> SettingsSection {
    SettingsSection::Plan(PlanIndex(index))
}

/// A setting by its section, its field, its name in messages, its key in the document, its path in [`Settings`] and its
/// unit, if any.
macro_rules! numeric_setting {
    ($section:expr, $field:ident, $name:literal, $key:literal, $(($list:ident[$index:literal]),)? $member:ident $(as $unit:ident)?) => {
        NumericSetting {
            section: $section,
            field: SettingsField::$field,
            name: $name,
            key: $key,
            set: |settings, value| {
                settings.$($list[$index].)? $member = $($unit)?(value);
            },
        }
    };
}

const NUMERIC_SETTINGS: [NumericSetting; 15] = [
    numeric_setting!(
        class(2),
        PriorityWeight,
        "priority_weight",
        "Worth",
        (classes[2]),
        priority_weight
    ),
    numeric_setting!(
        class(3),
        LatencyObjective,
        "latency_objective_ms",
        "Target",
        (classes[3]),
        latency_objective as Milliseconds
    ),
    numeric_setting!(
        class(0),
        LateAnswerWeight,
        "late_answer_weight",
        "LateWorth",
        (classes[0]),
        late_answer_weight
    ),
    numeric_setting!(
        class(1),
        DeduplicationWindow,
        "deduplication_window_ms",
        "Window",
        (classes[1]),
        deduplication_window as Milliseconds
    ),
    numeric_setting!(
        plan(1),
        RefillRate,
        "refill_rate",
        "UnitsPerS",
        (plans[1]),
        refill_rate as TokensPerSecond
    ),
    numeric_setting!(
        plan(0),
        Burst,
        "burst",
        "PeakUnits",
        (plans[0]),
        burst as Tokens
    ),
    numeric_setting!(
        plan(1),
        PlanWeight,
        "weight",
        "ValueFactor",
        (plans[1]),
        weight
    ),
    numeric_setting!(
        plan(0),
        OverQuotaPenalty,
        "over_quota_penalty",
        "OverCost",
        (plans[0]),
        over_quota_penalty
    ),
    numeric_setting!(
        plan(1),
        HardLimitRate,
        "hard_limit_rate",
        "CapRate",
        (plans[1]),
        hard_limit_rate as TokensPerSecond
    ),
    numeric_setting!(
        plan(0),
        HardLimitBurst,
        "hard_limit_burst",
        "CapDepth",
        (plans[0]),
        hard_limit_burst as Tokens
    ),
    numeric_setting!(
        plan(1),
        HardLimitSlack,
        "hard_limit_slack",
        "CeilingSlack",
        (plans[1]),
        hard_limit_slack as Tokens
    ),
    numeric_setting!(
        SettingsSection::General,
        GossipIntake,
        "gossip_intake_per_second",
        "Domain.PeerIntake",
        gossip_intake_per_second
    ),
    numeric_setting!(
        SettingsSection::General,
        InitialWarmth,
        "initial_warmth",
        "Rules.ColdFrom",
        initial_warmth
    ),
    numeric_setting!(
        SettingsSection::General,
        WarmupDuration,
        "warmup_ms",
        "Rules.WarmWithin",
        warmup_duration as Milliseconds
    ),
    numeric_setting!(
        SettingsSection::General,
        WarmupOverloadMultiple,
        "warmup_overload_multiple",
        "Rules.FallMultiple",
        warmup_overload_multiple
    ),
];

#[test]
fn numbers_that_are_negative_or_not_finite_are_reported_where_they_are() {
    for setting in NUMERIC_SETTINGS {
        for invalid in [
            -1.5,
            -f64::MIN_POSITIVE,
            f64::INFINITY,
            f64::NEG_INFINITY,
            f64::NAN,
        ] {
            let mut settings = complete_settings();
            (setting.set)(&mut settings, invalid);
            let error = settings.validate().expect_err(setting.name);
            let SettingsError::InvalidNumber {
                section,
                field,
                value,
            } = &error
            else {
                panic!("{} of {invalid}: {error}", setting.name);
            };
            assert_eq!(
                (*section, field.name(), field.document_key()),
                (setting.section, setting.name, setting.key)
            );
            assert_eq!(value.to_bits(), invalid.to_bits());
            let expected = format!(
                "settings: {}: {} is {invalid}, but must be finite and not negative (key `{}`)",
                setting.section, setting.name, setting.key
            );
            assert_eq!(error.to_string(), expected);
            assert!(DecisionEngine::new(settings, 1).is_err());
        }
    }
}

/// Each key that an error names is the one under which the document has the number.
#[test]
fn errors_name_the_key_of_the_document() {
    for setting in NUMERIC_SETTINGS {
        let mut settings = parse(COMPLETE_SETTINGS);
        let section = match setting.section {
            SettingsSection::Class(index) => format!("/Classes/{index}/"),
            SettingsSection::Plan(index) => format!("/Plans/{index}/"),
            SettingsSection::General => "/".to_string(),
        };
        let pointer = section + &setting.key.replace('.', "/");
        *settings
            .pointer_mut(&pointer)
            .expect("the key is in the document") = json!(-2.0);
        let document: SettingsDocument =
            serde_json::from_value(settings).expect("the settings can be read");
        let expected = SettingsError::InvalidNumber {
            section: setting.section,
            field: setting.field,
            value: -2.0,
        };
        assert_eq!(document.settings().validate(), Err(expected), "{pointer}");
    }
}

#[test]
fn numbers_of_zero_are_accepted_unless_something_depends_on_them() {
    let refused = ["latency_objective_ms", "burst"];
    for setting in NUMERIC_SETTINGS
        .iter()
        .filter(|setting| !refused.contains(&setting.name))
    {
        for zero in [0.0, -0.0] {
            let mut settings = complete_settings();
            (setting.set)(&mut settings, zero);
            assert_eq!(settings.validate(), Ok(()), "{}", setting.name);
        }
    }
}

struct Fault {
    what: &'static str,
    introduce: SettingsChange,
    error: SettingsError,
}

const STRUCTURAL_FAULTS: [Fault; 6] = [
    Fault {
        what: "no classes",
        introduce: |settings| settings.classes.clear(),
        error: SettingsError::NoClasses,
    },
    Fault {
        what: "no gateways",
        introduce: |settings| settings.gateway_count = 0,
        error: SettingsError::NoGateways,
    },
    Fault {
        what: "no latency objective",
        introduce: |settings| settings.classes[1].latency_objective = Milliseconds(0.0),
        error: SettingsError::NoLatencyObjective {
            class: ClassIndex(1),
        },
    },
    Fault {
        what: "a latency objective of negative zero",
        introduce: |settings| settings.classes[4].latency_objective = Milliseconds(-0.0),
        error: SettingsError::NoLatencyObjective {
            class: ClassIndex(4),
        },
    },
    Fault {
        what: "a keyed class without a window",
        introduce: |settings| settings.classes[3].deduplication_window = Milliseconds(0.0),
        error: SettingsError::NoDeduplicationWindow {
            class: ClassIndex(3),
        },
    },
    Fault {
        what: "a rate without a burst",
        introduce: |settings| settings.plans[1].burst = Tokens(0.0),
        error: SettingsError::RateWithoutBurst {
            plan: PlanIndex(1),
            refill_rate: TokensPerSecond(6.5),
        },
    },
];

#[test]
fn structural_faults_are_reported_where_they_are() {
    for fault in STRUCTURAL_FAULTS {
        let mut settings = complete_settings();
        (fault.introduce)(&mut settings);
        let text = fault.error.to_string();
        assert!(text.starts_with("settings: "), "{}: {text}", fault.what);
        assert_eq!(
            settings.validate(),
            Err(fault.error.clone()),
            "{}",
            fault.what
        );
        let refusal = DecisionEngine::new(settings, 1).err();
        assert_eq!(refusal, Some(fault.error), "{}", fault.what);
    }
}

#[test]
fn settings_without_a_stated_limit_are_accepted() {
    let accepted: [(&str, SettingsChange); 8] = [
        ("no plans", |settings| settings.plans.clear()),
        ("no rate and no burst", |settings| {
            settings.plans[0].refill_rate = TokensPerSecond(0.0);
            settings.plans[0].burst = Tokens(0.0);
        }),
        ("no window of an idempotent class", |settings| {
            settings.classes[0].deduplication_window = Milliseconds(0.0);
        }),
        ("no window of a non-idempotent class", |settings| {
            settings.classes[1].deduplication_window = Milliseconds(0.0);
        }),
        ("no limit of attempts", |settings| {
            settings.max_attempts = 0;
        }),
        ("a gateway beyond the fleet", |settings| {
            settings.gateway = GatewayId(99);
        }),
        ("a negative greatest cost", |settings| {
            settings.max_request_cost = Tokens(-1.0);
        }),
        ("a greatest cost that is not a number", |settings| {
            settings.max_request_cost = Tokens(f64::NAN);
        }),
    ];
    for (what, change) in accepted {
        let mut settings = complete_settings();
        change(&mut settings);
        assert_eq!(settings.validate(), Ok(()), "{what}");
    }
}

#[test]
fn the_greatest_cost_has_a_default() {
    let mut settings = complete_settings();
    assert_eq!(settings.largest_request_cost(), Tokens(9.0));
    for unstated in [0.0, -1.0, f64::NAN] {
        settings.max_request_cost = Tokens(unstated);
        assert_eq!(settings.largest_request_cost(), Tokens(1e6));
    }
}
