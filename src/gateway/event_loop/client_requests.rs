//! What the client connections ask of the event loop.

use crate::gateway::client_connections::{ClientConnection, ClientRequest};
use crate::gateway::event_loop::Gateway;
use crate::gateway::event_loop::active_request::ActiveRequest;
use crate::gateway::event_loop::timers::Timer;
use crate::{Event, RequestId};
use std::rc::Rc;

/// The engine's deadline lies this long before the client's: the client's time runs from when it sent the request,
/// and the way of the answer back, also through a busy core, takes some of it.
const CLIENT_DEADLINE_MARGIN_MS: f64 = 6.0;
/// A request without a final answer this long after the engine's deadline fails, so that every client gets one.
const ANSWER_GRACE_MS: f64 = 3.0;

impl Gateway {
    /// An id that was never used before, for a request or a client connection. The ids on the wire are the
    /// clients' own, and may repeat.
    pub(crate) fn next_id(&mut self) -> RequestId {
        self.requests.next_id()
    }

    /// Whether a request with this id of the client's is in flight, or an attempt of it still runs: a second one
    /// would reach an endpoint as a duplicate of the first.
    pub(crate) fn is_open(&self, client_id: u64) -> bool {
        self.requests.is_client_id_in_use(client_id)
    }

    /// Whether one more request of this size can be taken. If not, it is rejected unseen, as the limit on active
    /// requests in the settings, the memory budget, or the end of a shutdown demands.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        self.now() < self.shutdown_deadline_ms && self.requests.has_capacity(bytes)
    }

    /// A complete request was received from a client.
    pub(crate) fn request(
        &mut self,
        id: RequestId,
        client_request: ClientRequest,
        client: Rc<ClientConnection>,
    ) {
        let client_deadline_ms = self.now() + client_request.wait - CLIENT_DEADLINE_MARGIN_MS;
        let deadline_ms = client_deadline_ms.min(self.shutdown_deadline_ms);
        let active_request = ActiveRequest::new(client_request, client);
        let engine_request = active_request.to_engine_request(id, deadline_ms);
        self.requests.insert(id, active_request);
        let timer = Timer::AnswerDeadline { request: id };
        self.schedule(deadline_ms + ANSWER_GRACE_MS, timer);
        self.handle_event(Event::RequestReceived(engine_request));
        if let Some(active_request) = self.requests.get_mut(id) {
            active_request.has_waited = true;
        }
    }

    /// A client disconnected while this request was in flight. Nothing more is sent for the request.
    pub(crate) fn left(&mut self, id: RequestId) {
        if self.requests.take_client(id).is_none() {
            return;
        }
        self.handle_event(Event::ClientDisconnected { request: id });
        self.cancel_unsent_attempt(id);
        self.requests.remove_if_finished(id);
    }
}
