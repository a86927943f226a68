//! Weighted random order of endpoints, those of a subset first.
//!
//! All ready endpoints form a ring in the order of their names, each as long as its weight; a subset is an arc of it.

use super::records::EndpointRecord;
use crate::events::{EndpointName, EndpointState};
use rand::Rng;
use std::collections::BTreeMap;

/// An endpoint as a candidate for an attempt.
pub(crate) type Candidate<'a> = (&'a EndpointName, &'a EndpointRecord);

/// An arc of the ring, whose whole length is 1.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RingArc {
    pub start: f64,
    pub length: f64,
}

impl RingArc {
    /// The length of the part of a segment that lies on the arc, which may pass the end of the ring.
    fn overlap(&self, from: f64, to: f64) -> f64 {
        if self.length >= 1.0 {
            return to - from;
        }
        let end = self.start + self.length;
        let in_round = |shift: f64| (to.min(end - shift) - from.max(self.start - shift)).max(0.0);
        in_round(0.0) + in_round(1.0)
    }
}

/// The number of ready endpoints.
pub(super) fn ready_count(endpoints: &BTreeMap<EndpointName, EndpointRecord>) -> f64 {
    ready(endpoints).fold(0.0, |count, _| count + 1.0)
}

fn ready(
    endpoints: &BTreeMap<EndpointName, EndpointRecord>,
) -> impl Iterator<Item = Candidate<'_>> {
    endpoints
        .iter()
        .filter(|(_, endpoint)| endpoint.state == EndpointState::Ready)
}

/// The ready endpoints in a random order by weight, those on the arc before all others.
///
/// An exponential random number divided by the weight is the key of each endpoint: sorted by it, each stands first
/// with a probability in proportion to its weight.
pub(super) fn weighted_random_order<'a>(
    endpoints: &'a BTreeMap<EndpointName, EndpointRecord>,
    arc: RingArc,
    rng: &mut impl Rng,
) -> Vec<Candidate<'a>> {
    let total_weight = ready(endpoints).fold(0.0, |sum, (_, endpoint)| sum + endpoint.weight);
    let mut position = 0.0;
    let mut keyed: Vec<(bool, f64, Candidate)> = Vec::new();
    for (name, endpoint) in ready(endpoints) {
        let from = position / total_weight;
        let to = (position + endpoint.weight) / total_weight;
        position += endpoint.weight;
        let overlap = arc.overlap(from, to);
        let is_outside = overlap <= 0.0;
        let weight = if is_outside { to - from } else { overlap };
        let key = -(1.0 - rng.random::<f64>()).ln() / weight;
        keyed.push((is_outside, key, (name, endpoint)));
    }
    keyed.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    let candidates = keyed.into_iter().map(|(_, _, candidate)| candidate);
    candidates.collect()
}
