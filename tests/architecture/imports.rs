//! Finds the modules of the library that a source file refers to, from the paths in its text.

use crate::sources::Source;

/// Returns the modules that a library file refers to, as paths without `crate`. For an item in the crate
/// root, such as `crate::Event`, the path is empty. Programs have no module, so the list for them is empty.
pub fn referenced_modules(source: &Source) -> Vec<Vec<String>> {
    let Some(module) = source.module() else {
        return Vec::new();
    };
    let code = without_comments(&source.text);
    paths(&code)
        .iter()
        .filter_map(|path| resolve(path, &module))
        .collect()
}

fn without_comments(text: &str) -> String {
    let code = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"));
    code.collect::<Vec<_>>().join(" ")
}

/// Returns the names in the `mod` declarations of a file.
fn child_modules(code: &str) -> Vec<&str> {
    let declarations = code.split("mod ").skip(1);
    declarations
        .filter_map(|rest| rest.split_once(';'))
        .map(|(name, _)| name)
        .filter(|name| name.chars().all(|c| c.is_alphanumeric() || c == '_'))
        .collect()
}

/// Returns all paths that begin with `crate`, `super` or a child module. Expands the braces of `use`
/// declarations.
fn paths(code: &str) -> Vec<String> {
    let mut paths = Vec::new();
    let starts = ["crate", "super"].into_iter().chain(child_modules(code));
    for start in starts.map(|start| format!("{start}::")) {
        for (position, _) in code.match_indices(&start) {
            let is_path_start = code[..position]
                .chars()
                .next_back()
                .is_none_or(|before| !before.is_alphanumeric() && !"_:$".contains(before));
            if is_path_start {
                expand(&code[position..path_end(code, position)], "", &mut paths);
            }
        }
    }
    paths
}

/// Returns the end of the path that begins at `start`, which is the position of the first character that
/// cannot be part of a path.
fn path_end(code: &str, start: usize) -> usize {
    let mut depth = 0;
    for (offset, character) in code[start..].char_indices() {
        match character {
            '{' if code[..start + offset].ends_with("::") || depth > 0 => depth += 1,
            '}' if depth > 0 => depth -= 1,
            _ if depth > 0 || character.is_alphanumeric() || "_:".contains(character) => {}
            _ => return start + offset,
        }
    }
    code.len()
}

/// Adds the path to `paths`, or all paths that it stands for if it ends with a list in braces.
fn expand(path: &str, prefix: &str, paths: &mut Vec<String>) {
    let Some((head, list)) = path.split_once('{') else {
        let name = path.split(" as ").next().unwrap_or(path).trim();
        paths.push(format!("{prefix}{name}"));
        return;
    };
    let list = list.trim_end().trim_end_matches('}');
    let prefix = format!("{prefix}{}", head.trim());
    let mut depth = 0;
    let elements = list.split(|character| {
        match character {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        character == ',' && depth == 0
    });
    for element in elements.filter(|element| !element.trim().is_empty()) {
        expand(element, &prefix, paths);
    }
}

/// Resolves a path relative to `module`, and drops the item at its end. Segments that start with an
/// upper-case letter are items.
fn resolve(path: &str, module: &[String]) -> Option<Vec<String>> {
    let mut segments = path.split("::").peekable();
    let mut resolved = module.to_vec();
    if segments.next_if_eq(&"crate").is_some() {
        resolved.clear();
    } else {
        while segments.next_if_eq(&"super").is_some() {
            resolved.pop()?;
        }
    }
    let is_module = |segment: &&str| segment.starts_with(|first: char| first.is_ascii_lowercase());
    resolved.extend(segments.take_while(is_module).map(str::to_string));
    Some(resolved)
}
