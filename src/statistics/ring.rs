//! A weighted random order of items that prefers those on an arc of a ring.

use rand::Rng;

/// An arc of a ring of circumference 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RingArc {
    /// The start of the arc, from 0 to 1.
    pub start: f64,
    /// The length of the arc, from 0 to 1.
    pub length: f64,
}

/// The golden ratio minus 1. The fractional parts of its consecutive multiples are spread evenly over the
/// ring, for any range of multiples.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_894_9;

/// An item with its sort keys.
struct OrderedItem<T> {
    is_off_arc: bool,
    key: f64,
    item: T,
}

impl RingArc {
    /// Returns the arc with this number in a sequence of arcs of this length. The starts of consecutive arcs
    /// are spread evenly over the ring, for any range of numbers.
    #[must_use]
    pub fn evenly_spaced(number: u32, length: f64) -> Self {
        RingArc {
            start: (f64::from(number) * GOLDEN_RATIO_CONJUGATE).fract(),
            length,
        }
    }

    /// Returns the length of the overlap of this arc with the segment `from..to`. The arc may wrap around the
    /// end of the ring.
    #[must_use]
    pub fn overlap(&self, from: f64, to: f64) -> f64 {
        if self.length >= 1.0 {
            return to - from;
        }
        let end = self.start + self.length;
        let overlap_shifted_by =
            |shift: f64| (to.min(end - shift) - from.max(self.start - shift)).max(0.0);
        overlap_shifted_by(0.0) + overlap_shifted_by(1.0)
    }

    /// Returns items with positive weights in a weighted random order, with all items on the arc before the
    /// others.
    ///
    /// The items form the ring in the given order, each with a length proportional to its weight. For an item
    /// on the arc, the length of the overlap replaces the weight. One random number is drawn for each item,
    /// in the given order.
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

/// Returns a random sort key for an item: an exponentially distributed number of rate `weight`.
///
/// When items are sorted by these keys, the probability of each item to come first is proportional to its
/// weight. The same holds for the order of the remaining items.
fn weighted_random_key(weight: f64, rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / weight
}
