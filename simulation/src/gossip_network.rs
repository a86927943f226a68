//! The network that carries gossip between gateways, with all its faults.

use marlshelf::{GatewayId, Milliseconds, Settings, Timestamp};
use rand::Rng;
use std::ops::Range;

/// How many copies of a forged datagram arrive under the numbers of other gateways.
const FORGED_COPIES: u32 = 6;
/// The position of the plan's number in a gossip message.
const PLAN_FIELD: usize = 2;
/// One damaged datagram in this many names a plan that doesn't exist.
const DAMAGED_PER_UNKNOWN_PLAN: u32 = 4;

/// How the network treats gossip.
#[derive(Clone, Debug)]
pub struct GossipNetwork {
    /// The fraction of datagrams that are lost.
    pub loss_ratio: f64,
    /// The range of the delivery delay.
    pub delay: Range<Milliseconds>,
    /// The period in which nothing passes between gateways of even and of odd numbers.
    pub partition: Option<Range<Timestamp>>,
    /// Damage and forgery of datagrams. Without it no random numbers are drawn for them.
    pub tampering: Option<Tampering>,
}

/// Changes of datagrams on their way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tampering {
    /// The fraction of datagrams that arrive damaged.
    pub damage_ratio: f64,
    /// The fraction of datagrams that arrive several times, each time under the number of some gateway.
    pub forgery_ratio: f64,
}

/// A datagram as a gateway sends it.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// The sender.
    pub from: GatewayId,
    /// The receiver.
    pub to: GatewayId,
    /// The content.
    pub text: String,
}

/// A datagram as it arrives.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// When it arrives.
    pub at: Timestamp,
    /// The datagram, with the sender that it states.
    pub datagram: Datagram,
}

impl Default for GossipNetwork {
    /// A network without faults and with a delay of a few milliseconds.
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
    /// What becomes of a datagram that is sent now: nothing if it is lost, several deliveries if it is forged.
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

    /// Whether a partition separates the sender from the receiver.
    fn is_partitioned(&self, datagram: &Datagram, now: Timestamp) -> bool {
        let is_active = self.partition.as_ref().is_some_and(|p| p.contains(&now));
        is_active && datagram.from.0 % 2 != datagram.to.0 % 2
    }
}

/// A datagram with one character changed, cut short, or about a plan that doesn't exist.
fn damage(text: String, settings: &Settings, random: &mut impl Rng) -> String {
    if random.random_range(0..DAMAGED_PER_UNKNOWN_PLAN) == 0 {
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
