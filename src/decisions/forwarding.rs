//! Forwarding: the attempts of requests that their quota covers.
//!
//! Load shedding may reject a request before its first attempt. Load balancing chooses the endpoints, and the
//! retry policy decides on further attempts after one has failed.

use super::context::EventContext;
use super::load_balancing::{LoadBalancer, RetryAttempt};
use super::load_shedding::{LoadShedder, PriorityTier, RequestOutcome, SheddingDecision};
use super::requests::{InFlightRequest, ReceivedRequest};
use super::retries::{FailedAttempt, RetryPolicy, may_have_executed};
use crate::events::{
    AttemptOutcome, AttemptResult, Endpoint, EndpointListKind, EndpointName, Request,
};
use crate::settings::Settings;
use crate::units::Milliseconds;
use std::sync::Arc;

/// What follows the end of an attempt.
#[derive(Debug)]
pub(crate) enum NextStep {
    /// Another attempt, at this endpoint.
    Retry(EndpointName),
    /// The request has ended.
    End(RequestEnd),
}

/// How a request ends whose last attempt has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestEnd {
    /// The outcome to record; `None` where it was recorded before.
    pub outcome: Option<RequestOutcome>,
    pub answer: FinalAnswer,
}

/// The answer that the gateway still owes the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FinalAnswer {
    /// None: the client has an answer, or has disconnected.
    None,
    /// A rejection, which means that a retry is safe.
    Reject,
    /// A failure, which does not tell whether the request has executed.
    Fail,
}

/// Load shedding, load balancing and retries of one gateway.
pub(crate) struct Forwarding {
    load_shedder: LoadShedder,
    load_balancer: LoadBalancer,
    retry_policy: RetryPolicy,
}

impl Forwarding {
    /// A gateway that knows no endpoint yet.
    pub(crate) fn new(settings: &Arc<Settings>) -> Forwarding {
        Forwarding {
            load_shedder: LoadShedder::new(settings.clone()),
            load_balancer: LoadBalancer::new(settings.clone()),
            retry_policy: RetryPolicy::new(settings.clone()),
        }
    }

    /// The mean latency of answers over all endpoints and classes.
    pub(crate) fn mean_latency(&self) -> Milliseconds {
        self.load_balancer.mean_latency()
    }

    /// Applies an endpoint list.
    pub(crate) fn apply_endpoint_list(
        &mut self,
        kind: EndpointListKind,
        endpoints: Vec<Endpoint>,
        context: &EventContext,
    ) {
        self.load_balancer.apply_list(kind, endpoints, context.now);
    }

    /// Counts a request that has arrived. Returns its tier, if the settings have its class and its plan.
    pub(crate) fn request_arrived(&mut self, request: &Request) -> Option<PriorityTier> {
        let tier = self.load_shedder.tier_of(request.class, request.plan)?;
        self.retry_policy.request_arrived();
        Some(tier)
    }

    /// The endpoint for the first attempt of a request. `None` if the request is shed or no endpoint has
    /// capacity for it, which is recorded.
    pub(crate) fn first_endpoint(
        &mut self,
        received: &ReceivedRequest,
        context: &mut EventContext,
    ) -> Option<EndpointName> {
        let (tier, now) = (received.tier, context.now);
        let endpoint_count = self.load_balancer.endpoint_count();
        let shedding = self
            .load_shedder
            .decide(tier, endpoint_count, now, &mut context.rng);
        let class = received.request.class;
        let endpoint = match shedding {
            SheddingDecision::Shed => None,
            SheddingDecision::Forward => {
                self.load_balancer
                    .choose_for_first_attempt(class, now, &mut context.rng)
            }
        };
        // A client's retry that is rejected here was counted with the first request.
        if endpoint.is_none() && !received.request.is_retry {
            self.record(tier, RequestOutcome::Unserved, context);
        }
        endpoint
    }

    /// Starts an attempt of a request.
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
        context.forward(id, endpoint, received.useful_until);
    }

    /// Starts a retry, which the budget pays for.
    pub(crate) fn start_retry(
        &mut self,
        request: &mut InFlightRequest,
        endpoint: EndpointName,
        context: &mut EventContext,
    ) {
        self.retry_policy.retry_started();
        self.start_attempt(request, endpoint, context);
    }

    /// Updates the estimates by the outcome of an attempt, and records whether its request may have been
    /// executed.
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

    /// Decides what follows the end of an attempt.
    pub(crate) fn next_step(
        &self,
        request: &InFlightRequest,
        outcome: &AttemptOutcome,
        context: &mut EventContext,
    ) -> NextStep {
        let in_time = request.received.is_in_time(context.now);
        let accepted_if = |result| {
            let accepted = outcome.result == result && in_time;
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
            // An error is an answer: the endpoint had capacity for the request.
            outcome: accepted_if(AttemptResult::Error),
            answer: self.final_answer(request),
        })
    }

    /// The endpoint for a retry, if one is allowed, affordable and still of use.
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

    /// The answer to a request whose attempts have all failed.
    fn final_answer(&self, request: &InFlightRequest) -> FinalAnswer {
        let class = request.received.request.class;
        if request.first_execution.is_none() || self.retry_policy.client_may_repeat(class) {
            FinalAnswer::Reject
        } else {
            FinalAnswer::Fail
        }
    }

    /// Records the outcome of a request for load shedding.
    pub(crate) fn record(
        &mut self,
        tier: PriorityTier,
        outcome: RequestOutcome,
        context: &EventContext,
    ) {
        self.load_shedder.record(tier, outcome, context.now);
    }
}
