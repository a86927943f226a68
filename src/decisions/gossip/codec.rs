//! Text encoding of gossip messages. Token amounts and rates have one decimal place, and durations are whole
//! milliseconds. Tenant keys and request ids are hexadecimal.

use super::{
    GossipMessage, OwnerState, QuotaDecision, QuotaRequest, QuotaRequestId, QuotaResponse,
    TenantKey,
};
use crate::events::{GatewayId, PlanIndex};
use crate::units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};

/// Upper bound of the magnitude of decoded numbers. Gateways never send larger ones, so the datagram must be
/// corrupted.
const NUMBER_LIMIT: f64 = 1e9;

const DENIED: u8 = 0;
const GRANTED: u8 = 1;
const QUEUED: u8 = 2;

/// Encodes a message. Expiry times are sent as the remaining duration, because the clocks of gateways differ.
pub(super) fn encode(tenant: TenantKey, message: &GossipMessage, now: Timestamp) -> String {
    let key = tenant.0;
    match *message {
        GossipMessage::RequestQuota { plan, request } => encode_request(key, plan, &request, now),
        GossipMessage::SettleUsage { plan, cost, permit } => {
            let permit = permit.map_or(String::new(), |permit| format!("{:x}", permit.0));
            format!("t,{key:x},{plan},{permit},{:.1};", cost.0)
        }
        GossipMessage::ReportUnconfirmedUsage {
            plan,
            last_request,
            cost,
        } => {
            format!("u,{key:x},{plan},{:x},{:.1};", last_request.0, cost.0)
        }
        GossipMessage::RenewPermit { plan, permit } => {
            format!("k,{key:x},{plan},{:x};", permit.0)
        }
        GossipMessage::QuotaResponse(response) => encode_response(key, &response),
    }
}

fn encode_request(key: u64, plan: PlanIndex, request: &QuotaRequest, now: Timestamp) -> String {
    let kind = if request.needs_permit { 'p' } else { 'a' };
    let QuotaRequest {
        id: QuotaRequestId(id),
        cost: Tokens(cost),
        prefetch: Tokens(prefetch),
        demand: Tokens(demand),
        expires_at,
        ..
    } = *request;
    let Milliseconds(valid_for) = expires_at - now;
    format!("{kind},{key:x},{plan},{id:x},{cost:.1},{prefetch:.1},{demand:.1},{valid_for:.0};")
}

fn encode_response(key: u64, response: &QuotaResponse) -> String {
    let QuotaRequestId(id) = response.request;
    let (code, Tokens(cost)) = match response.decision {
        QuotaDecision::Denied => (DENIED, Tokens::ZERO),
        QuotaDecision::Granted { cost } => (GRANTED, cost),
        QuotaDecision::Queued => (QUEUED, Tokens::ZERO),
    };
    let OwnerState {
        demand: TokensPerSecond(demand),
        granted: TokensPerSecond(granted),
        tokens: Tokens(tokens),
    } = response.state;
    format!("g,{key:x},{code},{id:x},{cost:.1},{demand:.1},{granted:.1},{tokens:.1};")
}

/// Decodes the messages in a datagram from gateway `from`, in order. Items that cannot be parsed are skipped.
pub(crate) fn decode(
    text: &str,
    from: GatewayId,
    now: Timestamp,
) -> impl Iterator<Item = (TenantKey, GossipMessage)> {
    text.split(';')
        .filter_map(move |item| decode_item(item, from, now))
}

fn decode_item(text: &str, from: GatewayId, now: Timestamp) -> Option<(TenantKey, GossipMessage)> {
    let fields = Fields(text.split(',').collect());
    let tenant = TenantKey(fields.hexadecimal(1)?);
    // Responses have the decision in the field that holds the plan in all other messages.
    let plan_or_decision: usize = fields.0.get(2)?.parse().ok()?;
    let message = match fields.0[0] {
        "a" => decode_request(&fields, false, PlanIndex(plan_or_decision), from, now)?,
        "p" => decode_request(&fields, true, PlanIndex(plan_or_decision), from, now)?,
        "t" => GossipMessage::SettleUsage {
            plan: PlanIndex(plan_or_decision),
            cost: Tokens(fields.signed_number(4)?),
            permit: fields.request_id(3),
        },
        "u" => GossipMessage::ReportUnconfirmedUsage {
            plan: PlanIndex(plan_or_decision),
            last_request: fields.request_id(3)?,
            cost: Tokens(fields.non_negative_number(4)?),
        },
        "k" => GossipMessage::RenewPermit {
            plan: PlanIndex(plan_or_decision),
            permit: fields.request_id(3)?,
        },
        "g" => decode_response(&fields, plan_or_decision)?,
        _ => return None,
    };
    Some((tenant, message))
}

fn decode_request(
    fields: &Fields,
    needs_permit: bool,
    plan: PlanIndex,
    gateway: GatewayId,
    now: Timestamp,
) -> Option<GossipMessage> {
    let request = QuotaRequest {
        gateway,
        id: fields.request_id(3)?,
        cost: Tokens(fields.non_negative_number(4)?),
        prefetch: Tokens(fields.non_negative_number(5)?),
        demand: Tokens(fields.non_negative_number(6)?),
        needs_permit,
        expires_at: now + Milliseconds(fields.non_negative_number(7)?),
    };
    Some(GossipMessage::RequestQuota { plan, request })
}

fn decode_response(fields: &Fields, code: usize) -> Option<GossipMessage> {
    let cost = Tokens(fields.non_negative_number(4)?);
    let decision = match u8::try_from(code).ok()? {
        DENIED => QuotaDecision::Denied,
        GRANTED => QuotaDecision::Granted { cost },
        QUEUED => QuotaDecision::Queued,
        _ => return None,
    };
    let state = OwnerState {
        demand: TokensPerSecond(fields.non_negative_number(5)?),
        granted: TokensPerSecond(fields.non_negative_number(6)?),
        tokens: Tokens(fields.signed_number(7)?),
    };
    Some(GossipMessage::QuotaResponse(QuotaResponse {
        request: fields.request_id(3)?,
        decision,
        state,
    }))
}

/// The comma-separated fields of one item.
struct Fields<'a>(Vec<&'a str>);

impl Fields<'_> {
    fn hexadecimal(&self, index: usize) -> Option<u64> {
        u64::from_str_radix(self.0.get(index)?, 16).ok()
    }

    fn request_id(&self, index: usize) -> Option<QuotaRequestId> {
        self.hexadecimal(index).map(QuotaRequestId)
    }

    fn signed_number(&self, index: usize) -> Option<f64> {
        let number: f64 = self.0.get(index)?.parse().ok()?;
        Some(number).filter(|number| number.abs() < NUMBER_LIMIT)
    }

    fn non_negative_number(&self, index: usize) -> Option<f64> {
        self.signed_number(index).filter(|number| *number >= 0.0)
    }
}
