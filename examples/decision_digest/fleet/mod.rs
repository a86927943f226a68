//! A simulated fleet in virtual time: gateways, the network between them, endpoints and clients.
//!
//! The fleet carries out the actions of each decision engine as the gateway's host does, and
//! records them in a digest. All random numbers of a run come from one generator, so the order in
//! which they are drawn belongs to the expected output.

mod attempts;
mod client_requests;
mod event_queue;
mod gossip_network;
mod incidents;

use crate::clients::Clients;
use crate::digest::ActionDigest;
use crate::endpoint::SimulatedEndpoint;
use crate::scenario::Scenario;
use client_requests::PendingRequest;
use event_queue::{EventQueue, FleetEvent};
use marlshelf::{
    Action, DecisionEngine, Event, GatewayId, Milliseconds, RequestId, Settings, Timestamp, ZoneId,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// When the first new request arrives, in milliseconds.
const FIRST_ARRIVAL_MS: f64 = 1.0;

/// One gateway.
struct Gateway {
    engine: DecisionEngine,
    /// The number of its restarts.
    incarnation: u32,
}

/// A whole fleet.
pub struct Fleet<'a> {
    scenario: &'a Scenario,
    seed: u64,
    rng: Pcg64Mcg,
    now_ms: f64,
    queue: EventQueue,
    gateways: Vec<Gateway>,
    endpoints: Vec<SimulatedEndpoint>,
    clients: Clients,
    pending: BTreeMap<RequestId, PendingRequest>,
    next_request_id: u64,
    digest: ActionDigest,
}

impl<'a> Fleet<'a> {
    /// A fleet that has just started.
    pub fn new(scenario: &'a Scenario, seed: u64) -> Fleet<'a> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let clients = Clients::new(scenario, &mut rng);
        let pool = &scenario.endpoints;
        let endpoint =
            |index| SimulatedEndpoint::new(pool, index, format!("endpoint-{index}").into(), 0.0);
        let mut fleet = Fleet {
            scenario,
            seed,
            rng,
            now_ms: 0.0,
            queue: EventQueue::default(),
            gateways: Vec::new(),
            endpoints: (0..pool.count).map(endpoint).collect(),
            clients,
            pending: BTreeMap::new(),
            next_request_id: 1,
            digest: ActionDigest::new(),
        };
        for index in 0..scenario.settings.gateway_count as usize {
            let gateway = fleet.start_gateway(index, 0);
            fleet.gateways.push(gateway);
        }
        fleet.send_snapshot();
        fleet.schedule(FIRST_ARRIVAL_MS, FleetEvent::NewRequest);
        for (index, planned) in scenario.incidents.iter().enumerate() {
            fleet.schedule(planned.at_ms, FleetEvent::PlannedIncident(index));
        }
        fleet
    }

    /// Plays the fleet to the end of the scenario and returns the digest of all actions.
    pub fn play(mut self) -> ActionDigest {
        while let Some(next) = self.queue.pop() {
            self.now_ms = next.at_ms;
            if self.now_ms >= self.scenario.duration_ms {
                break;
            }
            self.handle(next.event);
        }
        self.digest
    }

    /// A gateway without state. Each of its incarnations has a seed of its own.
    fn start_gateway(&self, index: usize, incarnation: u32) -> Gateway {
        let number = index as u32;
        let settings = Settings {
            gateway: GatewayId(number),
            zone: ZoneId(number % self.scenario.gateway_zones),
            ..self.scenario.settings.clone()
        };
        let seed = self.seed * 1_000_003 + u64::from(number) * 101 + u64::from(incarnation) * 7919;
        let engine = DecisionEngine::new(settings, seed).expect("a scenario has valid settings");
        Gateway {
            engine,
            incarnation,
        }
    }

    /// Schedules an event. A time in the past stands for now.
    fn schedule(&mut self, at_ms: f64, event: FleetEvent) {
        self.queue.schedule(at_ms.max(self.now_ms), event);
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::NewRequest => self.receive_new_request(),
            FleetEvent::ClientRetry(request) => self.receive_request(request),
            FleetEvent::ClientDisconnect(id) => self.disconnect_client(id),
            FleetEvent::AttemptEnd { attempt, result } => self.finish_attempt(attempt, result),
            FleetEvent::Gossip { to, from, text } => {
                self.notify(to, Event::GossipReceived { from, text });
            }
            FleetEvent::Timer {
                gateway,
                incarnation,
                token,
            } => {
                // A restarted gateway has lost the timers of its earlier incarnations.
                if self.gateways[gateway].incarnation == incarnation {
                    self.notify(gateway, Event::TimerFired { token });
                }
            }
            FleetEvent::EndpointList {
                gateway,
                kind,
                endpoints,
            } => self.notify(gateway, Event::EndpointsChanged { kind, endpoints }),
            FleetEvent::PlannedIncident(index) => {
                self.cause(self.scenario.incidents[index].incident);
            }
            FleetEvent::EndpointDrained(endpoint) => self.remove_endpoint(endpoint),
            FleetEvent::EndpointStarted(endpoint) => {
                self.endpoints[endpoint].restart(self.now_ms);
                self.send_endpoint_change(endpoint);
            }
        }
    }

    /// Passes an event to a gateway and executes the actions that the gateway returns.
    fn notify(&mut self, gateway: usize, event: Event) {
        let now_ms = self.now_ms;
        for action in self.gateways[gateway]
            .engine
            .handle_event(Timestamp(now_ms), event)
        {
            self.digest.record(gateway, now_ms, &action);
            self.execute(gateway, action);
        }
    }

    fn execute(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Forward {
                request,
                endpoint,
                deadline: Timestamp(deadline_ms),
            } => self.start_attempt(request, &endpoint, deadline_ms),
            Action::Reject {
                request,
                retry_after: Milliseconds(retry_after_ms),
            } => self.answer_client(request, retry_after_ms),
            Action::Fail { request } => self.answer_client(request, 0.0),
            Action::SendGossip { to, text } => self.deliver_gossip(gateway, to, text),
            Action::SetTimer {
                token,
                delay: Milliseconds(delay_ms),
            } => {
                let incarnation = self.gateways[gateway].incarnation;
                let lead_ms = self.scenario.max_timer_lead_ms * self.rng.random::<f64>();
                let timer = FleetEvent::Timer {
                    gateway,
                    incarnation,
                    token,
                };
                self.schedule(self.now_ms + delay_ms - lead_ms, timer);
            }
        }
    }
}
