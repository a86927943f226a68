//! Which settings are rejected, and with which error.

use crate::samples::{COMPLETE_SETTINGS, complete_settings, parse};
use marlshelf::{
    DecisionEngine, GatewayId, Settings, SettingsDocument, SettingsError, SettingsSection,
};
use serde_json::json;

/// A change of valid settings.
type SettingsChange = fn(&mut Settings);

/// A number in the settings, with the names that an error must give it.
struct NumericSetting {
    section: SettingsSection,
    field: &'static str,
    key: &'static str,
    set: fn(&mut Settings, f64),
}

macro_rules! numeric_setting {
    ($section:expr, $key:literal, $field:ident $(, $list:ident[$index:literal])?) => {
        NumericSetting {
            section: $section,
            field: stringify!($field),
            key: $key,
            set: |settings, value| {
                settings$(.$list[$index])?.$field = value;
            },
        }
    };
}

const NUMERIC_SETTINGS: [NumericSetting; 15] = [
    numeric_setting!(
        SettingsSection::Class(2),
        "Worth",
        priority_weight,
        classes[2]
    ),
    numeric_setting!(
        SettingsSection::Class(3),
        "Target",
        latency_objective_ms,
        classes[3]
    ),
    numeric_setting!(
        SettingsSection::Class(0),
        "LateWorth",
        late_answer_weight,
        classes[0]
    ),
    numeric_setting!(
        SettingsSection::Class(1),
        "Window",
        deduplication_window_ms,
        classes[1]
    ),
    numeric_setting!(SettingsSection::Plan(1), "UnitsPerS", refill_rate, plans[1]),
    numeric_setting!(SettingsSection::Plan(0), "PeakUnits", burst, plans[0]),
    numeric_setting!(SettingsSection::Plan(1), "ValueFactor", weight, plans[1]),
    numeric_setting!(
        SettingsSection::Plan(0),
        "OverCost",
        over_quota_penalty,
        plans[0]
    ),
    numeric_setting!(
        SettingsSection::Plan(1),
        "CapRate",
        hard_limit_rate,
        plans[1]
    ),
    numeric_setting!(
        SettingsSection::Plan(0),
        "CapDepth",
        hard_limit_burst,
        plans[0]
    ),
    numeric_setting!(
        SettingsSection::Plan(1),
        "CeilingSlack",
        hard_limit_slack,
        plans[1]
    ),
    numeric_setting!(
        SettingsSection::General,
        "Domain.PeerIntake",
        gossip_intake_per_second
    ),
    numeric_setting!(SettingsSection::General, "Rules.ColdFrom", initial_warmth),
    numeric_setting!(SettingsSection::General, "Rules.WarmWithin", warmup_ms),
    numeric_setting!(
        SettingsSection::General,
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
            let error = settings.validate().expect_err(setting.field);
            let SettingsError::InvalidNumber {
                section,
                field,
                key,
                value,
            } = &error
            else {
                panic!("{} of {invalid}: {error}", setting.field);
            };
            assert_eq!(
                (*section, *field, *key),
                (setting.section, setting.field, setting.key)
            );
            assert_eq!(value.to_bits(), invalid.to_bits());
            let expected = format!(
                "settings: {}: {} is {invalid}, but must be finite and not negative (key `{}`)",
                setting.section, setting.field, setting.key
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
            key: setting.key,
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
        .filter(|setting| !refused.contains(&setting.field))
    {
        for zero in [0.0, -0.0] {
            let mut settings = complete_settings();
            (setting.set)(&mut settings, zero);
            assert_eq!(settings.validate(), Ok(()), "{}", setting.field);
        }
    }
}

struct Fault {
    what: &'static str,
    introduce: SettingsChange,
    error: SettingsError,
}

fn structural_faults() -> Vec<Fault> {
    vec![
        Fault {
            what: "no classes",
            introduce: |settings| settings.classes.clear(),
            error: SettingsError::NoClasses,
        },
        Fault {
            what: "no gateways",
            introduce: |settings| {
                settings.gateway_count = 0;
            },
            error: SettingsError::NoGateways,
        },
        Fault {
            what: "no latency objective",
            introduce: |settings| {
                settings.classes[1].latency_objective_ms = 0.0;
            },
            error: SettingsError::NoLatencyObjective { class: 1 },
        },
        Fault {
            what: "a latency objective of negative zero",
            introduce: |settings| {
                settings.classes[4].latency_objective_ms = -0.0;
            },
            error: SettingsError::NoLatencyObjective { class: 4 },
        },
        Fault {
            what: "a keyed class without a window",
            introduce: |settings| {
                settings.classes[3].deduplication_window_ms = 0.0;
            },
            error: SettingsError::NoDeduplicationWindow { class: 3 },
        },
        Fault {
            what: "a rate without a burst",
            introduce: |settings| {
                settings.plans[1].burst = 0.0;
            },
            error: SettingsError::RateWithoutBurst {
                plan: 1,
                refill_rate: 6.5,
            },
        },
    ]
}

#[test]
fn structural_faults_are_reported_where_they_are() {
    for fault in structural_faults() {
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
            settings.plans[0].refill_rate = 0.0;
            settings.plans[0].burst = 0.0;
        }),
        ("no window of an idempotent class", |settings| {
            settings.classes[0].deduplication_window_ms = 0.0;
        }),
        ("no window of a non-idempotent class", |settings| {
            settings.classes[1].deduplication_window_ms = 0.0;
        }),
        ("no limit of attempts", |settings| {
            settings.max_attempts = 0;
        }),
        ("a gateway beyond the fleet", |settings| {
            settings.gateway = GatewayId(99);
        }),
        ("a negative greatest cost", |settings| {
            settings.max_request_cost = -1.0;
        }),
        ("a greatest cost that is not a number", |settings| {
            settings.max_request_cost = f64::NAN;
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
    assert_eq!(settings.largest_request_cost(), 9.0);
    for unstated in [0.0, -1.0, f64::NAN] {
        settings.max_request_cost = unstated;
        assert_eq!(settings.largest_request_cost(), 1e6);
    }
}
