//! The pages, checked against the tree: each path and each name of the code that a page puts in backticks exists, and the
//! table of log events is complete.

use std::collections::{BTreeSet, HashSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Words that pages put in backticks and no source file contains: words of the users' pages that the gateway or the
/// adapter does not read, and names that a page gives as examples. Each stands here with its reason.
const FOREIGN_WORDS: [&str; 0] = [];
/// Paths that pages name and the tree need not have.
const FOREIGN_PATHS: [&str; 1] = [
    // Exists while a test is known to fail.
    "KNOWN-RED.txt",
];
/// Where the build puts the programs of `src/bin`.
const PROGRAM_FOLDER: &str = "target/release/";
const FILE_EXTENSIONS: [&str; 5] = [".rs", ".md", ".toml", ".json", ".txt"];
/// Folders that hold no sources.
const SKIPPED_FOLDERS: [&str; 4] = ["target", ".git", "journal", "logs"];
/// This file names what pages may name without its being in the tree.
const THIS_FILE: &str = "tests/documentation.rs";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// The files and folders of the repository, with paths from its root.
fn tree() -> Vec<String> {
    let mut paths = Vec::new();
    let mut folders = vec![root()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("the folder can be listed") {
            let path = entry.expect("the entry can be read").path();
            let relative = path.strip_prefix(root()).expect("a path below the root");
            let relative = relative.display().to_string();
            if path.is_dir() && !SKIPPED_FOLDERS.contains(&relative.as_str()) {
                folders.push(path);
            }
            paths.push(relative);
        }
    }
    paths
}

/// The pages that the checks are about.
fn pages() -> Vec<String> {
    let mut pages: Vec<String> = tree()
        .into_iter()
        .filter(|path| path.starts_with("docs/") && has_extension(path, "md"))
        .collect();
    pages.extend(["README.md".into(), "CONTRIBUTING.md".into()]);
    pages.sort();
    pages
}

fn has_extension(path: &str, extension: &str) -> bool {
    Path::new(path)
        .extension()
        .is_some_and(|found| found == extension)
}

/// A piece of a page in backticks.
struct CodeSpan {
    /// The page and the line.
    place: String,
    text: String,
}

/// The code spans of a page. Fenced blocks hold commands and output, and are no code spans.
fn code_spans(page: &str) -> Vec<CodeSpan> {
    let text = read(page);
    let mut is_fenced = false;
    let mut spans = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let place = format!("{page}:{}", index + 1);
        if line.starts_with("```") {
            is_fenced = !is_fenced;
            continue;
        }
        if is_fenced {
            continue;
        }
        let pieces: Vec<&str> = line.split('`').collect();
        assert!(
            pieces.len() % 2 == 1,
            "{place}: expected each code span to end in its line"
        );
        spans.extend(pieces.iter().skip(1).step_by(2).map(|piece| CodeSpan {
            place: place.clone(),
            text: (*piece).to_string(),
        }));
    }
    spans
}

fn is_identifier_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '_'
}

/// Whether a code span is a path of the repository, from its root or from some folder in it.
fn looks_like_path(text: &str) -> bool {
    let has_path_characters = text
        .chars()
        .all(|character| is_identifier_character(character) || "./-*".contains(character));
    let is_file = FILE_EXTENSIONS
        .iter()
        .any(|extension| text.ends_with(extension));
    has_path_characters && !text.starts_with('/') && (text.contains('/') || is_file)
}

/// Whether the tree has this path, counted from its root or from some folder in it. A star stands for any characters.
fn tree_has(tree: &[String], path: &str) -> bool {
    let path = path.trim_end_matches('/');
    let program = path.strip_prefix(PROGRAM_FOLDER);
    let path = program.map_or(path.to_string(), |name| format!("src/bin/{name}"));
    let (start, end) = path.split_once('*').unwrap_or((&path, ""));
    tree.iter().any(|candidate| {
        let suffixes = candidate
            .match_indices('/')
            .map(|(position, _)| &candidate[position + 1..])
            .chain([candidate.as_str()]);
        suffixes.into_iter().any(|suffix| {
            if path.contains('*') {
                suffix.starts_with(start) && suffix.ends_with(end)
            } else {
                suffix == path
            }
        })
    })
}

/// The words of a code span that is a name of the code or a key of the settings, such as `EndpointPool::is_usable`,
/// `MAX_PIPELINED` or `Rules.DrainGrace`. A word in small letters alone is not told from plain text.
fn name_words(text: &str) -> Option<Vec<&str>> {
    let has_name_characters = text
        .chars()
        .all(|character| is_identifier_character(character) || ":.[]()".contains(character));
    let is_name = text.contains("::")
        || text.contains('_')
        || text.chars().any(|character| character.is_ascii_uppercase());
    if !has_name_characters || !is_name || text.starts_with(|first: char| first.is_ascii_digit()) {
        return None;
    }
    let words = text.split(|character| !is_identifier_character(character));
    Some(words.filter(|word| !word.is_empty()).collect())
}

/// The words of each source file.
fn words_by_file(tree: &[String]) -> Vec<HashSet<String>> {
    tree.iter()
        .filter(|path| has_extension(path, "rs") || has_extension(path, "toml"))
        .filter(|path| path.as_str() != THIS_FILE)
        .map(|path| {
            let text = read(path);
            text.split(|character| !is_identifier_character(character))
                .filter(|word| !word.is_empty())
                .map(str::to_string)
                .collect()
        })
        .collect()
}

#[test]
fn paths_that_pages_name_exist() {
    let tree = tree();
    let missing: Vec<String> = pages()
        .iter()
        .flat_map(|page| code_spans(page))
        .filter(|span| looks_like_path(&span.text))
        .filter(|span| !FOREIGN_PATHS.contains(&span.text.as_str()))
        .filter(|span| !tree_has(&tree, &span.text))
        .map(|span| format!("{}: {}", span.place, span.text))
        .collect();
    assert!(
        missing.is_empty(),
        "pages name paths that the tree does not have:\n{}",
        missing.join("\n")
    );
}

#[test]
fn names_that_pages_put_in_backticks_exist_in_the_sources() {
    let files = words_by_file(&tree());
    let is_known = |words: &[&str]| {
        files
            .iter()
            .any(|file| words.iter().all(|word| file.contains(*word)))
    };
    let missing: Vec<String> = pages()
        .iter()
        .flat_map(|page| code_spans(page))
        .filter(|span| !looks_like_path(&span.text))
        .filter(|span| !FOREIGN_WORDS.contains(&span.text.as_str()))
        .filter(|span| name_words(&span.text).is_some_and(|words| !is_known(&words)))
        .map(|span| format!("{}: {}", span.place, span.text))
        .collect();
    assert!(
        missing.is_empty(),
        "pages name what no source file contains:\n{}",
        missing.join("\n")
    );
}

#[test]
fn links_between_pages_lead_to_files() {
    for page in pages() {
        let folder = root().join(&page);
        let folder = folder.parent().expect("a page stands in a folder");
        for target in read(&page)
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next())
        {
            let file = target.split('#').next().unwrap_or(target);
            assert!(
                folder.join(file).exists(),
                "{page}: expected the link to lead to a file: {target}"
            );
        }
    }
}

/// The names that `Event::name` gives the events of the log.
fn logged_events() -> BTreeSet<String> {
    let source = read("src/gateway/log.rs");
    let (_, body) = source
        .split_once("fn name(&self)")
        .expect("the events of the log have names");
    let (body, _) = body.split_once("\n    }\n").expect("the function ends");
    body.lines()
        .filter_map(|line| line.split_once("=> \""))
        .filter_map(|(_, rest)| rest.split('"').next())
        .map(str::to_string)
        .collect()
}

/// The names in the first column of the table of log events.
fn documented_events() -> BTreeSet<String> {
    let page = read("docs/OPERATIONS.md");
    let (_, section) = page
        .split_once("\n## Log events\n")
        .expect("the page has the section");
    let section = section.split("\n## ").next().unwrap_or(section);
    section
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|rest| rest.split('`').next())
        .map(str::to_string)
        .collect()
}

#[test]
fn every_log_event_is_documented_and_no_other() {
    let logged = logged_events();
    assert!(!logged.is_empty(), "expected to find the names of events");
    assert_eq!(
        documented_events(),
        logged,
        "expected docs/OPERATIONS.md to list the events of the log, no more and no fewer"
    );
}
