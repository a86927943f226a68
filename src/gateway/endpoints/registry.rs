//! The endpoints that discovery has listed, each with its idle connections.

use crate::gateway::discovery::{EndpointUpdate, ListedEndpoint};
use crate::gateway::endpoints::idle_connections::IdleConnections;
use crate::{EndpointName, EndpointState, Timestamp};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// What discovery says of an endpoint, and the idle connections to it.
pub(crate) struct RegisteredEndpoint {
    pub address: SocketAddr,
    pub state: EndpointState,
    /// Grows with each restart and each new address. Connections to an earlier incarnation are of no use.
    pub incarnation: u64,
    /// The endpoint's last start in Unix time; zero if long ago.
    started_at: Timestamp,
    pub idle: IdleConnections,
}

impl RegisteredEndpoint {
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }
}

/// What an update has changed beyond its own lines.
#[derive(Default)]
pub(crate) struct RegistryChange {
    /// Endpoints that have restarted: what was in flight at their former incarnation is lost.
    pub restarted: Vec<EndpointName>,
    /// Endpoints whose address now belongs to one that started later: they are gone, whether or not discovery has
    /// said so.
    pub replaced: Vec<EndpointName>,
}

/// All endpoints that discovery has listed and not removed.
#[derive(Default)]
pub(crate) struct EndpointRegistry {
    endpoints: HashMap<EndpointName, RegisteredEndpoint>,
}

impl EndpointRegistry {
    pub fn get(&self, name: &str) -> Option<&RegisteredEndpoint> {
        self.endpoints.get(name)
    }

    pub fn get_mut(&mut self, name: &str) -> Option<&mut RegisteredEndpoint> {
        self.endpoints.get_mut(name)
    }

    pub fn entries_mut(&mut self) -> impl Iterator<Item = &mut RegisteredEndpoint> {
        self.endpoints.values_mut()
    }

    /// Applies an update of the list.
    pub fn apply(&mut self, update: &EndpointUpdate) -> RegistryChange {
        let mut change = RegistryChange::default();
        let mut at_new_address = Vec::new();
        if update.snapshot {
            self.mark_unlisted_as_removed(&update.endpoints);
        }
        for listed in &update.endpoints {
            let name: EndpointName = listed.name.as_str().into();
            if self.is_ready_at_new_address(&name, listed) {
                at_new_address.push(name.clone());
            }
            let has_restarted = self.apply_line(&name, listed);
            if has_restarted {
                change.restarted.push(name);
            }
        }
        change.replaced = self.remove_replaced(at_new_address);
        self.drop_unusable();
        change
    }

    fn mark_unlisted_as_removed(&mut self, listed: &[ListedEndpoint]) {
        let listed_names: HashSet<&str> = listed.iter().map(|line| line.name.as_str()).collect();
        for (name, entry) in &mut self.endpoints {
            if !listed_names.contains(&**name) {
                entry.state = EndpointState::Removed;
            }
        }
    }

    fn is_ready_at_new_address(&self, name: &EndpointName, listed: &ListedEndpoint) -> bool {
        listed.state == EndpointState::Ready
            && self
                .endpoints
                .get(name)
                .is_none_or(|entry| entry.address != listed.address)
    }

    /// Applies one line of an update. Returns whether the endpoint has restarted since the line before.
    fn apply_line(&mut self, name: &EndpointName, listed: &ListedEndpoint) -> bool {
        let entry = self
            .endpoints
            .entry(name.clone())
            .or_insert_with(|| RegisteredEndpoint {
                address: listed.address,
                state: listed.state,
                incarnation: 0,
                started_at: listed.started_at,
                idle: IdleConnections::default(),
            });
        // At a new address alone the old process may still answer what it has, so that is no restart.
        let has_restarted = listed.started_at > entry.started_at;
        if has_restarted || entry.address != listed.address {
            entry.incarnation += 1;
            entry.idle.close_all();
        }
        entry.address = listed.address;
        entry.state = listed.state;
        entry.started_at = listed.started_at;
        has_restarted
    }

    /// Marks the endpoints as removed whose address belongs to one of `at_new_address` that started no earlier.
    fn remove_replaced(&mut self, at_new_address: Vec<EndpointName>) -> Vec<EndpointName> {
        let mut replaced = Vec::new();
        if at_new_address.is_empty() {
            return replaced;
        }
        let names_by_address = self.names_by_address();
        // Of two endpoints that do not say when they started, the one listed last has the address.
        for owner_name in at_new_address.into_iter().rev() {
            let Some(owner) = self.endpoints.get(&owner_name).filter(|e| e.is_ready()) else {
                continue;
            };
            let owner_started_at = owner.started_at;
            let at_same_address = names_by_address.get(&owner.address).into_iter().flatten();
            for name in at_same_address.filter(|name| **name != owner_name) {
                let Some(entry) = self.endpoints.get_mut(name) else {
                    continue;
                };
                if entry.state != EndpointState::Removed && entry.started_at <= owner_started_at {
                    entry.state = EndpointState::Removed;
                    replaced.push(name.clone());
                }
            }
        }
        replaced
    }

    /// The endpoints at each address. With it each endpoint is compared with those at its own address only, since
    /// the first list may hold tens of thousands.
    fn names_by_address(&self) -> HashMap<SocketAddr, Vec<EndpointName>> {
        let mut names: HashMap<SocketAddr, Vec<EndpointName>> = HashMap::new();
        for (name, entry) in &self.endpoints {
            names.entry(entry.address).or_default().push(name.clone());
        }
        names
    }

    /// Closes the idle connections to endpoints that get no new requests, and drops those that are removed.
    fn drop_unusable(&mut self) {
        for entry in self.endpoints.values_mut().filter(|e| !e.is_ready()) {
            entry.idle.close_all();
        }
        self.endpoints
            .retain(|_, entry| entry.state != EndpointState::Removed);
    }
}
