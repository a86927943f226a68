//! Gossip compatibility with the engine of commit 6573de8.
//!
//! During a rolling upgrade, gateways with the old and the new engine exchange gossip. The tests compare with
//! a recording of the old engine, because a round trip through the current encoder and decoder would not
//! detect a change made to both.

use crate::support::actions::Actions;
use crate::support::gossip_text::{Decision, decisions, decisions_for_peer};
use crate::support::recorded_scenario::{
    GATEWAYS, PERMITS, RecordedScenario, TOKEN_BUCKET, recorded_log, scenario_request,
    start_gateway,
};

/// Compares two logs line by line. `label` identifies the log in failure messages.
fn assert_same_lines(label: &str, actual: &[String], expected: &[String]) {
    for (index, (actual, expected)) in actual.iter().zip(expected).enumerate() {
        assert_eq!(actual, expected, "{label}: line {index} of the recording");
    }
    assert_eq!(actual.len(), expected.len(), "{label}: number of lines");
}

/// Predicate on the fields of a message.
type KindPredicate = fn(&[&str]) -> bool;

#[test]
fn recording_contains_every_kind_of_message() {
    let gossip = recorded_log(None).gossip;
    let messages: Vec<Vec<&str>> = gossip
        .iter()
        .filter_map(|line| line.split(' ').nth(3))
        .flat_map(|text| text.split_terminator(';'))
        .map(|message| message.split(',').collect())
        .collect();
    let kinds: [(&str, KindPredicate); 11] = [
        ("a quota request", |m| m[0] == "a"),
        ("a quota request with prefetch", |m| {
            m[0] == "a" && m[5] != "0.0"
        }),
        ("a permit request", |m| m[0] == "p"),
        ("a settlement of used tokens", |m| {
            m[0] == "t" && m[4] == "1.0"
        }),
        ("a return of unused tokens", |m| {
            m[0] == "t" && m[4].starts_with('-')
        }),
        ("a return of a permit", |m| m[0] == "t" && !m[3].is_empty()),
        ("a report of unconfirmed usage", |m| m[0] == "u"),
        ("a permit renewal", |m| m[0] == "k"),
        ("a denial", |m| m[0] == "g" && m[2] == "0"),
        ("a grant", |m| m[0] == "g" && m[2] == "1"),
        ("a decision to queue", |m| m[0] == "g" && m[2] == "2"),
    ];
    for (kind, is_of_kind) in kinds {
        let count = messages.iter().filter(|m| is_of_kind(m)).count();
        assert!(count > 0, "expected {kind} in the recording");
    }
}

#[test]
fn fleet_sends_the_recorded_gossip_byte_for_byte() {
    let actual = RecordedScenario::run_all();
    let recorded = recorded_log(None);
    assert_same_lines("gossip of the fleet", &actual.gossip, &recorded.gossip);
    assert_same_lines(
        "outcomes of the fleet",
        &actual.outcomes,
        &recorded.outcomes,
    );
}

#[test]
fn gateway_with_recorded_peers_matches_its_recording() {
    for gateway in 0..GATEWAYS {
        let actual = RecordedScenario::run_with_recorded_peers(gateway);
        let recorded = recorded_log(Some(gateway));
        assert!(
            !recorded.gossip.is_empty() && !recorded.outcomes.is_empty(),
            "expected gateway {gateway} in the recording"
        );
        let gossip = format!("gossip of gateway {gateway}");
        assert_same_lines(&gossip, &actual.gossip, &recorded.gossip);
        let outcomes = format!("outcomes of gateway {gateway}");
        assert_same_lines(&outcomes, &actual.outcomes, &recorded.outcomes);
    }
}

#[test]
fn recorded_decisions_take_effect_on_arrival() {
    // The simulated link has a delay of 3.217 ms.
    for (decision, gateway, outcome) in [
        (
            "1003.217 1 0 g,7257926125,1,c,1.0,0.5,0.5,3.0;",
            0,
            Some("1006.434 0 forward 0 b"),
        ),
        (
            "3687.217 1 2 g,7257926125,0,1a,0.0,2.1,2.0,-0.1;",
            2,
            Some("3690.434 2 reject 44 0"),
        ),
        ("3809.217 1 2 g,2256b3a35d3,2,1c,0.0,2.5,2.0,6.0;", 2, None),
        (
            "3930 1 2 g,2256b3a35d3,1,1c,1.0,2.3,2.4,4.0;",
            2,
            Some("3933.217 2 forward 46 b"),
        ),
    ] {
        assert!(
            recorded_log(None)
                .gossip
                .iter()
                .any(|line| line == decision),
            "expected {decision} in the recording"
        );
        let outcomes = RecordedScenario::run_with_recorded_peers(gateway).outcomes;
        match outcome {
            Some(outcome) => assert!(
                outcomes.iter().any(|line| line == outcome),
                "expected \"{outcome}\" after {decision}, got {outcomes:#?}"
            ),
            None => assert!(
                !outcomes.iter().any(|line| line.starts_with("3812.434 ")),
                "expected the request to wait after {decision}, got {outcomes:#?}"
            ),
        }
    }
}

#[test]
fn owner_grants_returned_permits_and_keeps_renewed_ones_of_recorded_peers() {
    let mut owner = start_gateway(0);
    let mut decide = |now_ms, text| decisions(&mut owner, now_ms, text);
    assert_eq!(
        decide(1000.0, "p,108f28a49af,1,15,1.0,0.0,1.0,400;"),
        [Decision::Granted(0x15)]
    );
    assert_eq!(
        decide(1000.0, "p,108f28a49af,1,f,1.0,0.0,1.0,400;"),
        [Decision::Granted(0xf)]
    );
    assert_eq!(
        decide(1100.0, "p,108f28a49af,1,20,1.0,0.0,1.0,400;"),
        [Decision::Queued(0x20)],
        "both permits are leased"
    );
    assert_eq!(
        decide(1200.0, "t,108f28a49af,1,15,0.0;"),
        [Decision::Granted(0x20)],
        "the queued request gets the returned permit"
    );
    assert_eq!(
        decide(2000.0, "k,108f28a49af,1,f;"),
        [],
        "a renewal needs no decision"
    );
    assert_eq!(
        decide(3000.0, "p,108f28a49af,1,26,1.0,0.0,1.0,400;"),
        [Decision::Granted(0x26)],
        "the permit of request 20 has expired"
    );
    assert_eq!(
        decide(3000.0, "p,108f28a49af,1,2a,1.0,0.0,1.0,400;"),
        [Decision::Queued(0x2a)],
        "the permit of request f was renewed"
    );
}

#[test]
fn owner_charges_recorded_unconfirmed_usage_and_returns() {
    let mut owner = start_gateway(1);
    let mut decide = |text| decisions_for_peer(0, &mut owner, 1000.0, text);
    assert_eq!(
        decide("a,7257926125,0,c,1.0,0.0,1.0,400;"),
        [Decision::Granted(0xc)]
    );
    assert_eq!(
        decide("u,7257926125,0,16,1.0;"),
        [],
        "a report of usage needs no decision"
    );
    assert_eq!(
        decide("a,7257926125,0,e,1.0,0.0,1.0,400;"),
        [Decision::Granted(0xe)],
        "two of four tokens are left"
    );
    // The owner holds back a few hundredths of a token for unsettled usage.
    assert_eq!(
        decide("a,7257926125,0,10,1.0,0.0,1.0,400;"),
        [Decision::Denied(0x10)],
        "a token is left, which is less than the cost and the margin"
    );
    assert_eq!(
        decide("t,7257926125,0,,-2.1;a,7257926125,0,12,1.0,0.0,1.0,400;"),
        [Decision::Granted(0x12)],
        "unused tokens were returned"
    );
    assert_eq!(
        decide("t,7257926125,0,,1.0;t,7257926125,0,,1.0;"),
        [],
        "a settlement needs no decision"
    );
    assert_eq!(
        decide("a,7257926125,0,14,1.0,0.0,1.0,400;"),
        [Decision::Denied(0x14)],
        "the two tokens that were left are settled"
    );
}

#[test]
fn first_quota_requests_have_the_recorded_text() {
    for (gateway, id, plan, recorded) in [
        (0, 0, TOKEN_BUCKET, "a,7257926125,0,c,1.0,0.0,1.0,400;"),
        (1, 17, PERMITS, "p,108f28a49af,1,d,1.0,0.0,1.0,400;"),
    ] {
        let request = scenario_request(id, 1000.0, plan);
        let gossip = start_gateway(gateway).receive(request).gossip();
        assert_eq!(gossip, [recorded], "request of gateway {gateway}");
    }
}
