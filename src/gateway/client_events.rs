//! Connects the client connections to the event loop.

use crate::RequestId;
use crate::gateway::clients::{ClientEvent, ClientEventHandler};
use crate::gateway::event_loop::Gateway;
use std::cell::RefCell;

impl ClientEventHandler for RefCell<Gateway> {
    fn next_id(&self) -> RequestId {
        self.borrow_mut().next_id()
    }

    fn is_active(&self, client_request_id: u64) -> bool {
        self.borrow().is_open(client_request_id)
    }

    fn has_capacity_for(&self, bytes: usize) -> bool {
        self.borrow().has_room(bytes)
    }

    fn handle_client_event(&self, event: ClientEvent) {
        match event {
            ClientEvent::RequestReceived {
                request,
                command,
                connection,
            } => self.borrow_mut().request(request, command, connection),
            ClientEvent::Disconnected { request } => self.borrow_mut().left(request),
        }
    }
}
