//! Attempts: requests that a gateway has forwarded to an endpoint.

use super::Fleet;
use super::events::FleetEvent;
use crate::{AttemptEnd, Clients, EndpointIndex, Observer, RandomStream, SimulatedEndpoint};
use marlshelf::{AttemptOutcome, AttemptResult, EndpointName, Event, RequestId, Timestamp, Tokens};
use rand::Rng;
use std::ops::Range;

/// The range of the actual cost of a request that an endpoint states, as a multiple of the estimated cost.
const ACTUAL_COST_FACTOR: Range<f64> = 0.5..1.6;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of earlier attempts of the request.
    pub number: u32,
}

/// An attempt in flight.
pub struct Attempt {
    /// The number of earlier attempts of the request.
    pub number: u32,
    /// The endpoint.
    pub endpoint: EndpointIndex,
    sent_at: Timestamp,
}

/// What an endpoint reports in its response.
struct ResponseDetails {
    has_actual_cost: bool,
    /// Whether the response carries a load report and the metered use.
    has_report: bool,
    /// The actual cost of the request as a multiple of its estimated cost.
    use_factor: f64,
}

impl ResponseDetails {
    /// The actual cost that the response states for a request of this estimated cost.
    fn actual_cost(&self, estimated_cost: Tokens) -> Option<Tokens> {
        let actual_cost = (estimated_cost.as_f64() * self.use_factor * 10.0).round() / 10.0;
        self.has_actual_cost.then_some(Tokens(actual_cost))
    }
}

impl<C: Clients, O: Observer> Fleet<'_, C, O> {
    /// Starts an attempt, and schedules its end.
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
        let end = if deadline <= self.now || !pending.client_waits {
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

    /// Sends an attempt to its endpoint. Returns when and how it ends from the gateway's view.
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
        self.host_abort(end.at).unwrap_or(end)
    }

    /// The end of an attempt that the gateway's host aborts before its regular end.
    fn host_abort(&mut self, regular_end: Timestamp) -> Option<AttemptEnd> {
        let random = self.randomness.stream(RandomStream::Host);
        if random.random::<f64>() >= self.scenario.host.abort_ratio {
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

    /// Ends an attempt, unless it has ended before, and notifies its gateway.
    pub(super) fn finish_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(pending) = self.pending.get_mut(&id.request) else {
            return;
        };
        let is_in_flight = |attempt: &mut Attempt| attempt.number == id.number;
        let Some(attempt) = pending.attempt.take_if(is_in_flight) else {
            return;
        };
        if result == AttemptResult::Success {
            pending.client_waits = false;
        }
        self.observer
            .on_attempt_end(self.now, id.request, &pending.request, result);
        let request_ended = !pending.client_waits;
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

    /// Draws what an endpoint reports in its response.
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

/// The endpoint of this name that was added last.
fn newest_endpoint(endpoints: &[SimulatedEndpoint], name: &EndpointName) -> EndpointIndex {
    let index = endpoints
        .iter()
        .rposition(|endpoint| endpoint.entry.name == *name);
    EndpointIndex(index.expect("a gateway forwards to endpoints of the list"))
}
