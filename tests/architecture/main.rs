//! Architecture checks on the text of the sources: the list of decision files, the dependencies between
//! modules, the independence of the decision engine, and the files in which names of the wire formats may
//! occur.

mod imports;
mod layers;
mod sources;

use sources::{read, root, sources};
use std::collections::BTreeSet;

/// The files and folders that translate a wire format. Only they may contain names of the wire formats.
const WIRE_FORMAT_FILES: [&str; 7] = [
    "src/settings/document/",
    "src/bin/marlshelf-simulator-adapter/",
    "src/gateway/clients/schema.rs",
    "src/gateway/clients/fields.rs",
    "src/gateway/clients/request.rs",
    "src/gateway/discovery/document.rs",
    "src/gateway/configuration.rs",
];

/// The files and folders of the decision engine and its dependencies in the library.
const ENGINE_FILES: [&str; 8] = [
    "src/decisions/",
    "src/statistics/",
    "src/engine.rs",
    "src/events.rs",
    "src/settings/mod.rs",
    "src/settings/validation.rs",
    "src/token_bucket.rs",
    "src/units.rs",
];

/// Text that indicates a dependency of the engine on something other than its events, settings and seed.
const FORBIDDEN_IN_ENGINE: [&str; 24] = [
    "std::time",
    "Instant",
    "SystemTime",
    "std::fs",
    "std::io",
    "std::net",
    "std::thread",
    "std::env",
    "std::process",
    "env!(",
    "println!",
    "eprintln!",
    "dbg!",
    "tokio",
    "socket2",
    "hyper",
    "crate::gateway",
    "rand::rng",
    "rand::random",
    "thread_rng",
    "from_os_rng",
    "OsRng",
    "RandomState",
    "HashMap",
];

/// Names of the simulator protocol, and of the serialization libraries.
const SERIALIZATION_NAMES: [&str; 6] = [
    "Gatekeeper",
    "Deliver",
    "RESOURCE_EXHAUSTED",
    "Lapsed",
    "serde",
    "json",
];

const MAX_FILE_LINES: usize = 300;
const MAX_LINE_LENGTH: usize = 110;

/// Returns the files that the `policy` key of the deploy file lists.
fn policy_files() -> Vec<String> {
    let deploy_file = read(&root().join("deploy/balancer.toml"));
    let (_, list) = deploy_file
        .split_once("policy = [")
        .expect("the deploy file has a policy key");
    let (list, _) = list.split_once(']').expect("the policy list ends");
    list.split(',')
        .map(|path| path.trim().trim_matches('"').to_string())
        .filter(|path| !path.is_empty())
        .collect()
}

/// Returns the string literals that are single words with an upper-case letter, like keys and values of the
/// wire formats.
fn capitalized_literals(text: &str) -> BTreeSet<String> {
    text.split('"')
        .skip(1)
        .step_by(2)
        .filter(|literal| literal.chars().all(|c| c.is_ascii_alphabetic() || c == '_'))
        .filter(|literal| literal.chars().any(|c| c.is_ascii_uppercase()))
        .map(str::to_string)
        .collect()
}

/// Returns the field and value names of wire formats that contain an upper-case letter. They are the
/// arguments of serde's `rename`.
fn wire_names(text: &str) -> BTreeSet<String> {
    let renames = text.split("rename = ").skip(1);
    renames
        .filter_map(|rest| rest.split('"').nth(1))
        .filter(|word| word.chars().any(|c| c.is_ascii_uppercase()))
        .map(str::to_string)
        .collect()
}

#[test]
fn policy_lists_exactly_the_decision_files() {
    let listed = policy_files();
    let distinct: BTreeSet<String> = listed.iter().cloned().collect();
    assert_eq!(
        distinct.len(),
        listed.len(),
        "`policy` lists a file twice: {listed:?}"
    );
    let present: BTreeSet<String> = sources()
        .into_iter()
        .map(|source| source.path)
        .filter(|path| path.starts_with("src/decisions/"))
        .collect();
    assert_eq!(
        distinct, present,
        "expected `policy` of deploy/balancer.toml to list the files of src/decisions"
    );
    let first = read(&root().join(&listed[0]));
    assert!(
        first
            .lines()
            .take(8)
            .any(|line| line.contains("src/events.rs")),
        "expected the first lines of {} to name the file of the interface, src/events.rs",
        listed[0]
    );
}

#[test]
fn decision_files_are_within_the_limits_on_lines_and_line_length() {
    for source in sources() {
        if !source.is_in(&["src/decisions/"]) {
            continue;
        }
        let lines = source.text.lines().count();
        assert!(
            lines <= MAX_FILE_LINES,
            "{}: {lines} lines exceed the maximum of {MAX_FILE_LINES}",
            source.path
        );
        for (index, line) in source.text.lines().enumerate() {
            let length = line.chars().count();
            assert!(
                length <= MAX_LINE_LENGTH,
                "{}:{}: {length} characters exceed the maximum of {MAX_LINE_LENGTH}",
                source.path,
                index + 1
            );
        }
    }
}

#[test]
fn engine_depends_only_on_events_settings_and_seed() {
    for source in sources() {
        if !source.is_in(&ENGINE_FILES) {
            continue;
        }
        for word in FORBIDDEN_IN_ENGINE.iter().chain(&SERIALIZATION_NAMES) {
            assert!(
                !source.text.contains(word),
                "{} contains `{word}`, which the decision engine must not use",
                source.path
            );
        }
    }
}

#[test]
fn names_of_wire_formats_occur_only_in_wire_format_files() {
    let sources = sources();
    let wire_names: BTreeSet<String> = sources
        .iter()
        .filter(|source| source.is_in(&WIRE_FORMAT_FILES))
        .flat_map(|source| wire_names(&source.text))
        .collect();
    assert!(
        wire_names.len() > 50,
        "expected more than 50 names in the wire format files, got {}: check WIRE_FORMAT_FILES",
        wire_names.len()
    );
    for source in &sources {
        if source.is_in(&WIRE_FORMAT_FILES) {
            continue;
        }
        let literals = capitalized_literals(&source.text);
        let leaked: Vec<&String> = literals.intersection(&wire_names).collect();
        assert!(
            leaked.is_empty(),
            "{} contains names of wire formats: {leaked:?}",
            source.path
        );
    }
}

/// Times and durations are plain numbers only in wire formats. All other code uses typed values.
#[test]
fn milliseconds_are_plain_numbers_only_in_wire_format_files() {
    for source in sources() {
        if source.is_in(&WIRE_FORMAT_FILES) {
            continue;
        }
        for (index, line) in source.text.lines().enumerate() {
            let is_plain_number = [
                "_ms: f64",
                "_ms: Option<f64>",
                "_ms: u64",
                "_MS: f64",
                "_MS: u64",
            ]
            .iter()
            .any(|declaration| line.contains(declaration));
            assert!(
                !is_plain_number,
                "{}:{}: expected a typed duration or time, got {}",
                source.path,
                index + 1,
                line.trim()
            );
        }
    }
}
