//! Gossip as text. Messages are written and read by hand here, so that a change of the format fails a test.

use super::actions::Actions;
use super::gateway::TestGateway;
use super::settings::{SMALL_QUOTA, TWO_PERMITS};

/// The key that stands for a tenant in these messages.
const TENANT_KEY: &str = "aa";
/// The peer that sends these messages.
const PEER: u32 = 1;

/// What a quota owner decided on the request with this number.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    Denied(u64),
    Granted(u64),
    Queued(u64),
}

/// A request for tokens: number in hexadecimal, cost, prefetch, demand, milliseconds that it can wait.
pub fn token_request(plan: usize, number: u64, cost: f64) -> String {
    format!("a,{TENANT_KEY},{plan},{number:x},{cost:.1},0.0,1.0,400;")
}

/// A request for a token of the small quota.
pub fn small_quota_request(number: u64) -> String {
    token_request(SMALL_QUOTA, number, 1.0)
}

/// A request for one of two concurrency permits, which can wait four seconds.
pub fn permit_request(number: u64) -> String {
    format!("p,{TENANT_KEY},{TWO_PERMITS},{number:x},1.0,0.0,1.0,4000;")
}

/// The permit of the request with this number is still in use.
pub fn permit_renewal(number: u64) -> String {
    format!("k,{TENANT_KEY},{TWO_PERMITS},{number:x};")
}

/// A request on the small quota was forwarded without a decision, and so was charged nowhere.
pub fn unconfirmed_usage(number: u64) -> String {
    format!("u,{TENANT_KEY},{SMALL_QUOTA},{number:x},1.0;")
}

/// The comma-separated fields of a datagram's first message.
pub fn fields(text: &str) -> Vec<String> {
    text.split(',').map(str::to_string).collect()
}

/// Hands gossip of the peer to a quota owner and returns its decisions, which must be all that it sends.
pub fn decisions(owner: &mut TestGateway, now_ms: f64, text: &str) -> Vec<Decision> {
    decisions_for(PEER, owner, now_ms, text)
}

/// As `decisions`, for another peer.
pub fn decisions_for(peer: u32, owner: &mut TestGateway, now_ms: f64, text: &str) -> Vec<Decision> {
    let datagrams = owner.receive_gossip(now_ms, peer, text).gossip();
    datagrams
        .iter()
        .flat_map(|datagram| datagram.split(';'))
        .filter(|message| !message.is_empty())
        .map(parse_decision)
        .collect()
}

fn parse_decision(message: &str) -> Decision {
    let fields = fields(message);
    assert_eq!(fields[0], "g", "expected a decision, got {message}");
    let number = u64::from_str_radix(&fields[3], 16).expect("the number is hexadecimal");
    match fields[2].as_str() {
        "0" => Decision::Denied(number),
        "1" => Decision::Granted(number),
        "2" => Decision::Queued(number),
        _ => panic!("expected a decision of a known code, got {message}"),
    }
}
