//! Gossip between gateways: the messages, their text form, and the outbox that paces the datagrams.
//!
//! A datagram holds one or more items, each ended by `;`. An item is a kind of one letter and fields
//! separated by commas, the tenant's key first. Gateways of different versions run side by side, so the text
//! must not change.

mod codec;
mod messages;
mod outbox;

pub(crate) use codec::decode;
pub(crate) use messages::{
    GossipMessage, OwnerState, PermitId, QuotaDecision, QuotaRequest, QuotaRequestId,
    QuotaResponse, TenantKey,
};
pub(crate) use outbox::GossipOutbox;
