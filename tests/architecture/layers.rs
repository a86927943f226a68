//! Which module of the library may use which.

use crate::imports::referenced_modules;
use crate::sources::sources;
use std::collections::BTreeSet;

/// The layers from the lowest to the highest, each with the layers that it may use. A module belongs to the layer with
/// the longest matching path. `crate` stands for what the root of the crate exports.
const LAYERS: &str = include_str!("layers.txt");

struct Layer {
    name: &'static str,
    uses: BTreeSet<&'static str>,
}

fn layers() -> Vec<Layer> {
    let lines = LAYERS.lines().filter(|line| !line.is_empty());
    lines
        .map(|line| {
            let mut words = line.split_whitespace();
            Layer {
                name: words.next().expect("a line begins with its layer"),
                uses: words.collect(),
            }
        })
        .collect()
}

/// The layer of a module.
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
fn layers_use_only_lower_layers() {
    let mut lower = BTreeSet::new();
    for layer in layers() {
        for used in &layer.uses {
            assert!(
                lower.contains(used),
                "{} uses {used}, which is not below it",
                layer.name
            );
        }
        assert!(lower.insert(layer.name), "{} stands twice", layer.name);
    }
}

#[test]
fn modules_use_only_what_their_layer_may_use() {
    let layers = layers();
    let mut unused: BTreeSet<(&str, &str)> = BTreeSet::new();
    for layer in &layers {
        unused.extend(layer.uses.iter().map(|used| (layer.name, *used)));
    }
    for source in sources() {
        let Some(module) = source.module().filter(|module| !module.is_empty()) else {
            continue;
        };
        let layer = layer_of(&module, &layers);
        for referenced in referenced_modules(&source) {
            let used = layer_of(&referenced, &layers);
            assert!(
                used.name == layer.name || layer.uses.contains(used.name),
                "{} is in the layer {} and uses {}, which it may not",
                source.path,
                layer.name,
                referenced.join("::")
            );
            unused.remove(&(layer.name, used.name));
        }
    }
    assert!(
        unused.is_empty(),
        "nothing needs these permissions: {unused:?}"
    );
}
