//! Execution of attempts, which are requests that a gateway forwards to an endpoint.

use super::Fleet;
use super::events::FleetEvent;
use crate::{AttemptEnd, Clients, EndpointIndex, Observer, RandomStream, SimulatedEndpoint};
use marlshelf::{AttemptOutcome, AttemptResult, EndpointName, Event, RequestId, Timestamp, Tokens};
use rand::Rng;
use std::ops::Range;

/// Range of the actual cost that an endpoint reports, as a multiple of the estimated cost.
const ACTUAL_COST_FACTOR: Range<f64> = 0.5..1.6;

#[derive(Clone, Copy, Debug)]
pub struct AttemptId {
    pub request: RequestId,
    /// Number of earlier attempts of the request.
    pub number: u32,
}

/// An attempt in flight.
pub struct Attempt {
    /// Number of earlier attempts of the request.
    pub number: u32,
    pub endpoint: EndpointIndex,
    sent_at: Timestamp,
}

/// Additional data that an endpoint reports in its response.
struct ResponseDetails {
    has_actual_cost: bool,
    /// Whether the response carries a load report and the metered use.
    has_report: bool,
    /// Actual cost as a multiple of the estimated cost. It also serves as the metered use of the tenant.
    use_factor: f64,
}

impl ResponseDetails {
    /// Returns the reported actual cost, rounded to one decimal place.
    fn actual_cost(&self, estimated_cost: Tokens) -> Option<Tokens> {
        let actual_cost = (estimated_cost.as_f64() * self.use_factor * 10.0).round() / 10.0;
        self.has_actual_cost.then_some(Tokens(actual_cost))
    }
}

impl<C: Clients, O: Observer> Fleet<'_, C, O> {
    /// Starts an attempt and schedules its end. An attempt whose deadline has passed or whose client has
    /// disconnected is never sent.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        name: &EndpointName,
        deadline: Timestamp,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        self.observer
            .on_attempt_start(self.now, id, &pending.request);
        let endpoint = newest_endpoint(&self.endpoints, name);
        let number = pending.attempt_count;
        pending.attempt_count += 1;
        pending.attempt = Some(Attempt {
            number,
            endpoint,
            sent_at: self.now,
        });
        let end = if deadline <= self.now || !pending.is_client_waiting {
            AttemptEnd::at(self.now, AttemptResult::NeverSent)
        } else {
            let work = pending.request.work;
            self.send_attempt(endpoint, work, deadline)
        };
        let attempt = AttemptId {
            request: id,
            number,
        };
        let result = end.result;
        self.schedule(end.at, FleetEvent::AttemptEnd { attempt, result });
    }

    /// Sends an attempt to its endpoint. Returns when and how it ends as seen by the gateway.
    fn send_attempt(
        &mut self,
        endpoint: EndpointIndex,
        work: f64,
        deadline: Timestamp,
    ) -> AttemptEnd {
        let random = self.randomness.stream(RandomStream::Endpoints);
        let served = self.endpoints[endpoint.0].serve(self.now, work, random);
        let delays = &self.scenario.endpoints.service.delays;
        let end = if served.at > deadline {
            AttemptEnd::at(deadline + delays.timeout, AttemptResult::TimedOut)
        } else {
            AttemptEnd::at(served.at + delays.network, served.result)
        };
        self.draw_host_abort(end.at).unwrap_or(end)
    }

    /// Draws whether the gateway's host aborts an attempt before its regular end. Returns the end of an
    /// aborted attempt: half of them are never sent, and the others are cancelled halfway through.
    fn draw_host_abort(&mut self, regular_end: Timestamp) -> Option<AttemptEnd> {
        let random = self.randomness.stream(RandomStream::Host);
        if random.random::<f64>() >= self.scenario.host_faults.abort_ratio {
            return None;
        }
        if random.random() {
            Some(AttemptEnd::at(self.now, AttemptResult::NeverSent))
        } else {
            let abort_at = f64::midpoint(self.now.as_f64(), regular_end.as_f64());
            let abort_at = Timestamp(abort_at);
            Some(AttemptEnd::at(abort_at, AttemptResult::Cancelled))
        }
    }

    /// Ends an attempt and notifies its gateway. Does nothing if the attempt has already ended.
    pub(super) fn finish_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(pending) = self.pending.get_mut(&id.request) else {
            return;
        };
        let is_in_flight = |attempt: &mut Attempt| attempt.number == id.number;
        let Some(attempt) = pending.attempt.take_if(is_in_flight) else {
            return;
        };
        if result == AttemptResult::Success {
            pending.is_client_waiting = false;
        }
        self.observer
            .on_attempt_end(self.now, id.request, &pending.request, result);
        let request_ended = !pending.is_client_waiting;
        let gateway = pending.request.gateway;
        let gateway_incarnation = pending.gateway_incarnation;
        let defined_cost = pending.request.actual_cost;
        let defined_cost = defined_cost.filter(|_| result == AttemptResult::Success);
        let estimated_cost = pending.request.cost;
        let details = self.draw_response_details(result);
        let actual_cost = defined_cost.or(details.actual_cost(estimated_cost));
        let endpoint = &mut self.endpoints[attempt.endpoint.0];
        let outcome = AttemptOutcome {
            request: id.request,
            attempt: id.number,
            endpoint: endpoint.entry.name.clone(),
            result,
            latency: self.now - attempt.sent_at,
            request_ended,
            metered_use: details.has_report.then_some(details.use_factor),
            actual_cost,
            load_report: details.has_report.then(|| endpoint.load_report(self.now)),
        };
        if gateway_incarnation == self.gateway(gateway).incarnation {
            self.notify(gateway, Event::AttemptFinished(outcome));
        }
        self.remove_if_completed(id.request);
    }

    fn draw_response_details(&mut self, result: AttemptResult) -> ResponseDetails {
        let reports = &self.scenario.endpoints.reports;
        let random = self.randomness.stream(RandomStream::Endpoints);
        let has_actual_cost =
            result == AttemptResult::Success && random.random::<f64>() < reports.actual_cost_ratio;
        let has_response = matches!(
            result,
            AttemptResult::Success | AttemptResult::Error | AttemptResult::Overloaded
        );
        let has_report = has_response && random.random::<f64>() < reports.load_report_ratio;
        ResponseDetails {
            has_actual_cost,
            has_report,
            use_factor: random.random_range(ACTUAL_COST_FACTOR),
        }
    }
}

/// Returns the most recently added endpoint with this name.
fn newest_endpoint(endpoints: &[SimulatedEndpoint], name: &EndpointName) -> EndpointIndex {
    let index = endpoints
        .iter()
        .rposition(|endpoint| endpoint.entry.name == *name);
    EndpointIndex(index.expect("a gateway forwards only to endpoints in the endpoint list"))
}
