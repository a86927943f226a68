//! Tests of the delays between calls to discovery.

use marlshelf::SettingsDocument;
use marlshelf::gateway::discovery::PollSchedule;
use std::time::Duration;

/// Upper bounds on the delay after the first failure and on every delay, for a gateway that is the only
/// caller.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(150);
const MAX_DELAY: Duration = Duration::from_millis(1500);

/// Returns the settings of a gateway in a fleet of `gateways` with this discovery mode.
fn settings(gateways: u32, discovery_mode: &str) -> SettingsDocument {
    let document = serde_json::json!({
        "Balancers": gateways, "Discovery": discovery_mode, "Classes": [],
        "Rules": {"DrainGrace": 500.0, "MustAskIn": 10_000.0},
    });
    serde_json::from_value(document).expect("valid settings")
}

/// A model of a discovery service that processes one call at a time and rejects calls that would wait too
/// long.
#[derive(Clone, Copy)]
struct Service {
    /// The time to answer a call. A rejection takes a third of it.
    time_per_call: Duration,
    /// The maximum time that a call may wait in the queue.
    max_wait: Duration,
}

impl Service {
    /// Simulates a fleet whose gateways all start at the same time and call until they are answered. Returns
    /// the time of the last answer, or `None` if a gateway is still calling after a minute.
    fn time_of_last_answer(self, gateways: u32) -> Option<Duration> {
        let mut schedules: Vec<PollSchedule> = (0..gateways)
            .map(|k| PollSchedule::new(&settings(gateways, "subscribe"), u64::from(k) + 1))
            .collect();
        let mut next_calls: Vec<(Duration, usize)> = schedules
            .iter_mut()
            .enumerate()
            .map(|(gateway, schedule)| (schedule.initial_delay(), gateway))
            .collect();
        let (mut busy_until, mut last_answer) = (Duration::ZERO, Duration::ZERO);
        while let Some(earliest) = (0..next_calls.len()).min_by_key(|k| next_calls[*k].0) {
            let (now, gateway) = next_calls.swap_remove(earliest);
            if now > Duration::from_mins(1) {
                return None;
            }
            if busy_until <= now + self.max_wait {
                busy_until = busy_until.max(now) + self.time_per_call;
                last_answer = last_answer.max(busy_until);
            } else {
                busy_until = busy_until.max(now) + self.time_per_call / 3;
                let delay = schedules[gateway].next_delay(Duration::ZERO);
                next_calls.push((now + delay, gateway));
            }
        }
        Some(last_answer)
    }
}

#[test]
fn a_fleet_that_starts_simultaneously_is_answered_by_a_slow_service() {
    let service = Service {
        time_per_call: Duration::from_millis(50),
        max_wait: Duration::from_secs(2),
    };
    let last = service
        .time_of_last_answer(100)
        .expect("all gateways are answered");
    assert!(
        last < Duration::from_secs(12),
        "the last one after {last:?}"
    );
    let single = service
        .time_of_last_answer(1)
        .expect("the gateway is answered");
    assert_eq!(
        single, service.time_per_call,
        "a single gateway calls without delay"
    );
}

#[test]
fn delays_grow_to_a_bound_and_are_reset_after_an_answer() {
    let mut schedule = PollSchedule::new(&settings(4, "subscribe"), 7);
    let delays: Vec<Duration> = (0..8)
        .map(|_| schedule.next_delay(Duration::ZERO))
        .collect();
    assert!(delays[0] <= MAX_FIRST_DELAY);
    assert!(delays[7] > MAX_FIRST_DELAY && delays[7] <= MAX_DELAY);
    schedule.reset();
    assert!(schedule.next_delay(Duration::ZERO) <= MAX_FIRST_DELAY);
}

#[test]
fn an_agent_is_called_immediately_and_again_within_the_drain_grace_for_any_fleet_size() {
    let mut schedule = PollSchedule::new(&settings(300, "automatic"), 7);
    assert_eq!(
        schedule.initial_delay(),
        Duration::ZERO,
        "the gateway is deemed to know what the agent knows"
    );
    let longest = (0..100).map(|_| schedule.next_delay(Duration::ZERO)).max();
    assert!(
        longest < Some(Duration::from_millis(250)),
        "a drain must be respected after 500 ms: {longest:?}"
    );
}

#[test]
fn a_shared_service_is_called_before_its_updates_count_as_known() {
    for seed in 0..100 {
        let mut schedule = PollSchedule::new(&settings(1000, "subscribe"), seed);
        assert!(schedule.initial_delay() < Duration::from_secs(5));
        assert!((0..20).all(|_| schedule.next_delay(Duration::ZERO) <= Duration::from_secs(15)));
    }
}
