//! Tests of adaptive load shedding by priority tier, and of load patterns that must not cause it.

use crate::support::actions::Actions;
use crate::support::gateway::{TestGateway, endpoints_of_one_zone};
use crate::support::requests::{outcome, request, success};
use crate::support::settings::{IDEMPOTENT, NON_IDEMPOTENT, fleet_settings, settings};
use marlshelf::{AttemptResult, Idempotency};
use std::collections::VecDeque;

#[test]
fn all_requests_pass_while_none_fails_and_a_minimum_rate_once_all_fail() {
    let mut gateway = TestGateway::new(settings());
    let served = gateway.count_served(0..50, |id| request(id, id as f64 * 10.0));
    assert_eq!(served, 50, "expected no rejection while no request fails");
    let mut forwarded = 0;
    for step in 0..600u64 {
        let id = 1000 + step;
        let now_ms = 20_000.0 + step as f64 * 10.0;
        let received = request(id, now_ms).class(NON_IDEMPOTENT);
        if let Some(endpoint) = gateway.receive(received).forwarded_to() {
            forwarded += 1;
            let timed_out = outcome(id, &endpoint, AttemptResult::TimedOut, 1.0);
            gateway.finish(now_ms + 1.0, timed_out);
        }
    }
    assert!(
        forwarded < 200,
        "expected less than 200 of 600 to endpoints that never respond, got {forwarded}"
    );
    assert!(
        forwarded >= 3,
        "expected a minimum rate of at least 3 in six seconds, got {forwarded}"
    );
}

#[test]
fn lower_priority_tier_is_rejected_first() {
    const REQUESTS_PER_INTERVAL: u64 = 20;
    const CAPACITY_PER_INTERVAL: u32 = 8;
    let mut settings = settings();
    settings.classes[IDEMPOTENT].idempotency = Idempotency::NonIdempotent;
    let mut gateway = TestGateway::new(settings);
    let mut forwarded = [0; 2];
    let (mut interval, mut forwarded_in_interval) = (0, 0);
    for id in 0..2000u64 {
        let now_ms = id as f64 * 5.0;
        let class = [NON_IDEMPOTENT, IDEMPOTENT][(id % 2) as usize];
        let actions = gateway.receive(request(id, now_ms).class(class));
        let Some(endpoint) = actions.forwarded_to() else {
            continue;
        };
        forwarded[class] += 1;
        if id / REQUESTS_PER_INTERVAL != interval {
            interval = id / REQUESTS_PER_INTERVAL;
            forwarded_in_interval = 0;
        }
        forwarded_in_interval += 1;
        let result = if forwarded_in_interval > CAPACITY_PER_INTERVAL {
            AttemptResult::TimedOut
        } else {
            AttemptResult::Success
        };
        gateway.finish(now_ms + 1.0, outcome(id, &endpoint, result, 1.0));
    }
    let (low, high) = (forwarded[IDEMPOTENT], forwarded[NON_IDEMPOTENT]);
    assert!(
        low * 2 < high,
        "expected less than half as many of the lower tier, got {low} and {high} of the higher"
    );
}

#[test]
fn slow_answers_do_not_cause_lasting_rejection() {
    let mut gateway = TestGateway::new(settings());
    for id in 0..60u64 {
        gateway.serve_within(5000.0, request(id, id as f64 * 100.0));
    }
    let served = gateway.count_served(1000..1100, |id| {
        request(id, 40_000.0 + (id - 1000) as f64 * 50.0)
    });
    assert!(
        served > 50,
        "expected more than 50 of 100 after the slow responses, got {served}"
    );
}

#[test]
fn few_slow_responses_do_not_make_a_class_look_slow() {
    let mut gateway = TestGateway::new(settings());
    let forwarded = (0..400u64).filter(|id| {
        let latency_ms = if id % 25 == 24 { 790.0 } else { 40.0 };
        let received = request(*id, *id as f64 * 50.0).class(NON_IDEMPOTENT);
        gateway.serve_within(latency_ms, received).is_some()
    });
    let forwarded = forwarded.count();
    assert!(
        forwarded > 380,
        "expected more than 380 of 400 while one response in 25 takes twenty times as long, got {forwarded}"
    );
}

#[test]
fn single_request_in_flight_in_a_large_fleet_does_not_imply_a_queue() {
    let mut gateway = TestGateway::new(fleet_settings(300));
    for id in 0..30u64 {
        let received = request(id, id as f64 * 30_000.0).shard_size(1);
        let endpoint = gateway.serve_within(100.0, received);
        assert!(endpoint.is_some(), "expected request {id} to be forwarded");
    }
}

#[test]
fn busy_gateway_in_a_fleet_of_100_does_not_estimate_all_endpoints_as_full() {
    const LATENCY_MS: f64 = 150.0;
    struct InFlight {
        finished_at_ms: f64,
        id: u64,
        endpoint: String,
    }
    let endpoints = endpoints_of_one_zone(60);
    let mut gateway = TestGateway::with_endpoints(fleet_settings(100), 3, endpoints);
    // At 40 requests per second, six are in flight on average, on at least ten endpoints.
    let mut in_flight = VecDeque::<InFlight>::new();
    for id in 0..400u64 {
        let now_ms = 25.0 * id as f64;
        while let Some(finished) = in_flight.pop_front_if(|next| next.finished_at_ms <= now_ms) {
            let outcome = success(finished.id, &finished.endpoint, LATENCY_MS);
            gateway.finish(finished.finished_at_ms, outcome);
        }
        let endpoint = gateway
            .receive(request(id, now_ms).shard_size(1))
            .forwarded_to()
            .unwrap_or_else(|| panic!("expected request {id} to be forwarded"));
        in_flight.push_back(InFlight {
            finished_at_ms: now_ms + LATENCY_MS,
            id,
            endpoint,
        });
    }
}
