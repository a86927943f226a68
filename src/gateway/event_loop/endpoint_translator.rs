//! Translates the endpoints of discovery into those of the decision engine.

use crate::gateway::discovery::{EndpointUpdate, ListedEndpoint};
use crate::{
    CellId, Endpoint, EndpointListKind, EndpointName, EndpointState, Event, HardwareId, Timestamp,
    ZoneId,
};

/// Knows the numbers of the names that discovery uses: the engine numbers zones and hardware models in the order of
/// the settings.
pub(super) struct EndpointTranslator {
    zones: Vec<String>,
    hardware_models: Vec<String>,
}

impl EndpointTranslator {
    /// Numbers zones and hardware models by their positions in these lists.
    pub fn new(zones: Vec<String>, hardware_models: Vec<String>) -> EndpointTranslator {
        EndpointTranslator {
            zones,
            hardware_models,
        }
    }

    /// The event that reports an update to the engine. The endpoints in `replaced`, whose address belongs to another
    /// one now, are removed in it, whether or not the update names them.
    pub fn endpoints_changed(&self, update: &EndpointUpdate, replaced: &[EndpointName]) -> Event {
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

/// The entry of an endpoint of which nothing matters but that it is removed.
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

/// The index of a name in the settings. Names that the settings do not list share the index behind the last.
fn index_of(names: &[String], name: &str) -> u32 {
    let position = names.iter().position(|known| known == name);
    u32::try_from(position.unwrap_or(names.len())).unwrap_or(u32::MAX)
}
