//! Batching and pacing of outgoing gossip.
//!
//! The outbox collects messages in one datagram per peer until the datagram is due. Peers drop datagrams
//! above their receive rate limit, so each gateway sends at only a fraction of that rate.

use super::codec::encode;
use super::{GossipMessage, TenantKey};
use crate::decisions::fleet_scale::fleet_scale;
use crate::events::{Action, GatewayId};
use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp};
use std::collections::BTreeMap;

/// Fraction of a peer's receive rate limit that one gateway may use in a small fleet.
const PEER_RATE_FRACTION: f64 = 0.75;
/// In a large fleet, the send rate is raised by up to this factor, because the datagrams of each gateway go
/// to proportionally more peers.
const LARGE_FLEET_RATE_MULTIPLE: f64 = 4.0;
/// Burst size of the rate limit, as seconds of the permitted rate.
const BURST_SECONDS: f64 = 0.1;
/// Maximum length of a datagram. Peers drop longer ones.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Minimum delay of the timer. An earlier timer is set only if it gains more than this.
const TIMER_RESOLUTION: Milliseconds = Milliseconds(1.0);
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

pub(crate) struct Datagram {
    pub to: GatewayId,
    pub text: String,
}

/// Pending datagrams, at most one per peer, and their rate limit.
pub(crate) struct GossipOutbox {
    datagrams_per_second: f64,
    batches: BTreeMap<GatewayId, Batch>,
    /// Peer at which the next search for a due datagram starts, so that peers are served round-robin.
    next_peer: GatewayId,
    /// Number of datagrams that may be sent as of `allowance_at`. Full datagrams are sent without waiting and
    /// may make it negative.
    allowance: f64,
    allowance_at: Timestamp,
    timer_at: Option<Timestamp>,
}

struct Batch {
    due_at: Timestamp,
    text: String,
}

impl From<Datagram> for Action {
    fn from(Datagram { to, text }: Datagram) -> Action {
        Action::SendGossip { to, text }
    }
}

impl GossipOutbox {
    /// Creates an empty outbox. The allowance starts at 0, because an earlier incarnation of this gateway may
    /// have used it up.
    pub(crate) fn new(settings: &Settings) -> GossipOutbox {
        let rate_multiple = 1.0 + (LARGE_FLEET_RATE_MULTIPLE - 1.0) * fleet_scale(settings);
        let peer_rate_limit = settings.gossip_intake_per_second.max(1.0);
        GossipOutbox {
            datagrams_per_second: PEER_RATE_FRACTION * peer_rate_limit * rate_multiple,
            batches: BTreeMap::new(),
            next_peer: GatewayId(0),
            allowance: 0.0,
            allowance_at: Timestamp::ZERO,
            timer_at: None,
        }
    }

    /// Appends a message to the pending datagram for a peer, which becomes due after at most `max_delay`. If
    /// the message does not fit, it starts a new datagram, and the full one is returned and must be sent
    /// immediately.
    pub(crate) fn enqueue(
        &mut self,
        to: GatewayId,
        tenant: TenantKey,
        message: &GossipMessage,
        max_delay: Milliseconds,
        now: Timestamp,
    ) -> Option<Datagram> {
        let item = encode(tenant, message, now);
        let due_at = now + max_delay;
        let batch = self.batches.entry(to).or_insert_with(|| Batch {
            due_at,
            text: String::new(),
        });
        batch.due_at = batch.due_at.min(due_at);
        if batch.text.len() + item.len() <= MAX_DATAGRAM_BYTES {
            batch.text.push_str(&item);
            return None;
        }
        self.allowance -= 1.0;
        let text = std::mem::replace(&mut batch.text, item);
        Some(Datagram { to, text })
    }

    /// Adds the allowance accrued since the last call, up to the burst size.
    pub(crate) fn accrue_allowance(&mut self, now: Timestamp) {
        let Milliseconds(elapsed) = now - self.allowance_at;
        let accrued = self.datagrams_per_second * elapsed / MILLISECONDS_PER_SECOND;
        let burst = (BURST_SECONDS * self.datagrams_per_second).max(1.0);
        self.allowance = (self.allowance + accrued).min(burst);
        self.allowance_at = now;
    }

    /// Removes and returns the next due datagram, if the rate limit permits sending one. Peers are served
    /// round-robin.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<Datagram> {
        if self.allowance < 1.0 {
            return None;
        }
        let due = |(_, batch): &(&GatewayId, &Batch)| batch.due_at <= now;
        let next = self.batches.range(self.next_peer..).find(due);
        let to = *next.or_else(|| self.batches.iter().find(due))?.0;
        let batch = self.batches.remove(&to)?;
        self.allowance -= 1.0;
        self.next_peer = GatewayId(to.0 + 1);
        Some(Datagram {
            to,
            text: batch.text,
        })
    }

    /// Returns the delay of the timer to set for the next due datagram. Returns `None` if no datagram is
    /// pending, or if the current timer fires early enough.
    pub(crate) fn next_timer(&mut self, now: Timestamp) -> Option<Milliseconds> {
        let due_in = self.batches.values().map(|batch| batch.due_at - now);
        let next_due_in = due_in.fold(Milliseconds::INFINITY, Milliseconds::min);
        let missing = 1.0 - self.allowance;
        let allowed_in =
            Milliseconds(MILLISECONDS_PER_SECOND * missing / self.datagrams_per_second);
        let delay = next_due_in.max(allowed_in).max(TIMER_RESOLUTION);
        let is_earlier = self
            .timer_at
            .is_none_or(|at| now + delay + TIMER_RESOLUTION < at);
        if !next_due_in.is_finite() || !is_earlier {
            return None;
        }
        self.timer_at = Some(now + delay);
        Some(delay)
    }

    /// Clears the timer so that [`GossipOutbox::next_timer`] can set a new one.
    pub(crate) fn on_timer_fired(&mut self) {
        self.timer_at = None;
    }
}
