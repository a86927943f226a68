//! Commands that clients send.

use std::sync::atomic::{AtomicU32, Ordering};

pub const TENANT: &str = "00000000b4d65521";
/// Another tenant, whose concurrency permits and tokens are its own.
pub const SECOND_TENANT: &str = "00000000b4d65522";
/// A tenant of which no test disconnects a client.
pub const UNAFFECTED_TENANT: &str = "00000000b4d65524";
/// A request id for the tests that look for one request.
pub const REQUEST_ID: &str = "9b1f03aa5c7e2d41";

/// The longest deadline that the gateway accepts. A request that has to stay in the gateway while a test is set up
/// has this one, so that none of its times passes while a loaded machine runs something else.
pub const LONGEST_DEADLINE_MS: u32 = 60_000;

/// A RESP array of bulk strings.
pub fn resp_command(arguments: &[&str]) -> Vec<u8> {
    let bulk_string = |argument: &&str| format!("${}\r\n{argument}\r\n", argument.len());
    let bulk_strings: String = arguments.iter().map(bulk_string).collect();
    format!("*{}\r\n{bulk_strings}", arguments.len()).into_bytes()
}

pub fn ping_command() -> Vec<u8> {
    resp_command(&["PING"])
}

/// The start of a PING, without its last two letters.
pub const PARTIAL_PING: &[u8] = b"*2\r\n$4\r\nPI";

/// An idempotent request with an id of its own.
pub fn read_request(deadline_ms: u32) -> Vec<u8> {
    read_request_of(TENANT, deadline_ms)
}

pub fn read_request_of(tenant: &str, deadline_ms: u32) -> Vec<u8> {
    read_command(tenant, &unique_request_id(), deadline_ms, 0)
}

pub fn read_request_with_id(request_id: &str, deadline_ms: u32) -> Vec<u8> {
    read_command(TENANT, request_id, deadline_ms, 0)
}

/// A request whose tenant's only quota owner is the second gateway of two.
pub fn read_request_owned_by_peer(deadline_ms: u32) -> Vec<u8> {
    read_command(TENANT, &unique_request_id(), deadline_ms, 1)
}

/// A request with a body, of the class `order` (idempotent with its key) or `pay` (non-idempotent).
pub fn write_request(class: &str, deadline_ms: u32) -> Vec<u8> {
    let fields =
        format!("c={class},t=p,d={deadline_ms},k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0");
    resp_command(&["Q.DO", TENANT, REQUEST_ID, &fields, "BODY"])
}

fn unique_request_id() -> String {
    static NEXT_ID: AtomicU32 = AtomicU32::new(0);
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// `owner` is the first gateway of the tenant's shard, which has the size one.
fn read_command(tenant: &str, request_id: &str, deadline_ms: u32, owner: u32) -> Vec<u8> {
    let fields = format!("c=read,t=p,d={deadline_ms},units=1,spread=1,first={owner}");
    resp_command(&["Q.ASK", tenant, request_id, &fields])
}
