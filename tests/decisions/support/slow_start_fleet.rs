//! A simulated fleet of gateways, each with a thin part of the traffic, while endpoints start.

use super::event_queue::EventQueue;
use super::gateway::TestGateway;
use super::requests::{outcome, request};
use super::settings::slow_start_settings;
use super::simulated_endpoint::{AttemptEnd, SimulatedEndpoint, WARMUP_MS};
use marlshelf::{
    Action, AttemptResult, Endpoint, EndpointListKind, EndpointName, EndpointState, Event,
    GatewayId, Milliseconds, RequestId, Settings, TimerToken, Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// When the first endpoint starts: by then every gateway knows how fast warm ones answer.
pub const FIRST_START_MS: f64 = 8000.0;
/// How long a simulation goes on after the last start.
pub const RUN_AFTER_START_MS: f64 = WARMUP_MS + 2000.0;
/// From the end of a process to the start of its next incarnation.
const DOWNTIME_MS: f64 = 1000.0;
/// The factor on the traffic during a burst.
const BURST: f64 = 1.5;
/// How long the clients of each class wait for their answer.
const CLIENT_TIMEOUT_MS: [f64; 2] = [6000.0, 4000.0];

/// How many gateways and endpoints there are, and what the endpoints are offered.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub gateways: u32,
    pub endpoints: usize,
    /// Requests of mean work a second that a warm endpoint does.
    pub capacity: f64,
    /// What is offered, as a part of what all endpoints can do when warm.
    pub utilization: f64,
    /// The least that has to be served during the warm-up, as a part of what all endpoints could do.
    pub min_served: f64,
}

/// Which endpoints start, and when.
#[derive(Clone, Copy, Debug)]
pub struct Rollout {
    pub kind: RolloutKind,
    /// The part of the endpoints that start.
    pub part: f64,
    /// From one start to the next.
    pub interval_ms: f64,
    /// Half as much traffic again arrives for the first half of the warm-up.
    pub burst: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutKind {
    /// The process ends, which resets its connections, and starts again after a downtime.
    Restart,
    /// An endpoint of a new name takes over at once, and the old one finishes its requests.
    Replacement,
}

enum FleetEvent {
    RequestArrives {
        gateway: usize,
    },
    EndpointChanges {
        gateway: usize,
        endpoint: Endpoint,
    },
    TimerFires {
        gateway: usize,
        token: u64,
    },
    EndpointStops {
        index: usize,
    },
    EndpointStarts {
        name: EndpointName,
    },
    AttemptEnds {
        request: u64,
        attempt: u32,
        result: AttemptResult,
    },
}

struct EngineEvent {
    gateway: usize,
    event: Event,
}

/// A request of a client.
pub struct ClientRequest {
    pub gateway: usize,
    /// 1 is the mean.
    pub work: f64,
    pub arrived_at_ms: f64,
    pub served: bool,
    attempts: u32,
    in_flight: Option<Attempt>,
}

#[derive(Clone, Copy)]
struct Attempt {
    number: u32,
    /// Its endpoint's index.
    endpoint: usize,
    started_at_ms: f64,
}

pub struct SlowStartFleet {
    rng: Pcg64Mcg,
    rollout: Rollout,
    gateways: Vec<TestGateway>,
    /// Each gateway's part of the traffic.
    traffic_parts: Vec<f64>,
    /// Every incarnation of every endpoint, the newest last.
    pub endpoints: Vec<SimulatedEndpoint>,
    pub requests: Vec<ClientRequest>,
    queue: EventQueue<FleetEvent>,
    requests_per_second: f64,
    end_ms: f64,
}

impl SlowStartFleet {
    pub fn new(size: FleetSize, rollout: Rollout, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let endpoints: Vec<SimulatedEndpoint> = (0..size.endpoints)
            .map(|k| SimulatedEndpoint::new(format!("w{k:02}").into(), size.capacity, 0.0))
            .collect();
        let mut fleet = SlowStartFleet {
            rollout,
            gateways: start_gateways(size, seed, &endpoints),
            traffic_parts: traffic_parts(size.gateways, &mut rng),
            endpoints,
            requests: Vec::new(),
            queue: EventQueue::new(),
            requests_per_second: size.utilization * size.capacity * size.endpoints as f64,
            end_ms: FIRST_START_MS,
            rng,
        };
        for gateway in 0..size.gateways as usize {
            fleet.schedule_arrival(0.0, gateway);
        }
        fleet.schedule_rollout(size.endpoints);
        fleet
    }

    pub fn run(mut self) -> Self {
        while let Some((now_ms, event)) = self.queue.pop() {
            if now_ms >= self.end_ms {
                break;
            }
            if let Some(EngineEvent { gateway, event }) = self.apply(now_ms, event) {
                for action in self.gateways[gateway].handle(now_ms, event) {
                    self.execute(now_ms, gateway, action);
                }
            }
        }
        self
    }

    fn schedule_rollout(&mut self, endpoint_count: usize) {
        let starts = (self.rollout.part * endpoint_count as f64).round() as usize;
        for start in 0..starts {
            // No neighbours in the order of names, by which gateways choose their subsets of endpoints.
            let index = start * 7 % endpoint_count;
            let at_ms = FIRST_START_MS + self.rollout.interval_ms * start as f64;
            self.queue
                .insert(at_ms, FleetEvent::EndpointStops { index });
            self.end_ms = at_ms + DOWNTIME_MS + RUN_AFTER_START_MS;
        }
    }

    fn schedule_arrival(&mut self, now_ms: f64, gateway: usize) {
        let burst_ms = FIRST_START_MS..FIRST_START_MS + WARMUP_MS / 2.0;
        let in_burst = self.rollout.burst && burst_ms.contains(&now_ms);
        let factor = if in_burst { BURST } else { 1.0 };
        let rate = self.requests_per_second * self.traffic_parts[gateway] * factor;
        let interval_ms = -1000.0 / rate * (1.0 - self.rng.random::<f64>()).ln();
        let event = FleetEvent::RequestArrives { gateway };
        self.queue.insert(now_ms + interval_ms, event);
    }

    /// Discovery notifies all gateways, each a little late.
    fn announce(&mut self, now_ms: f64, endpoint: &Endpoint) {
        for gateway in 0..self.gateways.len() {
            let delay_ms = self.rng.random_range(5.0..100.0);
            let event = FleetEvent::EndpointChanges {
                gateway,
                endpoint: endpoint.clone(),
            };
            self.queue.insert(now_ms + delay_ms, event);
        }
    }

    /// Applies an event to the simulated world. Returns what a gateway sees of it.
    fn apply(&mut self, now_ms: f64, event: FleetEvent) -> Option<EngineEvent> {
        match event {
            FleetEvent::RequestArrives { gateway } => Some(self.request_arrives(now_ms, gateway)),
            FleetEvent::EndpointChanges { gateway, endpoint } => {
                let kind = EndpointListKind::Delta;
                let endpoints = vec![endpoint];
                let event = Event::EndpointsChanged { kind, endpoints };
                Some(EngineEvent { gateway, event })
            }
            FleetEvent::TimerFires { gateway, token } => {
                let event = Event::TimerFired {
                    token: TimerToken(token),
                };
                Some(EngineEvent { gateway, event })
            }
            FleetEvent::EndpointStops { index } => {
                self.endpoint_stops(now_ms, index);
                None
            }
            FleetEvent::EndpointStarts { name } => {
                self.endpoint_starts(now_ms, name);
                None
            }
            FleetEvent::AttemptEnds {
                request,
                attempt,
                result,
            } => self.attempt_ends(now_ms, request, attempt, result),
        }
    }

    fn request_arrives(&mut self, now_ms: f64, gateway: usize) -> EngineEvent {
        self.schedule_arrival(now_ms, gateway);
        let class = usize::from(self.rng.random_range(0..3) == 0);
        let work = self.rng.random_range(0.5..1.5);
        let id = self.requests.len() as u64;
        self.requests.push(ClientRequest {
            gateway,
            work,
            arrived_at_ms: now_ms,
            served: false,
            attempts: 0,
            in_flight: None,
        });
        // Each gateway owns its tenant's quota, so that quotas have no part in this.
        let received = request(id, now_ms)
            .class(class)
            .owned_by(gateway as u32)
            .client_deadline_ms(now_ms + CLIENT_TIMEOUT_MS[class]);
        EngineEvent {
            gateway,
            event: received.event(),
        }
    }

    fn endpoint_stops(&mut self, now_ms: f64, index: usize) {
        self.endpoints[index].accepts_connections = false;
        let removed = self.endpoints[index].listing(EndpointState::Removed);
        self.announce(now_ms, &removed);
        if self.rollout.kind == RolloutKind::Replacement {
            let name = format!("{}b", removed.name).into();
            self.queue
                .insert(now_ms, FleetEvent::EndpointStarts { name });
            return;
        }
        self.reset_connections(now_ms, index);
        let name = removed.name;
        self.queue
            .insert(now_ms + DOWNTIME_MS, FleetEvent::EndpointStarts { name });
    }

    fn reset_connections(&mut self, now_ms: f64, index: usize) {
        for (id, request) in self.requests.iter().enumerate() {
            if let Some(attempt) = request.in_flight.filter(|a| a.endpoint == index) {
                let reset = FleetEvent::AttemptEnds {
                    request: id as u64,
                    attempt: attempt.number,
                    result: AttemptResult::ConnectionReset,
                };
                self.queue.insert(now_ms, reset);
            }
        }
    }

    fn endpoint_starts(&mut self, now_ms: f64, name: EndpointName) {
        let endpoint = SimulatedEndpoint::new(name, self.endpoints[0].capacity, now_ms);
        let ready = endpoint.listing(EndpointState::Ready);
        self.endpoints.push(endpoint);
        self.announce(now_ms, &ready);
    }

    fn attempt_ends(
        &mut self,
        now_ms: f64,
        id: u64,
        number: u32,
        result: AttemptResult,
    ) -> Option<EngineEvent> {
        let request = &mut self.requests[id as usize];
        // The connection may have been reset before.
        let attempt = request.in_flight.take_if(|a| a.number == number)?;
        request.served = result == AttemptResult::Success;
        let endpoint = &self.endpoints[attempt.endpoint].name;
        let mut outcome = outcome(id, endpoint, result, now_ms - attempt.started_at_ms);
        outcome.attempt = number;
        Some(EngineEvent {
            gateway: request.gateway,
            event: Event::AttemptFinished(outcome),
        })
    }

    fn execute(&mut self, now_ms: f64, gateway: usize, action: Action) {
        match action {
            Action::Forward {
                request: RequestId(request),
                endpoint,
                deadline: Timestamp(deadline_ms),
            } => self.forward(now_ms, request, &endpoint, deadline_ms),
            Action::SetTimer {
                token: TimerToken(token),
                delay: Milliseconds(delay_ms),
            } => {
                let event = FleetEvent::TimerFires { gateway, token };
                self.queue.insert(now_ms + delay_ms, event);
            }
            _ => {}
        }
    }

    fn forward(&mut self, now_ms: f64, id: u64, endpoint: &EndpointName, deadline_ms: f64) {
        let index = self
            .endpoints
            .iter()
            .rposition(|known| known.name == *endpoint)
            .expect("gateways choose listed endpoints");
        let request = &mut self.requests[id as usize];
        let number = request.attempts;
        request.attempts += 1;
        request.in_flight = Some(Attempt {
            number,
            endpoint: index,
            started_at_ms: now_ms,
        });
        let endpoint = &mut self.endpoints[index];
        let mut end = AttemptEnd {
            at_ms: now_ms,
            result: AttemptResult::ConnectFailed,
        };
        if endpoint.accepts_connections {
            end = endpoint.receive(now_ms, request.work);
        }
        if end.at_ms > deadline_ms {
            end = AttemptEnd {
                at_ms: deadline_ms,
                result: AttemptResult::TimedOut,
            };
        }
        let event = FleetEvent::AttemptEnds {
            request: id,
            attempt: number,
            result: end.result,
        };
        self.queue.insert(end.at_ms + 1.0, event);
    }
}

fn start_gateways(size: FleetSize, seed: u64, endpoints: &[SimulatedEndpoint]) -> Vec<TestGateway> {
    let start = |gateway: u32| {
        let settings = Settings {
            gateway: GatewayId(gateway),
            ..slow_start_settings(size.gateways)
        };
        let seed = seed.wrapping_mul(977) + u64::from(gateway);
        let listed = endpoints.iter().map(|e| e.listing(EndpointState::Ready));
        TestGateway::with_endpoints(settings, seed, listed.collect())
    };
    (0..size.gateways).map(start).collect()
}

/// One gateway in eight gets several times the traffic of the others. The parts add up to 1.
fn traffic_parts(gateways: u32, rng: &mut Pcg64Mcg) -> Vec<f64> {
    let parts = (0..gateways).map(|gateway| {
        if gateway.is_multiple_of(8) {
            rng.random_range(3.0..5.0)
        } else {
            rng.random_range(0.3..1.0)
        }
    });
    let parts: Vec<f64> = parts.collect();
    let sum: f64 = parts.iter().sum();
    parts.iter().map(|part| part / sum).collect()
}
