//! Requests from their arrival at a gateway to their final answer or the client's disconnect.

use super::Fleet;
use super::attempts::Attempt;
use super::event_queue::FleetEvent;
use crate::clients::ClientRequest;
use marlshelf::{ClassIndex, Event, GatewayId, PlanIndex, Request, RequestId, Timestamp, Tokens};
use rand::Rng;

/// The latency objective on which a client's patience depends if its class does not exist.
const DEFAULT_LATENCY_OBJECTIVE_MS: f64 = 500.0;
/// How long after its deadline a client disconnects.
const DISCONNECT_DELAY_MS: f64 = 5.0;

/// A request that a gateway has received and that is not completed.
pub struct PendingRequest {
    /// The request as its client sent it.
    pub request: ClientRequest,
    /// The incarnation of the gateway that received it.
    pub gateway_incarnation: u32,
    /// Whether the client is connected and has no final answer.
    pub client_waits: bool,
    /// The number of attempts so far.
    pub attempt_count: u32,
    /// The attempt in flight.
    pub attempt: Option<Attempt>,
}

impl Fleet<'_> {
    /// Receives a new request, and schedules the arrival of the next one.
    pub(super) fn receive_new_request(&mut self) {
        let interval_ms = self.clients.arrival_interval_ms(self.now_ms, &mut self.rng);
        self.schedule(self.now_ms + interval_ms, FleetEvent::NewRequest);
        if let Some(request) = self.clients.new_request(self.now_ms, &mut self.rng) {
            self.receive_request(request);
        }
    }

    /// Passes a request to its gateway, and schedules the disconnect of its client.
    pub(super) fn receive_request(&mut self, request: ClientRequest) {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let client_deadline_ms = self.schedule_disconnect(id, request.class);
        let shard = self.clients.shard(request.tenant);
        let event = Event::RequestReceived(Request {
            id,
            tenant: shard.tenant,
            class: ClassIndex(request.class),
            plan: PlanIndex(request.plan),
            cost: Tokens(request.cost),
            shard_start: GatewayId(shard.start),
            shard_size: shard.size,
            client_deadline: Timestamp(client_deadline_ms),
            is_retry: request.retries > 0,
        });
        let gateway = request.gateway;
        let pending = PendingRequest {
            request,
            gateway_incarnation: self.gateways[gateway].incarnation,
            client_waits: true,
            attempt_count: 0,
            attempt: None,
        };
        self.pending.insert(id, pending);
        self.notify(gateway, event);
    }

    /// Schedules when the client disconnects: shortly after its deadline, or early. Returns the
    /// deadline in milliseconds.
    fn schedule_disconnect(&mut self, id: RequestId, class: usize) -> f64 {
        let class = self.scenario.settings.classes.get(class);
        let objective_ms = class.map_or(DEFAULT_LATENCY_OBJECTIVE_MS, |class| {
            class.latency_objective.as_f64()
        });
        let deadline_ms = self.now_ms + objective_ms * self.rng.random_range(0.8..2.5);
        let is_early = self.rng.random::<f64>() < self.scenario.traffic.disconnect_ratio;
        let disconnect_at_ms = if is_early {
            self.now_ms + self.rng.random_range(0.0..1.5 * objective_ms)
        } else {
            deadline_ms + DISCONNECT_DELAY_MS
        };
        self.schedule(disconnect_at_ms, FleetEvent::ClientDisconnect(id));
        deadline_ms
    }

    /// Disconnects a client. Its endpoint continues with the attempt in flight.
    pub(super) fn disconnect_client(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if !pending.client_waits {
            return;
        }
        pending.client_waits = false;
        let gateway = pending.request.gateway;
        self.notify(gateway, Event::ClientDisconnected { request: id });
        self.remove_if_completed(id);
    }

    /// Gives a client its final answer, after which it may retry.
    pub(super) fn answer_client(&mut self, id: RequestId, retry_after_ms: f64) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.client_waits = false;
        let retry =
            self.clients
                .retry(&pending.request, retry_after_ms, self.now_ms, &mut self.rng);
        if let Some(retry) = retry {
            self.schedule(retry.at_ms, FleetEvent::ClientRetry(retry.request));
        }
        self.remove_if_completed(id);
    }

    /// Removes a request whose client no longer waits and that has no attempt in flight.
    pub(super) fn remove_if_completed(&mut self, id: RequestId) {
        if let Some(pending) = self.pending.get(&id)
            && !pending.client_waits
            && pending.attempt.is_none()
        {
            self.pending.remove(&id);
        }
    }
}
