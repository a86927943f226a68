//! Gossip that waits to be sent: one datagram per peer, filled until it is due, and sent at a bounded rate.

use crate::events::GatewayId;
use std::collections::BTreeMap;

/// What a gateway may send.
#[derive(Clone, Copy)]
pub(crate) struct OutboxLimits {
    pub datagrams_per_second: f64,
    /// Datagrams that may go at one stroke.
    pub burst: f64,
    pub datagram_bytes: usize,
    /// The shortest delay of the timer, and the least by which a timer that is set is moved.
    pub timer_resolution_ms: f64,
}

/// A datagram that is ready to be sent.
pub(crate) struct Datagram {
    pub to: GatewayId,
    pub text: String,
}

/// One datagram for each peer that something waits for.
pub(crate) struct GossipOutbox {
    limits: OutboxLimits,
    batches: BTreeMap<GatewayId, Batch>,
    /// The peer at which the next round begins, so that all peers take turns.
    next_peer: GatewayId,
    /// Datagrams that may go as of `allowance_at_ms`; below zero after full ones, which cannot wait.
    allowance: f64,
    allowance_at_ms: f64,
    timer_at_ms: Option<f64>,
}

struct Batch {
    due_at_ms: f64,
    text: String,
}

impl GossipOutbox {
    /// Nothing waits yet, and nothing may go before time has passed.
    pub(crate) fn new(limits: OutboxLimits) -> GossipOutbox {
        GossipOutbox {
            limits,
            batches: BTreeMap::new(),
            next_peer: GatewayId(0),
            allowance: 0.0,
            allowance_at_ms: 0.0,
            timer_at_ms: None,
        }
    }

    /// Puts an item into the next datagram to a peer, which is due at `due_at_ms` at the latest. Returns the datagram
    /// that the item did not fit into, which is to be sent at once.
    pub(crate) fn enqueue(
        &mut self,
        to: GatewayId,
        item: String,
        due_at_ms: f64,
    ) -> Option<Datagram> {
        let batch = self.batches.entry(to).or_insert_with(|| Batch {
            due_at_ms,
            text: String::new(),
        });
        batch.due_at_ms = batch.due_at_ms.min(due_at_ms);
        if batch.text.len() + item.len() <= self.limits.datagram_bytes {
            batch.text.push_str(&item);
            return None;
        }
        self.allowance -= 1.0;
        let text = std::mem::replace(&mut batch.text, item);
        Some(Datagram { to, text })
    }

    /// Counts the time up to now into what may be sent.
    pub(crate) fn accrue_allowance(&mut self, now_ms: f64) {
        let elapsed_ms = now_ms - self.allowance_at_ms;
        let earned = self.limits.datagrams_per_second * elapsed_ms / 1000.0;
        self.allowance = (self.allowance + earned).min(self.limits.burst);
        self.allowance_at_ms = now_ms;
    }

    /// Takes the next datagram that is due and may be sent, in turns of the peers.
    pub(crate) fn take_due(&mut self, now_ms: f64) -> Option<Datagram> {
        if self.allowance < 1.0 {
            return None;
        }
        let due = |(_, batch): &(&GatewayId, &Batch)| batch.due_at_ms <= now_ms;
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

    /// The delay of the timer that has to be set for what waits, if none is set that comes as early.
    pub(crate) fn next_timer_ms(&mut self, now_ms: f64) -> Option<f64> {
        let resolution_ms = self.limits.timer_resolution_ms;
        let due_in = self.batches.values().map(|batch| batch.due_at_ms - now_ms);
        let first_due_ms = due_in.fold(f64::INFINITY, f64::min);
        let allowed_in_ms = 1000.0 * (1.0 - self.allowance) / self.limits.datagrams_per_second;
        let delay_ms = first_due_ms.max(allowed_in_ms).max(resolution_ms);
        let is_earlier = self
            .timer_at_ms
            .is_none_or(|at_ms| now_ms + delay_ms + resolution_ms < at_ms);
        if !first_due_ms.is_finite() || !is_earlier {
            return None;
        }
        self.timer_at_ms = Some(now_ms + delay_ms);
        Some(delay_ms)
    }

    /// The timer has fired.
    pub(crate) fn timer_fired(&mut self) {
        self.timer_at_ms = None;
    }
}
