//! The registry of endpoints known from discovery, each with its idle connections.

use crate::gateway::discovery::{EndpointUpdate, ListedEndpoint};
use crate::gateway::endpoints::idle_connections::IdleConnections;
use crate::{Endpoint, EndpointName, EndpointState, Timestamp};
use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// The latest state of an endpoint as reported by discovery, with the idle connections to it.
pub(crate) struct RegisteredEndpoint {
    pub address: SocketAddr,
    pub state: EndpointState,
    /// Changes on each restart and each change of address, and when the endpoint is listed again after it was
    /// removed. No two incarnations of any endpoints are equal. Connections to an earlier incarnation must not
    /// be used.
    pub incarnation: u64,
    /// The endpoint's last start in Unix time; zero if it was long ago.
    started_at: Timestamp,
    pub idle: IdleConnections,
}

impl RegisteredEndpoint {
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }
}

/// Consequences of an update that its entries do not state explicitly.
#[derive(Default)]
pub(crate) struct RegistryChange {
    /// Endpoints that have restarted. The attempts in flight on their previous process are lost.
    pub restarted: Vec<EndpointName>,
    /// Endpoints whose address has been taken over by another endpoint, one that did not start earlier. They
    /// are treated as removed even if discovery has not reported the removal.
    pub replaced: Vec<EndpointName>,
}

/// The endpoints that discovery has reported and not removed, by name.
#[derive(Default)]
pub(crate) struct EndpointRegistry {
    endpoints: HashMap<EndpointName, RegisteredEndpoint>,
    last_incarnation: u64,
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

    /// Applies a snapshot or delta from discovery, and closes the idle connections that it makes unusable.
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
            let has_restarted = self.apply_listed_endpoint(&name, listed);
            if has_restarted {
                change.restarted.push(name);
            }
        }
        change.replaced = self.remove_replaced(&at_new_address);
        self.remove_unusable();
        change
    }

    fn mark_unlisted_as_removed(&mut self, listed: &[ListedEndpoint]) {
        let listed_names: HashSet<&str> = listed
            .iter()
            .map(|endpoint| endpoint.name.as_str())
            .collect();
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

    /// Creates or updates the entry of one endpoint. Returns whether the endpoint has restarted since its
    /// last update.
    fn apply_listed_endpoint(&mut self, name: &EndpointName, listed: &ListedEndpoint) -> bool {
        let next_incarnation = self.last_incarnation + 1;
        self.last_incarnation = next_incarnation;
        let entry = self
            .endpoints
            .entry(name.clone())
            .or_insert_with(|| RegisteredEndpoint {
                address: listed.address,
                state: listed.state,
                incarnation: next_incarnation,
                started_at: listed.started_at,
                idle: IdleConnections::default(),
            });
        // A change of address alone is not a restart: the old process may still answer its requests in
        // flight.
        let has_restarted = Endpoint::has_restarted(entry.started_at, listed.started_at);
        if has_restarted || entry.address != listed.address {
            entry.incarnation = next_incarnation;
            entry.idle.close_all();
        }
        entry.address = listed.address;
        entry.state = listed.state;
        entry.started_at = listed.started_at;
        has_restarted
    }

    /// Resolves conflicts about the addresses of the endpoints in `at_new_address`, which are in the order of the
    /// list: the ready endpoint that started last owns the address, and those that did not start later are marked
    /// as removed. Returns the names of the endpoints marked.
    fn remove_replaced(&mut self, at_new_address: &[EndpointName]) -> Vec<EndpointName> {
        if at_new_address.is_empty() {
            return Vec::new();
        }
        let names_by_address = self.names_by_address();
        let mut replaced = Vec::new();
        for name in at_new_address {
            let Some(address) = self.endpoints.get(name).map(|entry| entry.address) else {
                continue;
            };
            let names = names_by_address
                .get(&address)
                .map_or(&[][..], Vec::as_slice);
            if names.len() < 2 {
                continue;
            }
            if let Some(owner) = self.owner_among(names, at_new_address) {
                self.replace_others(owner, names, &mut replaced);
            }
        }
        replaced
    }

    /// Returns the owner of an address that all these endpoints have: the ready one that started last. Of several,
    /// it is one that has just got this address, and the last of these in the list.
    fn owner_among<'a>(
        &self,
        names: &'a [EndpointName],
        at_new_address: &[EndpointName],
    ) -> Option<&'a EndpointName> {
        let started_at = |name: &EndpointName| {
            let ready = self.endpoints.get(name).filter(|entry| entry.is_ready());
            ready.map(|entry| entry.started_at.as_f64())
        };
        let list_position = |name: &EndpointName| at_new_address.iter().position(|new| new == name);
        let ready = names.iter().filter(|name| started_at(name).is_some());
        ready.max_by(|first, second| {
            let by_start = started_at(first).partial_cmp(&started_at(second));
            by_start
                .unwrap_or(Ordering::Equal)
                .then_with(|| list_position(first).cmp(&list_position(second)))
        })
    }

    /// Marks the endpoints as removed that have the address of `owner` and did not start later.
    fn replace_others(
        &mut self,
        owner: &EndpointName,
        names: &[EndpointName],
        replaced: &mut Vec<EndpointName>,
    ) {
        let Some(owner_started_at) = self.endpoints.get(owner).map(|entry| entry.started_at) else {
            return;
        };
        for name in names.iter().filter(|name| *name != owner) {
            let Some(entry) = self.endpoints.get_mut(name) else {
                continue;
            };
            if entry.state != EndpointState::Removed && entry.started_at <= owner_started_at {
                entry.state = EndpointState::Removed;
                replaced.push(name.clone());
            }
        }
    }

    /// Returns an index of endpoint names by address. The index avoids a comparison of all pairs of
    /// endpoints, of which the first list may contain tens of thousands.
    fn names_by_address(&self) -> HashMap<SocketAddr, Vec<EndpointName>> {
        let mut names: HashMap<SocketAddr, Vec<EndpointName>> = HashMap::new();
        for (name, entry) in &self.endpoints {
            names.entry(entry.address).or_default().push(name.clone());
        }
        names
    }

    /// Closes the idle connections of all endpoints that are not ready, and deletes the removed endpoints.
    fn remove_unusable(&mut self) {
        for entry in self.endpoints.values_mut().filter(|e| !e.is_ready()) {
            entry.idle.close_all();
        }
        self.endpoints
            .retain(|_, entry| entry.state != EndpointState::Removed);
    }
}
