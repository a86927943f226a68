//! Gossip that waits to be sent: one datagram for each peer, filled until it is due, and sent at a limited
//! rate.
//!
//! A peer drops what exceeds its intake, so the outbox paces the datagrams of this gateway to a fraction of
//! it.

use super::codec::encode;
use super::{GossipMessage, TenantKey};
use crate::decisions::fleet_scale::fleet_scale;
use crate::events::{Action, GatewayId};
use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp};
use std::collections::BTreeMap;

/// The fraction of a peer's intake that the datagrams of one gateway may use in a small fleet.
const INTAKE_FRACTION: f64 = 0.75;
/// A gateway of a large fleet may send this many times as much, since its datagrams go to that many more
/// peers.
const LARGE_FLEET_INTAKE_MULTIPLE: f64 = 4.0;
/// The datagrams that may be sent at once are those of this time at the permitted rate.
const BURST_SECONDS: f64 = 0.1;
/// The greatest length of a datagram, in bytes. Peers drop longer ones.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The shortest delay of the timer, and the least time by which a timer that is set is moved to an earlier
/// one.
const TIMER_RESOLUTION: Milliseconds = Milliseconds(1.0);
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A datagram that is ready to be sent.
pub(crate) struct Datagram {
    pub to: GatewayId,
    pub text: String,
}

/// The datagrams that wait, at most one for each peer, and the rate limit on them.
pub(crate) struct GossipOutbox {
    datagrams_per_second: f64,
    batches: BTreeMap<GatewayId, Batch>,
    /// The peer at which the search for a due datagram begins, so that all peers take turns.
    next_peer: GatewayId,
    /// Datagrams that may be sent as of `allowance_at`. Full ones cannot wait, and may make it negative.
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
    /// An empty outbox. Nothing may be sent before time has passed, since an earlier incarnation of this
    /// gateway may have used the allowance up.
    pub(crate) fn new(settings: &Settings) -> GossipOutbox {
        let multiple = 1.0 + (LARGE_FLEET_INTAKE_MULTIPLE - 1.0) * fleet_scale(settings);
        let intake = settings.gossip_intake_per_second.max(1.0);
        GossipOutbox {
            datagrams_per_second: INTAKE_FRACTION * intake * multiple,
            batches: BTreeMap::new(),
            next_peer: GatewayId(0),
            allowance: 0.0,
            allowance_at: Timestamp::ZERO,
            timer_at: None,
        }
    }

    /// Puts a message into the next datagram to a peer, which is due after `max_delay` at the latest. Returns
    /// the datagram that the message did not fit into, which is to be sent at once.
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

    /// Adds to the allowance what the time up to now permits.
    pub(crate) fn accrue_allowance(&mut self, now: Timestamp) {
        let Milliseconds(elapsed) = now - self.allowance_at;
        let accrued = self.datagrams_per_second * elapsed / MILLISECONDS_PER_SECOND;
        let burst = (BURST_SECONDS * self.datagrams_per_second).max(1.0);
        self.allowance = (self.allowance + accrued).min(burst);
        self.allowance_at = now;
    }

    /// Removes the next datagram that is due and may be sent, if there is one. The peers take turns.
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

    /// The delay of the timer that has to be set for what waits, unless one is set that fires about as early.
    pub(crate) fn next_timer(&mut self, now: Timestamp) -> Option<Milliseconds> {
        let due_in = self.batches.values().map(|batch| batch.due_at - now);
        let first_due_in = due_in.fold(Milliseconds::INFINITY, Milliseconds::min);
        let missing = 1.0 - self.allowance;
        let allowed_in =
            Milliseconds(MILLISECONDS_PER_SECOND * missing / self.datagrams_per_second);
        let delay = first_due_in.max(allowed_in).max(TIMER_RESOLUTION);
        let is_earlier = self
            .timer_at
            .is_none_or(|at| now + delay + TIMER_RESOLUTION < at);
        if !first_due_in.is_finite() || !is_earlier {
            return None;
        }
        self.timer_at = Some(now + delay);
        Some(delay)
    }

    /// Records that the timer has fired.
    pub(crate) fn on_timer_fired(&mut self) {
        self.timer_at = None;
    }
}
