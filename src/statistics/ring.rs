//! Weighted random order of items, some of them preferred by their position on a ring.

use rand::Rng;

/// An arc of a ring whose whole length is 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RingArc {
    /// Where it starts, from 0 to 1.
    pub start: f64,
    /// Its length, from 0 to 1.
    pub length: f64,
}

/// The golden ratio less 1. The fractional parts of any range of its consecutive multiples are spread evenly over the
/// ring.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// An item, and what its position in the order depends on.
struct OrderedItem<T> {
    is_off_arc: bool,
    key: f64,
    item: T,
}

impl RingArc {
    /// The arc of this number among arcs of this length. The starts of any range of consecutive
    /// numbers are spread evenly over the ring.
    #[must_use]
    pub fn evenly_spaced(number: u32, length: f64) -> Self {
        RingArc {
            start: (f64::from(number) * GOLDEN_RATIO).fract(),
            length,
        }
    }

    /// The length that the segment `from..to` and the arc have in common. The arc may pass the end of
    /// the ring.
    #[must_use]
    pub fn overlap(&self, from: f64, to: f64) -> f64 {
        if self.length >= 1.0 {
            return to - from;
        }
        let end = self.start + self.length;
        let overlap_in_turn =
            |shift: f64| (to.min(end - shift) - from.max(self.start - shift)).max(0.0);
        overlap_in_turn(0.0) + overlap_in_turn(1.0)
    }

    /// Puts items with positive weights into a weighted random order, those on the arc before all
    /// others.
    ///
    /// The items form the ring in the given order, each as long as its weight. The weight of an item
    /// that overlaps the arc is the length of the overlap. One random number is used for each
    /// item, in the given order.
    pub fn weighted_random_order<T: Copy>(&self, items: &[(T, f64)], rng: &mut impl Rng) -> Vec<T> {
        let total_weight = items.iter().fold(0.0, |sum, (_, weight)| sum + weight);
        let mut position = 0.0;
        let mut order: Vec<OrderedItem<T>> = Vec::with_capacity(items.len());
        for (item, weight) in items {
            let from = position / total_weight;
            let to = (position + weight) / total_weight;
            position += weight;
            let overlap = self.overlap(from, to);
            let weight = if overlap > 0.0 { overlap } else { to - from };
            order.push(OrderedItem {
                is_off_arc: overlap <= 0.0,
                key: weighted_random_key(weight, rng),
                item: *item,
            });
        }
        order.sort_by(|one, other| {
            let by_arc = one.is_off_arc.cmp(&other.is_off_arc);
            by_arc.then(one.key.total_cmp(&other.key))
        });
        order.into_iter().map(|ordered| ordered.item).collect()
    }
}

/// A random sort key for an item of this weight: an exponential random number of the rate `weight`.
///
/// Sorted by such keys, each item comes first with a probability in proportion to its weight, and
/// so on among the rest.
fn weighted_random_key(weight: f64, rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / weight
}
