//! Checks the dependencies between the modules of the library.

use crate::imports::referenced_modules;
use crate::sources::sources;
use std::collections::BTreeSet;

/// The layers from the lowest to the highest, one per line, each followed by the layers that it may use. A
/// module belongs to the layer with the longest matching path. `crate` stands for the items that the crate
/// root exports.
const LAYERS: &str = include_str!("layers.txt");

struct Layer {
    name: &'static str,
    /// Names of the layers that this layer may use.
    allowed: BTreeSet<&'static str>,
}

fn layers() -> Vec<Layer> {
    let lines = LAYERS.lines().filter(|line| !line.is_empty());
    lines
        .map(|line| {
            let mut words = line.split_whitespace();
            Layer {
                name: words
                    .next()
                    .expect("a line begins with the name of its layer"),
                allowed: words.collect(),
            }
        })
        .collect()
}

fn layer_of<'a>(module: &[String], layers: &'a [Layer]) -> &'a Layer {
    let path = if module.is_empty() {
        "crate".to_string()
    } else {
        module.join("::")
    };
    let contains = |layer: &&Layer| {
        path.strip_prefix(layer.name)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
    };
    layers
        .iter()
        .filter(contains)
        .max_by_key(|layer| layer.name.len())
        .unwrap_or_else(|| panic!("tests/architecture/layers.txt has no layer for {path}"))
}

#[test]
fn layers_are_only_allowed_to_use_lower_layers() {
    let mut lower = BTreeSet::new();
    for layer in layers() {
        for used in &layer.allowed {
            assert!(
                lower.contains(used),
                "{} may use {used}, which is not a lower layer",
                layer.name
            );
        }
        assert!(lower.insert(layer.name), "{} is listed twice", layer.name);
    }
}

#[test]
fn modules_use_only_the_layers_that_their_layer_is_allowed_to_use() {
    let layers = layers();
    let mut unused: BTreeSet<(&str, &str)> = BTreeSet::new();
    for layer in &layers {
        unused.extend(layer.allowed.iter().map(|used| (layer.name, *used)));
    }
    for source in sources() {
        let Some(module) = source.module().filter(|module| !module.is_empty()) else {
            continue;
        };
        let layer = layer_of(&module, &layers);
        for referenced in referenced_modules(&source) {
            let used = layer_of(&referenced, &layers);
            assert!(
                used.name == layer.name || layer.allowed.contains(used.name),
                "{} is in the layer {}, which is not allowed to use {}",
                source.path,
                layer.name,
                referenced.join("::")
            );
            unused.remove(&(layer.name, used.name));
        }
    }
    assert!(
        unused.is_empty(),
        "tests/architecture/layers.txt allows dependencies that no module has: {unused:?}"
    );
}
