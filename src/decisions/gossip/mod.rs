//! Gossip between gateways: message types, text encoding, and an outbox that paces datagrams.
//!
//! A datagram holds one or more items, each terminated by `;`. An item consists of a one-letter message kind
//! and comma-separated fields, of which the tenant key is the first. Gateways of different versions run side
//! by side, so the encoding must not change.

mod codec;
mod messages;
mod outbox;

pub(crate) use codec::decode;
pub(crate) use messages::{
    GossipMessage, OwnerState, PermitId, QuotaDecision, QuotaRequest, QuotaRequestId,
    QuotaResponse, TenantKey,
};
pub(crate) use outbox::GossipOutbox;
