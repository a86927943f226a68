//! Converts endpoints from discovery to the decision engine's representation.

use crate::gateway::discovery::{EndpointUpdate, ListedEndpoint};
use crate::{
    CellId, Endpoint, EndpointListKind, EndpointName, EndpointState, Event, HardwareId, Timestamp,
    ZoneId,
};

/// Maps the names of zones and hardware models in discovery to the engine's ids, which are positions in
/// the settings.
pub(super) struct EndpointTranslator {
    zones: Vec<String>,
    hardware_models: Vec<String>,
}

impl EndpointTranslator {
    /// Creates a translator. Ids are positions in these lists.
    pub fn new(zones: Vec<String>, hardware_models: Vec<String>) -> EndpointTranslator {
        EndpointTranslator {
            zones,
            hardware_models,
        }
    }

    /// Returns the engine event for an update. Endpoints in `replaced`, whose address now belongs to
    /// another endpoint, are marked as removed, whether or not the update lists them.
    pub fn update_event(&self, update: &EndpointUpdate, replaced: &[EndpointName]) -> Event {
        let kind = if update.snapshot {
            EndpointListKind::Snapshot
        } else {
            EndpointListKind::Delta
        };
        let mut endpoints: Vec<Endpoint> = update
            .endpoints
            .iter()
            .map(|listed| self.engine_endpoint(listed))
            .collect();
        for endpoint in &mut endpoints {
            if replaced.contains(&endpoint.name) {
                endpoint.state = EndpointState::Removed;
            }
        }
        let unlisted: Vec<Endpoint> = replaced
            .iter()
            .filter(|name| !endpoints.iter().any(|listed| listed.name == **name))
            .map(removed_endpoint)
            .collect();
        endpoints.extend(unlisted);
        Event::EndpointsChanged { kind, endpoints }
    }

    fn engine_endpoint(&self, listed: &ListedEndpoint) -> Endpoint {
        Endpoint {
            name: listed.name.as_str().into(),
            zone: ZoneId(index_of(&self.zones, &listed.zone)),
            cell: CellId(listed.cell),
            hardware: HardwareId(index_of(&self.hardware_models, &listed.hardware)),
            weight: listed.weight,
            state: listed.state,
            started_at: listed.started_at,
        }
    }
}

/// Returns an entry that marks an endpoint as removed. The other values are placeholders.
fn removed_endpoint(name: &EndpointName) -> Endpoint {
    Endpoint {
        name: name.clone(),
        zone: ZoneId(0),
        cell: CellId(0),
        hardware: HardwareId(0),
        weight: 1.0,
        state: EndpointState::Removed,
        started_at: Timestamp::ZERO,
    }
}

/// Returns the index of a name in the settings. All unknown names share the index after the last one.
fn index_of(names: &[String], name: &str) -> u32 {
    let position = names.iter().position(|known| known == name);
    u32::try_from(position.unwrap_or(names.len())).unwrap_or(u32::MAX)
}
