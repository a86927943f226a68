//! A fleet decides after a long uptime as on its first days.

use marlshelf::{
    Action, EndpointName, GatewayId, Milliseconds, Plan, RequestClass, RequestId, Settings,
    TimerToken, Timestamp, Tokens, TokensPerSecond,
};
use marlshelf_simulation::{
    Arrival, ArrivalSource, ClientDeadline, ClientRequest, ClientRetry, Clients, EndpointIndex,
    EndpointPool, Fault, Fleet, FleetScenario, GatewaySeeds, GossipNetwork, Incident, Observer,
    PlannedIncident, Randomness, ServiceModel, Surge, TenantClients, TenantTraffic,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const GATEWAYS: u32 = 3;
const ENDPOINTS: usize = 4;
const SEED: u64 = 43;
/// The start of the gateways in Unix time, as on real sockets.
const START: Timestamp = Timestamp(1_780_000_000_000.0);
const MINUTE: Milliseconds = Milliseconds(60_000.0);
const HOUR: Milliseconds = Milliseconds(3_600_000.0);
const DAY: Milliseconds = Milliseconds(86_400_000.0);
/// The duration of the traffic before the rest.
const BEFORE_REST: Milliseconds = Milliseconds(600_000.0);

/// An action without the time at which it was taken. Deadlines are relative to that time.
#[derive(Debug, PartialEq)]
enum Decision {
    Forward {
        request: RequestId,
        endpoint: EndpointName,
        time_left: Milliseconds,
    },
    Answer {
        request: RequestId,
        retry_after: Option<Milliseconds>,
    },
    Gossip {
        to: GatewayId,
        text: String,
    },
    Timer {
        token: TimerToken,
        delay: Milliseconds,
    },
}

#[derive(Debug, PartialEq)]
struct TimedDecision {
    /// The time since the end of the rest.
    at: Milliseconds,
    gateway: GatewayId,
    decision: Decision,
}

/// Records all decisions after the rest.
struct DecisionsAfterRest {
    rest_end: Timestamp,
    decisions: Vec<TimedDecision>,
}

impl Observer for DecisionsAfterRest {
    fn on_action(&mut self, now: Timestamp, gateway: GatewayId, action: &Action) {
        if now < self.rest_end {
            return;
        }
        let decision = match action.clone() {
            Action::Forward {
                request,
                endpoint,
                deadline,
            } => Decision::Forward {
                request,
                endpoint,
                time_left: deadline - now,
            },
            Action::Reject {
                request,
                retry_after,
                ..
            } => Decision::Answer {
                request,
                retry_after: Some(retry_after),
            },
            Action::Fail { request } => Decision::Answer {
                request,
                retry_after: None,
            },
            Action::SendGossip { to, text } => Decision::Gossip { to, text },
            Action::SetTimer { token, delay } => Decision::Timer { token, delay },
        };
        self.decisions.push(TimedDecision {
            at: now - self.rest_end,
            gateway,
            decision,
        });
    }
}

/// Clients that send nothing for a while after [`BEFORE_REST`]. Their own clock stands still in that time.
struct RestingClients {
    clients: TenantClients,
    rest: Milliseconds,
}

impl RestingClients {
    fn clients_time(&self, now: Timestamp) -> Timestamp {
        let since_start = now - START;
        let rested = if since_start < BEFORE_REST + self.rest {
            since_start.min(BEFORE_REST)
        } else {
            since_start - self.rest
        };
        Timestamp::ZERO + rested
    }

    fn fleet_time(&self, at: Timestamp) -> Timestamp {
        let since_start = at - Timestamp::ZERO;
        if since_start < BEFORE_REST {
            START + since_start
        } else {
            START + since_start + self.rest
        }
    }
}

impl Clients for RestingClients {
    fn first_arrivals(&mut self, random: &mut Pcg64Mcg) -> Vec<Timestamp> {
        let arrivals = self.clients.first_arrivals(random);
        arrivals.into_iter().map(|at| self.fleet_time(at)).collect()
    }

    fn arrive(&mut self, source: ArrivalSource, now: Timestamp, random: &mut Pcg64Mcg) -> Arrival {
        let arrival = self.clients.arrive(source, self.clients_time(now), random);
        Arrival {
            next_at: arrival.next_at.map(|at| self.fleet_time(at)),
            ..arrival
        }
    }

    fn client_deadline(
        &mut self,
        request: &ClientRequest,
        now: Timestamp,
        random: &mut Pcg64Mcg,
    ) -> ClientDeadline {
        let clients_now = self.clients_time(now);
        let deadline = self.clients.client_deadline(request, clients_now, random);
        ClientDeadline {
            deadline: now + (deadline.deadline - clients_now),
            disconnect_at: deadline.disconnect_at.map(|at| now + (at - clients_now)),
        }
    }

    fn retry(
        &mut self,
        request: &ClientRequest,
        retry_after: Milliseconds,
        now: Timestamp,
        random: &mut Pcg64Mcg,
    ) -> Option<ClientRetry> {
        let clients_now = self.clients_time(now);
        let retry = self
            .clients
            .retry(request, retry_after, clients_now, random)?;
        Some(ClientRetry {
            at: now + (retry.at - clients_now),
            ..retry
        })
    }
}

fn settings() -> Settings {
    let plan = Plan {
        refill_rate: TokensPerSecond(1.0),
        burst: Tokens(10.0),
        weight: 1.0,
        over_quota_penalty: 0.6,
        ..Plan::default()
    };
    Settings {
        gateway_count: GATEWAYS,
        classes: vec![
            RequestClass {
                latency_objective: Milliseconds(500.0),
                priority_weight: 1.0,
                late_answer_weight: 0.2,
                ..RequestClass::default()
            },
            RequestClass {
                latency_objective: Milliseconds(300.0),
                priority_weight: 4.0,
                ..RequestClass::default()
            },
        ],
        plans: vec![
            plan.clone(),
            Plan {
                max_concurrency: 2,
                ..plan.clone()
            },
            Plan {
                hard_limit_rate: TokensPerSecond(3.0),
                hard_limit_burst: Tokens(20.0),
                hard_limit_slack: Tokens(4.0),
                weight: 2.0,
                ..plan
            },
        ],
        max_attempts: 3,
        gossip_enabled: true,
        max_request_cost: Tokens(4.0),
        ..Settings::default()
    }
}

/// Light traffic with an overload of a minute, one hour after the rest.
fn traffic() -> TenantTraffic {
    let overload_start = Timestamp::ZERO + BEFORE_REST + HOUR;
    TenantTraffic {
        tenants: 30,
        requests_per_second: 0.7,
        surge: Some(Surge {
            period: overload_start..overload_start + MINUTE,
            factor: 1000.0,
        }),
        idle: None,
        shard_sizes: vec![1, GATEWAYS],
        sticky_ratio: 0.5,
        disconnect_ratio: 0.05,
        retry_ratio: 0.5,
        invalid_ratio: 0.0,
    }
}

/// Plays ten minutes of traffic, a rest of this duration, and two days with an overload, a restart of an
/// endpoint and a faulty endpoint. Returns the decisions of the two days.
fn decisions_after_rest(rest: Milliseconds) -> Vec<TimedDecision> {
    let rest_end = START + BEFORE_REST + rest;
    let faulty = EndpointIndex(1);
    let scenario = FleetScenario {
        settings: settings(),
        endpoints: EndpointPool {
            count: ENDPOINTS,
            service: ServiceModel {
                service_time_variation: Some(0.5..1.5),
                ..ServiceModel::default()
            },
            ..EndpointPool::default()
        },
        gossip: GossipNetwork::default(),
        start: START,
        incidents: vec![
            PlannedIncident::at(rest_end + HOUR * 2.0, Incident::Restart(EndpointIndex(0))),
            PlannedIncident::at(
                rest_end + HOUR * 3.0,
                Incident::Fault(faulty, Fault::Errors(0.7)),
            ),
            PlannedIncident::at(rest_end + HOUR * 4.0, Incident::Fault(faulty, Fault::None)),
        ],
        end: rest_end + DAY * 2.0,
        ..FleetScenario::default()
    };
    let mut generator = Pcg64Mcg::seed_from_u64(SEED);
    let clients = RestingClients {
        clients: TenantClients::new(&traffic(), &scenario.settings, &mut generator),
        rest,
    };
    let observer = DecisionsAfterRest {
        rest_end,
        decisions: Vec::new(),
    };
    let randomness = Randomness::shared(generator, GatewaySeeds::consecutive_from(SEED));
    let run = Fleet::new(&scenario, clients, observer, randomness).run();
    run.observer.decisions
}

/// Guards against state that wraps, loses precision or fails to decay with the uptime.
#[test]
fn decisions_of_two_days_are_the_same_after_an_hour_and_after_long_rests() {
    let expected = decisions_after_rest(HOUR);
    for rest in [DAY * 59.0, DAY * 3.0 * 365.0] {
        let decisions = decisions_after_rest(rest);
        assert_eq!(decisions.len(), expected.len());
        let difference = decisions.iter().zip(&expected).find(|(a, b)| a != b);
        assert_eq!(
            difference,
            None,
            "after a rest of {} days",
            rest / DAY.as_f64()
        );
    }
    let rejected = expected.iter().filter(|decision| {
        matches!(
            decision.decision,
            Decision::Answer {
                retry_after: Some(_),
                ..
            }
        )
    });
    assert!(rejected.count() > 1000, "the traffic overloads the fleet");
}
