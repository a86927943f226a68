//! The text form of gossip messages. Figures have one decimal; keys and request numbers are hexadecimal.

use super::{GossipMessage, OwnerState, QuotaDecision, QuotaRequest, QuotaRequestId, TenantKey};
use crate::events::GatewayId;
use crate::events::PlanIndex;

/// Figures of this size or larger are taken for damage.
const FIGURE_LIMIT: f64 = 1e9;

const DENIED: u8 = 0;
const GRANTED: u8 = 1;
const QUEUED: u8 = 2;

/// The text of a message. In place of the time at which a request expires it holds how long that is from now, as
/// clocks of gateways differ.
pub(crate) fn encode(tenant: TenantKey, message: &GossipMessage, now_ms: f64) -> String {
    let key = tenant.0;
    match *message {
        GossipMessage::RequestQuota {
            plan,
            request,
            demand,
        } => encode_request(key, plan, &request, demand, now_ms),
        GossipMessage::SettleUsage { plan, cost, permit } => {
            let permit = permit.map_or(String::new(), |permit| format!("{:x}", permit.0));
            format!("t,{key:x},{plan},{permit},{cost:.1};")
        }
        GossipMessage::ReportUnconfirmedUsage {
            plan,
            last_request,
            cost,
        } => {
            format!("u,{key:x},{plan},{:x},{cost:.1};", last_request.0)
        }
        GossipMessage::RenewPermit { plan, permit } => {
            format!("k,{key:x},{plan},{:x};", permit.0)
        }
        GossipMessage::QuotaResponse {
            request,
            decision,
            state,
        } => encode_response(key, request, decision, &state),
    }
}

fn encode_request(
    key: u64,
    plan: PlanIndex,
    request: &QuotaRequest,
    demand: f64,
    now_ms: f64,
) -> String {
    let kind = if request.needs_permit { 'p' } else { 'a' };
    let QuotaRequest {
        id,
        cost,
        prefetch,
        expires_at_ms,
        ..
    } = *request;
    let valid_for_ms = expires_at_ms - now_ms;
    let number = id.0;
    format!(
        "{kind},{key:x},{plan},{number:x},{cost:.1},{prefetch:.1},{demand:.1},{valid_for_ms:.0};"
    )
}

fn encode_response(
    key: u64,
    request: QuotaRequestId,
    decision: QuotaDecision,
    state: &OwnerState,
) -> String {
    let (code, cost) = match decision {
        QuotaDecision::Denied => (DENIED, 0.0),
        QuotaDecision::Granted { cost } => (GRANTED, cost),
        QuotaDecision::Queued => (QUEUED, 0.0),
    };
    let OwnerState {
        demand,
        granted,
        tokens,
    } = *state;
    let number = request.0;
    format!("g,{key:x},{code},{number:x},{cost:.1},{demand:.1},{granted:.1},{tokens:.1};")
}

/// The messages in a datagram from this gateway, in their order. Items that cannot be read are passed over.
pub(crate) fn decode(
    text: &str,
    from: GatewayId,
    now_ms: f64,
) -> impl Iterator<Item = (TenantKey, GossipMessage)> {
    text.split(';')
        .filter_map(move |item| decode_item(item, from, now_ms))
}

fn decode_item(text: &str, from: GatewayId, now_ms: f64) -> Option<(TenantKey, GossipMessage)> {
    let fields = Fields(text.split(',').collect());
    let tenant = TenantKey(fields.hexadecimal(1)?);
    // The plan, but in a response the decision.
    let code: usize = fields.0.get(2)?.parse().ok()?;
    let message = match fields.0[0] {
        kind @ ("a" | "p") => decode_request(&fields, kind == "p", PlanIndex(code), from, now_ms)?,
        "t" => GossipMessage::SettleUsage {
            plan: PlanIndex(code),
            cost: fields.figure(4)?,
            permit: fields.request_id(3),
        },
        "u" => GossipMessage::ReportUnconfirmedUsage {
            plan: PlanIndex(code),
            last_request: fields.request_id(3)?,
            cost: fields.amount(4)?,
        },
        "k" => GossipMessage::RenewPermit {
            plan: PlanIndex(code),
            permit: fields.request_id(3)?,
        },
        "g" => decode_response(&fields, code)?,
        _ => return None,
    };
    Some((tenant, message))
}

fn decode_request(
    fields: &Fields,
    needs_permit: bool,
    plan: PlanIndex,
    gateway: GatewayId,
    now_ms: f64,
) -> Option<GossipMessage> {
    let request = QuotaRequest {
        gateway,
        id: fields.request_id(3)?,
        cost: fields.amount(4)?,
        prefetch: fields.amount(5)?,
        needs_permit,
        expires_at_ms: now_ms + fields.amount(7)?,
    };
    Some(GossipMessage::RequestQuota {
        plan,
        request,
        demand: fields.amount(6)?,
    })
}

fn decode_response(fields: &Fields, code: usize) -> Option<GossipMessage> {
    let cost = fields.amount(4)?;
    let decision = match u8::try_from(code).ok()? {
        DENIED => QuotaDecision::Denied,
        GRANTED => QuotaDecision::Granted { cost },
        QUEUED => QuotaDecision::Queued,
        _ => return None,
    };
    let state = OwnerState {
        demand: fields.amount(5)?,
        granted: fields.amount(6)?,
        tokens: fields.figure(7)?,
    };
    Some(GossipMessage::QuotaResponse {
        request: fields.request_id(3)?,
        decision,
        state,
    })
}

/// The fields of one item.
struct Fields<'a>(Vec<&'a str>);

impl Fields<'_> {
    fn hexadecimal(&self, index: usize) -> Option<u64> {
        u64::from_str_radix(self.0.get(index)?, 16).ok()
    }

    fn request_id(&self, index: usize) -> Option<QuotaRequestId> {
        self.hexadecimal(index).map(QuotaRequestId)
    }

    fn figure(&self, index: usize) -> Option<f64> {
        self.0
            .get(index)?
            .parse::<f64>()
            .ok()
            .filter(|figure| figure.abs() < FIGURE_LIMIT)
    }

    /// A figure that may not be below zero.
    fn amount(&self, index: usize) -> Option<f64> {
        self.figure(index).filter(|figure| *figure >= 0.0)
    }
}
