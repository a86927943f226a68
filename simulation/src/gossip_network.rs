//! Network that carries gossip between gateways, with delay, loss, partitions and tampering.

use marlshelf::{GatewayId, Milliseconds, Settings, Timestamp};
use rand::Rng;
use std::ops::Range;

/// Number of copies in which a forged datagram arrives, each with a random gateway as its sender.
const FORGED_COPIES: u32 = 6;
/// Index of the plan among the comma-separated fields of a gossip message.
const PLAN_FIELD: usize = 2;
/// One in this many damaged datagrams refers to a plan that does not exist.
const UNKNOWN_PLAN_INTERVAL: u32 = 4;

/// Model of the network between gateways.
#[derive(Clone, Debug)]
pub struct GossipNetwork {
    /// Fraction of datagrams that are lost, from 0 to 1.
    pub loss_ratio: f64,
    /// Range of the delivery delay.
    pub delay: Range<Milliseconds>,
    /// Period during which gateways with even ids cannot reach gateways with odd ids, and vice versa.
    pub partition: Option<Range<Timestamp>>,
    /// Damage and forgery of datagrams. If it is `None`, the network draws no random numbers for tampering.
    pub tampering: Option<Tampering>,
}

/// Modification of datagrams in transit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tampering {
    /// Fraction of datagrams whose text arrives damaged, from 0 to 1.
    pub damage_ratio: f64,
    /// Fraction of datagrams that arrive as several copies with random senders, from 0 to 1.
    pub forgery_ratio: f64,
}

/// A gossip datagram.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// The gateway that the datagram claims as its sender.
    pub from: GatewayId,
    /// The gateway that receives the datagram.
    pub to: GatewayId,
    /// Payload in the gossip text format.
    pub text: String,
}

/// The arrival of a datagram at its receiver.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// Time of arrival.
    pub at: Timestamp,
    /// The datagram after tampering.
    pub datagram: Datagram,
}

impl Default for GossipNetwork {
    /// Returns a network without faults and with a delay of 2 to 20 ms.
    fn default() -> Self {
        GossipNetwork {
            loss_ratio: 0.0,
            delay: Milliseconds(2.0)..Milliseconds(20.0),
            partition: None,
            tampering: None,
        }
    }
}

impl GossipNetwork {
    /// Transmits a datagram that is sent at time `now`. Returns its deliveries: none if the datagram is lost,
    /// several if it is forged.
    pub fn transmit(
        &self,
        mut datagram: Datagram,
        now: Timestamp,
        settings: &Settings,
        random: &mut impl Rng,
    ) -> Vec<Delivery> {
        let is_lost = random.random::<f64>() < self.loss_ratio;
        if is_lost || self.is_partitioned(&datagram, now) {
            return Vec::new();
        }
        let delay_ms = self.delay.start.as_f64()..self.delay.end.as_f64();
        let at = now + Milliseconds(random.random_range(delay_ms));
        let Some(tampering) = self.tampering else {
            return vec![Delivery { at, datagram }];
        };
        if random.random::<f64>() < tampering.damage_ratio {
            datagram.text = damage(datagram.text, settings, random);
        }
        if random.random::<f64>() >= tampering.forgery_ratio {
            return vec![Delivery { at, datagram }];
        }
        let forge = |_| {
            let from = GatewayId(random.random_range(0..settings.gateway_count));
            let datagram = datagram.clone();
            Delivery {
                at,
                datagram: Datagram { from, ..datagram },
            }
        };
        (0..FORGED_COPIES).map(forge).collect()
    }

    fn is_partitioned(&self, datagram: &Datagram, now: Timestamp) -> bool {
        let is_active = self.partition.as_ref().is_some_and(|p| p.contains(&now));
        is_active && datagram.from.0 % 2 != datagram.to.0 % 2
    }
}

/// Changes one character of the text, truncates it, or makes it refer to a plan that does not exist.
fn damage(text: String, settings: &Settings, random: &mut impl Rng) -> String {
    if random.random_range(0..UNKNOWN_PLAN_INTERVAL) == 0 {
        return with_plan(&text, settings.plans.len());
    }
    let position = random.random_range(0..text.len().max(1));
    let mut bytes = text.into_bytes();
    if random.random() {
        bytes.truncate(position);
    } else if let Some(byte) = bytes.get_mut(position) {
        *byte = random.random_range(b' '..b'~');
    }
    String::from_utf8(bytes).expect("gossip is ASCII")
}

fn with_plan(text: &str, plan: usize) -> String {
    let mut fields: Vec<String> = text.split(',').map(String::from).collect();
    if let Some(field) = fields.get_mut(PLAN_FIELD) {
        *field = plan.to_string();
    }
    fields.join(",")
}
