//! Builders for client requests and attempt outcomes.

use super::settings::{AMPLE_QUOTA, IDEMPOTENT};
use marlshelf::{
    AttemptOutcome, AttemptResult, ClassIndex, Event, GatewayId, Milliseconds, PlanIndex, Request,
    RequestId, Timestamp, Tokens,
};

/// A request and its time of arrival at a gateway.
#[derive(Clone)]
pub struct TestRequest {
    pub received_at_ms: f64,
    pub request: Request,
}

/// Returns a request that costs one token and has a client deadline after two seconds. The shard of its
/// tenant consists of gateways 0 and 1.
pub fn request(id: u64, received_at_ms: f64) -> TestRequest {
    TestRequest {
        received_at_ms,
        request: Request {
            id: RequestId(id),
            tenant: "acme".into(),
            class: ClassIndex(IDEMPOTENT),
            plan: PlanIndex(AMPLE_QUOTA),
            cost: Tokens(1.0),
            shard_start: GatewayId(0),
            shard_size: 2,
            client_deadline: Timestamp(received_at_ms + 2000.0),
            is_retry: false,
        },
    }
}

impl TestRequest {
    /// Changes the time of arrival but not the client deadline.
    pub fn received_at_ms(mut self, received_at_ms: f64) -> Self {
        self.received_at_ms = received_at_ms;
        self
    }

    pub fn class(mut self, class: usize) -> Self {
        self.request.class = ClassIndex(class);
        self
    }

    pub fn plan(mut self, plan: usize) -> Self {
        self.request.plan = PlanIndex(plan);
        self
    }

    pub fn tenant(mut self, tenant: &str) -> Self {
        self.request.tenant = tenant.into();
        self
    }

    pub fn cost(mut self, tokens: f64) -> Self {
        self.request.cost = Tokens(tokens);
        self
    }

    /// Sets the number of gateways in the tenant's shard, which begins at the same gateway as before.
    pub fn shard_size(mut self, gateways: u32) -> Self {
        self.request.shard_size = gateways;
        self
    }

    /// Makes this gateway the only one in the tenant's shard, so that it owns the quota.
    pub fn owned_by(mut self, gateway: u32) -> Self {
        self.request.shard_start = GatewayId(gateway);
        self.request.shard_size = 1;
        self
    }

    pub fn client_deadline_ms(mut self, deadline_ms: f64) -> Self {
        self.request.client_deadline = Timestamp(deadline_ms);
        self
    }

    pub fn event(self) -> Event {
        Event::RequestReceived(self.request)
    }
}

/// Returns the outcome of a request's first attempt. A success ends the request. After any other result, the
/// gateway may retry it.
pub fn outcome(
    request: u64,
    endpoint: &str,
    result: AttemptResult,
    latency_ms: f64,
) -> AttemptOutcome {
    AttemptOutcome {
        request: RequestId(request),
        attempt: 0,
        endpoint: endpoint.into(),
        result,
        latency: Milliseconds(latency_ms),
        request_ended: result == AttemptResult::Success,
        metered_use: None,
        actual_cost: None,
        load_report: None,
    }
}

/// Returns the outcome of a successful first attempt.
pub fn success(request: u64, endpoint: &str, latency_ms: f64) -> AttemptOutcome {
    outcome(request, endpoint, AttemptResult::Success, latency_ms)
}
