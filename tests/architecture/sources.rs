//! Reads the source files for the checks.

use std::fs;
use std::path::{Path, PathBuf};

pub struct Source {
    /// Path relative to the root of the repository.
    pub path: String,
    pub text: String,
}

impl Source {
    /// Returns whether the file is one of `paths`, or in a folder of `paths`.
    pub fn is_in(&self, paths: &[&str]) -> bool {
        paths.iter().any(|path| self.path.starts_with(path))
    }

    /// Returns the module path in the library without `crate`, or `None` for a file of a program.
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

/// Returns all Rust files below `src`, sorted by path.
pub fn sources() -> Vec<Source> {
    let mut folders = vec![root().join("src")];
    let mut sources = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("the folder can be listed") {
            let path = entry.expect("the entry can be read").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let relative = path
                    .strip_prefix(root())
                    .expect("the path is below the repository root");
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
