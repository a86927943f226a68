//! The endpoints known to a gateway, maintained from the endpoint lists of discovery.

use super::endpoint::EndpointRecord;
use crate::events::{Endpoint, EndpointListKind, EndpointName, EndpointState};
use crate::units::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// The minimum relative weight of an endpoint. An endpoint registered with weight 0 still gets a few
/// requests.
const MIN_WEIGHT: f64 = 1e-3;
/// The weight used in place of a registered weight that is infinite or NaN.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The name and the record of an endpoint that an attempt may go to.
pub(super) type Candidate<'a> = (&'a EndpointName, &'a EndpointRecord);

/// The listed endpoints, and removed ones that still have attempts in flight.
#[derive(Default)]
pub(super) struct EndpointTable {
    endpoints: BTreeMap<EndpointName, EndpointRecord>,
}

impl EndpointTable {
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the ready endpoints, ordered by name.
    pub(super) fn ready(&self) -> impl Iterator<Item = Candidate<'_>> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.state == EndpointState::Ready)
    }

    pub(super) fn get_mut(&mut self, name: &EndpointName) -> Option<&mut EndpointRecord> {
        self.endpoints.get_mut(name)
    }

    /// Applies a snapshot or a delta. Drops removed endpoints without attempts in flight.
    pub(super) fn apply_list(
        &mut self,
        kind: EndpointListKind,
        list: Vec<Endpoint>,
        now: Timestamp,
    ) {
        if kind == EndpointListKind::Snapshot {
            self.remove_unlisted(&list);
        }
        for listed in list {
            self.apply_entry(listed, now);
        }
        self.endpoints
            .retain(|_, endpoint| endpoint.state != EndpointState::Removed || !endpoint.is_idle());
    }

    fn remove_unlisted(&mut self, list: &[Endpoint]) {
        let listed: BTreeSet<&EndpointName> = list.iter().map(|endpoint| &endpoint.name).collect();
        for (name, endpoint) in &mut self.endpoints {
            if !listed.contains(name) {
                endpoint.state = EndpointState::Removed;
            }
        }
    }

    fn apply_entry(&mut self, listed: Endpoint, now: Timestamp) {
        let started_at = listed.started_at;
        let entry = self.endpoints.entry(listed.name);
        let endpoint =
            entry.or_insert_with(|| EndpointRecord::new(listed.hardware, started_at, now));
        if Endpoint::has_restarted(endpoint.started_at, started_at) {
            endpoint.reset_estimates();
        }
        endpoint.started_at = started_at;
        endpoint.state = listed.state;
        endpoint.weight = valid_weight(listed.weight);
        endpoint.zone = listed.zone;
        endpoint.cell = listed.cell;
    }
}

fn valid_weight(registered: f64) -> f64 {
    if registered.is_finite() {
        registered.max(MIN_WEIGHT)
    } else {
        DEFAULT_WEIGHT
    }
}
