//! The form of the actions that the adapter writes.

use crate::support::*;
use serde_json::Value;

/// A conversation in which the instances ask for every kind of action.
fn conversation_with_every_action() -> Vec<String> {
    let gossiping = SETTINGS
        .replace(
            r#""Balancers":1"#,
            r#""Balancers":2,"Bounds":{"Peers":true},"Domain":{"PeerIntake":100.0}"#,
        )
        .replace(r#""repeatable""#, r#""once""#);
    let peer = gossiping.replace(r#""Me":0"#, r#""Me":1"#);
    let mut lines = batch(
        1,
        [
            endpoint_list(),
            start_instance(0, SETTINGS),
            endpoints_changed(0, "disk"),
            request(0, 1),
            // It knows no endpoint, so it can only reject.
            start_instance(1, SETTINGS),
            request(1, 2),
            // The tenant's quota owner is the other gateway, which it asks by gossip.
            start_instance(2, &gossiping),
            start_instance(3, &peer),
            endpoints_changed(2, "disk"),
            endpoints_changed(3, "disk"),
            request(2, 3).replace(r#""Doors":1"#, r#""Doors":2"#),
            request(3, 4).replace(r#""Doors":1"#, r#""Doors":2"#),
        ],
    );
    lines.extend(batch(2, [attempt_finished(1, "OK", r#","Terminal":true"#)]));
    // The request must not run twice, and it may have run.
    lines.extend(batch(
        3,
        [
            start_instance(0, &SETTINGS.replace("repeatable", "once")),
            endpoints_changed(0, "disk"),
            request(0, 5),
        ],
    ));
    lines.extend(batch(4, [attempt_finished(5, "INTERNAL", "")]));
    lines
}

#[test]
fn actions_have_the_keys_of_the_wire_in_a_fixed_order() {
    let run = run_adapter(&conversation_with_every_action());
    assert!(run.success, "{}", run.errors);
    let shapes = [
        r#"{"kind":"Deliver","GatekeeperId":_,"RequestId":_,"Worker":_,"NotPast":_}"#,
        r#"{"kind":"Busy","GatekeeperId":_,"RequestId":_,"Pause":_}"#,
        r#"{"kind":"Lose","GatekeeperId":_,"RequestId":_}"#,
        r#"{"kind":"Signal","GatekeeperId":_,"NeighbourId":_,"Content":_}"#,
        r#"{"kind":"SetTimer","GatekeeperId":_,"Nonce":_,"After":_}"#,
        r#"{"kind":"Ok","n":_}"#,
    ];
    let found: Vec<String> = run.output.lines().map(shape).collect();
    for shape in shapes {
        assert!(
            found.iter().any(|other| other == shape),
            "{shape}: {}",
            run.output
        );
    }
    for other in &found {
        assert!(shapes.contains(&other.as_str()), "{other}");
    }
}

/// A line with `_` for each value but that of the first key.
fn shape(line: &str) -> String {
    let value: Value = serde_json::from_str(line).expect("a line is JSON");
    let object = value.as_object().expect("a line is an object");
    // The parsed object does not keep the order of its keys, so they are put in the order of the line.
    let mut keys: Vec<&String> = object.keys().collect();
    keys.sort_by_key(|key| line.find(&format!("\"{key}\":")));
    let fields = keys.iter().skip(1).map(|key| format!(",\"{key}\":_"));
    format!(
        "{{\"kind\":{}{}}}",
        object["kind"],
        fields.collect::<String>()
    )
}
