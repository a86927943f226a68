//! A 64-bit hash (FNV-1a) over all actions of a fleet.
//!
//! The hash reads values only, in a fixed order and with tags of its own, so that it does not
//! depend on the name of any type or field of the library.

use marlshelf::{Action, GatewayId, Timestamp};
use marlshelf_simulation::Observer;

/// The initial value of FNV-1a.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The multiplier of FNV-1a.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The hash of all actions recorded so far, and their number.
pub struct ActionDigest {
    hash: u64,
    actions: u64,
}

impl ActionDigest {
    /// A digest of no actions.
    pub fn new() -> ActionDigest {
        ActionDigest {
            hash: OFFSET_BASIS,
            actions: 0,
        }
    }

    /// The hash so far.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The number of actions so far.
    pub fn actions(&self) -> u64 {
        self.actions
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Forward {
                request,
                endpoint,
                deadline,
            } => {
                self.tag(1);
                self.integer(request.0);
                self.text(endpoint);
                self.float(deadline.as_f64());
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.tag(2);
                self.integer(request.0);
                self.float(retry_after.as_f64());
            }
            Action::Fail { request } => {
                self.tag(3);
                self.integer(request.0);
            }
            Action::SendGossip { to, text } => {
                self.tag(6);
                self.integer(u64::from(to.0));
                self.text(text);
            }
            Action::SetTimer { token, delay } => {
                self.tag(7);
                self.integer(token.0);
                self.float(delay.as_f64());
            }
        }
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    fn tag(&mut self, tag: u8) {
        self.bytes(&[tag]);
    }

    fn integer(&mut self, value: u64) {
        self.bytes(&value.to_le_bytes());
    }

    fn float(&mut self, value: f64) {
        self.integer(value.to_bits());
    }

    /// Hashes the length first, so that two consecutive texts cannot collide with a different split of
    /// the same characters.
    fn text(&mut self, text: &str) {
        self.integer(text.len() as u64);
        self.bytes(text.as_bytes());
    }
}

impl Observer for ActionDigest {
    fn on_action(&mut self, now: Timestamp, gateway: GatewayId, action: &Action) {
        self.actions += 1;
        self.integer(u64::from(gateway.0));
        self.float(now.as_f64());
        self.action(action);
    }
}
