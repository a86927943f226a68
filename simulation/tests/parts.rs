//! Unit tests of the simulation's models and ledgers.

use marlshelf::{
    AttemptResult, GatewayId, Milliseconds, Plan, Settings, Timestamp, Tokens, TokensPerSecond,
};
use marlshelf_simulation::ledgers::{ForwardedValue, OverloadRule, QuotaLedger};
use marlshelf_simulation::{
    Datagram, EndpointPool, EventQueue, Fault, GatewaySeeds, GossipNetwork, RandomStream,
    Randomness, ResponseDelays, ServiceModel, SimulatedEndpoint, SlowStart, Tampering,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const START: Timestamp = Timestamp(1000.0);

fn random() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(1)
}

#[test]
fn events_are_ordered_by_time_and_then_by_scheduling_order() {
    let mut queue = EventQueue::default();
    queue.schedule(Timestamp(2.0), "third");
    queue.schedule(Timestamp(1.0), "first");
    queue.schedule(Timestamp(1.0), "second");
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop())
        .map(|next| next.event)
        .collect();
    assert_eq!(order, ["first", "second", "third"]);
}

#[test]
fn draws_of_a_shared_stream_do_not_change_the_numbers_of_a_separate_stream() {
    let seeds = GatewaySeeds::consecutive_from(0);
    let randomness = Randomness::shared(random(), seeds)
        .with_separate(RandomStream::Clients, Pcg64Mcg::seed_from_u64(2));
    let (mut reference, mut randomness) = (randomness.clone(), randomness);
    let _: u64 = randomness.stream(RandomStream::Gossip).random();
    let expected: u64 = reference.stream(RandomStream::Clients).random();
    let drawn: u64 = randomness.stream(RandomStream::Clients).random();
    assert_eq!(drawn, expected);
}

/// Transmits a datagram and returns the senders of its deliveries, after checking their delays.
fn delivered_senders(
    network: &GossipNetwork,
    from: u32,
    to: u32,
    now: Timestamp,
) -> Vec<GatewayId> {
    let settings = Settings {
        gateway_count: 10,
        ..Settings::default()
    };
    let datagram = Datagram {
        from: GatewayId(from),
        to: GatewayId(to),
        text: "text".to_string(),
    };
    let deliveries = network.transmit(datagram, now, &settings, &mut random());
    let is_within_delay = |at| (now + network.delay.start..now + network.delay.end).contains(&at);
    assert!(
        deliveries
            .iter()
            .all(|delivery| is_within_delay(delivery.at))
    );
    deliveries.iter().map(|d| d.datagram.from).collect()
}

#[test]
fn partition_blocks_gossip_between_even_and_odd_gateways_until_it_ends() {
    let network = GossipNetwork {
        partition: Some(Timestamp(10.0)..Timestamp(20.0)),
        ..GossipNetwork::default()
    };
    assert_eq!(delivered_senders(&network, 0, 1, Timestamp(10.0)), []);
    assert_eq!(
        delivered_senders(&network, 0, 2, Timestamp(10.0)),
        [GatewayId(0)]
    );
    assert_eq!(
        delivered_senders(&network, 0, 1, Timestamp(20.0)),
        [GatewayId(0)]
    );
}

#[test]
fn forged_datagram_arrives_in_six_copies() {
    let tampering = Tampering {
        forgery_ratio: 1.0,
        ..Tampering::default()
    };
    let network = GossipNetwork {
        tampering: Some(tampering),
        ..GossipNetwork::default()
    };
    assert_eq!(delivered_senders(&network, 0, 1, START).len(), 6);
}

/// Returns an endpoint with one core, a queue for one request, and a service time of 10 ms.
fn small_endpoint(slow_start: SlowStart) -> SimulatedEndpoint {
    let pool = EndpointPool {
        service: ServiceModel {
            cores: 1,
            queue_capacity: 1,
            service_time: Milliseconds(10.0),
            slow_start,
            delays: ResponseDelays::default(),
            ..ServiceModel::default()
        },
        ..EndpointPool::default()
    };
    SimulatedEndpoint::new(&pool, 0, "a".into(), START)
}

#[test]
fn endpoint_queues_requests_beyond_its_cores_and_rejects_requests_beyond_its_queue() {
    let mut endpoint = small_endpoint(SlowStart::NONE);
    let ends = [(); 3].map(|()| endpoint.serve(START, 1.0, &mut random()));
    let expected = [
        (10.0, AttemptResult::Success),
        (20.0, AttemptResult::Success),
        (1.0, AttemptResult::Overloaded),
    ];
    let ends = ends.map(|end| ((end.at - START).as_f64(), end.result));
    assert_eq!(ends, expected);
    // Rejected work counts as received.
    let end = START + Milliseconds(1.0);
    assert_eq!(endpoint.work_received_between(START, end), 3.0);
}

#[test]
fn warming_endpoint_has_longer_service_times_and_tolerates_less_work() {
    let slow_start = SlowStart {
        initial_warmth: 0.5,
        warmup: Milliseconds(1000.0),
    };
    let mut endpoint = small_endpoint(slow_start);
    let end = endpoint.serve(START, 1.0, &mut random());
    assert_eq!(end.at - START, Milliseconds(20.0));

    let rule = |capacity| OverloadRule {
        multiple: 4.0,
        window: Milliseconds(100.0),
        capacity,
        slow_start,
    };
    assert!(rule(100.0).worst_overload(&endpoint) < 1.0);
    for _ in 0..40 {
        endpoint.serve(START + Milliseconds(50.0), 1.0, &mut random());
    }
    assert!(rule(100.0).worst_overload(&endpoint) > 1.0);
    assert!(rule(1000.0).worst_overload(&endpoint) < 1.0);
}

#[test]
fn silent_endpoint_responds_only_after_a_restart() {
    let mut endpoint = small_endpoint(SlowStart::NONE);
    endpoint.fault = Fault::Silent;
    let end = endpoint.serve(START, 1.0, &mut random());
    assert_eq!(end.at, Timestamp::DISTANT_FUTURE);
    endpoint.restart(START);
    let end = endpoint.serve(START, 1.0, &mut random());
    assert_eq!(end.result, AttemptResult::Success);
}

#[test]
fn quota_ledger_measures_excess_over_quota_concurrency_limit_and_hard_limit() {
    let plan = Plan {
        refill_rate: TokensPerSecond(1.0),
        burst: Tokens(10.0),
        weight: 2.0,
        over_quota_penalty: 0.5,
        max_concurrency: 2,
        hard_limit_rate: TokensPerSecond(1.0),
        hard_limit_burst: Tokens(14.0),
        ..Plan::default()
    };
    let mut ledger = QuotaLedger::new(&plan);
    let mut value = ForwardedValue::default();
    let mut forward = |ledger: &mut QuotaLedger, cost| {
        ledger.forward(&plan, Timestamp::ZERO, Tokens(cost), &mut value)
    };
    assert!(forward(&mut ledger, 6.0));
    assert!(!forward(&mut ledger, 6.0), "4 tokens are left");
    assert!(!forward(&mut ledger, 4.0), "both permits are in use");
    ledger.finish(&plan, Timestamp::ZERO, Tokens::ZERO);
    ledger.finish(&plan, Timestamp::ZERO, Tokens(-2.0));
    assert!(forward(&mut ledger, 6.0), "two tokens were refunded");
    assert_eq!(value.within_quota, 24.0);
    assert_eq!(value.over_quota_cost, 10.0);
    assert_eq!(ledger.hard_limit_excess(), Tokens(8.0));
    assert_eq!(ledger.concurrency_excess(&plan), 1);
}
