//! A simulated fleet of gateways that share quotas over a network with late and lost gossip.

use super::arrivals::{Arrival, Workload};
use super::event_queue::EventQueue;
use super::gateway::{TestGateway, endpoint};
use super::quota_ledger::{ForwardedValue, QuotaLedger, settlement};
use super::requests::success;
use marlshelf::{
    Action, AttemptOutcome, ClassIndex, EndpointName, Event, GatewayId, Milliseconds, Plan,
    PlanIndex, Request, RequestClass, RequestId, Settings, TimerToken, Timestamp, Tokens,
    TokensPerSecond,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

pub const GATEWAYS: u32 = 40;
/// The length of a simulated day.
pub const DAY_MS: f64 = 40_000.0;
/// How long each attempt takes.
pub const LATENCY_MS: f64 = 150.0;
/// A plan of `quota_fleet_settings` with nothing but a token bucket.
pub const QUOTA_PLAN: usize = 1;
/// The plan of `quota_fleet_settings` with a hard limit.
pub const HARD_LIMIT_PLAN: usize = 3;
/// The part of all gossip that is lost.
const GOSSIP_LOSS: f64 = 0.05;
/// How long a client waits for its answer.
const CLIENT_TIMEOUT_MS: f64 = 4000.0;

/// A fleet with plans of each kind of limit.
pub fn quota_fleet_settings() -> Settings {
    let plan = |refill_rate, burst, weight, over_quota_penalty| Plan {
        refill_rate: TokensPerSecond(refill_rate),
        burst: Tokens(burst),
        weight,
        over_quota_penalty,
        ..Plan::default()
    };
    Settings {
        gateway_count: GATEWAYS,
        classes: vec![RequestClass {
            priority_weight: 1.0,
            latency_objective: Milliseconds(2000.0),
            late_answer_weight: 0.2,
            ..RequestClass::default()
        }],
        plans: vec![
            plan(1.6, 9.0, 0.5, 0.6),
            plan(2.0, 12.0, 0.7, 1.2),
            Plan {
                max_concurrency: 3,
                ..plan(5.0, 20.0, 1.3, 1.0)
            },
            Plan {
                hard_limit_rate: TokensPerSecond(28.0),
                hard_limit_burst: Tokens(60.0),
                hard_limit_slack: Tokens(6.0),
                ..plan(14.0, 30.0, 1.8, 0.0)
            },
        ],
        max_attempts: 3,
        gossip_enabled: true,
        max_request_cost: Tokens(6.0),
        gossip_intake_per_second: 60.0,
        initial_warmth: 0.2,
        warmup_duration: Milliseconds(10_000.0),
        ..Settings::default()
    }
}

/// The ledgers of all tenants at the start.
pub fn ledgers(settings: &Settings, workload: &Workload) -> Vec<QuotaLedger> {
    workload
        .tenants
        .iter()
        .map(|tenant| QuotaLedger::new(&settings.plans[tenant.plan]))
        .collect()
}

/// What a simulated fleet forwarded.
pub struct QuotaFleetResult {
    pub value: ForwardedValue,
    /// The ledgers of all tenants at the end.
    pub ledgers: Vec<QuotaLedger>,
}

enum GatewayEvent {
    RequestArrives(usize),
    GossipArrives {
        from: u32,
        text: String,
    },
    TimerFires(u64),
    AttemptEnds {
        request: u64,
        endpoint: EndpointName,
        within_quota: bool,
    },
}

struct ScheduledEvent {
    gateway: usize,
    event: GatewayEvent,
}

pub struct QuotaFleet<'a> {
    settings: &'a Settings,
    workload: &'a Workload,
    rng: Pcg64Mcg,
    gateways: Vec<TestGateway>,
    queue: EventQueue<ScheduledEvent>,
    forwarded: BTreeSet<u64>,
    result: QuotaFleetResult,
}

impl<'a> QuotaFleet<'a> {
    pub fn new(seed: u64, settings: &'a Settings, workload: &'a Workload) -> Self {
        let gateways = (0..GATEWAYS).map(|gateway| start_gateway(seed, settings, gateway));
        QuotaFleet {
            settings,
            workload,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xfee1),
            gateways: gateways.collect(),
            queue: EventQueue::new(),
            forwarded: BTreeSet::new(),
            result: QuotaFleetResult {
                value: ForwardedValue::default(),
                ledgers: ledgers(settings, workload),
            },
        }
    }

    /// Runs the whole workload through the gateways.
    pub fn run(mut self) -> QuotaFleetResult {
        let workload = self.workload;
        for (index, arrival) in workload.arrivals.iter().enumerate() {
            let event = GatewayEvent::RequestArrives(index);
            self.schedule(arrival.at_ms, arrival.gateway, event);
        }
        while let Some((now_ms, ScheduledEvent { gateway, event })) = self.queue.pop() {
            let event = self.engine_event(now_ms, event);
            for action in self.gateways[gateway].handle(now_ms, event) {
                self.execute(now_ms, gateway, action);
            }
        }
        self.result
    }

    fn schedule(&mut self, at_ms: f64, gateway: usize, event: GatewayEvent) {
        self.queue.insert(at_ms, ScheduledEvent { gateway, event });
    }

    fn arrival(&self, request: u64) -> &'a Arrival {
        &self.workload.arrivals[request as usize]
    }

    fn plan_of(&self, arrival: &Arrival) -> &'a Plan {
        &self.settings.plans[self.workload.tenant_of(arrival).plan]
    }

    fn engine_event(&mut self, now_ms: f64, event: GatewayEvent) -> Event {
        match event {
            GatewayEvent::RequestArrives(index) => {
                Event::RequestReceived(self.request(now_ms, index))
            }
            GatewayEvent::GossipArrives { from, text } => Event::GossipReceived {
                from: GatewayId(from),
                text,
            },
            GatewayEvent::TimerFires(token) => Event::TimerFired {
                token: TimerToken(token),
            },
            GatewayEvent::AttemptEnds {
                request,
                endpoint,
                within_quota,
            } => {
                let arrival = self.arrival(request);
                let plan = self.plan_of(arrival);
                let settlement = settlement(arrival, within_quota);
                self.result.ledgers[arrival.tenant].finish(plan, now_ms, settlement);
                Event::AttemptFinished(AttemptOutcome {
                    actual_cost: Some(Tokens(arrival.actual_cost)),
                    ..success(request, &endpoint, LATENCY_MS)
                })
            }
        }
    }

    fn request(&self, now_ms: f64, index: usize) -> Request {
        let arrival = &self.workload.arrivals[index];
        let tenant = self.workload.tenant_of(arrival);
        Request {
            id: RequestId(index as u64),
            tenant: format!("c{}", arrival.tenant).into(),
            class: ClassIndex(0),
            plan: PlanIndex(tenant.plan),
            cost: Tokens(arrival.estimated_cost),
            shard_start: GatewayId(tenant.shard_start),
            shard_size: tenant.shard_size,
            client_deadline: Timestamp(now_ms + CLIENT_TIMEOUT_MS),
            is_retry: false,
        }
    }

    fn execute(&mut self, now_ms: f64, gateway: usize, action: Action) {
        match action {
            Action::Forward {
                request: RequestId(request),
                endpoint,
                ..
            } => self.forward(now_ms, gateway, request, endpoint),
            Action::SendGossip {
                to: GatewayId(to),
                text,
            } if self.rng.random::<f64>() >= GOSSIP_LOSS => {
                let delay_ms = self.rng.random_range(3.0..23.0);
                let from = gateway as u32;
                let event = GatewayEvent::GossipArrives { from, text };
                self.schedule(now_ms + delay_ms, to as usize, event);
            }
            Action::SetTimer {
                token: TimerToken(token),
                delay: Milliseconds(delay_ms),
            } => {
                let event = GatewayEvent::TimerFires(token);
                self.schedule(now_ms + delay_ms, gateway, event);
            }
            _ => {}
        }
    }

    fn forward(&mut self, now_ms: f64, gateway: usize, request: u64, endpoint: EndpointName) {
        assert!(
            self.forwarded.insert(request),
            "request {request} is forwarded twice"
        );
        let arrival = self.arrival(request);
        let plan = self.plan_of(arrival);
        let within_quota = self.result.ledgers[arrival.tenant].forward(
            plan,
            now_ms,
            arrival.estimated_cost,
            &mut self.result.value,
        );
        let event = GatewayEvent::AttemptEnds {
            request,
            endpoint,
            within_quota,
        };
        self.schedule(now_ms + LATENCY_MS, gateway, event);
    }
}

fn start_gateway(seed: u64, settings: &Settings, gateway: u32) -> TestGateway {
    let settings = Settings {
        gateway: GatewayId(gateway),
        ..settings.clone()
    };
    let seed = seed.wrapping_mul(97) + u64::from(gateway);
    let endpoints = (0..30)
        .map(|index| endpoint(&format!("s{index}"), 0))
        .collect();
    TestGateway::with_endpoints(settings, seed, endpoints)
}
