//! The source files that the checks read.

use std::fs;
use std::path::{Path, PathBuf};

/// A source file: its path from the root of the repository, and its text.
pub struct Source {
    pub path: String,
    pub text: String,
}

impl Source {
    pub fn is_in(&self, places: &[&str]) -> bool {
        places.iter().any(|place| self.path.starts_with(place))
    }

    /// The path of the module in the library, without `crate`; `None` for a program.
    pub fn module(&self) -> Option<Vec<String>> {
        let path = self.path.strip_prefix("src/")?.strip_suffix(".rs")?;
        let mut segments: Vec<String> = path.split('/').map(str::to_string).collect();
        if segments[0] == "bin" {
            return None;
        }
        if ["mod", "lib"].contains(&segments[segments.len() - 1].as_str()) {
            segments.pop();
        }
        Some(segments)
    }
}

pub fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

pub fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// All Rust files below `src`, sorted by path.
pub fn sources() -> Vec<Source> {
    let mut folders = vec![root().join("src")];
    let mut sources = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("the folder can be listed") {
            let path = entry.expect("the entry can be read").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let relative = path.strip_prefix(root()).expect("a path below the root");
                sources.push(Source {
                    path: relative.display().to_string(),
                    text: read(&path),
                });
            }
        }
    }
    sources.sort_by(|one, other| one.path.cmp(&other.path));
    sources
}
