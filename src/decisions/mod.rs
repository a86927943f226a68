//! The decisions of one gateway, without input, output or a clock. Events in, actions out: `src/events.rs`.
//!
//! A request meets them in this order: the quota of its tenant, a token bucket that its owner keeps and that
//! follows the demand measured here; load shedding, which rejects at once with the probability max(0,
//! (requests - K x accepts) / (requests + 1)), low priority first; the choice of an endpoint; retries.
//!
//! Each component owns its state. The engine dispatches events and passes on what one component needs of
//! another. Tables, pools and message types are in `crate::records` and `crate::gossip`, estimators in
//! `crate::statistics`.

mod admission;
mod attempts;
mod fleet_scale;
mod forwarding;
mod load_balancing;
pub(crate) mod load_shedding;
mod permit_renewal;
mod quota_client;
mod quota_exchange;
mod quota_owner;
pub(crate) mod retries;

use crate::events::{Action, Endpoint, EndpointListKind};
use crate::gossip::QuotaRequestId;
use crate::records::{ActionSink, OutboxLimits, RequestTable, Tenant, Tenants, UnconfirmedUsage};
use crate::settings::Settings;
use crate::units::Timestamp;
use fleet_scale::fleet_scale;
use load_balancing::LoadBalancer;
use load_shedding::LoadShedder;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use retries::RetryPolicy;
use std::sync::Arc;

/// Demand is remembered for about this long: long enough to count slow tenants, short enough to follow those
/// whose traffic moves to other gateways.
const DEMAND_WINDOW_MS: f64 = 2000.0;
/// The part of a hard limit that gateways may use without asking, in even allotments; the owner leases the
/// rest.
const FALLBACK_FRACTION: f64 = 0.25;
/// The part of a peer's intake that the datagrams of one of few gateways may fill, a tenth of a second's at
/// one stroke. One of many gateways may send so many times as much, as its datagrams go to as many peers.
const INTAKE_FRACTION: f64 = 0.75;
const INTAKE_BURST_SECONDS: f64 = 0.1;
const LARGE_FLEET_INTAKE_MULTIPLE: f64 = 4.0;
const DATAGRAM_BYTES: usize = 256;
const GOSSIP_TIMER_RESOLUTION_MS: f64 = 1.0;
/// Tenants idle for this long are forgotten: by then every bucket is full again.
const TENANT_IDLE_MS: f64 = 60_000.0;
/// The bits of the seed from which quota requests are numbered.
const FIRST_QUOTA_REQUEST_MASK: u64 = 0xff_ffff;

/// All decisions of one gateway, and the requests and tenants that they are about.
pub(crate) struct Decisions {
    settings: Arc<Settings>,
    rng: Pcg64Mcg,
    now_ms: f64,
    tenants: Tenants,
    requests: RequestTable,
    unconfirmed_usage: UnconfirmedUsage,
    load_shedder: LoadShedder,
    load_balancer: LoadBalancer,
    retry_policy: RetryPolicy,
    actions: ActionSink,
}

fn outbox_limits(settings: &Settings) -> OutboxLimits {
    let multiple = 1.0 + (LARGE_FLEET_INTAKE_MULTIPLE - 1.0) * fleet_scale(settings);
    let datagrams_per_second =
        INTAKE_FRACTION * settings.gossip_intake_per_second.max(1.0) * multiple;
    let burst = (INTAKE_BURST_SECONDS * datagrams_per_second).max(1.0);
    OutboxLimits {
        datagrams_per_second,
        burst,
        datagram_bytes: DATAGRAM_BYTES,
        timer_resolution_ms: GOSSIP_TIMER_RESOLUTION_MS,
    }
}

impl Decisions {
    /// A gateway that has just started and knows nothing yet.
    pub(crate) fn new(settings: Arc<Settings>, seed: u64) -> Decisions {
        Decisions {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_ms: 0.0,
            tenants: Tenants::new(),
            // Owners still know requests of this gateway's earlier incarnation, and may still respond to
            // them.
            requests: RequestTable::numbered_from(QuotaRequestId(seed & FIRST_QUOTA_REQUEST_MASK)),
            unconfirmed_usage: UnconfirmedUsage::default(),
            load_shedder: LoadShedder::new(settings.clone()),
            load_balancer: LoadBalancer::new(settings.clone()),
            retry_policy: RetryPolicy::new(settings.clone()),
            actions: ActionSink::new(outbox_limits(&settings)),
            settings,
        }
    }

    /// The time of the event that follows.
    pub(crate) fn set_time(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        self.actions.set_time(now_ms);
    }

    pub(crate) fn on_endpoints_changed(
        &mut self,
        kind: EndpointListKind,
        endpoints: Vec<Endpoint>,
    ) {
        self.load_balancer
            .apply_list(kind, endpoints, Timestamp(self.now_ms));
    }

    pub(crate) fn on_gossip_timer(&mut self) {
        self.actions.gossip_timer_fired();
    }

    /// Sends the gossip that is due, forgets idle tenants, and returns the actions of the event.
    pub(crate) fn finish_event(&mut self) -> Vec<Action> {
        self.actions.flush_gossip();
        let in_use = |tenant: &Tenant| tenant.client.permits.in_flight() > 0;
        if self
            .tenants
            .evict_idle(TENANT_IDLE_MS, TENANT_IDLE_MS / 10.0, self.now_ms, in_use)
        {
            self.unconfirmed_usage
                .retain_tenants(|tenant| self.tenants.get(&tenant).is_some());
        }
        self.actions.take()
    }
}
