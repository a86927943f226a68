//! Gossip between gateways: the messages and their text form.
//!
//! A datagram holds one or more items, each ended by `;`. An item is a kind of one letter and fields separated by
//! commas, the tenant's key first. Gateways of different versions run side by side, so the text must not change.

mod codec;
mod messages;

pub(crate) use codec::{decode, encode};
pub(crate) use messages::{
    GossipMessage, OwnerState, PermitId, QuotaDecision, QuotaRequest, QuotaRequestId, TenantKey,
};
