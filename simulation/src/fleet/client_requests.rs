//! Client requests, from arrival at a gateway to the final response or the client's disconnect.

use super::Fleet;
use super::attempts::Attempt;
use super::events::FleetEvent;
use crate::{ArrivalSource, ClientRequest, Clients, Observer, RandomStream};
use marlshelf::{Event, Milliseconds, Request, RequestId};

/// A request that a gateway has received and not completed.
pub struct PendingRequest {
    pub request: ClientRequest,
    /// Incarnation of the gateway that received the request.
    pub gateway_incarnation: u32,
    /// Whether the client is connected and has not received a final response.
    pub is_client_waiting: bool,
    /// Number of attempts started so far.
    pub attempt_count: u32,
    pub attempt: Option<Attempt>,
}

impl<C: Clients, O: Observer> Fleet<'_, C, O> {
    /// Processes an arrival: passes its request to the gateway and schedules the next arrival of the source.
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
        let client_deadline = self.clients.client_deadline(&request, self.now, random);
        if let Some(disconnect_at) = client_deadline.disconnect_at {
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
            client_deadline: client_deadline.deadline,
            is_retry: request.retries > 0,
        });
        let gateway = request.gateway;
        let pending = PendingRequest {
            request,
            gateway_incarnation: self.gateway(gateway).incarnation,
            is_client_waiting: true,
            attempt_count: 0,
            attempt: None,
        };
        self.pending.insert(id, pending);
        self.notify(gateway, event);
    }

    /// Disconnects a client. The endpoint still completes the attempt in flight.
    pub(super) fn disconnect_client(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if !pending.is_client_waiting {
            return;
        }
        pending.is_client_waiting = false;
        let gateway = pending.request.gateway;
        self.notify(gateway, Event::ClientDisconnected { request: id });
        self.remove_if_completed(id);
    }

    /// Sends a client the final response that its request was rejected or failed. The client may retry.
    pub(super) fn answer_client(&mut self, id: RequestId, retry_after: Milliseconds) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.is_client_waiting = false;
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
            && !pending.is_client_waiting
            && pending.attempt.is_none()
        {
            self.pending.remove(&id);
        }
    }
}
