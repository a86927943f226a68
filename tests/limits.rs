//! Limits on the text of the decision code: its size, its line length, and what it may not mention.

use std::fs;
use std::path::Path;

/// The most non-blank lines that all `policy` files of the deploy file may hold together.
const MAX_POLICY_LINES: usize = 1200;
const MAX_LINE_LENGTH: usize = 110;
/// Words of the simulator's wire, which only the adapter translates.
const WIRE_WORDS: [&str; 6] = [
    "Gatekeeper",
    "Deliver",
    "RESOURCE_EXHAUSTED",
    "Lapsed",
    "serde",
    "json",
];

fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// The files that the `policy` key of the deploy file lists.
fn policy_files() -> Vec<String> {
    let deploy_file = read("deploy/balancer.toml");
    let start = deploy_file
        .find("policy = [")
        .expect("the deploy file has a policy key")
        + 10;
    let list = &deploy_file[start..];
    let list = &list[..list.find(']').expect("the policy list ends")];
    let files: Vec<String> = list
        .split(',')
        .map(|path| path.trim().trim_matches('"').to_string())
        .filter(|path| !path.is_empty())
        .collect();
    assert!(!files.is_empty(), "the policy list names no file");
    files
}

#[test]
fn policy_files_stay_within_the_line_limit() {
    let texts: Vec<(String, String)> = policy_files()
        .into_iter()
        .map(|path| (path.clone(), read(&path)))
        .collect();
    let lines = |text: &str| text.lines().filter(|line| !line.trim().is_empty()).count();
    let total: usize = texts.iter().map(|(_, text)| lines(text)).sum();
    assert!(
        total <= MAX_POLICY_LINES,
        "{total} non-blank lines in the policy files"
    );
    for (path, text) in &texts {
        for (index, line) in text.lines().enumerate() {
            let length = line.chars().count();
            assert!(
                length <= MAX_LINE_LENGTH,
                "{path}:{}: {length} characters",
                index + 1
            );
        }
    }
    let head: Vec<&str> = texts[0].1.lines().take(8).collect();
    assert!(
        head.iter().any(|line| line.contains("src/events.rs")),
        "the head of {} names the file of the interface",
        texts[0].0
    );
}

#[test]
fn wire_words_stay_in_the_adapter() {
    let mut paths = policy_files();
    paths.push("src/events.rs".to_string());
    paths.push("src/settings/mod.rs".to_string());
    for path in paths {
        let text = read(&path);
        for word in WIRE_WORDS {
            assert!(!text.contains(word), "{path} holds {word}");
        }
    }
}
