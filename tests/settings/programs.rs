//! Settings as read by the gateway program and the simulator adapter.

use crate::samples::{
    COMPLETE_SETTINGS, REQUIRED_SETTINGS, deployment_file, parse, simulator_message,
};
use serde_json::{Value, json};
use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

/// Runs the simulator adapter with the settings in the first message of an instance.
fn run_adapter(settings: &Value) -> Output {
    let lines = [
        r#"{"kind":"BeginBatch","Clock":1.0,"n":1}"#.to_string(),
        simulator_message(settings),
        r#"{"kind":"Eob"}"#.to_string(),
    ];
    let mut child = Command::new(env!("CARGO_BIN_EXE_marlshelf-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("standard input is piped");
    input
        .write_all((lines.join("\n") + "\n").as_bytes())
        .expect("the adapter reads");
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

/// Runs the gateway with a configuration file that it must reject.
fn run_gateway(name: &str, settings: &Value) -> Output {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("settings-{name}.json"));
    fs::write(&path, deployment_file(settings)).expect("the file can be written");
    Command::new(env!("CARGO_BIN_EXE_marlshelf-gateway"))
        .env_clear()
        .env("GW_CONFIG", &path)
        .output()
        .expect("the gateway runs")
}

#[test]
fn the_adapter_starts_an_instance_with_either_sample() {
    for sample in [COMPLETE_SETTINGS, REQUIRED_SETTINGS] {
        let output = run_adapter(&parse(sample));
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success() && errors.is_empty(), "{errors}");
        assert_eq!(output.stdout, b"{\"kind\":\"Ok\",\"n\":1}\n");
    }
}

#[test]
fn both_programs_report_the_same_error_message() {
    let invalid_settings: [(&str, &str, Value, &str); 4] = [
        (
            "gateways",
            "/Balancers",
            json!(0),
            "settings: the fleet has no gateway",
        ),
        (
            "objective",
            "/Classes/3/Target",
            json!(0.0),
            "settings: class 3: latency_objective_ms is 0",
        ),
        (
            "burst",
            "/Plans/0/PeakUnits",
            json!(0.0),
            "settings: plan 0: burst is 0",
        ),
        (
            "warmup",
            "/Rules/WarmWithin",
            json!(-4.5),
            "settings: general: warmup_ms is -4.5",
        ),
    ];
    for (name, pointer, value, message) in invalid_settings {
        let mut settings = parse(COMPLETE_SETTINGS);
        *settings
            .pointer_mut(pointer)
            .expect("the key is in the sample") = value;
        for (program, output) in [
            (
                "marlshelf-simulator-adapter: line 2: ",
                run_adapter(&settings),
            ),
            ("marlshelf-gateway: ", run_gateway(name, &settings)),
        ] {
            let errors = String::from_utf8(output.stderr).expect("the message is text");
            assert_eq!(output.status.code(), Some(1), "{program}{errors}");
            assert!(
                errors.starts_with(program) && errors.contains(message),
                "{errors}"
            );
            assert_eq!(errors.lines().count(), 1, "{errors}");
            assert!(output.stdout.is_empty());
        }
    }
}
