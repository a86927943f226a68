//! Parsing of the settings document.

use crate::samples::{
    COMPLETE_SETTINGS, REQUIRED_SETTINGS, both_documents, class, complete_settings, parse,
};
use marlshelf::{
    ClassDocument, DeduplicationScope, DiscoveryMode, Idempotency, IdempotencyDocument, Settings,
    SettingsDocument,
};
use serde_json::{Value, json};
use std::time::Duration;

/// Values that the gateway process reads directly from the document.
#[derive(Debug, PartialEq)]
struct HostValues {
    connect_timeout_ms: f64,
    idle_connection_timeout_ms: f64,
    max_active_requests: usize,
    drain_grace_ms: f64,
    max_poll_interval_ms: f64,
}

impl HostValues {
    fn of(document: &SettingsDocument) -> HostValues {
        HostValues {
            connect_timeout_ms: document.limits.connect_timeout_ms,
            idle_connection_timeout_ms: document.limits.idle_connection_timeout_ms,
            max_active_requests: document.limits.max_active_requests,
            drain_grace_ms: document.rules.drain_grace_ms,
            max_poll_interval_ms: document.rules.max_poll_interval_ms,
        }
    }
}

#[test]
fn both_forms_of_complete_settings_give_every_value() {
    for document in both_documents(COMPLETE_SETTINGS) {
        assert_eq!(document.settings(), complete_settings());
        document
            .settings()
            .validate()
            .expect("the settings are valid");
        assert_complete_names(&document);
        assert_complete_classes(&document.classes);
        assert_eq!(document.gateway_count(), 7);
        assert_eq!(document.discovery_mode, DiscoveryMode::Subscribe);
        // The longest deadline is 2500 ms, and the platform adds 700 ms.
        assert_eq!(document.termination_grace(), Duration::from_millis(3200));
        let host_values = HostValues {
            connect_timeout_ms: 310.0,
            idle_connection_timeout_ms: 21_000.0,
            max_active_requests: 12_345,
            drain_grace_ms: 450.0,
            max_poll_interval_ms: 9000.0,
        };
        assert_eq!(HostValues::of(&document), host_values);
    }
}

fn assert_complete_names(document: &SettingsDocument) {
    assert_eq!(document.zones, ["north", "south", "west"]);
    assert_eq!(document.hardware_kinds, ["large", "small"]);
    let classes: Vec<&str> = document
        .classes
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    assert_eq!(
        classes,
        ["read", "write", "keyed-all", "keyed-zone", "keyed-cell"]
    );
    let plans: Vec<&str> = document
        .plans
        .iter()
        .map(|plan| plan.name.as_str())
        .collect();
    assert_eq!(plans, ["basic", "extra"]);
}

fn assert_complete_classes(classes: &[ClassDocument]) {
    let deadlines: Vec<f64> = classes.iter().map(|class| class.deadline_ms).collect();
    assert_eq!(deadlines, [2100.0, 2200.0, 2300.0, 2400.0, 2500.0]);
    let idempotency: Vec<_> = classes.iter().map(|class| class.idempotency).collect();
    let expected = [
        IdempotencyDocument::Idempotent,
        IdempotencyDocument::NonIdempotent,
        IdempotencyDocument::Keyed,
        IdempotencyDocument::Keyed,
        IdempotencyDocument::Keyed,
    ];
    assert_eq!(idempotency, expected);
}

#[test]
fn both_forms_of_required_settings_give_the_defaults() {
    let expected = Settings {
        gateway_count: 1,
        classes: vec![class(
            0.0,
            500.0,
            0.0,
            Idempotency::Keyed(DeduplicationScope::All),
            2000.0,
        )],
        ..Settings::default()
    };
    for document in both_documents(REQUIRED_SETTINGS) {
        assert_eq!(document.settings(), expected);
        document
            .settings()
            .validate()
            .expect("the settings are valid");
        assert_empty_lists(&document);
        assert_eq!(document.gateway_count(), 1);
        assert_eq!(document.discovery_mode, DiscoveryMode::Automatic);
        // No deadline is set, so the maximum of 3000 ms applies, and the platform adds 700 ms.
        assert_eq!(document.termination_grace(), Duration::from_millis(3700));
        assert_eq!(document.classes[0].name, "");
        assert_eq!(document.classes[0].deadline_ms, 0.0);
        let host_values = HostValues {
            connect_timeout_ms: 250.0,
            idle_connection_timeout_ms: 15_000.0,
            max_active_requests: 20_000,
            drain_grace_ms: 500.0,
            max_poll_interval_ms: 10_000.0,
        };
        assert_eq!(HostValues::of(&document), host_values);
    }
}

fn assert_empty_lists(document: &SettingsDocument) {
    assert!(document.zones.is_empty());
    assert!(document.hardware_kinds.is_empty());
    assert!(document.plans.is_empty());
}

#[test]
fn missing_required_keys_are_rejected() {
    for (section, key) in [
        ("", "Balancers"),
        ("", "Classes"),
        ("/Classes/0", "Target"),
        ("/Classes/0", "Effect"),
    ] {
        let mut settings = parse(COMPLETE_SETTINGS);
        let object = settings
            .pointer_mut(section)
            .and_then(Value::as_object_mut)
            .expect("an object");
        object.remove(key).expect("the key is present");
        let error = serde_json::from_value::<SettingsDocument>(settings).expect_err(key);
        assert!(error.to_string().contains(key), "{key}: {error}");
    }
}

#[test]
fn deadlines_above_the_longest_wait_do_not_extend_the_termination_grace() {
    let mut settings = parse(COMPLETE_SETTINGS);
    settings["Classes"][1]["Deadline"] = json!(60_000.0);
    let document: SettingsDocument =
        serde_json::from_value(settings).expect("the settings can be read");
    assert_eq!(document.termination_grace(), Duration::from_millis(3700));
}
