//! Attempts: requests that a gateway has forwarded to an endpoint.

use super::Fleet;
use super::event_queue::FleetEvent;
use crate::clients::ClientRequest;
use crate::endpoint::{AttemptEnd, SlowStart};
use marlshelf::{
    AttemptOutcome, AttemptResult, EndpointName, Event, Milliseconds, RequestId, Tokens,
};
use rand::Rng;

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
    /// The index of the endpoint.
    pub endpoint: usize,
    sent_at_ms: f64,
}

/// What an endpoint states in its response.
struct ResponseDetails {
    has_actual_cost: bool,
    /// Whether the response carries a load report and the metered use.
    has_report: bool,
    /// The actual cost of the request as a multiple of its estimated cost.
    use_factor: f64,
}

impl Fleet<'_> {
    /// Starts an attempt, and schedules its end.
    pub(super) fn start_attempt(&mut self, id: RequestId, name: &EndpointName, deadline_ms: f64) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let endpoint = self
            .endpoints
            .iter()
            .rposition(|endpoint| endpoint.entry.name == *name)
            .expect("a gateway forwards to endpoints of the list");
        let number = pending.attempt_count;
        pending.attempt_count += 1;
        pending.attempt = Some(Attempt {
            number,
            endpoint,
            sent_at_ms: self.now_ms,
        });
        let end = if deadline_ms <= self.now_ms || !pending.client_waits {
            AttemptEnd::at(self.now_ms, AttemptResult::NeverSent)
        } else {
            let work_factor = work_factor(&pending.request);
            self.send_attempt(endpoint, work_factor, deadline_ms)
        };
        let attempt = AttemptId {
            request: id,
            number,
        };
        let result = end.result;
        self.schedule(end.at_ms, FleetEvent::AttemptEnd { attempt, result });
    }

    /// Sends an attempt to its endpoint. Returns when and how it ends from the gateway's view.
    fn send_attempt(&mut self, endpoint: usize, work_factor: f64, deadline_ms: f64) -> AttemptEnd {
        let settings = &self.scenario.settings;
        let slow_start = SlowStart {
            initial_warmth: settings.initial_warmth,
            warmup_ms: settings.warmup_duration.as_f64(),
        };
        let endpoint = &mut self.endpoints[endpoint];
        let served = endpoint.serve(self.now_ms, work_factor, slow_start, &mut self.rng);
        let end = if served.at_ms > deadline_ms {
            AttemptEnd::at(deadline_ms, AttemptResult::TimedOut)
        } else {
            let received_at_ms = served.at_ms + self.scenario.endpoints.network_delay_ms;
            AttemptEnd::at(received_at_ms, served.result)
        };
        self.host_abort(end.at_ms).unwrap_or(end)
    }

    /// The end of an attempt that the gateway's host aborts before its regular end.
    fn host_abort(&mut self, regular_end_ms: f64) -> Option<AttemptEnd> {
        if self.rng.random::<f64>() >= self.scenario.traffic.host_abort_ratio {
            return None;
        }
        if self.rng.random() {
            Some(AttemptEnd::at(self.now_ms, AttemptResult::NeverSent))
        } else {
            let abort_at_ms = f64::midpoint(self.now_ms, regular_end_ms);
            Some(AttemptEnd::at(abort_at_ms, AttemptResult::Cancelled))
        }
    }

    /// Ends an attempt, unless it has ended before, and notifies its gateway.
    pub(super) fn finish_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(pending) = self.pending.get_mut(&id.request) else {
            return;
        };
        let Some(attempt) = pending
            .attempt
            .take_if(|attempt| attempt.number == id.number)
        else {
            return;
        };
        if result == AttemptResult::Success {
            pending.client_waits = false;
        }
        let request_ended = !pending.client_waits;
        let gateway = pending.request.gateway;
        let gateway_incarnation = pending.gateway_incarnation;
        let estimated_cost = pending.request.cost;
        let details = self.draw_response_details(result);
        let actual_cost = (estimated_cost * details.use_factor * 10.0).round() / 10.0;
        let endpoint = &mut self.endpoints[attempt.endpoint];
        let outcome = AttemptOutcome {
            request: id.request,
            attempt: id.number,
            endpoint: endpoint.entry.name.clone(),
            result,
            latency: Milliseconds(self.now_ms - attempt.sent_at_ms),
            request_ended,
            metered_use: details.has_report.then_some(details.use_factor),
            actual_cost: details.has_actual_cost.then_some(Tokens(actual_cost)),
            load_report: details
                .has_report
                .then(|| endpoint.load_report(self.now_ms)),
        };
        if gateway_incarnation == self.gateways[gateway].incarnation {
            self.notify(gateway, Event::AttemptFinished(outcome));
        }
        self.remove_if_completed(id.request);
    }

    /// Draws what an endpoint states in its response.
    fn draw_response_details(&mut self, result: AttemptResult) -> ResponseDetails {
        let has_actual_cost = result == AttemptResult::Success
            && self.rng.random::<f64>() < self.scenario.traffic.actual_cost_ratio;
        let has_response = matches!(
            result,
            AttemptResult::Success | AttemptResult::Error | AttemptResult::Overloaded
        );
        let has_report =
            has_response && self.rng.random::<f64>() < self.scenario.endpoints.load_report_ratio;
        ResponseDetails {
            has_actual_cost,
            has_report,
            use_factor: self.rng.random_range(0.5..1.6f64),
        }
    }
}

/// The factor on an endpoint's service time that a request causes.
fn work_factor(request: &ClientRequest) -> f64 {
    0.4 + 0.2 * request.cost + 0.15 * request.class as f64
}
