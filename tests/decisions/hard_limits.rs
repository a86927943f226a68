//! The fleet-wide hard limit on a tenant's tokens, which must hold even without gossip.

use crate::support::gateway::TestGateway;
use crate::support::requests::{request, success};
use crate::support::settings::{HARD_LIMIT, fleet_settings};
use marlshelf::{Action, Event, GatewayId, Milliseconds, RequestId, Settings, TimerToken};

const GATEWAYS: usize = 4;
/// Maximum within ten seconds: a burst of 16, a slack of 2, and 4 tokens per second.
const MAX_FORWARDED: usize = 58;

/// A load of 400 requests over ten seconds on four gateways.
#[derive(Clone, Copy, Debug)]
struct Overload {
    /// Whether all requests arrive at one gateway.
    single_gateway: bool,
    /// Number of lost datagrams out of every three.
    lost_of_every_three: u64,
    /// Whether all gateways restart after five seconds.
    restart: bool,
}

struct RequestTimer {
    due_at_ms: f64,
    gateway: usize,
    token: u64,
}

struct Simulation {
    overload: Overload,
    gateways: Vec<TestGateway>,
    timers: Vec<RequestTimer>,
    pending: Vec<(usize, Event)>,
    datagrams: u64,
    forwarded: usize,
}

impl Simulation {
    fn new(overload: Overload) -> Self {
        Simulation {
            overload,
            gateways: start_gateways(),
            timers: Vec::new(),
            pending: Vec::new(),
            datagrams: 0,
            forwarded: 0,
        }
    }

    /// Returns the number of forwarded requests.
    fn run(mut self) -> usize {
        for id in 0..400u64 {
            let now_ms = 60_000.0 + 25.0 * id as f64;
            if self.overload.restart && id == 200 {
                self.gateways = start_gateways();
                self.timers.clear();
            }
            let round_robin_gateway = (id % GATEWAYS as u64) as usize;
            let gateway = if self.overload.single_gateway {
                3
            } else {
                round_robin_gateway
            };
            let received = request(id, now_ms)
                .plan(HARD_LIMIT)
                .shard_size(GATEWAYS as u32);
            self.pending.push((gateway, received.event()));
            self.fire_due_timers(now_ms);
            while let Some((gateway, event)) = self.pending.pop() {
                for action in self.gateways[gateway].handle(now_ms, event) {
                    self.execute(now_ms, gateway, action);
                }
            }
        }
        self.forwarded
    }

    fn fire_due_timers(&mut self, now_ms: f64) {
        while let Some(index) = self.timers.iter().position(|t| t.due_at_ms <= now_ms) {
            let RequestTimer { gateway, token, .. } = self.timers.swap_remove(index);
            self.pending.push((
                gateway,
                Event::TimerFired {
                    token: TimerToken(token),
                },
            ));
        }
    }

    fn execute(&mut self, now_ms: f64, gateway: usize, action: Action) {
        match action {
            Action::SendGossip {
                to: GatewayId(to),
                text,
            } => {
                self.datagrams += 1;
                if self.datagrams % 3 >= self.overload.lost_of_every_three {
                    let from = gateway as u32;
                    let received = Event::GossipReceived {
                        from: GatewayId(from),
                        text,
                    };
                    self.pending.push((to as usize, received));
                }
            }
            Action::SetTimer {
                token: TimerToken(token),
                delay: Milliseconds(delay_ms),
            } => self.timers.push(RequestTimer {
                due_at_ms: now_ms + delay_ms,
                gateway,
                token,
            }),
            Action::Forward {
                request: RequestId(request),
                endpoint,
                ..
            } => {
                self.forwarded += 1;
                let answered = Event::AttemptFinished(success(request, &endpoint, 5.0));
                self.pending.push((gateway, answered));
            }
            _ => {}
        }
    }
}

fn start_gateways() -> Vec<TestGateway> {
    (0..GATEWAYS as u32)
        .map(|gateway| {
            TestGateway::new(Settings {
                gateway: GatewayId(gateway),
                ..fleet_settings(GATEWAYS as u32)
            })
        })
        .collect()
}

#[test]
fn single_gateway_receiving_all_requests_can_use_the_whole_hard_limit() {
    let forwarded = Simulation::new(Overload {
        single_gateway: true,
        lost_of_every_three: 0,
        restart: false,
    })
    .run();
    assert!(
        (25..=MAX_FORWARDED).contains(&forwarded),
        "expected 25 to {MAX_FORWARDED} at one gateway, whose fallback quota is 10, got {forwarded}"
    );
}

#[test]
fn hard_limit_holds_for_all_gateways_together_despite_lost_gossip_and_restarts() {
    for (single_gateway, restart) in [(true, true), (false, false), (false, true)] {
        for lost_of_every_three in 0..=3 {
            let overload = Overload {
                single_gateway,
                lost_of_every_three,
                restart,
            };
            let forwarded = Simulation::new(overload).run();
            assert!(
                forwarded <= MAX_FORWARDED,
                "expected at most {MAX_FORWARDED} under {overload:?}, got {forwarded}"
            );
        }
    }
}
