//! Forwards requests that hold a quota grant.
//!
//! Load shedding may reject a request before its first attempt. Load balancing chooses the endpoint of each
//! attempt, and the retry policy decides whether a failed attempt is retried.

use super::context::EventContext;
use super::load_balancing::{LoadBalancer, RetryAttempt};
use super::load_shedding::{LoadShedder, PriorityTier, RequestOutcome, SheddingDecision};
use super::requests::{InFlightRequest, ReceivedRequest};
use super::retries::{FailedAttempt, RetryPolicy, may_have_executed};
use crate::events::{
    AttemptOutcome, AttemptResult, Endpoint, EndpointListKind, EndpointName, RejectReason, Request,
};
use crate::settings::Settings;
use crate::units::Milliseconds;
use std::sync::Arc;

/// The next step after an attempt has ended.
#[derive(Debug)]
pub(crate) enum NextStep {
    /// Retry on this endpoint.
    Retry(EndpointName),
    /// End the request; no further attempt is made.
    End(RequestEnd),
}

/// The outcome and the final answer of a request whose last attempt has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestEnd {
    /// The outcome to record; `None` if it has been recorded already.
    pub outcome: Option<RequestOutcome>,
    pub answer: FinalAnswer,
}

/// The final answer that the gateway still has to send to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FinalAnswer {
    /// No answer is needed: the client has received one or has disconnected.
    None,
    /// A rejection, which tells the client that a retry is safe.
    Reject,
    /// A failure, which leaves open whether the request has been executed.
    Fail,
}

pub(crate) struct Forwarding {
    load_shedder: LoadShedder,
    load_balancer: LoadBalancer,
    retry_policy: RetryPolicy,
}

impl Forwarding {
    /// Creates the forwarding state of a gateway that has no endpoint list yet.
    pub(crate) fn new(settings: &Arc<Settings>) -> Forwarding {
        Forwarding {
            load_shedder: LoadShedder::new(settings.clone()),
            load_balancer: LoadBalancer::new(settings.clone()),
            retry_policy: RetryPolicy::new(settings.clone()),
        }
    }

    /// Returns the mean latency of endpoint responses, over all endpoints and classes.
    pub(crate) fn mean_latency(&self) -> Milliseconds {
        self.load_balancer.mean_latency()
    }

    pub(crate) fn apply_endpoint_list(
        &mut self,
        kind: EndpointListKind,
        endpoints: Vec<Endpoint>,
        context: &EventContext,
    ) {
        self.load_balancer.apply_list(kind, endpoints, context.now);
    }

    /// Adds a new request to the retry budget and returns its tier, or `None` if the settings lack its class
    /// or plan.
    pub(crate) fn request_arrived(&mut self, request: &Request) -> Option<PriorityTier> {
        let tier = self.load_shedder.tier_of(request.class, request.plan)?;
        self.retry_policy.request_arrived();
        Some(tier)
    }

    /// Chooses the endpoint for the first attempt of a request.
    ///
    /// # Errors
    /// Fails, and records the request as unserved, if load shedding rejects it or no endpoint has capacity.
    pub(crate) fn first_endpoint(
        &mut self,
        received: &ReceivedRequest,
        context: &mut EventContext,
    ) -> Result<EndpointName, RejectReason> {
        let (tier, now) = (received.tier, context.now);
        let endpoint_count = self.load_balancer.endpoint_count();
        let shedding = self
            .load_shedder
            .decide(tier, endpoint_count, now, &mut context.rng);
        let class = received.request.class;
        let endpoint = match shedding {
            SheddingDecision::Shed => Err(RejectReason::LoadShed),
            SheddingDecision::Forward => self
                .load_balancer
                .choose_for_first_attempt(class, now, &mut context.rng)
                .ok_or(RejectReason::NoEndpointCapacity),
        };
        // A rejected client retry is not recorded: the original request has been counted already.
        if endpoint.is_err() && !received.request.is_retry {
            self.record(tier, RequestOutcome::Unserved, context);
        }
        endpoint
    }

    /// Starts an attempt, which is abandoned when a response would no longer be useful.
    pub(crate) fn start_attempt(
        &mut self,
        request: &mut InFlightRequest,
        endpoint: EndpointName,
        context: &mut EventContext,
    ) {
        request.attempts += 1;
        let received = &request.received;
        let (id, class) = (received.request.id, received.request.class);
        self.load_balancer
            .attempt_started(id, class, &endpoint, context.now);
        context.forward(id, endpoint, received.attempt_deadline);
    }

    /// Starts a retry and charges it to the retry budget.
    pub(crate) fn start_retry(
        &mut self,
        request: &mut InFlightRequest,
        endpoint: EndpointName,
        context: &mut EventContext,
    ) {
        self.retry_policy.retry_started();
        self.start_attempt(request, endpoint, context);
    }

    /// Updates the endpoint estimates from the outcome of an attempt. Records the first attempt that may have
    /// been executed.
    pub(crate) fn attempt_finished(
        &mut self,
        request: Option<&mut InFlightRequest>,
        outcome: &AttemptOutcome,
        context: &mut EventContext,
    ) {
        let execution = self
            .load_balancer
            .attempt_finished(outcome, context.now)
            .filter(|_| may_have_executed(outcome.result));
        context.mean_latency = self.load_balancer.mean_latency();
        if let (Some(request), Some(execution)) = (request, execution) {
            request.first_execution.get_or_insert(execution);
        }
    }

    /// Decides whether to retry or to end the request after an attempt has ended.
    pub(crate) fn next_step(
        &self,
        request: &InFlightRequest,
        outcome: &AttemptOutcome,
        context: &mut EventContext,
    ) -> NextStep {
        let within_objective = request.received.meets_latency_objective(context.now);
        let accepted_if = |result| {
            let accepted = outcome.result == result && within_objective;
            Some(RequestOutcome::accepted_if(accepted))
        };
        if request.client_disconnected {
            return NextStep::End(RequestEnd {
                outcome: None,
                answer: FinalAnswer::None,
            });
        }
        if outcome.request_ended {
            return NextStep::End(RequestEnd {
                outcome: accepted_if(AttemptResult::Success),
                answer: FinalAnswer::None,
            });
        }
        if let Some(endpoint) = self.retry_endpoint(request, outcome, context) {
            return NextStep::Retry(endpoint);
        }
        NextStep::End(RequestEnd {
            // An error response within the objective shows that the endpoint had capacity for the request.
            outcome: accepted_if(AttemptResult::Error),
            answer: self.final_answer(request),
        })
    }

    /// Chooses the endpoint for a retry. Returns `None` if the request must not be retried, the budget is
    /// exhausted, or no endpoint can respond before the objective deadline.
    fn retry_endpoint(
        &self,
        request: &InFlightRequest,
        outcome: &AttemptOutcome,
        context: &mut EventContext,
    ) -> Option<EndpointName> {
        let received = &request.received;
        let (class, now) = (received.request.class, context.now);
        let failed = FailedAttempt {
            class,
            attempts: request.attempts,
            result: outcome.result,
            first_execution: request.first_execution,
        };
        let scope = self.retry_policy.retry_scope(&failed, now)?;
        let retry = RetryAttempt {
            class,
            remaining: received.objective_deadline() - now,
            scope,
            previous_endpoint: &outcome.endpoint,
        };
        self.load_balancer
            .choose_for_retry(&retry, now, &mut context.rng)
    }

    /// Returns the final answer to a request whose attempts have all failed: a rejection if a client retry is
    /// safe.
    fn final_answer(&self, request: &InFlightRequest) -> FinalAnswer {
        let class = request.received.request.class;
        if request.first_execution.is_none() || self.retry_policy.client_may_retry(class) {
            FinalAnswer::Reject
        } else {
            FinalAnswer::Fail
        }
    }

    /// Records the final outcome of a request with the load shedder.
    pub(crate) fn record(
        &mut self,
        tier: PriorityTier,
        outcome: RequestOutcome,
        context: &EventContext,
    ) {
        self.load_shedder.record(tier, outcome, context.now);
    }
}
