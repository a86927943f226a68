//! Tests of the JSON form of the adapter's output lines.

use crate::support::*;
use serde_json::Value;

/// Returns input for which the instances produce every kind of action.
fn input_for_every_action() -> Vec<String> {
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
            // Without endpoints this instance rejects every request.
            start_instance(1, SETTINGS),
            request(1, 2),
            // One of these two gateways owns the tenant's quota. The other sends it a quota request by
            // gossip.
            start_instance(2, &gossiping),
            start_instance(3, &peer),
            endpoints_changed(2, "disk"),
            endpoints_changed(3, "disk"),
            request(2, 3).replace(r#""Doors":1"#, r#""Doors":2"#),
            request(3, 4).replace(r#""Doors":1"#, r#""Doors":2"#),
        ],
    );
    lines.extend(batch(2, [attempt_finished(1, "OK", r#","Terminal":true"#)]));
    // A request that must not be executed twice fails after an error, because it may have been executed.
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
fn output_lines_have_the_protocol_keys_in_a_fixed_order() {
    let run = run_adapter(&input_for_every_action());
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

/// Returns the line with `_` in place of every value except that of `kind`.
fn shape(line: &str) -> String {
    let value: Value = serde_json::from_str(line).expect("a line is JSON");
    let object = value.as_object().expect("a line is an object");
    // The parsed object does not preserve the order of its keys, so they are sorted by their position in the
    // line.
    let mut keys: Vec<&String> = object.keys().collect();
    keys.sort_by_key(|key| line.find(&format!("\"{key}\":")));
    let fields = keys.iter().skip(1).map(|key| format!(",\"{key}\":_"));
    format!(
        "{{\"kind\":{}{}}}",
        object["kind"],
        fields.collect::<String>()
    )
}
