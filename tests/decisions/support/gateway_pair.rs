//! Two gateways of one tenant's shard and the gossip link between them.

use super::actions::{Actions, Timer};
use super::gateway::TestGateway;
use super::requests::{TestRequest, request, success};
use super::settings::SMALL_QUOTA;
use marlshelf::{Action, Event, GatewayId, RequestId, Settings, TimerToken};

/// The most bytes that a gossip datagram may hold.
const MAX_DATAGRAM_BYTES: usize = 256;

pub struct GatewayPair {
    pub gateways: [TestGateway; 2],
    /// Whether the link drops all gossip.
    pub partitioned: bool,
}

/// An action of one of the two gateways.
#[derive(Debug)]
pub struct PairAction {
    pub gateway: usize,
    pub action: Action,
}

/// A request at the gateway that does not own the tenant's quota, without a decision of the owner.
pub struct UndecidedRequest {
    pub gateway: usize,
    /// When the gateway acts without the decision.
    pub timer: Timer,
}

/// How many attempts the actions start.
pub fn forwarded_count(actions: &[PairAction]) -> usize {
    actions
        .iter()
        .filter(|entry| matches!(entry.action, Action::Forward { .. }))
        .count()
}

/// The first timer of a request among the actions.
pub fn request_timer(actions: &[PairAction]) -> Option<Timer> {
    actions
        .iter()
        .find_map(|entry| std::slice::from_ref(&entry.action).request_timer())
}

impl GatewayPair {
    pub fn new(settings: &Settings) -> Self {
        let of_gateway = |gateway| {
            TestGateway::new(Settings {
                gateway,
                gateway_count: 2,
                ..settings.clone()
            })
        };
        GatewayPair {
            gateways: [of_gateway(GatewayId(0)), of_gateway(GatewayId(1))],
            partitioned: false,
        }
    }

    /// Hands an event to a gateway and delivers gossip until there is none left. Returns all other actions.
    pub fn handle(&mut self, gateway: usize, now_ms: f64, event: Event) -> Vec<PairAction> {
        let mut pending = vec![(gateway, event)];
        let mut others = Vec::new();
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
                    action => others.push(PairAction { gateway, action }),
                }
            }
        }
        others
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

    /// Receives a request on the small quota and answers every attempt at once. Returns how many there were.
    pub fn serve(&mut self, gateway: usize, id: u64, now_ms: f64) -> usize {
        let actions = self.receive(gateway, request(id, now_ms).plan(SMALL_QUOTA));
        for entry in &actions {
            self.answer_at_once(now_ms, entry);
        }
        forwarded_count(&actions)
    }

    /// If the action starts an attempt, the endpoint answers it.
    pub fn answer_at_once(&mut self, now_ms: f64, entry: &PairAction) {
        if let Action::Forward {
            request: RequestId(request),
            endpoint,
            ..
        } = &entry.action
        {
            let answered = Event::AttemptFinished(success(*request, endpoint, 5.0));
            self.handle(entry.gateway, now_ms, answered);
        }
    }

    /// Sends a request to both gateways, during a partition, until one waits for the owner of the quota.
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
