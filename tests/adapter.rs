//! The simulator adapter as a process: frames in, lines out.

use serde_json::Value;
use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = r#"{"Balancers":1,"Me":0,"Classes":[{"Name":"r","Target":500.0,"Deadline":1000.0,"Effect":"repeatable","Worth":1.0}],"Plans":[{"Name":"p","UnitsPerS":10.0,"PeakUnits":20.0,"ValueFactor":1.0}],"Later":{"unknown":[1]}}"#;

/// What the adapter has left behind at its end.
struct Run {
    success: bool,
    output: String,
    errors: String,
}

/// Runs the adapter on these lines.
fn run_adapter(lines: &[String]) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_marlshelf-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("standard input is piped");
    // An error may end the adapter before it has read everything.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    let output = child.wait_with_output().expect("the adapter ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is text");
    Run {
        success: output.status.success(),
        output: text(output.stdout),
        errors: text(output.stderr),
    }
}

fn begin_batch(number: u64) -> String {
    format!(
        r#"{{"kind":"BeginBatch","Clock":{}.0,"n":{number}}}"#,
        100 * number
    )
}

fn end_batch() -> String {
    r#"{"kind":"Eob"}"#.into()
}

/// A batch of these frames.
fn batch(number: u64, frames: impl IntoIterator<Item = String>) -> Vec<String> {
    let mut lines = vec![begin_batch(number)];
    lines.extend(frames);
    lines.push(end_batch());
    lines
}

fn endpoint_list() -> String {
    r#"{"kind":"Directory","Sheet":0,"Records":[{"Worker":"worker.a","Share":1,"RegionPart":0,"Pod":0,"FamilyType":0,"Health":"up"}]}"#.into()
}

fn start_instance(instance: u32, settings: &str) -> String {
    format!(
        r#"{{"kind":"Hello","GatekeeperId":"gatekeeper_{instance}","Prng":7,"Conf":{settings}}}"#
    )
}

fn endpoints_changed(instance: u32, form: &str) -> String {
    format!(
        r#"{{"kind":"DirectoryUpdate","GatekeeperId":"gatekeeper_{instance}","Form":"{form}","Version":1,"Sheet":0}}"#
    )
}

/// Starts an instance that knows one endpoint.
fn start_with_endpoint(instance: u32) -> Vec<String> {
    vec![
        endpoint_list(),
        start_instance(instance, SETTINGS),
        endpoints_changed(instance, "disk"),
    ]
}

fn request(instance: u32, id: u64) -> String {
    format!(
        r#"{{"kind":"Incoming","GatekeeperId":"gatekeeper_{instance}","RequestId":{id},"First":0,"GiveUpAt":2000.0,"Weight":1,"Band":0,"ClientId":"key:x","StateBits":0,"Tier":0,"Doors":1,"Novel":true}}"#
    )
}

fn attempt_finished(id: u64, ending: &str, further_keys: &str) -> String {
    format!(
        r#"{{"kind":"Done","GatekeeperId":"gatekeeper_0","RequestId":{id},"Trial":0,"Worker":"worker.a","Ending":"{ending}"{further_keys}}}"#
    )
}

/// A frame of which only the kind, the instance and some further keys matter.
fn frame(kind: &str, instance: u32, further_keys: &str) -> String {
    format!(r#"{{"kind":"{kind}","GatekeeperId":"gatekeeper_{instance}"{further_keys}}}"#)
}

#[test]
fn each_batch_is_answered_with_its_actions_and_its_number() {
    let mut lines = batch(1, []);
    let mut frames = start_with_endpoint(0);
    frames.push(request(0, 41));
    lines.extend(batch(2, frames));
    let finished = attempt_finished(41, "OK", r#","Latency":9.5,"Terminal":true"#);
    lines.extend(batch(3, [finished, frame("Retire", 0, "")]));
    let run = run_adapter(&lines);
    assert!(run.success && run.errors.is_empty(), "{}", run.errors);
    let replies: Vec<&str> = run.output.lines().collect();
    assert_eq!(replies.first(), Some(&r#"{"kind":"Ok","n":1}"#));
    assert!(
        run.output.contains(r#""kind":"Deliver""#) && run.output.contains(r#""RequestId":41"#),
        "{}",
        run.output
    );
    assert_eq!(replies.last(), Some(&r#"{"kind":"Ok","n":3}"#));
}

#[test]
fn instances_do_not_influence_each_other() {
    let mut frames = Vec::new();
    for instance in 0..20 {
        frames.extend(start_with_endpoint(instance));
    }
    frames.extend((0..20).map(|instance| request(instance, u64::from(instance))));
    let run = run_adapter(&batch(1, frames));
    assert!(run.success);
    for instance in 0..20 {
        let own = format!(r#""GatekeeperId":"gatekeeper_{instance}","RequestId":{instance},"#);
        assert_eq!(run.output.matches(&own).count(), 1, "{}", run.output);
    }
}

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

const LOAD_REPORT: &str = r#","Usage":{"outstanding":3,"backlog":1,"utilization":0.5,"recent_ms":8.5,"throughput":90.0,"errors_per_s":0}"#;

/// Requests with an attempt and a health check for every ending that the wire knows.
fn frames_with_every_ending() -> Vec<String> {
    let endings = [
        "OK",
        "INTERNAL",
        "RESOURCE_EXHAUSTED",
        "DEADLINE_EXCEEDED",
        "UNAVAILABLE",
        "ABORTED",
        "CANCELLED",
        "TOO_LATE",
    ];
    let mut frames = Vec::new();
    for (id, ending) in (100..).zip(endings) {
        let figures = format!(r#","Latency":9.5,"SeenUse":86,"Actual":3{LOAD_REPORT}"#);
        let health =
            format!(r#","Worker":"worker.a","Latency":1.5,"Ending":"{ending}"{LOAD_REPORT}"#);
        frames.push(request(0, id));
        frames.push(attempt_finished(id, ending, &figures));
        frames.push(frame("StatusBack", 0, &health));
    }
    frames
}

#[test]
fn every_kind_of_frame_is_accepted() {
    let mut frames = start_with_endpoint(0);
    frames.extend(["diff", "snapshot", "disk", "error"].map(|form| endpoints_changed(0, form)));
    frames.extend(frames_with_every_ending());
    let further_frames = [
        // A failed call refers to no list.
        ("DirectoryUpdate", r#","Form":"error""#),
        ("Incoming", r#","RequestId":200,"GiveUpAt":2000.0"#),
        (
            "Accepted",
            r#","RequestId":200,"Trial":0,"Worker":"worker.a","Latency":9.25"#,
        ),
        ("Lapsed", r#","RequestId":200"#),
        ("FromPeer", r#","Src":2,"Content":"hi 7""#),
        ("FromPeer", ""),
        (
            "TallyBack",
            r#","TallyId":9041552,"Ending":"OK","Total":38,"Latency":2.15"#,
        ),
        ("Fired", r#","Nonce":77"#),
        ("Fired", ""),
        ("Retire", ""),
        // An instance that does not run may be stopped.
        ("Retire", ""),
    ];
    frames.extend(further_frames.map(|(kind, keys)| frame(kind, 0, keys)));
    let run = run_adapter(&batch(1, frames));
    assert!(run.success && run.errors.is_empty(), "{}", run.errors);
    assert_eq!(run.output.lines().last(), Some(r#"{"kind":"Ok","n":1}"#));
}

/// Input that must end the adapter with failure.
struct InvalidInput {
    what: &'static str,
    lines: Vec<String>,
    /// How the message must begin.
    message: &'static str,
}

fn invalid(what: &'static str, lines: Vec<String>, message: &'static str) -> InvalidInput {
    InvalidInput {
        what,
        lines,
        message,
    }
}

fn malformed_frames() -> Vec<InvalidInput> {
    let without_classes = r#"{"kind":"Hello","GatekeeperId":"gatekeeper_0","Prng":1,"Conf":{"Balancers":1,"Classes":[]}}"#;
    vec![
        invalid(
            "not JSON",
            vec![begin_batch(1), "nonsense".into()],
            "line 2: cannot parse the frame: expected ident",
        ),
        invalid(
            "no kind",
            vec![r#"{"Clock":1}"#.into()],
            "line 1: cannot parse the frame: missing field `kind`",
        ),
        invalid(
            "an unknown kind",
            vec![begin_batch(1), r#"{"kind":"Sing"}"#.into()],
            "line 2: cannot parse the frame: unknown variant `Sing`",
        ),
        invalid(
            "a missing field",
            vec![r#"{"kind":"BeginBatch","n":1}"#.into()],
            "line 1: cannot parse the frame: missing field `Clock`",
        ),
        invalid(
            "a wrong type",
            vec![r#"{"kind":"BeginBatch","Clock":"noon","n":1}"#.into()],
            "line 1: cannot parse the frame: invalid type: string \"noon\"",
        ),
        invalid(
            "settings without classes",
            vec![begin_batch(1), without_classes.into()],
            "line 2: cannot start gatekeeper_0: settings: there is no request class",
        ),
    ]
}

fn frames_outside_their_batch() -> Vec<InvalidInput> {
    vec![
        invalid(
            "an end without a beginning",
            vec![end_batch()],
            "line 1: a frame outside a batch",
        ),
        invalid(
            "an event outside a batch",
            vec![request(0, 1)],
            "line 1: a frame outside a batch",
        ),
        invalid(
            "a batch in a batch",
            vec![begin_batch(1), begin_batch(2)],
            "line 2: a batch begins inside a batch",
        ),
        invalid(
            "the input ends inside a batch",
            vec![begin_batch(1)],
            "line 1: the input ends inside a batch",
        ),
    ]
}

fn frames_for_missing_state() -> Vec<InvalidInput> {
    vec![
        invalid(
            "an instance that was never started",
            vec![begin_batch(1), request(3, 1)],
            "line 2: an event for gatekeeper_3, which has not been started",
        ),
        invalid(
            "an instance that was stopped",
            vec![
                begin_batch(1),
                start_instance(0, SETTINGS),
                frame("Retire", 0, ""),
                String::new(),
                frame("Accepted", 0, ""),
            ],
            "line 5: an event for gatekeeper_0, which has not been started",
        ),
        invalid(
            "a failed call of discovery for an instance that was never started",
            vec![begin_batch(1), endpoints_changed(4, "error")],
            "line 2: an event for gatekeeper_4, which has not been started",
        ),
        invalid(
            "an endpoint list that was never sent",
            vec![
                begin_batch(1),
                start_instance(0, SETTINGS),
                endpoints_changed(0, "diff"),
            ],
            "line 3: there is no endpoint list with the number 0",
        ),
    ]
}

#[test]
fn invalid_input_is_reported_in_one_line_that_names_its_place() {
    let inputs = [
        malformed_frames(),
        frames_outside_their_batch(),
        frames_for_missing_state(),
    ];
    for InvalidInput {
        what,
        lines,
        message,
    } in inputs.into_iter().flatten()
    {
        let run = run_adapter(&lines);
        assert!(!run.success, "{what} passes");
        assert_eq!(run.errors.lines().count(), 1, "{what}: {}", run.errors);
        let expected = format!("marlshelf-simulator-adapter: {message}");
        assert!(run.errors.starts_with(&expected), "{what}: {}", run.errors);
        assert!(run.output.is_empty(), "{what}: {}", run.output);
    }
}

#[test]
fn the_end_of_input_between_batches_is_a_success() {
    let run = run_adapter(&[]);
    assert!(run.success && run.output.is_empty() && run.errors.is_empty());
}
