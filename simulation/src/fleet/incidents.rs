//! Execution of incidents, and the endpoint lists and health checks that inform gateways about them.

use super::Fleet;
use super::attempts::AttemptId;
use super::events::FleetEvent;
use crate::{Clients, EndpointIndex, Incident, Observer, RandomStream, SimulatedEndpoint};
use marlshelf::{
    AttemptResult, Endpoint, EndpointListKind, EndpointState, Event, GatewayId, Milliseconds,
};
use rand::Rng;
use std::ops::Range;

/// Time from the exit of an endpoint's process until the restarted process is ready.
const RESTART_TIME: Milliseconds = Milliseconds(1000.0);
/// Time from the start of an endpoint's drain to its removal.
const DRAIN_TIME: Milliseconds = Milliseconds(3000.0);
/// Range of the delay until a gateway learns of an endpoint change, in milliseconds.
const DISCOVERY_DELAY_MS: Range<f64> = 5.0..100.0;

impl<C: Clients, O: Observer> Fleet<'_, C, O> {
    pub(super) fn apply_incident(&mut self, incident: Incident) {
        match incident {
            Incident::Drain(index) => {
                self.endpoints[index.0].entry.state = EndpointState::Draining;
                self.send_endpoint_change(index);
                self.schedule(self.now + DRAIN_TIME, FleetEvent::EndpointDrained(index));
            }
            Incident::Remove(index) => self.remove_endpoint(index),
            Incident::Add(original) => self.add_endpoint(original),
            Incident::Replace(index) => {
                self.remove_endpoint(index);
                self.add_endpoint(index);
            }
            Incident::Restart(index) => {
                self.reset_attempts(index);
                self.remove_endpoint(index);
                self.schedule(self.now + RESTART_TIME, FleetEvent::EndpointStarted(index));
            }
            Incident::Slow(index, factor) => self.endpoints[index.0].slowdown = factor,
            Incident::Fault(index, fault) => self.endpoints[index.0].fault = fault,
            Incident::RestartGateway(gateway) => self.restart_gateway(gateway),
            Incident::Snapshot => self.send_snapshot(),
            Incident::HealthCheck(index) => self.check_health(index),
        }
    }

    /// Sends the endpoint list to all gateways, without removed endpoints.
    pub(super) fn send_snapshot(&mut self) {
        let entries = self.endpoints.iter().map(|endpoint| &endpoint.entry);
        let endpoints: Vec<Endpoint> = entries
            .filter(|entry| entry.state != EndpointState::Removed)
            .cloned()
            .collect();
        for gateway in self.gateway_ids() {
            self.send_snapshot_to(gateway, endpoints.clone());
        }
    }

    fn send_snapshot_to(&mut self, gateway: GatewayId, endpoints: Vec<Endpoint>) {
        let event = FleetEvent::EndpointList {
            gateway,
            kind: EndpointListKind::Snapshot,
            endpoints,
        };
        self.schedule(self.now, event);
    }

    /// Notifies all gateways of a changed endpoint, each after a separate random delay.
    pub(super) fn send_endpoint_change(&mut self, endpoint: EndpointIndex) {
        let entry = self.endpoints[endpoint.0].entry.clone();
        for gateway in self.gateway_ids() {
            let random = self.randomness.stream(RandomStream::Discovery);
            let delay = Milliseconds(random.random_range(DISCOVERY_DELAY_MS));
            let event = FleetEvent::EndpointList {
                gateway,
                kind: EndpointListKind::Delta,
                endpoints: vec![entry.clone()],
            };
            self.schedule(self.now + delay, event);
        }
    }

    /// Removes an endpoint, which still completes its attempts in flight.
    pub(super) fn remove_endpoint(&mut self, index: EndpointIndex) {
        self.endpoints[index.0].entry.state = EndpointState::Removed;
        self.send_endpoint_change(index);
    }

    /// Adds a copy of an endpoint under a new name.
    fn add_endpoint(&mut self, original: EndpointIndex) {
        let pool = &self.scenario.endpoints;
        let index = EndpointIndex(self.endpoints.len());
        let name = (pool.names.added)(original.0, index.0).into();
        let endpoint = SimulatedEndpoint::new(pool, original.0, name, self.now);
        self.endpoints.push(endpoint);
        self.send_endpoint_change(index);
    }

    /// Sends all gateways a health check result, which is a success only for gateways with an even id.
    fn check_health(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index.0];
        let name = endpoint.entry.name.clone();
        let load_report = Some(endpoint.load_report(self.now));
        for gateway in self.gateway_ids() {
            let event = Event::HealthChecked {
                endpoint: name.clone(),
                ok: gateway.0 % 2 == 0,
                load_report,
            };
            self.notify(gateway, event);
        }
    }

    /// Resets the connections of all attempts in flight at an endpoint.
    fn reset_attempts(&mut self, index: EndpointIndex) {
        let attempts: Vec<AttemptId> = self
            .pending
            .iter()
            .filter_map(|(id, pending)| Some((*id, pending.attempt.as_ref()?)))
            .filter(|(_, attempt)| attempt.endpoint == index)
            .map(|(request, attempt)| AttemptId {
                request,
                number: attempt.number,
            })
            .collect();
        for attempt in attempts {
            let result = AttemptResult::ConnectionReset;
            self.schedule(self.now, FleetEvent::AttemptEnd { attempt, result });
        }
    }

    /// Restarts a gateway. The gateway loses its state, and its pending requests never get a response.
    fn restart_gateway(&mut self, id: GatewayId) {
        let incarnation = self.gateway(id).incarnation + 1;
        self.gateways[id.0 as usize] = self.start_gateway(id, incarnation);
        self.pending
            .retain(|_, pending| pending.request.gateway != id);
        // Unlike other snapshots, this one includes the removed endpoints, in the state `Removed`.
        let entries = self.endpoints.iter().map(|endpoint| endpoint.entry.clone());
        let endpoints = entries.collect();
        self.send_snapshot_to(id, endpoints);
    }
}
