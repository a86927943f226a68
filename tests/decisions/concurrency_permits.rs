//! Concurrency permits: granting, renewal and expiry at the owner, and requests that wait for a permit.

use crate::support::actions::{Actions, Timer};
use crate::support::gateway::TestGateway;
use crate::support::gossip_text::{Decision, decisions, fields, permit_renewal, permit_request};
use crate::support::requests::{TestRequest, request, success};
use crate::support::settings::{SMALL_QUOTA, TWO_PERMITS, fleet_settings, settings_without_gossip};
use marlshelf::{Action, GatewayId, Plan, Settings, Tokens, TokensPerSecond};

/// A request on a plan with two permits and a shard of three gateways, which have to share the permits.
fn request_for_shared_permit(id: u64, now_ms: f64) -> TestRequest {
    request(id, now_ms).plan(TWO_PERMITS).shard_size(3)
}

fn gateway_in_fleet_of_three(gateway: u32) -> TestGateway {
    TestGateway::new(Settings {
        gateway: GatewayId(gateway),
        ..fleet_settings(3)
    })
}

/// A gateway that does not own the permits of a fleet of three, and the quota request that it sent for its
/// first client request.
struct NonOwner {
    gateway: TestGateway,
    id: u32,
    permit_request: String,
}

/// Finds a gateway that sends a quota request for its first client request. The owner of the permits sends
/// none.
fn non_owner(first_request_at_ms: f64) -> NonOwner {
    let found = (0..3).find_map(|id| {
        let mut gateway = gateway_in_fleet_of_three(id);
        let actions = gateway.receive(request_for_shared_permit(1, first_request_at_ms));
        let permit_request = gossip_of_kind("p,", &actions)?;
        Some(NonOwner {
            gateway,
            id,
            permit_request,
        })
    });
    found.expect("two of three gateways ask the owner")
}

/// Returns the first datagram whose first message has this kind.
fn gossip_of_kind(kind: &str, actions: &[Action]) -> Option<String> {
    actions
        .gossip()
        .into_iter()
        .find(|text| text.starts_with(kind))
}

#[test]
fn released_permit_is_granted_to_a_waiting_request() {
    let owner = (0..3u32).find(|id| {
        let actions = gateway_in_fleet_of_three(*id).receive(request_for_shared_permit(1, 0.0));
        actions.forwarded_to().is_some()
    });
    let owner = owner.expect("one of three gateways owns the permits");
    let mut owner = gateway_in_fleet_of_three(owner);
    let mut receive = |id| {
        let now_ms = id as f64 - 1.0;
        owner.receive(request_for_shared_permit(id, now_ms))
    };
    let first = receive(1).forwarded_to().expect("the first permit is free");
    assert!(
        receive(2).forwarded_to().is_some(),
        "the second permit is free"
    );
    assert!(
        receive(3).forwarded_to().is_none(),
        "there is no third permit"
    );
    let released = owner.finish(60.0, success(1, &first, 60.0));
    assert!(
        released.forwarded_to().is_some(),
        "the waiting request takes the released permit"
    );
}

#[test]
fn expired_permits_are_reused_and_expired_queue_entries_are_dropped() {
    let mut owner = TestGateway::new(fleet_settings(3));
    let mut decide = |number, now_ms| decisions(&mut owner, now_ms, &permit_request(number));
    assert_eq!(decide(1, 1000.0), [Decision::Granted(1)]);
    assert_eq!(decide(2, 1000.0), [Decision::Granted(2)]);
    assert_eq!(
        decide(3, 1000.0),
        [Decision::Queued(3)],
        "both permits are leased"
    );
    // No release message arrives, so the permits expire.
    assert_eq!(
        decide(4, 3000.0),
        [Decision::Granted(3), Decision::Granted(4)],
        "the queued request gets the first expired permit"
    );
    assert_eq!(decide(5, 3000.0), [Decision::Queued(5)]);
    assert_eq!(
        decide(6, 9000.0),
        [Decision::Granted(6)],
        "request 5 expired in the queue"
    );
}

#[test]
fn renewed_permit_does_not_expire() {
    let mut owner = TestGateway::new(fleet_settings(3));
    assert_eq!(
        decisions(&mut owner, 1000.0, &permit_request(1)),
        [Decision::Granted(1)]
    );
    assert_eq!(
        decisions(&mut owner, 1000.0, &permit_request(2)),
        [Decision::Granted(2)]
    );
    for now_ms in [1600.0, 2200.0, 2800.0] {
        owner.receive_gossip(now_ms, 1, &permit_renewal(1));
    }
    assert_eq!(
        decisions(&mut owner, 3000.0, &permit_request(3)),
        [Decision::Granted(3)],
        "the second permit was not renewed"
    );
    assert_eq!(
        decisions(&mut owner, 3000.0, &permit_request(4)),
        [Decision::Queued(4)],
        "the first permit was renewed"
    );
}

#[test]
fn permit_is_renewed_until_the_attempt_ends() {
    let NonOwner {
        mut gateway,
        permit_request,
        ..
    } = non_owner(1000.0);
    let request = fields(&permit_request);
    let grant = format!("g,{},1,{},1.0,1.0,1.0,1.0;", request[1], request[3]);
    let mut now_ms = 1005.0;
    let mut actions = gateway.receive_gossip(now_ms, 0, &grant);
    let endpoint = actions.forwarded_to().expect("the permit is granted");
    for _ in 0..3 {
        let Timer { token, delay_ms } = actions.request_timer().expect("a renewal timer is set");
        now_ms += delay_ms;
        actions = gateway.fire_timer(now_ms, token);
        assert!(
            gossip_of_kind("k,", &actions).is_some(),
            "expected a renewal at {now_ms} ms, got {actions:?}"
        );
    }
    let Timer { token, delay_ms } = actions.request_timer().expect("a renewal timer is set");
    gateway.finish(now_ms + 1.0, success(1, &endpoint, now_ms));
    let actions = gateway.fire_timer(now_ms + delay_ms, token);
    assert!(
        gossip_of_kind("k,", &actions).is_none() && actions.request_timer().is_none(),
        "expected no renewal after the attempt has ended, got {actions:?}"
    );
}

#[test]
fn request_that_waits_for_a_permit_is_forwarded_or_rejected() {
    let mut gateway = TestGateway::new(fleet_settings(2));
    let endpoint = gateway
        .receive(request(1, 0.0).plan(TWO_PERMITS))
        .forwarded_to()
        .expect("each of two gateways has one permit");
    let waiting = gateway.receive(request(2, 1.0).plan(TWO_PERMITS));
    let Timer { token, delay_ms } = waiting.timer().expect("a timer limits the wait");
    assert!(
        waiting.forwarded_to().is_none() && !waiting.is_rejected() && delay_ms <= 1000.0,
        "expected a wait of at most a second, got {waiting:?}"
    );
    let mut without_release = TestGateway::new(fleet_settings(2));
    without_release.receive(request(1, 0.0).plan(TWO_PERMITS));
    without_release.receive(request(2, 1.0).plan(TWO_PERMITS));
    assert!(
        without_release
            .fire_timer(1.0 + delay_ms, token)
            .is_rejected(),
        "no permit was released in time"
    );
    let released = gateway.finish(50.0, success(1, &endpoint, 50.0));
    assert!(
        released.forwarded_to().is_some(),
        "the waiting request takes the released permit"
    );
    let after_timer = gateway.fire_timer(1.0 + delay_ms, token);
    assert!(
        !after_timer.is_rejected(),
        "the request is not rejected once it was forwarded"
    );
}

#[test]
fn wait_for_a_permit_ends_before_the_client_deadline() {
    let mut gateway = TestGateway::new(fleet_settings(2));
    gateway.receive(request(1, 0.0).plan(TWO_PERMITS));
    let short_deadline_request = request(2, 1.0).plan(TWO_PERMITS).client_deadline_ms(61.0);
    let actions = gateway.receive(short_deadline_request);
    let wait_ms = actions.timer().map(|timer| timer.delay_ms);
    assert!(
        actions.is_rejected() || wait_ms.expect("a timer limits the wait") <= 30.0,
        "expected a wait of at most 30 ms for a client deadline after 60 ms, got {wait_ms:?}"
    );
}

#[test]
fn tokens_are_returned_when_a_client_disconnects_while_waiting_for_a_permit() {
    let mut settings = settings_without_gossip();
    settings.plans[SMALL_QUOTA] = Plan {
        refill_rate: TokensPerSecond(0.001),
        burst: Tokens(4.0),
        max_concurrency: 2,
        weight: 1.0,
        over_quota_penalty: 1.0,
        ..Plan::default()
    };
    let mut gateway = TestGateway::new(settings);
    let mut receive = |id, now_ms| {
        gateway
            .receive(request(id, now_ms).plan(SMALL_QUOTA))
            .forwarded_to()
    };
    let endpoint = receive(1, 0.0).expect("the first permit is free");
    assert!(receive(2, 1.0).is_some(), "the second permit is free");
    for id in 10..20 {
        let waiting = gateway.receive(request(id, 2.0).plan(SMALL_QUOTA));
        assert_eq!(waiting.forwarded_to(), None, "there is no third permit");
        gateway.disconnect_client(3.0, id);
    }
    gateway.finish(4.0, success(1, &endpoint, 4.0));
    let served = gateway.count_served(30..34, |id| request(id, 5.0).plan(SMALL_QUOTA));
    assert_eq!(served, 2, "two of the four tokens are left");
}

#[test]
fn surplus_permit_is_returned_when_the_request_has_already_inherited_one() {
    let NonOwner {
        mut gateway,
        id,
        permit_request,
    } = non_owner(1000.0);
    let owner = (id + 1) % 3;
    let first = fields(&permit_request);
    let decision = |code: u8, number: &str| {
        let tenant_key = &first[1];
        format!("g,{tenant_key},{code},{number},1.0,1.0,1.0,9.0;")
    };
    let endpoint = gateway
        .receive_gossip(1010.0, owner, &decision(1, &first[3]))
        .forwarded_to()
        .expect("the first permit is granted");
    let second_request = gateway
        .receive(request_for_shared_permit(2, 1020.0))
        .gossip()
        .concat();
    let second = &fields(&second_request)[3];
    gateway.receive_gossip(1030.0, owner, &decision(2, second));
    let released = gateway.finish(1040.0, success(1, &endpoint, 3.0));
    assert!(
        released.forwarded_to().is_some(),
        "the queued request takes over the permit of the first one"
    );
    let returned = gateway
        .receive_gossip(1050.0, owner, &decision(1, second))
        .gossip()
        .concat();
    assert!(
        returned.contains(&format!(",{second},-1.0;")),
        "expected the second permit to be returned, got {returned:?}"
    );
}
