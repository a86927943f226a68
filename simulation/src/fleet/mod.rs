//! Event loop of a simulated fleet, which connects the gateways to their environment.
//!
//! The fleet executes the actions of each decision engine as a real gateway process does. The expected
//! results of tests and tools depend on the order in which random numbers are drawn, so keep that order.

mod attempts;
mod client_requests;
mod events;
mod incidents;

use crate::endpoint::SimulatedEndpoint;
use crate::{
    ArrivalSource, Clients, EventQueue, FleetScenario, Observer, RandomStream, Randomness,
};
use client_requests::PendingRequest;
use events::FleetEvent;
use marlshelf::{
    Action, DecisionEngine, Event, GatewayId, Milliseconds, RequestId, Settings, TimerToken,
    Timestamp, ZoneId,
};
use rand::Rng;
use std::collections::BTreeMap;

struct Gateway {
    engine: DecisionEngine,
    /// Number of restarts so far.
    incarnation: u32,
}

/// A simulated fleet before its run. [`Fleet::run`] consumes it.
pub struct Fleet<'a, C, O> {
    scenario: &'a FleetScenario,
    clients: C,
    observer: O,
    randomness: Randomness,
    now: Timestamp,
    queue: EventQueue<FleetEvent>,
    gateways: Vec<Gateway>,
    endpoints: Vec<SimulatedEndpoint>,
    pending: BTreeMap<RequestId, PendingRequest>,
    next_request_id: u64,
}

/// State of a fleet after its run.
pub struct FleetRun<C, O> {
    /// Clients in their final state.
    pub clients: C,
    /// Observer with its records of the run.
    pub observer: O,
    /// Endpoints in their final state, including removed ones, indexed by
    /// [`EndpointIndex`](crate::EndpointIndex).
    pub endpoints: Vec<SimulatedEndpoint>,
}

impl<'a, C: Clients, O: Observer> Fleet<'a, C, O> {
    /// Creates a fleet at the start time of the scenario, and schedules the first arrivals and all incidents.
    ///
    /// # Panics
    /// Panics if the settings of the scenario are invalid.
    pub fn new(
        scenario: &'a FleetScenario,
        clients: C,
        observer: O,
        randomness: Randomness,
    ) -> Self {
        let mut fleet = Fleet {
            scenario,
            clients,
            observer,
            randomness,
            now: scenario.start,
            queue: EventQueue::default(),
            gateways: Vec::new(),
            endpoints: scenario.endpoints.initial_endpoints(),
            pending: BTreeMap::new(),
            next_request_id: 1,
        };
        for number in 0..scenario.settings.gateway_count {
            let gateway = fleet.start_gateway(GatewayId(number), 0);
            fleet.gateways.push(gateway);
        }
        fleet.send_snapshot();
        let random = fleet.randomness.stream(RandomStream::Clients);
        let first_arrivals = fleet.clients.first_arrivals(random);
        for (source, at) in first_arrivals.into_iter().enumerate() {
            fleet.schedule(at, FleetEvent::Arrival(ArrivalSource(source)));
        }
        for (index, planned) in scenario.incidents.iter().enumerate() {
            fleet.schedule(planned.at, FleetEvent::PlannedIncident(index));
        }
        fleet
    }

    /// Processes events until the end time of the scenario, or until no event is left.
    #[must_use]
    pub fn run(mut self) -> FleetRun<C, O> {
        while let Some(next) = self.queue.pop() {
            self.now = next.at;
            if self.now >= self.scenario.end {
                break;
            }
            self.handle(next.event);
        }
        FleetRun {
            clients: self.clients,
            observer: self.observer,
            endpoints: self.endpoints,
        }
    }

    /// Creates a gateway with empty state. Each incarnation of a gateway has a different seed.
    fn start_gateway(&self, id: GatewayId, incarnation: u32) -> Gateway {
        let settings = Settings {
            gateway: id,
            zone: ZoneId(id.0 % self.scenario.gateway_zones),
            ..self.scenario.settings.clone()
        };
        let seed = self.randomness.gateway_seed(id.0, incarnation);
        let engine = DecisionEngine::new(settings, seed).expect("a scenario has valid settings");
        Gateway {
            engine,
            incarnation,
        }
    }

    fn gateway(&self, id: GatewayId) -> &Gateway {
        &self.gateways[id.0 as usize]
    }

    fn gateway_ids(&self) -> impl Iterator<Item = GatewayId> + use<C, O> {
        (0..self.gateways.len() as u32).map(GatewayId)
    }

    /// Schedules an event at time `at`, or now if `at` is in the past.
    fn schedule(&mut self, at: Timestamp, event: FleetEvent) {
        self.queue.schedule(at.max(self.now), event);
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Arrival(source) => self.receive_arrival(source),
            FleetEvent::ClientRetry(request) => self.receive_request(request),
            FleetEvent::ClientDisconnect(id) => self.disconnect_client(id),
            FleetEvent::AttemptEnd { attempt, result } => self.finish_attempt(attempt, result),
            FleetEvent::Gossip(datagram) => {
                let (from, text) = (datagram.from, datagram.text);
                self.notify(datagram.to, Event::GossipReceived { from, text });
            }
            FleetEvent::Timer {
                gateway,
                incarnation,
                token,
            } => {
                // The timers of earlier incarnations were lost in the restart.
                if self.gateway(gateway).incarnation == incarnation {
                    self.notify(gateway, Event::TimerFired { token });
                }
            }
            FleetEvent::EndpointList {
                gateway,
                kind,
                endpoints,
            } => self.notify(gateway, Event::EndpointsChanged { kind, endpoints }),
            FleetEvent::PlannedIncident(index) => {
                self.apply_incident(self.scenario.incidents[index].incident);
            }
            FleetEvent::EndpointDrained(endpoint) => self.remove_endpoint(endpoint),
            FleetEvent::EndpointStarted(endpoint) => {
                self.endpoints[endpoint.0].restart(self.now);
                self.send_endpoint_change(endpoint);
            }
        }
    }

    /// Passes an event to a gateway and executes the actions that the gateway returns.
    fn notify(&mut self, id: GatewayId, event: Event) {
        let gateway = &mut self.gateways[id.0 as usize];
        for action in gateway.engine.handle_event(self.now, event) {
            self.observer.on_action(self.now, id, &action);
            self.execute(id, action);
        }
    }

    fn execute(&mut self, gateway: GatewayId, action: Action) {
        match action {
            Action::Forward {
                request,
                endpoint,
                deadline,
            } => self.start_attempt(request, &endpoint, deadline),
            Action::Reject {
                request,
                retry_after,
                ..
            } => self.answer_client(request, retry_after),
            Action::Fail { request } => self.answer_client(request, Milliseconds::ZERO),
            Action::SendGossip { to, text } => self.send_gossip(gateway, to, text),
            Action::SetTimer { token, delay } => self.set_timer(gateway, token, delay),
        }
    }

    fn set_timer(&mut self, gateway: GatewayId, token: TimerToken, delay: Milliseconds) {
        let random = self.randomness.stream(RandomStream::Host);
        let lead = self.scenario.host_faults.max_timer_lead * random.random::<f64>();
        let timer = FleetEvent::Timer {
            gateway,
            incarnation: self.gateway(gateway).incarnation,
            token,
        };
        self.schedule(self.now + delay - lead, timer);
    }

    fn send_gossip(&mut self, from: GatewayId, to: GatewayId, text: String) {
        let datagram = crate::Datagram { from, to, text };
        let random = self.randomness.stream(RandomStream::Gossip);
        let scenario = self.scenario;
        let deliveries = scenario
            .gossip
            .transmit(datagram, self.now, &scenario.settings, random);
        for delivery in deliveries {
            self.schedule(delivery.at, FleetEvent::Gossip(delivery.datagram));
        }
    }
}
