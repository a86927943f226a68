//! Quota owners: refill of the token bucket, charging, and detection of repeated requests.

use crate::support::actions::Actions;
use crate::support::gateway::TestGateway;
use crate::support::gateway_pair::GatewayPair;
use crate::support::gossip_text::{
    Decision, decisions, small_quota_request, token_request, unconfirmed_usage,
};
use crate::support::requests::{request, success};
use crate::support::settings::{
    AMPLE_QUOTA, HARD_LIMIT, SMALL_QUOTA, quota_plan, settings, settings_without_gossip,
};
use marlshelf::{Action, AttemptOutcome, Milliseconds, Settings, Tokens, TokensPerSecond};

/// A quota owner in a fleet of three gateways, with a gossip rate limit high enough to avoid pacing delays.
fn quota_owner(settings: Settings) -> TestGateway {
    TestGateway::new(Settings {
        gateway_count: 3,
        gossip_intake_per_second: 1000.0,
        ..settings
    })
}

#[test]
fn token_bucket_holds_its_burst_and_refills_at_its_rate() {
    let mut gateway = TestGateway::new(settings());
    let served_initially =
        gateway.count_served(0..10, |id| request(id, id as f64).plan(SMALL_QUOTA));
    assert_eq!(served_initially, 4, "the burst is 4");
    let served_after_refill = gateway.count_served(10..20, |id| {
        request(id, 1000.0 + id as f64).plan(SMALL_QUOTA)
    });
    assert!(
        (1..=2).contains(&served_after_refill),
        "expected 1 or 2 served a second later at a refill rate of 2, got {served_after_refill}"
    );
}

#[test]
fn gateways_of_a_shard_share_one_token_bucket() {
    for gateway in [0, 1] {
        let mut pair = GatewayPair::new(&settings());
        let served_over_three_seconds: usize = (0..30)
            .map(|id| pair.serve(gateway, id, 100.0 * id as f64))
            .sum();
        assert!(
            (7..=10).contains(&served_over_three_seconds),
            "expected 7 to 10 of a burst of 4 and 2 a second, got {served_over_three_seconds}"
        );
        let served_in_one_burst: usize = (40..60u64)
            .map(|id| pair.serve((id % 2) as usize, id, 9000.0 + id as f64))
            .sum();
        assert!(
            (3..=4).contains(&served_in_one_burst),
            "expected 3 or 4 at once through two gateways, got {served_in_one_burst}"
        );
    }
}

#[test]
fn retried_quota_request_is_charged_once() {
    let mut owner = quota_owner(settings());
    let mut decide = |number, now_ms| decisions(&mut owner, now_ms, &small_quota_request(number));
    for number in [1, 2, 3] {
        assert_eq!(decide(number, 1000.0), [Decision::Granted(number)]);
        assert_eq!(
            decide(number, 1001.0),
            [Decision::Granted(number)],
            "a retry after the decision was lost is granted as well"
        );
    }
    assert_eq!(
        decide(4, 1002.0),
        [Decision::Granted(4)],
        "the last of four tokens"
    );
    assert_eq!(decide(5, 1003.0), [Decision::Denied(5)]);
}

#[test]
fn usage_forwarded_after_a_lost_grant_is_charged_once() {
    let mut settings = settings();
    settings.plans[SMALL_QUOTA].refill_rate = TokensPerSecond(0.01);
    let mut owner = quota_owner(settings);
    let mut decide = |text: &str| decisions(&mut owner, 1000.0, text);
    assert_eq!(decide(&small_quota_request(1)), [Decision::Granted(1)]);
    assert!(
        decide(&unconfirmed_usage(1)).is_empty(),
        "usage of a request that was granted needs no decision"
    );
    assert_eq!(decide(&small_quota_request(2)), [Decision::Granted(2)]);
    assert!(
        decide(&unconfirmed_usage(7)).is_empty(),
        "usage of a request that never arrived needs no decision"
    );
    assert_eq!(
        decide(&small_quota_request(3)),
        [Decision::Granted(3)],
        "the last of four tokens, one of which went to request 7"
    );
    assert_eq!(decide(&small_quota_request(4)), [Decision::Denied(4)]);
}

/// Returns how many of 20 requests with this cost are granted from a bucket of 12 tokens.
fn count_granted_from_bucket_of_12(gateway_count: u32, cost: f64) -> usize {
    let mut owner = TestGateway::new(Settings {
        gateway_count,
        max_request_cost: Tokens(12.0),
        gossip_intake_per_second: 1000.0,
        plans: vec![quota_plan(2.0, 12.0)],
        ..settings()
    });
    let granted = (0..20u64).flat_map(|number| {
        let now_ms = 1000.0 + number as f64;
        decisions(&mut owner, now_ms, &token_request(0, number, cost))
    });
    granted
        .filter(|decision| matches!(decision, Decision::Granted(_)))
        .count()
}

#[test]
fn owner_holds_back_tokens_for_unsettled_usage_in_a_large_fleet() {
    let granted_small = count_granted_from_bucket_of_12(2, 1.0);
    let granted_large = count_granted_from_bucket_of_12(100, 1.0);
    assert!(
        granted_small > granted_large && granted_large >= 6,
        "expected at least 6 grants for 100 gateways and more for 2, got {granted_large} and {granted_small}"
    );
    assert_eq!(
        count_granted_from_bucket_of_12(100, 12.0),
        1,
        "a full bucket serves the largest request"
    );
}

#[test]
fn estimated_cost_is_settled_against_the_actual_cost() {
    let mut gateway = TestGateway::new(settings());
    let endpoint = gateway
        .receive(request(1, 0.0).plan(SMALL_QUOTA))
        .forwarded_to()
        .expect("the bucket is full");
    gateway.finish(
        5.0,
        AttemptOutcome {
            actual_cost: Some(Tokens(4.0)),
            ..success(1, &endpoint, 5.0)
        },
    );
    assert!(
        !gateway.serve(request(2, 6.0).plan(SMALL_QUOTA)),
        "the actual cost of the first request emptied the bucket"
    );
}

#[test]
fn rejection_over_quota_advises_a_retry_when_the_tokens_are_available() {
    let retry_after_ms = |actions: &[Action]| match actions {
        [
            Action::Reject {
                retry_after: Milliseconds(retry_after_ms),
                ..
            },
        ] => *retry_after_ms,
        other => panic!("expected one rejection, got {other:?}"),
    };
    let mut gateway = TestGateway::new(settings_without_gossip());
    let mut receive = |id, now_ms: f64, cost| {
        let request = request(id, 0.0).plan(SMALL_QUOTA).cost(cost).owned_by(0);
        gateway.receive(request.received_at_ms(now_ms))
    };
    assert!(
        receive(1, 0.0, 4.0).forwarded_to().is_some(),
        "the bucket holds 4 tokens"
    );
    let retry_after_at_0_ms = retry_after_ms(&receive(2, 0.0, 2.0));
    assert!(
        (retry_after_at_0_ms - 1000.0).abs() <= 1.0,
        "expected 1000 ms for 2 tokens at 2 a second, got {retry_after_at_0_ms}"
    );
    let retry_after_at_100_ms = retry_after_ms(&receive(3, 100.0, 2.0));
    assert!(
        (retry_after_at_100_ms - 900.0).abs() <= 1.0,
        "expected 900 ms, got {retry_after_at_100_ms}"
    );
    let retry_after_at_300_ms = retry_after_ms(&receive(4, 300.0, 2.0));
    assert!(
        retry_after_at_300_ms == 0.0,
        "expected no advice within the latency objective, got {retry_after_at_300_ms}"
    );
}

#[test]
fn usage_on_one_plan_does_not_change_the_quota_of_another() {
    let mut gateway = TestGateway::new(settings());
    assert!(
        gateway.serve(request(1, 0.0).plan(AMPLE_QUOTA)),
        "the quota of this plan is ample"
    );
    let served = gateway.count_served(10..30, |id| request(id, id as f64).plan(SMALL_QUOTA));
    assert_eq!(served, 4, "the burst of the other plan is 4");
}

#[test]
fn usage_on_one_plan_does_not_change_the_hard_limit_of_another() {
    let count_served = |gateway: &mut TestGateway| {
        // Requests arrive from 1 s to 2 s, during which the hard limit refills by four tokens.
        gateway.count_served(100..200, |id| {
            request(id, 10.0 * id as f64).plan(HARD_LIMIT)
        })
    };
    let mut gateway = TestGateway::new(settings_without_gossip());
    assert!(
        gateway.serve(request(1, 0.0).plan(AMPLE_QUOTA)),
        "the quota of this plan is ample"
    );
    let served_after_other_plan = count_served(&mut gateway);
    let served_alone = count_served(&mut TestGateway::new(settings_without_gossip()));
    assert!(served_alone > 0, "the hard limit admits some requests");
    assert_eq!(
        served_after_other_plan, served_alone,
        "served under the hard limit"
    );
}
