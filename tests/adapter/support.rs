//! Helpers to run the adapter and to build its input frames.

use std::io::Write;
use std::process::{Command, Stdio};

/// Settings of a fleet of one gateway, with an unknown key.
pub const SETTINGS: &str = r#"{"Balancers":1,"Me":0,"Classes":[{"Name":"r","Target":500.0,"Deadline":1000.0,"Effect":"repeatable","Worth":1.0}],"Plans":[{"Name":"p","UnitsPerS":10.0,"PeakUnits":20.0,"ValueFactor":1.0}],"Later":{"unknown":[1]}}"#;

/// The exit status and the output of an adapter process.
pub struct Run {
    /// Whether the exit status is 0.
    pub success: bool,
    /// The text on standard output.
    pub output: String,
    /// The text on standard error.
    pub errors: String,
}

/// Runs the adapter with these input lines until it exits.
pub fn run_adapter(lines: &[String]) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_marlshelf-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("standard input is piped");
    // The write fails if an error ends the adapter before it has read all lines.
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

/// Returns the frame that begins a batch, whose time is 100 ms times its number.
pub fn begin_batch(number: u64) -> String {
    format!(
        r#"{{"kind":"BeginBatch","Clock":{}.0,"n":{number}}}"#,
        100 * number
    )
}

pub fn end_batch() -> String {
    r#"{"kind":"Eob"}"#.into()
}

/// Returns the lines of a batch with these frames.
pub fn batch(number: u64, frames: impl IntoIterator<Item = String>) -> Vec<String> {
    let mut lines = vec![begin_batch(number)];
    lines.extend(frames);
    lines.push(end_batch());
    lines
}

/// Returns the frame that defines endpoint list 0 with one endpoint.
pub fn endpoint_list() -> String {
    r#"{"kind":"Directory","Sheet":0,"Records":[{"Worker":"worker.a","Share":1,"RegionPart":0,"Pod":0,"FamilyType":0,"Health":"up"}]}"#.into()
}

/// Returns the frame that starts an instance with these settings.
pub fn start_instance(instance: u32, settings: &str) -> String {
    format!(
        r#"{{"kind":"Hello","GatekeeperId":"gatekeeper_{instance}","Prng":7,"Conf":{settings}}}"#
    )
}

/// Returns the frame with a discovery response that refers to endpoint list 0.
pub fn endpoints_changed(instance: u32, form: &str) -> String {
    format!(
        r#"{{"kind":"DirectoryUpdate","GatekeeperId":"gatekeeper_{instance}","Form":"{form}","Version":1,"Sheet":0}}"#
    )
}

/// Returns the frames that start an instance with one endpoint.
pub fn start_with_endpoint(instance: u32) -> Vec<String> {
    vec![
        endpoint_list(),
        start_instance(instance, SETTINGS),
        endpoints_changed(instance, "disk"),
    ]
}

/// Returns the frame of a new request that costs one token.
pub fn request(instance: u32, id: u64) -> String {
    format!(
        r#"{{"kind":"Incoming","GatekeeperId":"gatekeeper_{instance}","RequestId":{id},"First":0,"GiveUpAt":2000.0,"Weight":1,"Band":0,"ClientId":"key:x","StateBits":0,"Tier":0,"Doors":1,"Novel":true}}"#
    )
}

/// Returns the frame of a finished attempt of instance 0.
pub fn attempt_finished(id: u64, status: &str, extra_keys: &str) -> String {
    format!(
        r#"{{"kind":"Done","GatekeeperId":"gatekeeper_0","RequestId":{id},"Trial":0,"Worker":"worker.a","Ending":"{status}"{extra_keys}}}"#
    )
}

/// Returns a frame of this kind for an instance, with extra keys.
pub fn frame(kind: &str, instance: u32, extra_keys: &str) -> String {
    format!(r#"{{"kind":"{kind}","GatekeeperId":"gatekeeper_{instance}"{extra_keys}}}"#)
}
