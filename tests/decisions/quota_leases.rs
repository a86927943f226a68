//! Quota clients: requests to the owner, prefetched tokens, and behaviour while the owner does not respond.

use crate::support::actions::Timer;
use crate::support::gateway::{TestGateway, endpoint};
use crate::support::gateway_pair::{GatewayPair, forwarded_count, request_timer};
use crate::support::requests::request;
use crate::support::settings::{SMALL_QUOTA, quota_plan, settings};
use marlshelf::{Action, Event, GatewayId, Milliseconds, Settings, TimerToken, TokensPerSecond};

#[test]
fn fallback_quota_admits_request_when_the_owner_does_not_respond() {
    let mut pair = GatewayPair::new(&settings());
    pair.partitioned = true;
    for gateway in [0, 1] {
        let actions = pair.receive(gateway, request(1, 0.0).plan(SMALL_QUOTA));
        let Some(Timer { token, delay_ms }) = request_timer(&actions) else {
            assert_eq!(forwarded_count(&actions), 1, "the owner forwards at once");
            continue;
        };
        let retried = pair.fire_timer(gateway, delay_ms + 1.0, token);
        assert_eq!(
            forwarded_count(&retried),
            0,
            "the first timer retries the quota request"
        );
        assert!(
            2.0 * delay_ms <= 400.0,
            "expected both waits within half of the latency objective, got two of {delay_ms} ms"
        );
        let timed_out = pair.fire_timer(gateway, 2.0 * delay_ms + 1.0, token);
        assert_eq!(
            forwarded_count(&timed_out),
            1,
            "the fallback quota covers the request"
        );
    }
}

#[test]
fn lost_quota_request_is_retried_and_charged_once() {
    let mut pair = GatewayPair::new(&settings());
    let undecided = pair.receive_at_non_owner(1000.0);
    let Timer { token, delay_ms } = undecided.timer;
    let actions = pair.fire_timer(undecided.gateway, 1000.0 + delay_ms, token);
    assert_eq!(
        forwarded_count(&actions),
        1,
        "the owner grants the retried request"
    );
    let owner = 1 - undecided.gateway;
    let tokens_left: usize = (0..10)
        .map(|index| pair.serve(owner, 100 + index, 1001.0 + delay_ms))
        .sum();
    assert!(
        tokens_left <= 2,
        "expected at most 2 of 4 tokens after a request at each gateway, got {tokens_left}"
    );
}

#[test]
fn prefetched_tokens_are_used() {
    let mut settings = settings();
    settings.plans[SMALL_QUOTA] = quota_plan(10.0, 60.0);
    for gateway in [0, 1] {
        let mut pair = GatewayPair::new(&settings);
        let forwarded: usize = (0..120)
            .map(|id| pair.serve(gateway, id, 50.0 * id as f64))
            .sum();
        assert!(
            forwarded >= 110,
            "expected at least 110 of a burst of 60 and as many refilled, got {forwarded}"
        );
    }
}

/// Requests forwarded on a bucket of 4 tokens during and after a partition.
struct PartitionUsage {
    /// Forwarded by the client while it could not reach the owner.
    forwarded_during: usize,
    /// Granted by the owner right after the partition.
    granted_after: usize,
}

/// Sends ten requests over four seconds to a gateway that is partitioned from the owner. Returns the number
/// forwarded.
fn forwarded_during_partition(pair: &mut GatewayPair, gateway: usize) -> usize {
    let mut timers: Vec<(f64, u64)> = Vec::new();
    let mut forwarded = 0;
    for step in 0..400u64 {
        let now_ms = 1000.0 + 10.0 * step as f64;
        let due = timers.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        let mut events: Vec<Event> = due
            .map(|(_, token)| Event::TimerFired {
                token: TimerToken(token),
            })
            .collect();
        if step % 40 == 0 {
            events.push(request(10 + step, now_ms).plan(SMALL_QUOTA).event());
        }
        let actions: Vec<_> = events
            .into_iter()
            .flat_map(|event| pair.handle(gateway, now_ms, event))
            .collect();
        for entry in &actions {
            if let Action::SetTimer {
                token: TimerToken(token),
                delay: Milliseconds(delay_ms),
            } = entry.action
            {
                timers.push((now_ms + delay_ms, token));
            }
            pair.complete_attempt(now_ms, entry);
        }
        forwarded += forwarded_count(&actions);
    }
    forwarded
}

/// Partitions two gateways that serve a tenant with the given refill rate, then reconnects them.
fn usage_across_partition(refill_rate: f64) -> PartitionUsage {
    let mut settings = settings();
    settings.plans[SMALL_QUOTA] = quota_plan(refill_rate, 4.0);
    let mut pair = GatewayPair::new(&settings);
    let gateway = pair.receive_at_non_owner(0.0).gateway;
    let owner = 1 - gateway;
    pair.partitioned = true;
    let forwarded_during = forwarded_during_partition(&mut pair, gateway);
    pair.partitioned = false;
    let first_gossip = Event::GossipReceived {
        from: GatewayId(owner as u32),
        text: String::new(),
    };
    pair.handle(gateway, 5000.0, first_gossip);
    let granted_after = (0..10)
        .map(|index| pair.serve(owner, 1000 + index, 5000.0))
        .sum();
    PartitionUsage {
        forwarded_during,
        granted_after,
    }
}

#[test]
fn usage_during_a_partition_is_charged_once_it_heals() {
    let PartitionUsage {
        forwarded_during,
        granted_after,
    } = usage_across_partition(0.1);
    assert!(
        forwarded_during >= 2,
        "expected at least 2 forwarded during the partition, got {forwarded_during}"
    );
    assert!(
        forwarded_during + granted_after <= 5,
        "expected at most 5 of a burst of 4, got {forwarded_during} during the partition \
         and {granted_after} after"
    );
}

#[test]
fn usage_during_a_partition_is_charged_first_to_the_overflow_of_a_full_bucket() {
    let PartitionUsage {
        forwarded_during,
        granted_after,
    } = usage_across_partition(2.0);
    assert!(
        forwarded_during >= 2 && granted_after == 4,
        "expected at least 2 during the partition and a full bucket of 4 after, \
         got {forwarded_during} and {granted_after}"
    );
}

#[test]
fn restarted_gateway_does_not_reuse_request_ids_of_an_earlier_incarnation() {
    let mut settings = settings();
    settings.plans[SMALL_QUOTA].refill_rate = TokensPerSecond(0.01);
    let mut pair = GatewayPair::new(&settings);
    let gateway = pair.receive_at_non_owner(0.0).gateway;
    let start_incarnation = |incarnation: u64| {
        let settings = Settings {
            gateway_count: 2,
            gateway: GatewayId(gateway as u32),
            ..settings.clone()
        };
        TestGateway::without_endpoints(settings, 0x5eed << incarnation)
    };
    let mut granted = 0;
    for incarnation in 0..20u64 {
        let now_ms = 1000.0 + 100.0 * incarnation as f64;
        pair.gateways[gateway] = start_incarnation(incarnation);
        pair.gateways[gateway].replace_endpoints(now_ms, vec![endpoint("a", 0)]);
        granted += pair.serve(gateway, 10 + incarnation, now_ms);
    }
    assert!(
        granted <= 4,
        "expected at most the burst of 4 over 20 incarnations, got {granted}: \
         the owner mistook new requests for retries of earlier ones"
    );
}
