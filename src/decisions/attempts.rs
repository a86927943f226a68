//! Attempts of a forwarded request, from the first to the end of the request.

use super::Decisions;
use super::load_balancing::RetryAttempt;
use super::load_shedding::RequestOutcome;
use super::retries::{FailedAttempt, may_have_executed};
use crate::events::{AttemptOutcome, AttemptResult, EndpointName, RequestId};
use crate::records::{Authorization, InFlightRequest, PendingRequest};
use crate::units::{Milliseconds, Timestamp};

impl Decisions {
    /// Begins an attempt of a request in flight.
    pub(super) fn forward(&mut self, id: RequestId, endpoint: &EndpointName) {
        let Some(request) = self.requests.in_flight_mut(id) else {
            return;
        };
        request.attempts += 1;
        let admitted = &request.admitted;
        let class = self.settings.class(admitted.request.class);
        // A late answer that earns nothing is not waited for, and its absence is not taken for load.
        let late_answer_earns = class.late_answer_weight > 0.0;
        let objective_at_ms = admitted.arrived_at_ms + class.latency_objective.0;
        let useful_until_ms = if late_answer_earns {
            f64::INFINITY
        } else {
            objective_at_ms
        };
        let deadline_ms = admitted.request.client_deadline.0.min(useful_until_ms);
        self.load_balancer.attempt_started(
            id,
            admitted.request.class,
            endpoint,
            Timestamp(self.now_ms),
        );
        self.actions.forward(id, endpoint.clone(), deadline_ms);
    }

    pub(crate) fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.take_by_request(id) {
            return self.abandon_wait(&pending);
        }
        let Some(request) = self.requests.in_flight_mut(id) else {
            return;
        };
        request.client_disconnected = true;
        let tier = request.admitted.tier;
        if !self.is_in_time(id) {
            self.load_shedder
                .record(tier, RequestOutcome::Unserved, Timestamp(self.now_ms));
        }
    }

    /// Whether the latency objective of a request is not over yet.
    fn is_in_time(&self, id: RequestId) -> bool {
        self.requests
            .in_flight(id)
            .is_some_and(|InFlightRequest { admitted, .. }| {
                let class = self.settings.class(admitted.request.class);
                admitted.age_ms(self.now_ms) <= class.latency_objective.0
            })
    }

    pub(crate) fn on_attempt_finished(&mut self, outcome: &AttemptOutcome) {
        let id = outcome.request;
        self.learn_from(outcome);
        self.settle_actual_cost(outcome);
        let Some(request) = self.requests.in_flight(id) else {
            return;
        };
        let tier = request.admitted.tier;
        let in_time = self.is_in_time(id);
        if request.client_disconnected {
            self.finish(id);
        } else if outcome.request_ended {
            self.finish(id);
            let accepted = outcome.result == AttemptResult::Success && in_time;
            self.load_shedder.record(
                tier,
                RequestOutcome::accepted_if(accepted),
                Timestamp(self.now_ms),
            );
        } else if let Some(endpoint) = self.retry_endpoint(outcome) {
            self.retry_policy.retry_started();
            self.forward(id, &endpoint);
        } else if let Some(request) = self.finish(id) {
            // An error is an answer: the endpoint had capacity for the request.
            let accepted = outcome.result == AttemptResult::Error && in_time;
            self.load_shedder.record(
                tier,
                RequestOutcome::accepted_if(accepted),
                Timestamp(self.now_ms),
            );
            self.answer_failed_request(&request);
        }
    }

    /// Takes in what an attempt tells of its endpoint, and whether the request may have been executed there.
    fn learn_from(&mut self, outcome: &AttemptOutcome) {
        let execution = self
            .load_balancer
            .attempt_finished(outcome, Timestamp(self.now_ms));
        let Some(request) = self.requests.in_flight_mut(outcome.request) else {
            return;
        };
        if let Some(execution) = execution.filter(|_| may_have_executed(outcome.result)) {
            request.first_execution.get_or_insert(execution);
        }
    }

    fn settle_actual_cost(&mut self, outcome: &AttemptOutcome) {
        let Some(InFlightRequest { admitted, .. }) = self.requests.in_flight(outcome.request)
        else {
            return;
        };
        let difference = outcome
            .actual_cost
            .map_or(0.0, |actual| actual.0 - admitted.request.cost.0);
        self.settle_usage(admitted.account, difference, None);
    }

    /// The endpoint for a retry, if one is allowed, affordable and still of use.
    fn retry_endpoint(&mut self, outcome: &AttemptOutcome) -> Option<EndpointName> {
        let request = self.requests.in_flight(outcome.request)?;
        let admitted = &request.admitted;
        let class = self.settings.class(admitted.request.class);
        let failed = FailedAttempt {
            class: admitted.request.class,
            attempts: request.attempts,
            result: outcome.result,
            first_execution: request.first_execution,
        };
        let now = Timestamp(self.now_ms);
        let scope = self.retry_policy.retry_scope(&failed, now)?;
        let objective_at_ms = admitted.arrived_at_ms + class.latency_objective.0;
        let useful_until_ms = objective_at_ms.min(admitted.request.client_deadline.0);
        let retry = RetryAttempt {
            class: admitted.request.class,
            remaining: Milliseconds(useful_until_ms - self.now_ms),
            scope,
            previous_endpoint: &outcome.endpoint,
        };
        self.load_balancer
            .choose_for_retry(&retry, now, &mut self.rng)
    }

    /// The final answer to a request whose attempts have failed.
    fn answer_failed_request(&mut self, request: &InFlightRequest) {
        let admitted = &request.admitted.request;
        if request.first_execution.is_none() || self.retry_policy.client_may_repeat(admitted.class)
        {
            self.reject(admitted);
        } else {
            self.actions.fail(admitted.id);
        }
    }

    /// Forgets a request whose last attempt has ended, and hands on or releases its permit.
    fn finish(&mut self, id: RequestId) -> Option<InFlightRequest> {
        let request = self.requests.end(id)?;
        let PendingRequest {
            account,
            authorization,
            ..
        } = request.admitted;
        if let Some(tenant) = self.tenants.get_mut(&account.tenant) {
            tenant.client.permits.release();
        }
        if self.tenants.has_local_permits(account) {
            if let Some(next) = self.requests.take_next_for_permit(account.tenant) {
                self.admit(next);
            }
        } else if authorization.permit().is_some()
            && self.settings.plan(account.plan).max_concurrency > 0
        {
            self.hand_on_permit(&request.admitted);
        }
        Some(request)
    }

    /// The tenant's next request at this gateway takes over the permit at once, as each message to the owner
    /// would leave it unused for a while; otherwise it is released.
    fn hand_on_permit(&mut self, finished: &PendingRequest) {
        let permit = finished.authorization.permit();
        let Some(next) = self.requests.take_next(finished.account.tenant) else {
            return self.settle_usage(finished.account, 0.0, permit);
        };
        self.settle_usage(next.account, next.request.cost.0, None);
        let authorization =
            permit.map_or(Authorization::Unconfirmed, Authorization::InheritedPermit);
        self.admit(PendingRequest {
            authorization,
            ..next
        });
    }
}
