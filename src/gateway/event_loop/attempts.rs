//! An attempt, from its start to its outcome: an idle connection or a new one, the command, the end.

use crate::gateway::endpoints::{ConnectionPermit, EndpointConnection};
use crate::gateway::event_loop::active_request::{ActiveRequest, AttemptPhase};
use crate::gateway::event_loop::timers::Timer;
use crate::gateway::event_loop::{Gateway, REUSE_REST_MS};
use crate::{
    AttemptOutcome, AttemptResult, EndpointName, Event, LoadReport, Milliseconds, RequestId, Tokens,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The part of the attempt's time that opening a connection may take, so that time for another endpoint remains.
const CONNECT_TIMEOUT_FRACTION: f64 = 0.25;
/// However little time is left, a connection may take this long to open.
const MIN_CONNECT_TIMEOUT_MS: f64 = 50.0;
/// The connect timeout of the settings is kept within these bounds.
const LEAST_SETTINGS_TIMEOUT_MS: f64 = 1.0;
const LARGEST_SETTINGS_TIMEOUT_MS: f64 = 60_000.0;

/// A connection that is being opened, and the attempt that it is opened for.
struct Dial {
    request: RequestId,
    attempt: u32,
    endpoint: EndpointName,
    address: SocketAddr,
    /// The incarnation of the endpoint when the connect began.
    incarnation: u64,
    permit: ConnectionPermit,
}

/// What an endpoint reported together with a response.
#[derive(Clone, Copy, Default)]
pub(super) struct ResponseReports {
    pub load_report: Option<LoadReport>,
    /// The actual cost in tokens.
    pub actual_cost: Option<Tokens>,
}

impl Gateway {
    /// Starts an attempt. It has ended by the time this returns, has its command on a connection, or waits for a
    /// connection that is being opened.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointName,
        deadline_ms: f64,
        now_ms: f64,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let attempt = request.start_attempt(endpoint.clone(), now_ms, deadline_ms);
        if deadline_ms <= now_ms || !request.awaits_answer() {
            return self.finish_attempt(id, AttemptResult::NeverSent);
        }
        if request.is_abandoned() {
            return self.client_disconnected(id);
        }
        let timer = Timer::AttemptDeadline {
            request: id,
            attempt,
        };
        self.schedule(deadline_ms, timer);
        // A connection that breaks before anything is written has cost nothing, so the next one is as good.
        while let Some(connection) = self.endpoints.take_idle(&endpoint, now_ms - REUSE_REST_MS) {
            if self.send_command(id, &connection) {
                return;
            }
        }
        match self.prepare_dial(id, attempt, endpoint) {
            Some(dial) => self.spawn_dial(dial, deadline_ms - now_ms),
            None => self.finish_attempt(id, AttemptResult::ConnectFailed),
        }
    }

    /// Looks up where to connect to, and acquires the permit.
    fn prepare_dial(
        &mut self,
        request: RequestId,
        attempt: u32,
        endpoint: EndpointName,
    ) -> Option<Dial> {
        let entry = self
            .endpoints
            .get(&endpoint)
            .filter(|entry| entry.is_ready())?;
        let address = entry.address;
        let incarnation = entry.incarnation;
        let permit = self.endpoints.acquire_permit()?;
        Some(Dial {
            request,
            attempt,
            endpoint,
            address,
            incarnation,
            permit,
        })
    }

    /// Opens a connection in a task of its own.
    fn spawn_dial(&self, dial: Dial, remaining_ms: f64) {
        let Some(gateway) = self.self_reference.upgrade() else {
            return;
        };
        let connect = (self.connector)(dial.address);
        let connect_timeout = self.connect_timeout(remaining_ms);
        tokio::task::spawn_local(async move {
            // A machine that has vanished never answers, so the connect itself may never end.
            let connected = timeout(connect_timeout, connect).await;
            let stream = connected.ok().and_then(Result::ok);
            gateway.borrow_mut().finish_dial(dial, stream);
        });
    }

    fn connect_timeout(&self, remaining_ms: f64) -> Duration {
        let attempt_part_ms = (CONNECT_TIMEOUT_FRACTION * remaining_ms).max(MIN_CONNECT_TIMEOUT_MS);
        let settings_ms = self
            .document
            .limits
            .connect_timeout_ms
            .clamp(LEAST_SETTINGS_TIMEOUT_MS, LARGEST_SETTINGS_TIMEOUT_MS);
        Duration::from_secs_f64(settings_ms.min(attempt_part_ms) / 1000.0)
    }

    /// A connect has ended; `stream` is `None` if it failed. The attempt may have ended before: then the new
    /// connection is kept for others.
    fn finish_dial(&mut self, dial: Dial, stream: Option<TcpStream>) {
        let id = dial.request;
        if self
            .requests
            .get(id)
            .is_some_and(ActiveRequest::is_abandoned)
        {
            self.client_disconnected(id);
        }
        let is_awaited = self
            .requests
            .get(id)
            .is_some_and(|request| request.is_connecting(dial.attempt));
        let Some(stream) = stream else {
            // The permit is free before the engine decides on another attempt.
            drop(dial);
            if is_awaited {
                self.finish_attempt(id, AttemptResult::ConnectFailed);
            }
            return;
        };
        let connection =
            self.endpoints
                .open_connection(stream, dial.endpoint, dial.incarnation, dial.permit);
        if !is_awaited {
            return self.endpoints.put_idle(&connection, self.clock.now_ms());
        }
        // The endpoint may have restarted or begun to drain meanwhile, which `send_command` checks.
        if !self.send_command(id, &connection) {
            self.finish_attempt(id, AttemptResult::ConnectFailed);
        }
    }

    /// Sends the command of a request on a connection. False if nothing was written: the connection broke before,
    /// its endpoint takes no new requests, or a further attempt could be executed a second time. The connection is
    /// closed then.
    fn send_command(&mut self, id: RequestId, connection: &Rc<EndpointConnection>) -> bool {
        let now_ms = self.clock.now_ms();
        let is_usable = self.endpoints.is_usable(connection);
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        let class = self.settings.class(request.class());
        let may_repeat = request.is_within_deduplication_window(class, now_ms);
        let Some(attempt) = request.attempt() else {
            return false;
        };
        if !is_usable || !may_repeat {
            connection.close();
            return false;
        }
        let remaining_ms = (attempt.deadline_ms - now_ms).max(1.0) as u64;
        self.write_buffer.clear();
        request.write_command(remaining_ms, &mut self.write_buffer);
        if connection.send_command(id, &self.write_buffer).is_err() {
            return false;
        }
        if let Some(attempt) = request.attempt_mut() {
            attempt.phase = AttemptPhase::OnConnection(connection.clone());
        }
        true
    }

    /// Ends an attempt from this side and closes its connection, so that nothing late can be taken for the
    /// response to another request. Without a completely written command it counts as a failed connect, since the
    /// endpoint cannot have executed it.
    pub(super) fn abort_attempt(&mut self, id: RequestId, result: AttemptResult) {
        let Some(attempt) = self.requests.attempt(id) else {
            return;
        };
        let result = if attempt.may_have_executed() {
            result
        } else {
            AttemptResult::ConnectFailed
        };
        if let AttemptPhase::OnConnection(connection) = &attempt.phase {
            connection.unassign();
            connection.close();
        }
        self.finish_attempt(id, result);
    }

    /// Cancels an attempt whose command no endpoint has completely. The rest of the command is not written.
    pub(super) fn cancel_unsent_attempt(&mut self, id: RequestId) {
        let Some(attempt) = self.requests.attempt(id) else {
            return;
        };
        if attempt.may_have_executed() {
            return;
        }
        if let AttemptPhase::OnConnection(connection) = &attempt.phase {
            connection.unassign();
            connection.close();
        }
        self.finish_attempt(id, AttemptResult::NeverSent);
    }

    /// An attempt has ended without a response that reports anything.
    pub(super) fn finish_attempt(&mut self, id: RequestId, result: AttemptResult) {
        self.finish_attempt_with_reports(id, result, ResponseReports::default());
    }

    /// An attempt has ended: the engine is notified, and the request forgotten if it has ended as well.
    pub(super) fn finish_attempt_with_reports(
        &mut self,
        id: RequestId,
        result: AttemptResult,
        reports: ResponseReports,
    ) {
        let now_ms = self.clock.now_ms();
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(attempt) = request.finish_attempt(may_have_executed(result)) else {
            return;
        };
        let outcome = AttemptOutcome {
            request: id,
            attempt: attempt.number,
            endpoint: attempt.endpoint,
            result,
            latency: Milliseconds((now_ms - attempt.started_at_ms).max(0.0)),
            request_ended: !request.awaits_answer(),
            metered_use: None,
            actual_cost: reports.actual_cost,
            load_report: reports.load_report,
        };
        self.handle_event(Event::AttemptFinished(outcome));
        self.requests.remove_if_finished(id);
    }
}

/// Whether an endpoint may have executed an attempt that ended in this way.
fn may_have_executed(result: AttemptResult) -> bool {
    !matches!(
        result,
        AttemptResult::Overloaded | AttemptResult::ConnectFailed | AttemptResult::NeverSent
    )
}
