//! Clients: which requests they send when, how long they wait, and whether they retry.

pub mod scheduled;
pub mod tenants;

use marlshelf::{ClassIndex, GatewayId, Milliseconds, PlanIndex, TenantName, Timestamp, Tokens};
use rand_pcg::Pcg64Mcg;

/// The gateways that receive a tenant's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shard {
    /// The first gateway.
    pub start: GatewayId,
    /// The number of gateways; 0 stands for all.
    pub size: u32,
}

/// A request as a client sends it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The tenant.
    pub tenant: TenantName,
    /// The index of the tenant among those of the scenario.
    pub tenant_index: usize,
    /// The gateways that receive the tenant's requests.
    pub shard: Shard,
    /// The index of the class, which may not exist.
    pub class: ClassIndex,
    /// The index of the plan, which may not exist.
    pub plan: PlanIndex,
    /// The cost that the request states.
    pub cost: Tokens,
    /// The cost that the response states. Without it the endpoint decides.
    pub actual_cost: Option<Tokens>,
    /// What it takes an endpoint to serve it, as a multiple of the endpoint's service time.
    pub work: f64,
    /// How often the client has sent it before.
    pub retries: u32,
    /// The gateway that receives it.
    pub gateway: GatewayId,
}

impl ClientRequest {
    /// A request of one token and work 1 to this gateway, whose tenant uses no other.
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

/// One of several independent sequences of arrivals, numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalSource(pub usize);

/// An arrival whose time has come.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request. There is none if its tenant is idle.
    pub request: Option<ClientRequest>,
    /// The time of the next arrival from the same source.
    pub next_at: Option<Timestamp>,
}

/// How long a client waits for an answer.
#[derive(Clone, Copy, Debug)]
pub struct ClientDeadline {
    /// The deadline that the request states.
    pub deadline: Timestamp,
    /// When it disconnects if it has no answer by then. Without it, it stays connected.
    pub disconnect_at: Option<Timestamp>,
}

/// A request that a client will send again.
#[derive(Clone, Debug)]
pub struct ClientRetry {
    /// When it reaches its gateway.
    pub at: Timestamp,
    /// The request.
    pub request: ClientRequest,
}

/// All clients of a fleet. Random numbers are drawn only from `random`.
pub trait Clients {
    /// The time of the first arrival from each source, in the order of the sources.
    fn first_arrivals(&mut self, random: &mut Pcg64Mcg) -> Vec<Timestamp>;

    /// The time of an arrival from this source has come.
    fn arrive(&mut self, source: ArrivalSource, now: Timestamp, random: &mut Pcg64Mcg) -> Arrival;

    /// How long the client of a request that is sent now waits.
    fn client_deadline(
        &mut self,
        request: &ClientRequest,
        now: Timestamp,
        random: &mut Pcg64Mcg,
    ) -> ClientDeadline;

    /// The client's retry after a final answer other than a success, if the client retries at all.
    #[expect(unused_variables, reason = "the default does nothing")]
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
