//! Requests from their arrival at a gateway to their final answer or the client's disconnect.

use super::Fleet;
use super::attempts::Attempt;
use super::events::FleetEvent;
use crate::{ArrivalSource, ClientRequest, Clients, Observer, RandomStream};
use marlshelf::{Event, Milliseconds, Request, RequestId};

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

impl<C: Clients, O: Observer> Fleet<'_, C, O> {
    /// Receives the request that arrives from a source, and schedules the arrival of the next one.
    pub(super) fn receive_arrival(&mut self, source: ArrivalSource) {
        let random = self.randomness.stream(RandomStream::Clients);
        let arrival = self.clients.arrive(source, self.now, random);
        if let Some(next_at) = arrival.next_at {
            self.schedule(next_at, FleetEvent::Arrival(source));
        }
        if let Some(request) = arrival.request {
            self.receive_request(request);
        }
    }

    /// Passes a request to its gateway, and schedules the disconnect of its client.
    pub(super) fn receive_request(&mut self, request: ClientRequest) {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let random = self.randomness.stream(RandomStream::Clients);
        let wait = self.clients.client_deadline(&request, self.now, random);
        if let Some(disconnect_at) = wait.disconnect_at {
            self.schedule(disconnect_at, FleetEvent::ClientDisconnect(id));
        }
        self.observer.on_request(self.now, id, &request);
        let event = Event::RequestReceived(Request {
            id,
            tenant: request.tenant.clone(),
            class: request.class,
            plan: request.plan,
            cost: request.cost,
            shard_start: request.shard.start,
            shard_size: request.shard.size,
            client_deadline: wait.deadline,
            is_retry: request.retries > 0,
        });
        let gateway = request.gateway;
        let pending = PendingRequest {
            request,
            gateway_incarnation: self.gateway(gateway).incarnation,
            client_waits: true,
            attempt_count: 0,
            attempt: None,
        };
        self.pending.insert(id, pending);
        self.notify(gateway, event);
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
    pub(super) fn answer_client(&mut self, id: RequestId, retry_after: Milliseconds) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.client_waits = false;
        let random = self.randomness.stream(RandomStream::Clients);
        let retry = self
            .clients
            .retry(&pending.request, retry_after, self.now, random);
        if let Some(retry) = retry {
            self.schedule(retry.at, FleetEvent::ClientRetry(retry.request));
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
