//! Tests of valid batches and their replies.

use crate::support::*;

#[test]
fn each_batch_gets_a_reply_with_its_actions_and_its_number() {
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

const LOAD_REPORT: &str = r#","Usage":{"outstanding":3,"backlog":1,"utilization":0.5,"recent_ms":8.5,"throughput":90.0,"errors_per_s":0}"#;

/// Returns a request, a finished attempt and a health check for each status of the protocol.
fn frames_with_every_status() -> Vec<String> {
    let statuses = [
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
    for (id, status) in (100..).zip(statuses) {
        let measurements = format!(r#","Latency":9.5,"SeenUse":86,"Actual":3{LOAD_REPORT}"#);
        let health =
            format!(r#","Worker":"worker.a","Latency":1.5,"Ending":"{status}"{LOAD_REPORT}"#);
        frames.push(request(0, id));
        frames.push(attempt_finished(id, status, &measurements));
        frames.push(frame("StatusBack", 0, &health));
    }
    frames
}

#[test]
fn every_kind_of_frame_is_accepted() {
    let mut frames = start_with_endpoint(0);
    frames.extend(["diff", "snapshot", "disk", "error"].map(|form| endpoints_changed(0, form)));
    frames.extend(frames_with_every_status());
    let other_frames = [
        // A failed discovery call refers to no endpoint list.
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
        // Stopping an instance that is not running is permitted.
        ("Retire", ""),
    ];
    frames.extend(other_frames.map(|(kind, keys)| frame(kind, 0, keys)));
    let run = run_adapter(&batch(1, frames));
    assert!(run.success && run.errors.is_empty(), "{}", run.errors);
    assert_eq!(run.output.lines().last(), Some(r#"{"kind":"Ok","n":1}"#));
}

#[test]
fn the_end_of_input_between_batches_is_a_success() {
    let run = run_adapter(&[]);
    assert!(run.success && run.output.is_empty() && run.errors.is_empty());
}
