//! Tests of the request lifecycle: each request gets one final response, and later events for it are ignored.

use crate::support::actions::Actions;
use crate::support::gateway::{TestGateway, default_endpoints};
use crate::support::requests::{outcome, request, success};
use crate::support::settings::{IDEMPOTENT, KEYED, settings};
use marlshelf::{
    Action, AttemptResult, DecisionEngine, Event, Milliseconds, RequestId, Settings, TimerToken,
    Tokens, TokensPerSecond,
};

#[test]
fn request_without_endpoints_or_of_an_unknown_class_or_plan_is_rejected() {
    const UNKNOWN: usize = 99;
    let mut without_endpoints = TestGateway::without_endpoints(settings(), 1);
    assert!(
        without_endpoints.receive(request(1, 0.0)).is_rejected(),
        "expected a rejection without endpoints"
    );
    let mut gateway = TestGateway::new(settings());
    let unknown_class = gateway.receive(request(2, 0.0).class(UNKNOWN));
    assert!(
        unknown_class.is_rejected(),
        "expected a rejection of an unknown class, got {unknown_class:?}"
    );
    let unknown_plan = gateway.receive(request(3, 0.0).plan(UNKNOWN));
    assert!(
        unknown_plan.is_rejected(),
        "expected a rejection of an unknown plan, got {unknown_plan:?}"
    );
    let endpoint = gateway
        .receive(request(4, 0.0))
        .forwarded_to()
        .expect("the request is forwarded");
    let timed_out = outcome(4, &endpoint, AttemptResult::TimedOut, 2000.0);
    let actions = gateway.finish(2000.0, timed_out);
    assert!(
        actions.is_rejected() || actions.is_failed(),
        "expected a final response after the timeout, got {actions:?}"
    );
}

#[test]
fn events_of_requests_that_have_ended_are_ignored() {
    let mut gateway = TestGateway::new(settings());
    for event in [
        Event::AttemptFinished(success(77, "a", 1.0)),
        Event::ClientDisconnected {
            request: RequestId(77),
        },
        Event::TimerFired {
            token: TimerToken(12345),
        },
    ] {
        let actions = gateway.handle(1.0, event);
        assert!(
            actions
                .iter()
                .all(|action| matches!(action, Action::SetTimer { .. })),
            "expected timers at most, got {actions:?}"
        );
    }
    let endpoint = gateway
        .receive(request(1, 2.0))
        .forwarded_to()
        .expect("the request is forwarded");
    gateway.disconnect_client(3.0, 1);
    let actions = gateway.finish(4.0, outcome(1, &endpoint, AttemptResult::TimedOut, 2.0));
    assert!(
        actions.is_empty(),
        "expected nothing after the client has disconnected, got {actions:?}"
    );
}

#[test]
fn attempt_deadline_is_the_latency_objective_when_late_answers_have_no_weight() {
    for (late_answer_weight, expected_ms, which) in [
        (0.0, 810.0, "the latency objective of 800 ms"),
        (0.2, 2010.0, "the client deadline"),
    ] {
        let mut settings = settings();
        settings.classes[IDEMPOTENT].late_answer_weight = late_answer_weight;
        let actions = TestGateway::new(settings).receive(request(1, 10.0));
        assert_eq!(
            actions.attempt_deadline_ms(),
            Some(expected_ms),
            "expected {which} at a weight of {late_answer_weight}"
        );
    }
}

type ChangeSettings = fn(&mut Settings);

#[test]
fn invalid_settings_are_an_error() {
    let cases: [(&str, ChangeSettings); 8] = [
        ("no class", |s| s.classes.clear()),
        ("no gateway", |s| s.gateway_count = 0),
        ("a latency objective of 0", |s| {
            s.classes[IDEMPOTENT].latency_objective = Milliseconds(0.0);
        }),
        ("a priority weight that is not a number", |s| {
            s.classes[IDEMPOTENT].priority_weight = f64::NAN;
        }),
        ("a keyed class without a deduplication window", |s| {
            s.classes[KEYED].deduplication_window = Milliseconds(0.0);
        }),
        ("a negative refill rate", |s| {
            s.plans[0].refill_rate = TokensPerSecond(-1.0);
        }),
        ("a refill rate without a burst", |s| {
            s.plans[0].burst = Tokens(0.0);
        }),
        ("an infinite warm-up", |s| {
            s.warmup_duration = Milliseconds(f64::INFINITY);
        }),
    ];
    for (fault, introduce) in cases {
        let mut settings = settings();
        introduce(&mut settings);
        assert!(
            DecisionEngine::new(settings, 1).is_err(),
            "expected an error for {fault}"
        );
    }
}

#[test]
fn same_seed_gives_the_same_actions() {
    let run = |seed| {
        let mut gateway = TestGateway::without_endpoints(settings(), seed);
        let mut actions = gateway.replace_endpoints(0.0, default_endpoints());
        for id in 0..200u64 {
            actions.extend(gateway.receive(request(id, id as f64).class((id % 3) as usize)));
        }
        actions
    };
    assert_eq!(run(5), run(5), "runs of one seed");
    assert_ne!(run(5), run(6), "runs of different seeds");
}
