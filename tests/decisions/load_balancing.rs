//! Tests of load balancing by endpoint state, failures, latency and weight.

use crate::support::actions::Actions;
use crate::support::gateway::{TestGateway, endpoint, endpoints_of_one_zone};
use crate::support::requests::{outcome, request};
use crate::support::settings::{NON_IDEMPOTENT, fleet_settings, settings};
use marlshelf::{AttemptResult, Endpoint, EndpointState, GatewayId, Settings};
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn draining_endpoint_gets_no_requests() {
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..endpoint("a", 0)
    };
    let mut gateway = TestGateway::new(settings());
    gateway.update_endpoint(1.0, draining);
    let chosen: BTreeSet<String> = (0..50)
        .filter_map(|id| gateway.serve_within(1.0, request(id, 10.0 * id as f64 + 2.0)))
        .collect();
    let expected = ["b", "c"].map(String::from);
    assert_eq!(
        chosen,
        BTreeSet::from(expected),
        "expected only the ready endpoints"
    );
}

#[test]
fn removed_and_unlisted_endpoints_get_no_requests() {
    let in_state = |state| Endpoint {
        state,
        ..endpoint("a", 0)
    };
    let mut gateway = TestGateway::new(settings());
    gateway.update_endpoint(1.0, in_state(EndpointState::Draining));
    gateway.replace_endpoints(2.0, vec![endpoint("a", 0), endpoint("b", 0)]);
    gateway.update_endpoint(3.0, in_state(EndpointState::Removed));
    for id in 0..50 {
        let chosen = gateway.receive(request(id, 4.0)).forwarded_to();
        assert!(
            chosen.is_none() || chosen.as_deref() == Some("b"),
            "expected endpoint b at most, got {chosen:?}"
        );
    }
}

#[test]
fn endpoint_that_fails_fast_does_not_attract_requests() {
    let mut gateway = TestGateway::new(settings());
    let mut to_failing = 0;
    for id in 0..400u64 {
        let now_ms = id as f64 * 20.0;
        let actions = gateway.receive(request(id, now_ms).class(NON_IDEMPOTENT));
        let Some(endpoint) = actions.forwarded_to() else {
            continue;
        };
        let fails = endpoint == "a";
        to_failing += u32::from(fails && id >= 100);
        let (result, latency_ms) = if fails {
            (AttemptResult::Error, 1.0)
        } else {
            (AttemptResult::Success, 15.0)
        };
        gateway.finish(
            now_ms + latency_ms,
            outcome(id, &endpoint, result, latency_ms),
        );
    }
    assert!(
        to_failing < 60,
        "expected less than 60 of 300 to the endpoint that fails within 1 ms, got {to_failing}"
    );
}

/// Returns the weight of the endpoint with this index in `balance_over_a_fleet`.
fn weight_of(index: usize) -> f64 {
    if index.is_multiple_of(2) { 3.5 } else { 1.5 }
}

/// The endpoints to which 100 gateways forward 100 requests each.
struct FleetBalance {
    /// The number of pairs of a gateway and an endpoint to which it forwarded a request.
    connections: usize,
    requests: BTreeMap<String, f64>,
}

fn balance_over_a_fleet(endpoints: &[Endpoint]) -> FleetBalance {
    let mut balance = FleetBalance {
        connections: 0,
        requests: BTreeMap::new(),
    };
    for id in 0..100u32 {
        let settings = Settings {
            gateway: GatewayId(id),
            ..fleet_settings(100)
        };
        let seed = u64::from(id) + 1;
        let mut gateway = TestGateway::with_endpoints(settings, seed, endpoints.to_vec());
        let mut used = BTreeSet::new();
        for request_id in 0..100u64 {
            let received = request(request_id, 200.0 * request_id as f64).owned_by(id);
            let chosen = gateway
                .serve_within(50.0, received)
                .expect("the request is forwarded");
            *balance.requests.entry(chosen.clone()).or_default() += 1.0;
            used.insert(chosen);
        }
        balance.connections += used.len();
    }
    balance
}

#[test]
fn hundred_gateways_use_subsets_that_load_all_endpoints_by_weight() {
    let mut endpoints = endpoints_of_one_zone(60);
    for (index, endpoint) in endpoints.iter_mut().enumerate() {
        endpoint.weight = weight_of(index);
    }
    let balance = balance_over_a_fleet(&endpoints);
    assert!(
        balance.connections <= 100 * 18,
        "expected at most 18 endpoints per gateway on average, got {} connections",
        balance.connections
    );
    for index in 0..60 {
        let even_share = 10_000.0 * weight_of(index) / 150.0;
        let requests = balance.requests.get(&format!("s{index:02}"));
        let of_even_share = requests.copied().unwrap_or(0.0) / even_share;
        assert!(
            (0.6..1.5).contains(&of_even_share),
            "expected endpoint {index} of weight {} to get 0.6 to 1.5 of its even share, got {of_even_share}",
            weight_of(index)
        );
    }
}

/// Returns how many of the last 50 of 70 requests go to the slow one of 12 endpoints, at one gateway of a
/// fleet of 100.
fn forwarded_to_slow_endpoint(seed: u64) -> usize {
    const SLOW: &str = "s05";
    let endpoints = endpoints_of_one_zone(12);
    let mut gateway = TestGateway::with_endpoints(fleet_settings(100), seed, endpoints);
    // At two requests per second, each of the 12 endpoints gets one request in six seconds.
    let to_slow = (0..70u64).filter(|id| {
        let now_ms = 10_000.0 + 500.0 * *id as f64;
        let endpoint = gateway
            .receive(request(*id, now_ms).shard_size(1))
            .forwarded_to()
            .expect("the request is forwarded");
        let latency_ms = if endpoint == SLOW { 400.0 } else { 40.0 };
        let finished = outcome(*id, &endpoint, AttemptResult::Success, latency_ms);
        gateway.finish(now_ms + latency_ms, finished);
        endpoint == SLOW && *id >= 20
    });
    to_slow.count()
}

#[test]
fn gateway_in_a_fleet_of_100_avoids_a_slow_endpoint_after_a_few_responses() {
    let to_slow: usize = (1..=20).map(forwarded_to_slow_endpoint).sum();
    assert!(
        to_slow <= 15,
        "expected at most 15 of 1000 to the slow one of 12 endpoints, got {to_slow}"
    );
}
