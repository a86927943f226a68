//! A simulated fleet in which endpoints start while each gateway receives a small fraction of the traffic.

use super::settings::slow_start_settings;
use marlshelf::{AttemptResult, ClassIndex, GatewayId, Milliseconds, RequestId, Timestamp};
use marlshelf_simulation::ledgers::OverloadRule;
use marlshelf_simulation::{
    Arrival, ArrivalSource, ClientDeadline, ClientRequest, Clients, EndpointIndex, EndpointNames,
    EndpointPool, Fleet, FleetScenario, GatewaySeeds, GossipNetwork, Incident, Observer,
    PlannedIncident, RandomStream, Randomness, ResponseDelays, ServiceModel, SimulatedEndpoint,
    SlowStart,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The warm-up of the simulated endpoints, which the gateway settings match.
pub const SLOW_START: SlowStart = SlowStart {
    initial_warmth: 0.16,
    warmup: Milliseconds(16_000.0),
};
/// A warming endpoint fails when the work within a window exceeds this multiple of its capacity.
pub const OVERLOAD_MULTIPLE: f64 = 4.0;
const OVERLOAD_WINDOW: Milliseconds = Milliseconds(1500.0);
/// The start of the first new endpoint. By then every gateway has estimated the latency of the warm
/// endpoints.
pub const FIRST_START: Timestamp = Timestamp(8000.0);
/// The duration of a simulation after the last start.
pub const RUN_AFTER_START: Milliseconds = Milliseconds(18_000.0);
/// The time between an incident and the start of its endpoint.
const DOWNTIME: Milliseconds = Milliseconds(1000.0);
/// The factor by which traffic increases during a burst.
const BURST: f64 = 1.5;
/// The time that clients of each class wait for a response.
const CLIENT_TIMEOUTS: [Milliseconds; 2] = [Milliseconds(6000.0), Milliseconds(4000.0)];
const CORES: usize = 4;
/// Two queued requests for each core.
const QUEUE_CAPACITY: usize = 8;

/// The size of a fleet and its load.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub gateways: u32,
    pub endpoints: usize,
    /// The number of requests of mean work that a warm endpoint serves per second.
    pub capacity: f64,
    /// The offered load, as a fraction of the capacity of all endpoints when warm.
    pub utilization: f64,
    /// The minimum work that must be served during the warm-up, as a fraction of the work that the running
    /// endpoints could serve.
    pub min_served: f64,
}

/// The endpoints that start, and the times of their starts.
#[derive(Clone, Copy, Debug)]
pub struct Rollout {
    pub kind: RolloutKind,
    /// The fraction of the endpoints that are restarted or replaced.
    pub fraction: f64,
    /// The time between two consecutive starts.
    pub interval: Milliseconds,
    /// Whether traffic increases by half during the first half of the warm-up.
    pub burst: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutKind {
    /// The process stops, which resets its connections, and starts again after the downtime.
    Restart,
    /// A new endpoint with another name takes over at once, and the old one finishes its requests.
    Replacement,
}

impl FleetSize {
    fn endpoint_pool(&self) -> EndpointPool {
        EndpointPool {
            count: self.endpoints,
            names: EndpointNames {
                initial: |index| format!("w{index:02}"),
                added: |like, _| format!("w{like:02}b"),
            },
            service: ServiceModel {
                cores: CORES,
                queue_capacity: QUEUE_CAPACITY,
                service_time: Milliseconds(CORES as f64 * 1000.0 / self.capacity),
                service_time_variation: None,
                slow_start: SLOW_START,
                delays: ResponseDelays {
                    connect_failure: Milliseconds::ZERO,
                    network: Milliseconds(1.0),
                    timeout: Milliseconds(1.0),
                    ..ResponseDelays::default()
                },
            },
            ..EndpointPool::default()
        }
    }

    /// Returns the rule by which warming endpoints fail.
    pub fn overload_rule(&self) -> OverloadRule {
        OverloadRule {
            multiple: OVERLOAD_MULTIPLE,
            window: OVERLOAD_WINDOW,
            capacity: self.capacity,
            slow_start: SLOW_START,
        }
    }
}

impl Rollout {
    fn incidents(&self, endpoint_count: usize) -> Vec<PlannedIncident> {
        let starts = (self.fraction * endpoint_count as f64).round() as usize;
        let at_each_start = |incident: fn(EndpointIndex) -> Incident| {
            (0..starts).map(move |start| {
                // The step of 7 avoids endpoints with adjacent names, because gateways choose their subsets
                // in the order of names.
                let index = EndpointIndex(start * 7 % endpoint_count);
                let at = FIRST_START + self.interval * start as f64;
                PlannedIncident::at(at, incident(index))
            })
        };
        match self.kind {
            RolloutKind::Restart => at_each_start(Incident::Restart).collect(),
            RolloutKind::Replacement => at_each_start(Incident::Remove)
                .chain(at_each_start(Incident::Add))
                .collect(),
        }
    }
}

/// Clients that each use a single gateway, with a Poisson arrival process per gateway.
struct GatewayTraffic {
    /// Requests per second, by gateway.
    rates: Vec<f64>,
    has_burst: bool,
}

impl GatewayTraffic {
    fn new(size: &FleetSize, rollout: &Rollout, random: &mut Pcg64Mcg) -> GatewayTraffic {
        let requests_per_second = size.utilization * size.capacity * size.endpoints as f64;
        let fractions = traffic_fractions(size.gateways, random);
        GatewayTraffic {
            rates: fractions
                .iter()
                .map(|fraction| requests_per_second * fraction)
                .collect(),
            has_burst: rollout.burst,
        }
    }

    fn next_arrival(&self, gateway: usize, now: Timestamp, random: &mut Pcg64Mcg) -> Timestamp {
        let burst = FIRST_START..FIRST_START + SLOW_START.warmup / 2.0;
        let in_burst = self.has_burst && burst.contains(&now);
        let factor = if in_burst { BURST } else { 1.0 };
        let rate = self.rates[gateway] * factor;
        now + Milliseconds(-1000.0 / rate * (1.0 - random.random::<f64>()).ln())
    }
}

impl Clients for GatewayTraffic {
    fn first_arrivals(&mut self, random: &mut Pcg64Mcg) -> Vec<Timestamp> {
        (0..self.rates.len())
            .map(|gateway| self.next_arrival(gateway, Timestamp::ZERO, random))
            .collect()
    }

    fn arrive(&mut self, source: ArrivalSource, now: Timestamp, random: &mut Pcg64Mcg) -> Arrival {
        let next_at = self.next_arrival(source.0, now, random);
        // The shard consists of one gateway, which owns the tenant's quota. Quotas therefore have no effect
        // here.
        let request = ClientRequest {
            tenant: "acme".into(),
            class: ClassIndex(usize::from(random.random_range(0..3) == 0)),
            work: random.random_range(0.5..1.5),
            ..ClientRequest::to_gateway(GatewayId(source.0 as u32))
        };
        Arrival {
            request: Some(request),
            next_at: Some(next_at),
        }
    }

    fn client_deadline(
        &mut self,
        request: &ClientRequest,
        now: Timestamp,
        _random: &mut Pcg64Mcg,
    ) -> ClientDeadline {
        ClientDeadline {
            deadline: now + CLIENT_TIMEOUTS[request.class.0],
            disconnect_at: None,
        }
    }
}

/// Returns the fraction of the traffic for each gateway, with a sum of 1. One gateway in eight gets several
/// times the traffic of the others.
fn traffic_fractions(gateways: u32, random: &mut Pcg64Mcg) -> Vec<f64> {
    let weights = (0..gateways).map(|gateway| {
        if gateway.is_multiple_of(8) {
            random.random_range(3.0..5.0)
        } else {
            random.random_range(0.3..1.0)
        }
    });
    let weights: Vec<f64> = weights.collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum).collect()
}

/// The result of a request.
pub struct RequestRecord {
    /// The work relative to the mean.
    pub work: f64,
    pub arrived_at: Timestamp,
    pub served: bool,
}

/// The requests in the order of their ids, which start at 1.
#[derive(Default)]
struct RequestLog(Vec<RequestRecord>);

impl Observer for RequestLog {
    fn on_request(&mut self, now: Timestamp, _id: RequestId, request: &ClientRequest) {
        self.0.push(RequestRecord {
            work: request.work,
            arrived_at: now,
            served: false,
        });
    }

    fn on_attempt_end(
        &mut self,
        _now: Timestamp,
        id: RequestId,
        _request: &ClientRequest,
        result: AttemptResult,
    ) {
        self.0[id.0 as usize - 1].served = result == AttemptResult::Success;
    }
}

/// The endpoints and requests of a completed rollout.
pub struct RolloutRun {
    pub size: FleetSize,
    pub endpoints: Vec<SimulatedEndpoint>,
    pub requests: Vec<RequestRecord>,
}

/// Runs a rollout over a fleet whose endpoints are all warm at the start.
pub fn run_rollout(size: FleetSize, rollout: Rollout, seed: u64) -> RolloutRun {
    let incidents = rollout.incidents(size.endpoints);
    let last_start = incidents.last().expect("a rollout starts endpoints").at;
    let scenario = FleetScenario {
        settings: slow_start_settings(size.gateways),
        endpoints: size.endpoint_pool(),
        // All gossip is lost, so gateways estimate endpoints only from their own attempts.
        gossip: GossipNetwork {
            loss_ratio: 1.0,
            ..GossipNetwork::default()
        },
        incidents,
        end: last_start + DOWNTIME + RUN_AFTER_START,
        ..FleetScenario::default()
    };
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let clients = GatewayTraffic::new(&size, &rollout, &mut generator);
    // Only traffic and discovery affect the result of a run. The other streams draw from separate generators
    // that have no effect.
    let unused = generator.clone();
    let randomness = Randomness::shared(
        generator,
        GatewaySeeds::consecutive_from(seed.wrapping_mul(977)),
    )
    .with_separate(RandomStream::Endpoints, unused.clone())
    .with_separate(RandomStream::Gossip, unused.clone())
    .with_separate(RandomStream::Host, unused);
    let run = Fleet::new(&scenario, clients, RequestLog::default(), randomness).run();
    RolloutRun {
        size,
        endpoints: run.endpoints,
        requests: run.observer.0,
    }
}
