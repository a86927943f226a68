//! What the event loop does with the requests that client connections report.

use crate::gateway::clients::{ClientConnection, ClientEvent, ClientEventHandler, ClientRequest};
use crate::gateway::event_loop::Gateway;
use crate::gateway::event_loop::active_request::ActiveRequest;
use crate::gateway::event_loop::timers::Timer;
use crate::{Event, RequestId};
use std::cell::RefCell;
use std::rc::Rc;

/// The engine's deadline lies this long before the client's: the client's time runs from when it sent the request,
/// and the way of the answer back, also through a busy core, takes some of it.
const CLIENT_DEADLINE_MARGIN_MS: f64 = 6.0;
/// A request without a final answer this long after the engine's deadline fails, so that every client gets one.
const ANSWER_GRACE_MS: f64 = 3.0;

impl ClientEventHandler for RefCell<Gateway> {
    fn next_id(&self) -> RequestId {
        self.borrow_mut().requests.next_id()
    }

    fn is_active(&self, client_request_id: u64) -> bool {
        self.borrow()
            .requests
            .is_client_request_id_in_use(client_request_id)
    }

    /// Has no capacity at the limit on active requests in the settings, at that of the memory budget, and at the
    /// end of a shutdown.
    fn has_capacity_for(&self, bytes: usize) -> bool {
        let gateway = self.borrow();
        gateway.now() < gateway.shutdown_deadline_ms && gateway.requests.has_capacity_for(bytes)
    }

    fn handle_client_event(&self, event: ClientEvent) {
        let mut gateway = self.borrow_mut();
        match event {
            ClientEvent::RequestReceived {
                request,
                command,
                connection,
            } => gateway.request_received(request, command, connection),
            ClientEvent::Disconnected { request } => gateway.client_disconnected(request),
        }
    }
}

impl Gateway {
    fn request_received(
        &mut self,
        id: RequestId,
        client_request: ClientRequest,
        client: Rc<ClientConnection>,
    ) {
        let client_deadline_ms = self.now() + client_request.wait_ms - CLIENT_DEADLINE_MARGIN_MS;
        let deadline_ms = client_deadline_ms.min(self.shutdown_deadline_ms);
        let active_request = ActiveRequest::new(client_request, client);
        let engine_request = active_request.to_engine_request(id, deadline_ms);
        self.requests.insert(id, active_request);
        let timer = Timer::AnswerDeadline { request: id };
        self.schedule(deadline_ms + ANSWER_GRACE_MS, timer);
        self.handle_event(Event::RequestReceived(engine_request));
        if let Some(active_request) = self.requests.get_mut(id) {
            active_request.mark_waited();
        }
    }

    /// The client of a request in flight has disconnected, or counts as disconnected. Nothing more is sent for the
    /// request.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        if self.requests.take_client(id).is_none() {
            return;
        }
        self.handle_event(Event::ClientDisconnected { request: id });
        self.cancel_unsent_attempt(id);
        self.requests.remove_if_finished(id);
    }
}
