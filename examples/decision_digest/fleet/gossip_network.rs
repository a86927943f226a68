//! The network that carries gossip between gateways, with all its faults.

use super::Fleet;
use super::event_queue::FleetEvent;
use marlshelf::GatewayId;
use rand::Rng;

/// How many copies of a datagram arrive under the numbers of other gateways.
const FORGED_COPIES: u32 = 6;
/// The position of the plan's number in a gossip message.
const PLAN_FIELD: usize = 2;

impl Fleet<'_> {
    /// Delivers a datagram after a delay, unless it is lost or the network is partitioned.
    pub(super) fn deliver_gossip(&mut self, from: usize, to: GatewayId, mut text: String) {
        let network = &self.scenario.gossip;
        let receiver = to.0 as usize;
        let is_lost = self.rng.random::<f64>() < network.loss_ratio;
        if is_lost || self.is_partitioned(from, receiver) {
            return;
        }
        let at_ms = self.now_ms + self.rng.random_range(network.delay_ms.clone());
        if self.rng.random::<f64>() < network.damage_ratio {
            text = self.damage(text);
        }
        if self.rng.random::<f64>() < network.forgery_ratio {
            for _ in 0..FORGED_COPIES {
                let gateway_count = self.scenario.settings.gateway_count;
                let sender = GatewayId(self.rng.random_range(0..gateway_count));
                self.schedule_gossip(at_ms, sender, receiver, text.clone());
            }
        } else {
            self.schedule_gossip(at_ms, GatewayId(from as u32), receiver, text);
        }
    }

    fn schedule_gossip(&mut self, at_ms: f64, from: GatewayId, to: usize, text: String) {
        self.schedule(at_ms, FleetEvent::Gossip { to, from, text });
    }

    /// Whether a partition separates the gateways of even numbers from those of odd numbers.
    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let period_ms = self.scenario.gossip.partition_ms.as_ref();
        period_ms.is_some_and(|period_ms| period_ms.contains(&self.now_ms)) && from % 2 != to % 2
    }

    /// A datagram with one character changed, cut short, or about a plan that does not exist.
    fn damage(&mut self, text: String) -> String {
        if self.rng.random_range(0..4) == 0 {
            return self.with_unknown_plan(&text);
        }
        let position = self.rng.random_range(0..text.len().max(1));
        let mut bytes = text.into_bytes();
        if self.rng.random() {
            bytes.truncate(position);
        } else if let Some(byte) = bytes.get_mut(position) {
            *byte = self.rng.random_range(b' '..b'~');
        }
        String::from_utf8(bytes).expect("gossip is ASCII")
    }

    fn with_unknown_plan(&self, text: &str) -> String {
        let mut fields: Vec<String> = text.split(',').map(String::from).collect();
        if let Some(plan) = fields.get_mut(PLAN_FIELD) {
            *plan = self.scenario.settings.plans.len().to_string();
        }
        fields.join(",")
    }
}
