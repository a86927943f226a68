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

/// The golden ratio less 1, whose multiples are spread evenly over the ring: any range of
/// consecutive ones.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

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
        let mut keyed: Vec<(bool, f64, T)> = Vec::with_capacity(items.len());
        for (item, weight) in items {
            let from = position / total_weight;
            let to = (position + weight) / total_weight;
            position += weight;
            let overlap = self.overlap(from, to);
            let weight = if overlap > 0.0 { overlap } else { to - from };
            keyed.push((overlap <= 0.0, weighted_random_key(weight, rng), *item));
        }
        keyed.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        keyed.into_iter().map(|(_, _, item)| item).collect()
    }
}

/// A random sort key for an item of this weight: an exponential random number of the rate `weight`.
///
/// Sorted by such keys, each item comes first with a probability in proportion to its weight, and
/// so on among the rest.
fn weighted_random_key(weight: f64, rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / weight
}
