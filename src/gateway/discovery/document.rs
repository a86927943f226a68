//! Parses the JSON form of an endpoint list, which discovery sends and the configuration file caches.

use super::{EndpointUpdate, ListedEndpoint};
use crate::{EndpointState, Timestamp};
use serde_json::Value;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use thiserror::Error;

/// The maximum length of a document, which keeps an endless document from exhausting the memory.
pub(super) const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// The weight of an endpoint for which discovery reports no capacity.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Placeholder for the address of a removed endpoint, which may be listed without one.
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// An error in parsing an endpoint list.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The bytes are not valid JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A mandatory key of an endpoint list is missing or has the wrong type.
    #[error("not an endpoint list: `rev` or `targets` is missing or has the wrong type")]
    NotAnEndpointList,
}

impl EndpointUpdate {
    /// Parses the JSON form of an endpoint list. Skips malformed entries and keeps the others.
    ///
    /// # Errors
    /// Returns [`DocumentError::NotAnEndpointList`] if the revision or the array of entries is missing.
    pub fn from_json(document: &Value) -> Result<EndpointUpdate, DocumentError> {
        let revision = document.get("rev").and_then(Value::as_u64);
        let entries = document.get("targets").and_then(Value::as_array);
        let (Some(revision), Some(entries)) = (revision, entries) else {
            return Err(DocumentError::NotAnEndpointList);
        };
        Ok(EndpointUpdate {
            revision,
            snapshot: document
                .get("all")
                .and_then(Value::as_bool)
                .unwrap_or(false),
            endpoints: entries.iter().filter_map(parse_entry).collect(),
        })
    }

    pub(super) fn from_json_bytes(bytes: &[u8]) -> Result<EndpointUpdate, DocumentError> {
        let document: Value = serde_json::from_slice(bytes)?;
        EndpointUpdate::from_json(&document)
    }
}

fn parse_entry(entry: &Value) -> Option<ListedEndpoint> {
    let state = parse_state(string_field(entry, "state")?)?;
    let name = string_field(entry, "uid").filter(|name| !name.is_empty())?;
    // A removal must not be missed because of other fields, which are irrelevant for a removed endpoint.
    // Defaults replace those that are missing or malformed.
    let removed = state == EndpointState::Removed;
    let address = string_field(entry, "endpoint").and_then(|address| address.parse().ok());
    let cell = entry
        .get("pod_group")
        .and_then(Value::as_u64)
        .and_then(|cell| u32::try_from(cell).ok());
    Some(ListedEndpoint {
        name: name.to_string(),
        address: address.or(removed.then_some(UNKNOWN_ADDRESS))?,
        zone: string_field(entry, "az").unwrap_or_default().to_string(),
        hardware: string_field(entry, "model").unwrap_or_default().to_string(),
        cell: cell.or(removed.then_some(0))?,
        state,
        weight: non_negative_field(entry, "capacity_hint").unwrap_or(DEFAULT_WEIGHT),
        started_at: non_negative_field(entry, "boot_ms").map_or(Timestamp::ZERO, Timestamp),
    })
}

fn parse_state(text: &str) -> Option<EndpointState> {
    match text {
        "ready" => Some(EndpointState::Ready),
        "draining" => Some(EndpointState::Draining),
        "gone" => Some(EndpointState::Removed),
        _ => None,
    }
}

fn string_field<'a>(entry: &'a Value, key: &str) -> Option<&'a str> {
    entry.get(key).and_then(Value::as_str)
}

fn non_negative_field(entry: &Value, key: &str) -> Option<f64> {
    entry
        .get(key)
        .and_then(Value::as_f64)
        .filter(|number| number.is_finite() && *number >= 0.0)
}
