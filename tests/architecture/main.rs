//! The architecture of the sources, checked on their text: which files hold decisions, which module may use which,
//! what the decision engine must not touch, and where the words of the wire may stand.

mod imports;
mod layers;
mod sources;

use sources::{read, root, sources};
use std::collections::BTreeSet;

/// The files that may hold words of the wire: each translates one of its formats.
const WIRE_EDGES: [&str; 7] = [
    "src/settings/document/",
    "src/bin/marlshelf-simulator-adapter/",
    "src/gateway/clients/schema.rs",
    "src/gateway/clients/fields.rs",
    "src/gateway/clients/request.rs",
    "src/gateway/discovery/document.rs",
    "src/gateway/configuration.rs",
];

/// The modules of the decision engine and all that they use.
const ENGINE: [&str; 8] = [
    "src/decisions/",
    "src/statistics/",
    "src/engine.rs",
    "src/events.rs",
    "src/settings/mod.rs",
    "src/settings/validation.rs",
    "src/token_bucket.rs",
    "src/units.rs",
];

/// What would make the engine depend on more than its events, its settings and its seed.
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

/// Words of the simulator's wire and of its serialization.
const SERIALIZATION_WORDS: [&str; 6] = [
    "Gatekeeper",
    "Deliver",
    "RESOURCE_EXHAUSTED",
    "Lapsed",
    "serde",
    "json",
];

const MAX_FILE_LINES: usize = 300;
const MAX_LINE_LENGTH: usize = 110;

/// The files that the `policy` key of the deploy file lists.
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

/// String literals of a text that are single words with an upper-case letter, as the keys and values of the wire are.
fn capitalized_literals(text: &str) -> BTreeSet<String> {
    text.split('"')
        .skip(1)
        .step_by(2)
        .filter(|literal| literal.chars().all(|c| c.is_ascii_alphabetic() || c == '_'))
        .filter(|literal| literal.chars().any(|c| c.is_ascii_uppercase()))
        .map(str::to_string)
        .collect()
}

/// The names that the serialized formats give to fields and values: the arguments of serde's `rename`.
fn renamed_words(text: &str) -> BTreeSet<String> {
    let renames = text.split("rename = ").skip(1);
    renames
        .filter_map(|rest| rest.split('"').nth(1))
        .filter(|word| word.chars().any(|c| c.is_ascii_uppercase()))
        .map(str::to_string)
        .collect()
}

#[test]
fn policy_names_exactly_the_files_of_the_decisions() {
    let listed = policy_files();
    let distinct: BTreeSet<String> = listed.iter().cloned().collect();
    assert_eq!(
        distinct.len(),
        listed.len(),
        "`policy` names a file twice: {listed:?}"
    );
    let present: BTreeSet<String> = sources()
        .into_iter()
        .map(|source| source.path)
        .filter(|path| path.starts_with("src/decisions/"))
        .collect();
    assert_eq!(
        distinct, present,
        "`policy` of deploy/balancer.toml lists the files of src/decisions"
    );
    let first = read(&root().join(&listed[0]));
    assert!(
        first
            .lines()
            .take(8)
            .any(|line| line.contains("src/events.rs")),
        "the head of {} names the file of the interface",
        listed[0]
    );
}

#[test]
fn decision_files_fit_a_reader() {
    for source in sources() {
        if !source.is_in(&["src/decisions/"]) {
            continue;
        }
        let lines = source.text.lines().count();
        assert!(
            lines <= MAX_FILE_LINES,
            "{}: {lines} lines, more than {MAX_FILE_LINES}",
            source.path
        );
        for (index, line) in source.text.lines().enumerate() {
            let length = line.chars().count();
            assert!(
                length <= MAX_LINE_LENGTH,
                "{}:{}: {length} characters, more than {MAX_LINE_LENGTH}",
                source.path,
                index + 1
            );
        }
    }
}

#[test]
fn engine_depends_on_nothing_but_events_settings_and_seed() {
    for source in sources() {
        if !source.is_in(&ENGINE) {
            continue;
        }
        for word in FORBIDDEN_IN_ENGINE.iter().chain(&SERIALIZATION_WORDS) {
            assert!(
                !source.text.contains(word),
                "{} holds `{word}`, which the decision engine must not use",
                source.path
            );
        }
    }
}

#[test]
fn wire_words_stay_at_the_edges() {
    let sources = sources();
    let wire_words: BTreeSet<String> = sources
        .iter()
        .filter(|source| source.is_in(&WIRE_EDGES))
        .flat_map(|source| renamed_words(&source.text))
        .collect();
    assert!(
        wire_words.len() > 50,
        "only {} renamed words: are the edges where they were?",
        wire_words.len()
    );
    for source in &sources {
        if source.is_in(&WIRE_EDGES) {
            continue;
        }
        let literals = capitalized_literals(&source.text);
        let leaked: Vec<&String> = literals.intersection(&wire_words).collect();
        assert!(
            leaked.is_empty(),
            "{} holds words of the wire: {leaked:?}",
            source.path
        );
    }
}

/// Times and durations are bare numbers only where the wire has them; elsewhere they are typed.
#[test]
fn milliseconds_are_bare_numbers_only_at_the_edges() {
    for source in sources() {
        if source.is_in(&WIRE_EDGES) {
            continue;
        }
        for (index, line) in source.text.lines().enumerate() {
            let is_bare = [
                "_ms: f64",
                "_ms: Option<f64>",
                "_ms: u64",
                "_MS: f64",
                "_MS: u64",
            ]
            .iter()
            .any(|bare| line.contains(bare));
            assert!(!is_bare, "{}:{}: {}", source.path, index + 1, line.trim());
        }
    }
}
