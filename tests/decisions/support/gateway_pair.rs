//! Two gateways that form one tenant's shard, and the gossip link between them.

use super::actions::{Actions, Timer};
use super::gateway::TestGateway;
use super::requests::{TestRequest, request, success};
use super::settings::SMALL_QUOTA;
use marlshelf::{Action, Event, GatewayId, RequestId, Settings, TimerToken};

const MAX_DATAGRAM_BYTES: usize = 256;

pub struct GatewayPair {
    pub gateways: [TestGateway; 2],
    /// Whether the link drops all gossip.
    pub partitioned: bool,
}

/// An action returned by one of the two gateways.
#[derive(Debug)]
pub struct PairAction {
    pub gateway: usize,
    pub action: Action,
}

/// A request for which a gateway has asked the owner without getting a decision.
pub struct UndecidedRequest {
    pub gateway: usize,
    /// The timer at which the gateway proceeds without the decision.
    pub timer: Timer,
}

pub fn forwarded_count(actions: &[PairAction]) -> usize {
    actions
        .iter()
        .filter(|pair_action| matches!(pair_action.action, Action::Forward { .. }))
        .count()
}

/// Returns the first timer set for a request.
pub fn request_timer(actions: &[PairAction]) -> Option<Timer> {
    actions
        .iter()
        .find_map(|pair_action| std::slice::from_ref(&pair_action.action).request_timer())
}

impl GatewayPair {
    pub fn new(settings: &Settings) -> Self {
        let start_gateway = |gateway| {
            TestGateway::new(Settings {
                gateway,
                gateway_count: 2,
                ..settings.clone()
            })
        };
        GatewayPair {
            gateways: [start_gateway(GatewayId(0)), start_gateway(GatewayId(1))],
            partitioned: false,
        }
    }

    /// Passes an event to a gateway and delivers all resulting gossip. Returns the other actions.
    pub fn handle(&mut self, gateway: usize, now_ms: f64, event: Event) -> Vec<PairAction> {
        let mut pending = vec![(gateway, event)];
        let mut other_actions = Vec::new();
        while let Some((gateway, event)) = pending.pop() {
            for action in self.gateways[gateway].handle(now_ms, event) {
                match action {
                    Action::SendGossip { .. } if self.partitioned => {}
                    Action::SendGossip {
                        to: GatewayId(to),
                        text,
                    } => {
                        assert!(text.len() <= MAX_DATAGRAM_BYTES, "too long: {text}");
                        assert_ne!(to as usize, gateway, "a gateway sends itself {text}");
                        let from = gateway as u32;
                        pending.push((
                            to as usize,
                            Event::GossipReceived {
                                from: GatewayId(from),
                                text,
                            },
                        ));
                    }
                    action => other_actions.push(PairAction { gateway, action }),
                }
            }
        }
        other_actions
    }

    pub fn receive(&mut self, gateway: usize, request: TestRequest) -> Vec<PairAction> {
        self.handle(gateway, request.received_at_ms, request.event())
    }

    pub fn fire_timer(&mut self, gateway: usize, now_ms: f64, token: u64) -> Vec<PairAction> {
        self.handle(
            gateway,
            now_ms,
            Event::TimerFired {
                token: TimerToken(token),
            },
        )
    }

    /// Receives a request on the small quota and completes every attempt immediately. Returns the number of
    /// attempts.
    pub fn serve(&mut self, gateway: usize, id: u64, now_ms: f64) -> usize {
        let actions = self.receive(gateway, request(id, now_ms).plan(SMALL_QUOTA));
        for pair_action in &actions {
            self.complete_attempt(now_ms, pair_action);
        }
        forwarded_count(&actions)
    }

    /// Completes the attempt successfully if the action starts one.
    pub fn complete_attempt(&mut self, now_ms: f64, pair_action: &PairAction) {
        if let Action::Forward {
            request: RequestId(request),
            endpoint,
            ..
        } = &pair_action.action
        {
            let answered = Event::AttemptFinished(success(*request, endpoint, 5.0));
            self.handle(pair_action.gateway, now_ms, answered);
        }
    }

    /// Partitions the gateways and sends a request to each until one of them waits for the quota owner, then
    /// restores the link.
    pub fn receive_at_non_owner(&mut self, now_ms: f64) -> UndecidedRequest {
        let partitioned = std::mem::replace(&mut self.partitioned, true);
        let undecided = (0..2).find_map(|gateway| {
            let id = gateway as u64 + 1;
            let actions = self.receive(gateway, request(id, now_ms).plan(SMALL_QUOTA));
            let timer = request_timer(&actions)?;
            Some(UndecidedRequest { gateway, timer })
        });
        self.partitioned = partitioned;
        undecided.expect("one of two gateways has to ask the other")
    }
}
