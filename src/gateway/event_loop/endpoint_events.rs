//! What the event loop does when the endpoint list changes, and when something happens on an endpoint connection.

use crate::gateway::discovery::{EndpointUpdate, ListedEndpoint};
use crate::gateway::endpoints::{
    ConnectionState, EndpointConnection, EndpointEvent, EndpointEventHandler,
    EndpointProtocolError, EndpointResponse,
};
use crate::gateway::event_loop::Gateway;
use crate::gateway::event_loop::attempts::ResponseReports;
use crate::gateway::log::{self, Event as LogEvent};
use crate::{
    AttemptResult, CellId, Endpoint, EndpointListKind, EndpointName, EndpointState, Event,
    HardwareId, SettingsDocument, Timestamp, Tokens, ZoneId,
};
use std::cell::RefCell;
use std::rc::Rc;

/// Malformed responses since the last line on them in the log. A line for each would flood it.
pub(super) struct MalformedResponses {
    count: u32,
    last_endpoint: EndpointName,
    last_error: EndpointProtocolError,
}

impl MalformedResponses {
    pub fn log(&self) {
        log::event(&LogEvent::MalformedResponses {
            count: self.count,
            last_endpoint: &self.last_endpoint,
            last_error: &self.last_error,
        });
    }
}

impl EndpointEventHandler for RefCell<Gateway> {
    fn handle_endpoint_event(&self, event: EndpointEvent<'_>) {
        let mut gateway = self.borrow_mut();
        match event {
            EndpointEvent::ResponseReceived {
                connection,
                response,
                nothing_follows,
            } => gateway.response_received(connection, &response, nothing_follows),
            EndpointEvent::WriteFailed { request } => {
                gateway.abort_attempt(request, AttemptResult::ConnectFailed);
            }
            EndpointEvent::ConnectionClosed { connection, error } => {
                gateway.connection_closed(connection, error);
            }
        }
    }
}

impl Gateway {
    /// The list of endpoints has changed.
    pub fn endpoints_changed(&mut self, update: &EndpointUpdate) {
        let change = self.endpoints.apply_update(update);
        let kind = if update.snapshot {
            EndpointListKind::Snapshot
        } else {
            EndpointListKind::Delta
        };
        let endpoints = engine_endpoints(update, &change.replaced, &self.document);
        self.handle_event(Event::EndpointsChanged { kind, endpoints });
        // An endpoint that has restarted never answers what it had before. If its whole machine restarted, the
        // connection is half open, and would not tell.
        let lost = self
            .requests
            .ids_where(|request| request.is_sent_to_any(&change.restarted));
        for id in lost {
            self.abort_attempt(id, AttemptResult::ConnectionReset);
        }
        self.first_list.notify_one();
    }

    fn response_received(
        &mut self,
        connection: &Rc<EndpointConnection>,
        response: &EndpointResponse<'_>,
        nothing_follows: bool,
    ) {
        let state = connection.unassign();
        let Some(id) = state.request() else {
            return;
        };
        // A response before the command is complete, or one that no endpoint writes, may be followed by more that
        // belongs to no request.
        let is_reusable = nothing_follows
            && matches!(state, ConnectionState::AwaitingResponse { .. })
            && !matches!(response, EndpointResponse::UnknownError);
        if is_reusable {
            self.endpoints.put_idle(connection, self.clock.now_ms());
        } else {
            connection.close();
        }
        let (result, reports) = self.interpret_response(response);
        if let EndpointResponse::Success { value, .. } = response
            && let Some(client) = self.requests.take_client(id)
        {
            client.answer(id, value);
        }
        self.finish_attempt_with_reports(id, result, reports);
    }

    /// The outcome that a response gives its attempt, and what the endpoint reported with it.
    fn interpret_response(
        &self,
        response: &EndpointResponse<'_>,
    ) -> (AttemptResult, ResponseReports) {
        let with_load_report = |load_report| ResponseReports {
            load_report,
            actual_cost: None,
        };
        match *response {
            EndpointResponse::Success {
                actual_cost,
                load_report,
                ..
            } => {
                let largest_cost = self.settings.largest_request_cost();
                let reports = ResponseReports {
                    load_report,
                    actual_cost: actual_cost
                        .map(Tokens)
                        .filter(|cost| *cost > Tokens::ZERO && *cost <= largest_cost),
                };
                (AttemptResult::Success, reports)
            }
            EndpointResponse::Overloaded { load_report } => {
                (AttemptResult::Overloaded, with_load_report(load_report))
            }
            EndpointResponse::Failed { load_report } => {
                (AttemptResult::Error, with_load_report(load_report))
            }
            EndpointResponse::UnknownError => (AttemptResult::Error, ResponseReports::default()),
        }
    }

    fn connection_closed(
        &mut self,
        connection: &Rc<EndpointConnection>,
        error: Option<EndpointProtocolError>,
    ) {
        self.endpoints.remove(connection);
        if let Some(error) = error {
            let count_before = self.malformed_responses.as_ref().map_or(0, |m| m.count);
            self.malformed_responses = Some(MalformedResponses {
                count: count_before + 1,
                last_endpoint: connection.endpoint.clone(),
                last_error: error,
            });
        }
        if let Some(id) = connection.state().request() {
            self.abort_attempt(id, AttemptResult::ConnectionReset);
        }
    }
}

/// The list update as the engine gets it. Endpoints whose address belongs to another one now are removed in it,
/// whether or not the update names them.
fn engine_endpoints(
    update: &EndpointUpdate,
    replaced: &[EndpointName],
    document: &SettingsDocument,
) -> Vec<Endpoint> {
    let mut endpoints: Vec<Endpoint> = update
        .endpoints
        .iter()
        .map(|listed| engine_endpoint(listed, document))
        .collect();
    for endpoint in &mut endpoints {
        if replaced.contains(&endpoint.name) {
            endpoint.state = EndpointState::Removed;
        }
    }
    let unlisted: Vec<Endpoint> = replaced
        .iter()
        .filter(|name| !endpoints.iter().any(|listed| listed.name == **name))
        .map(removed_endpoint)
        .collect();
    endpoints.extend(unlisted);
    endpoints
}

fn engine_endpoint(listed: &ListedEndpoint, document: &SettingsDocument) -> Endpoint {
    Endpoint {
        name: listed.name.as_str().into(),
        zone: ZoneId(index_of(&document.zones, &listed.zone)),
        cell: CellId(listed.cell),
        hardware: HardwareId(index_of(&document.hardware_kinds, &listed.hardware)),
        weight: listed.weight,
        state: listed.state,
        started_at: Timestamp(listed.started_at_ms),
    }
}

fn removed_endpoint(name: &EndpointName) -> Endpoint {
    Endpoint {
        name: name.clone(),
        zone: ZoneId(0),
        cell: CellId(0),
        hardware: HardwareId(0),
        weight: 1.0,
        state: EndpointState::Removed,
        started_at: Timestamp::ZERO,
    }
}

/// The index of a name in the settings. Names that the settings do not list share the index behind the last.
fn index_of(names: &[String], name: &str) -> u32 {
    let position = names.iter().position(|known| known == name);
    u32::try_from(position.unwrap_or(names.len())).unwrap_or(u32::MAX)
}
