//! Tests of slow start with independent gateways: the share of requests that a warming endpoint gets.

use crate::support::actions::Actions;
use crate::support::gateway::{TestGateway, endpoint};
use crate::support::requests::request;
use crate::support::settings::{fleet_settings, settings};
use marlshelf::{Endpoint, EndpointState, GatewayId, Milliseconds, Settings, Timestamp};

fn started_at(name: &str, started_at_ms: f64) -> Endpoint {
    Endpoint {
        started_at: Timestamp(started_at_ms),
        ..endpoint(name, 0)
    }
}

#[test]
fn endpoint_that_has_just_started_gets_a_small_share() {
    let mut gateway = TestGateway::new(settings());
    let served = gateway.count_served(0..300, |id| request(id, 10_000.0 + id as f64 * 10.0));
    assert_eq!(
        served, 300,
        "expected the warm endpoints to serve all requests"
    );
    gateway.update_endpoint(13_000.0, started_at("d", 13_000.0));
    // No attempt ends, so the warm endpoints fill up and the new endpoint looks idle.
    let to_new = (0..100u64).filter(|step| {
        let received = request(1000 + step, 13_000.0 + *step as f64 * 10.0);
        gateway.receive(received).forwarded_to().as_deref() == Some("d")
    });
    let to_new = to_new.count();
    // Each of the three warm endpoints gets about 33 requests per second, and a fifth of that is 7.
    assert!(
        (1..=12).contains(&to_new),
        "expected 1 to 12 in the first second, got {to_new}"
    );
}

#[test]
fn hundreds_of_gateways_together_stay_within_the_capacity_of_a_new_endpoint() {
    const STARTED_AT_MS: f64 = 13_000.0;
    let mut endpoints: Vec<Endpoint> = (0..10)
        .map(|index| endpoint(&format!("s{index}"), 0))
        .collect();
    endpoints.push(started_at("new", STARTED_AT_MS));
    let mut to_new = 0u32;
    for id in 0..200u32 {
        let settings = Settings {
            gateway: GatewayId(id),
            ..fleet_settings(200)
        };
        let mut gateway = TestGateway::without_endpoints(settings, u64::from(id) + 1);
        gateway.replace_endpoints(STARTED_AT_MS, endpoints.clone());
        for request_id in 0..5u64 {
            let offset_ms = 200.0 * request_id as f64 + f64::from(id % 200);
            let received = request(request_id, STARTED_AT_MS + offset_ms).owned_by(id);
            let chosen = gateway
                .serve_within(50.0, received)
                .expect("the request is forwarded");
            to_new += u32::from(chosen == "new");
        }
    }
    // A warm endpoint gets 100 of the 1000 requests, and a fifth to a quarter of that is 20 to 25. The test
    // allows 30.
    assert!(
        to_new <= 30,
        "expected at most 30 in the first second, got {to_new}"
    );
}

/// Returns whether one gateway of a fleet of 100 forwards to the only ready endpoint, which started 9 s ago.
///
/// The old endpoint had a service time of about 150 ms without load. With the guaranteed minimum of its
/// capacity, the new endpoint would take 237 ms. That is above the limit of 226 ms for a request here, but
/// most endpoints have more capacity by then.
fn uses_endpoint_while_it_warms_up(id: u32) -> bool {
    let settings = Settings {
        gateway: GatewayId(id),
        initial_warmth: 0.16,
        warmup_duration: Milliseconds(16_000.0),
        ..fleet_settings(100)
    };
    let old = endpoint("old", 0);
    let mut gateway = TestGateway::with_endpoints(settings, u64::from(id) + 1, vec![old.clone()]);
    for request_id in 0..4u64 {
        let received = request(request_id, 2000.0 + 3000.0 * request_id as f64).owned_by(id);
        gateway
            .serve_within(165.0, received)
            .expect("the warm endpoint serves all requests");
    }
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..old
    };
    gateway.replace_endpoints(15_500.0, vec![draining, started_at("new", 15_000.0)]);
    let actions = gateway.receive(request(100, 24_000.0).owned_by(id));
    actions.forwarded_to().is_some()
}

#[test]
fn endpoint_replaces_a_draining_one_before_it_is_warm() {
    let using = (0..20u32)
        .filter(|id| uses_endpoint_while_it_warms_up(*id))
        .count();
    assert!(
        (5..20).contains(&using),
        "expected 5 to 19 of 20 gateways to use the endpoint, depending on their random choices, got {using}"
    );
}
