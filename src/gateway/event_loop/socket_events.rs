//! Dispatches socket events to the methods of [`EventLoop`] that handle them.

use crate::gateway::clients::{ClientEvent, ClientEventHandler};
use crate::gateway::endpoints::{EndpointEvent, EndpointEventHandler};
use crate::gateway::event_loop::EventLoop;
use crate::gateway::gossip_socket::GossipHandler;
use crate::{AttemptResult, Event, GatewayId, RequestId};
use std::cell::RefCell;
use std::time::Instant;

impl ClientEventHandler for RefCell<EventLoop> {
    fn next_id(&self) -> RequestId {
        self.borrow_mut().forwarder.requests.next_id()
    }

    fn is_active(&self, client_request_id: u64) -> bool {
        self.borrow()
            .forwarder
            .requests
            .is_client_request_id_in_use(client_request_id)
    }

    /// False if the number of active requests or their memory is at its limit, or if the shutdown
    /// deadline has passed.
    fn has_capacity_for(&self, bytes: usize) -> bool {
        let event_loop = self.borrow();
        !event_loop.phase.is_past_deadline(Instant::now())
            && event_loop.forwarder.requests.has_capacity_for(bytes)
    }

    fn handle_client_event(&self, event: ClientEvent) {
        let mut event_loop = self.borrow_mut();
        match event {
            ClientEvent::RequestReceived {
                request,
                command,
                connection,
            } => event_loop.request_received(request, command, connection),
            ClientEvent::Disconnected { request } => event_loop.client_disconnected(request),
        }
    }
}

impl EndpointEventHandler for RefCell<EventLoop> {
    fn handle_endpoint_event(&self, event: EndpointEvent<'_>) {
        let mut event_loop = self.borrow_mut();
        match event {
            EndpointEvent::ConnectFinished { dial, stream } => {
                event_loop.connect_finished(dial, stream);
            }
            EndpointEvent::ResponseReceived {
                connection,
                response,
                no_surplus_bytes,
            } => {
                let forwarder = &mut event_loop.forwarder;
                let outcome = forwarder.response_received(connection, &response, no_surplus_bytes);
                event_loop.attempt_finished(outcome);
            }
            EndpointEvent::WriteFailed { request } => {
                event_loop.abort_attempt(request, AttemptResult::ConnectFailed);
            }
            EndpointEvent::ConnectionClosed { connection, error } => {
                let outcome = event_loop.forwarder.connection_closed(connection, error);
                event_loop.attempt_finished(outcome);
            }
        }
    }
}

impl GossipHandler for RefCell<EventLoop> {
    fn handle_gossip(&self, from: GatewayId, text: &str) {
        let text = text.into();
        self.borrow_mut()
            .notify_engine(Event::GossipReceived { from, text });
    }
}
