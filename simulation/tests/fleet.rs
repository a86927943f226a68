//! Tests of complete fleets: determinism, and the effects of endpoint and gateway incidents.

use marlshelf::{
    Action, AttemptResult, GatewayId, Milliseconds, Plan, RequestClass, RequestId, Settings,
    Timestamp, Tokens, TokensPerSecond,
};
use marlshelf_simulation::{
    ClientRequest, EndpointIndex, EndpointPool, Fleet, FleetRun, FleetScenario, GatewaySeeds,
    Incident, Observer, PlannedIncident, Randomness, ScheduledClients, ScheduledRequest,
    SimulatedEndpoint, TenantClients, TenantTraffic,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const CLIENT_TIMEOUT: Milliseconds = Milliseconds(2000.0);

/// Observer that records requests, actions and attempt results.
#[derive(Default)]
struct Recorder {
    requests: Vec<RequestId>,
    actions: Vec<(Timestamp, GatewayId, Action)>,
    results: Vec<AttemptResult>,
}

impl Observer for Recorder {
    fn on_request(&mut self, _now: Timestamp, id: RequestId, _request: &ClientRequest) {
        self.requests.push(id);
    }

    fn on_action(&mut self, now: Timestamp, gateway: GatewayId, action: &Action) {
        self.actions.push((now, gateway, action.clone()));
    }

    fn on_attempt_end(
        &mut self,
        _now: Timestamp,
        _id: RequestId,
        _request: &ClientRequest,
        result: AttemptResult,
    ) {
        self.results.push(result);
    }
}

/// Returns a scenario with three gateways and four endpoints that ends after five seconds.
fn scenario(incidents: Vec<PlannedIncident>) -> FleetScenario {
    let class = RequestClass {
        latency_objective: Milliseconds(500.0),
        priority_weight: 1.0,
        ..RequestClass::default()
    };
    let plan = Plan {
        refill_rate: TokensPerSecond(1000.0),
        burst: Tokens(1000.0),
        weight: 1.0,
        ..Plan::default()
    };
    FleetScenario {
        settings: Settings {
            gateway_count: 3,
            classes: vec![class],
            plans: vec![plan],
            gossip_enabled: true,
            gossip_intake_per_second: 50.0,
            ..Settings::default()
        },
        endpoints: EndpointPool {
            count: 4,
            ..EndpointPool::default()
        },
        incidents,
        end: Timestamp(5000.0),
        ..FleetScenario::default()
    }
}

fn randomness(seed: u64) -> Randomness {
    let generator = Pcg64Mcg::seed_from_u64(seed);
    Randomness::shared(generator, GatewaySeeds::consecutive_from(seed))
}

/// Runs a fleet in which gateway 0 receives a request every 10 ms for two seconds.
fn run_steady_requests(incidents: Vec<PlannedIncident>) -> FleetRun<ScheduledClients, Recorder> {
    let request = |step: u32| ScheduledRequest {
        at: Timestamp(10.0 * f64::from(step)),
        request: ClientRequest::to_gateway(GatewayId(0)),
    };
    let clients = ScheduledClients::new((1..=200).map(request).collect(), CLIENT_TIMEOUT);
    let scenario = scenario(incidents);
    Fleet::new(&scenario, clients, Recorder::default(), randomness(1)).run()
}

fn run_tenants(seed: u64) -> Recorder {
    let scenario = scenario(Vec::new());
    let traffic = TenantTraffic {
        tenants: 5,
        requests_per_second: 100.0,
        surge: None,
        idle: None,
        shard_sizes: vec![0, 2],
        sticky_ratio: 0.5,
        disconnect_ratio: 0.1,
        retry_ratio: 0.5,
        invalid_ratio: 0.0,
    };
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let clients = TenantClients::new(&traffic, &scenario.settings, &mut generator);
    Fleet::new(&scenario, clients, Recorder::default(), randomness(seed))
        .run()
        .observer
}

#[test]
fn runs_with_equal_seeds_return_identical_actions() {
    let (first, second, other) = (run_tenants(1), run_tenants(1), run_tenants(2));
    assert!(!first.actions.is_empty());
    assert!(first.actions == second.actions);
    assert!(first.actions != other.actions);
}

#[test]
fn all_requests_succeed_in_a_fleet_without_faults() {
    let run = run_steady_requests(Vec::new());
    assert_eq!(run.observer.requests.len(), 200);
    assert_eq!(run.observer.results, [AttemptResult::Success; 200]);
    let received = run
        .endpoints
        .iter()
        .map(|endpoint| endpoint.received().len());
    assert_eq!(received.sum::<usize>(), 200);
}

#[test]
fn removed_endpoint_receives_no_more_work_and_added_endpoint_receives_work() {
    let removed = EndpointIndex(1);
    let run = run_steady_requests(vec![
        PlannedIncident::at(Timestamp(505.0), Incident::Remove(removed)),
        PlannedIncident::at(Timestamp(505.0), Incident::Add(removed)),
    ]);
    let received_by = |index: usize, start, end| {
        run.endpoints[index].work_received_between(Timestamp(start), Timestamp(end))
    };
    assert!(received_by(1, 0.0, 505.0) > 0.0);
    assert_eq!(received_by(1, 505.0, 5000.0), 0.0);
    assert!(received_by(4, 600.0, 5000.0) > 0.0);
    assert_eq!(&*run.endpoints[4].entry.name, "endpoint-1-4");
}

#[test]
fn endpoint_restart_resets_attempts_in_flight() {
    let restart = |index| {
        let incident = Incident::Restart(EndpointIndex(index));
        PlannedIncident::at(Timestamp(1005.0), incident)
    };
    let run = run_steady_requests((0..4).map(restart).collect());
    let results = &run.observer.results;
    assert!(results.contains(&AttemptResult::ConnectionReset));
    let started_at = run.endpoints.iter().map(SimulatedEndpoint::started_at);
    assert!(started_at.into_iter().all(|at| at == Timestamp(2005.0)));
}

#[test]
fn restarted_gateway_loses_pending_requests_and_serves_new_ones() {
    let restart = Incident::RestartGateway(GatewayId(0));
    let run = run_steady_requests(vec![PlannedIncident::at(Timestamp(1005.0), restart)]);
    let served = run.observer.results.len();
    assert!((150..200).contains(&served), "{served} attempts ended");
}
