//! 64-bit FNV-1a hash of all actions of a fleet.
//!
//! The hash covers values and fixed tags in a fixed order. It stays the same when a type or field of the
//! library is renamed.

use marlshelf::{Action, GatewayId, Timestamp};
use marlshelf_simulation::Observer;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Observer that hashes and counts all actions of a run.
pub struct ActionDigest {
    hash: u64,
    action_count: u64,
}

impl ActionDigest {
    pub fn new() -> ActionDigest {
        ActionDigest {
            hash: FNV_OFFSET_BASIS,
            action_count: 0,
        }
    }

    pub fn hash(&self) -> u64 {
        self.hash
    }

    pub fn action_count(&self) -> u64 {
        self.action_count
    }

    fn hash_action(&mut self, action: &Action) {
        match action {
            Action::Forward {
                request,
                endpoint,
                deadline,
            } => {
                self.hash_tag(1);
                self.hash_integer(request.0);
                self.hash_text(endpoint);
                self.hash_float(deadline.as_f64());
            }
            Action::Reject {
                request,
                retry_after,
                ..
            } => {
                self.hash_tag(2);
                self.hash_integer(request.0);
                self.hash_float(retry_after.as_f64());
            }
            Action::Fail { request } => {
                self.hash_tag(3);
                self.hash_integer(request.0);
            }
            Action::SendGossip { to, text } => {
                self.hash_tag(6);
                self.hash_integer(u64::from(to.0));
                self.hash_text(text);
            }
            Action::SetTimer { token, delay } => {
                self.hash_tag(7);
                self.hash_integer(token.0);
                self.hash_float(delay.as_f64());
            }
        }
    }

    fn hash_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    fn hash_tag(&mut self, tag: u8) {
        self.hash_bytes(&[tag]);
    }

    fn hash_integer(&mut self, value: u64) {
        self.hash_bytes(&value.to_le_bytes());
    }

    fn hash_float(&mut self, value: f64) {
        self.hash_integer(value.to_bits());
    }

    /// Hashes the length before the text. Otherwise two consecutive texts would have the same hash as a
    /// different split of the same characters.
    fn hash_text(&mut self, text: &str) {
        self.hash_integer(text.len() as u64);
        self.hash_bytes(text.as_bytes());
    }
}

impl Observer for ActionDigest {
    fn on_action(&mut self, now: Timestamp, gateway: GatewayId, action: &Action) {
        self.action_count += 1;
        self.hash_integer(u64::from(gateway.0));
        self.hash_float(now.as_f64());
        self.hash_action(action);
    }
}
