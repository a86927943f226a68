//! Incidents of a scenario, and the endpoint lists and health checks through which gateways learn
//! of them.

use super::Fleet;
use super::attempts::AttemptId;
use super::event_queue::FleetEvent;
use crate::endpoint::SimulatedEndpoint;
use crate::scenario::Incident;
use marlshelf::{AttemptResult, Endpoint, EndpointListKind, EndpointState, Event};
use rand::Rng;

/// The time from the exit of an endpoint's process to the start of the next one.
const RESTART_MS: f64 = 1000.0;
/// The time from the start of an endpoint's drain to its removal.
const DRAIN_MS: f64 = 3000.0;

impl Fleet<'_> {
    /// Causes an incident now.
    pub(super) fn cause(&mut self, incident: Incident) {
        match incident {
            Incident::Drain(index) => {
                self.endpoints[index].entry.state = EndpointState::Draining;
                self.send_endpoint_change(index);
                let removed_at_ms = self.now_ms + DRAIN_MS;
                self.schedule(removed_at_ms, FleetEvent::EndpointDrained(index));
            }
            Incident::Replace(index) => self.replace_endpoint(index),
            Incident::Restart(index) => {
                self.reset_attempts(index);
                self.remove_endpoint(index);
                let started_at_ms = self.now_ms + RESTART_MS;
                self.schedule(started_at_ms, FleetEvent::EndpointStarted(index));
            }
            Incident::Slow(index, factor) => self.endpoints[index].slowdown = factor,
            Incident::Fault(index, fault) => self.endpoints[index].fault = fault,
            Incident::RestartGateway(index) => self.restart_gateway(index),
            Incident::Snapshot => self.send_snapshot(),
            Incident::HealthCheck(index) => self.check_health(index),
        }
    }

    /// Sends all gateways the endpoint list, without the removed endpoints.
    pub(super) fn send_snapshot(&mut self) {
        let endpoints: Vec<Endpoint> = self
            .endpoints
            .iter()
            .map(|endpoint| &endpoint.entry)
            .filter(|entry| entry.state != EndpointState::Removed)
            .cloned()
            .collect();
        for gateway in 0..self.gateways.len() {
            self.send_list(gateway, endpoints.clone());
        }
    }

    /// Sends a gateway a snapshot with these endpoints.
    fn send_list(&mut self, gateway: usize, endpoints: Vec<Endpoint>) {
        let event = FleetEvent::EndpointList {
            gateway,
            kind: EndpointListKind::Snapshot,
            endpoints,
        };
        self.schedule(self.now_ms, event);
    }

    /// Notifies all gateways of a changed endpoint, each after a delay of its own.
    pub(super) fn send_endpoint_change(&mut self, endpoint: usize) {
        let entry = self.endpoints[endpoint].entry.clone();
        for gateway in 0..self.gateways.len() {
            let delay_ms = self.rng.random_range(5.0..100.0);
            let event = FleetEvent::EndpointList {
                gateway,
                kind: EndpointListKind::Delta,
                endpoints: vec![entry.clone()],
            };
            self.schedule(self.now_ms + delay_ms, event);
        }
    }

    /// Removes an endpoint. It still completes its attempts in flight.
    pub(super) fn remove_endpoint(&mut self, index: usize) {
        self.endpoints[index].entry.state = EndpointState::Removed;
        self.send_endpoint_change(index);
    }

    /// Removes an endpoint and adds another one like it under a new name.
    fn replace_endpoint(&mut self, index: usize) {
        self.remove_endpoint(index);
        let new_index = self.endpoints.len();
        let name = format!("endpoint-{index}-{new_index}").into();
        let pool = &self.scenario.endpoints;
        let endpoint = SimulatedEndpoint::new(pool, index, name, self.now_ms);
        self.endpoints.push(endpoint);
        self.send_endpoint_change(new_index);
    }

    /// Checks the health of an endpoint, which succeeds for gateways of even numbers only.
    fn check_health(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        let name = endpoint.entry.name.clone();
        let load_report = Some(endpoint.load_report(self.now_ms));
        for gateway in 0..self.gateways.len() {
            let event = Event::HealthChecked {
                endpoint: name.clone(),
                ok: gateway % 2 == 0,
                load_report,
            };
            self.notify(gateway, event);
        }
    }

    /// Resets the connections of all attempts at an endpoint.
    fn reset_attempts(&mut self, index: usize) {
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
            self.schedule(self.now_ms, FleetEvent::AttemptEnd { attempt, result });
        }
    }

    /// Restarts a gateway. It loses its state and its requests, which are never answered.
    fn restart_gateway(&mut self, index: usize) {
        let incarnation = self.gateways[index].incarnation + 1;
        self.gateways[index] = self.start_gateway(index, incarnation);
        self.pending
            .retain(|_, pending| pending.request.gateway != index);
        // Unlike other snapshots, this one includes the removed endpoints, with that state.
        let endpoints = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.entry.clone())
            .collect();
        self.send_list(index, endpoints);
    }
}
