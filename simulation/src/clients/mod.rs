//! Client models: request arrivals, deadlines, disconnects and retries.

pub mod scheduled;
pub mod tenants;

use marlshelf::{ClassIndex, GatewayId, Milliseconds, PlanIndex, TenantName, Timestamp, Tokens};
use rand_pcg::Pcg64Mcg;

/// The range of gateways that receive a tenant's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shard {
    /// First gateway of the range. The range wraps around after the last gateway of the fleet.
    pub start: GatewayId,
    /// Number of gateways in the range. 0 means all gateways of the fleet.
    pub size: u32,
}

/// A request as sent by a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Name of the tenant that the request is charged to.
    pub tenant: TenantName,
    /// Index of the tenant in the scenario.
    pub tenant_index: usize,
    /// Shard of the tenant.
    pub shard: Shard,
    /// Request class. The index may be out of range, to test that the gateway rejects such requests.
    pub class: ClassIndex,
    /// Plan of the tenant. The index may be out of range, to test that the gateway rejects such requests.
    pub plan: PlanIndex,
    /// Cost estimate that the request carries.
    pub cost: Tokens,
    /// Cost reported by a successful response. If it is `None`, the endpoint decides whether to report a
    /// cost.
    pub actual_cost: Option<Tokens>,
    /// Service time of the request, as a multiple of the endpoint's service time.
    pub work: f64,
    /// Number of times that the client has already sent the request.
    pub retries: u32,
    /// Gateway that the client sends the request to.
    pub gateway: GatewayId,
}

impl ClientRequest {
    /// Returns a request of tenant 0 to `gateway`, with cost 1, work 1 and a shard of only that gateway.
    #[must_use]
    pub fn to_gateway(gateway: GatewayId) -> ClientRequest {
        ClientRequest {
            tenant: "tenant-0".into(),
            tenant_index: 0,
            shard: Shard {
                start: gateway,
                size: 1,
            },
            class: ClassIndex(0),
            plan: PlanIndex(0),
            cost: Tokens(1.0),
            actual_cost: None,
            work: 1.0,
            retries: 0,
            gateway,
        }
    }
}

/// Index of an independent sequence of arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalSource(pub usize);

/// One arrival from an [`ArrivalSource`].
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request that arrives. `None` if the chosen tenant is idle.
    pub request: Option<ClientRequest>,
    /// Time of the next arrival from the same source. `None` if this is the last one.
    pub next_at: Option<Timestamp>,
}

/// How long a client waits for a response.
#[derive(Clone, Copy, Debug)]
pub struct ClientDeadline {
    /// Deadline that the request carries.
    pub deadline: Timestamp,
    /// Time at which the client disconnects if it has received no response. `None` if it never disconnects.
    pub disconnect_at: Option<Timestamp>,
}

/// A retry that a client has scheduled.
#[derive(Clone, Debug)]
pub struct ClientRetry {
    /// Time at which the retry reaches its gateway.
    pub at: Timestamp,
    /// The request to send, with an incremented [`ClientRequest::retries`].
    pub request: ClientRequest,
}

/// Model of all clients of a fleet. Implementations draw random numbers only from `random`.
pub trait Clients {
    /// Returns the time of the first arrival from each source, indexed by [`ArrivalSource`].
    fn first_arrivals(&mut self, random: &mut Pcg64Mcg) -> Vec<Timestamp>;

    /// Returns the arrival from `source` that is due now. The fleet calls this at each arrival time.
    fn arrive(&mut self, source: ArrivalSource, now: Timestamp, random: &mut Pcg64Mcg) -> Arrival;

    /// Returns how long the client waits for a response to a request that it sends now.
    fn client_deadline(
        &mut self,
        request: &ClientRequest,
        now: Timestamp,
        random: &mut Pcg64Mcg,
    ) -> ClientDeadline;

    /// Returns the client's retry of a rejected or failed request, or `None` if the client gives up.
    #[expect(
        unused_variables,
        reason = "the default implementation ignores its arguments"
    )]
    fn retry(
        &mut self,
        request: &ClientRequest,
        retry_after: Milliseconds,
        now: Timestamp,
        random: &mut Pcg64Mcg,
    ) -> Option<ClientRetry> {
        None
    }
}
