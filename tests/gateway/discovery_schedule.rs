//! The delays between calls to discovery.

use marlshelf::SettingsDocument;
use marlshelf::gateway::discovery::PollSchedule;
use std::time::Duration;

/// The longest first delay after a failure of a gateway that is the only caller, and the longest of all.
const LONGEST_FIRST_DELAY: Duration = Duration::from_millis(150);
const LONGEST_DELAY: Duration = Duration::from_millis(1500);

/// The settings of one of so many gateways with this discovery mode.
fn settings(gateways: u32, discovery_mode: &str) -> SettingsDocument {
    let document = serde_json::json!({
        "Balancers": gateways, "Discovery": discovery_mode, "Classes": [],
        "Rules": {"DrainGrace": 500.0, "MustAskIn": 10_000.0},
    });
    serde_json::from_value(document).expect("valid settings")
}

/// A service that answers one call at a time and rejects a call that would wait too long.
#[derive(Clone, Copy)]
struct Service {
    /// How long the service takes to answer a call. A rejection takes a third of it.
    cost: Duration,
    /// How long a call may wait for its turn.
    max_wait: Duration,
}

impl Service {
    /// Simulates a fleet whose gateways all start at the same time and call until they are answered. Returns when
    /// the last of them was answered, or none if a gateway still calls after a minute.
    fn last_answer_to_fleet_of(self, gateways: u32) -> Option<Duration> {
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
                busy_until = busy_until.max(now) + self.cost;
                last_answer = last_answer.max(busy_until);
            } else {
                busy_until = busy_until.max(now) + self.cost / 3;
                let delay = schedules[gateway].next_delay(Duration::ZERO);
                next_calls.push((now + delay, gateway));
            }
        }
        Some(last_answer)
    }
}

#[test]
fn a_fleet_that_starts_at_once_is_answered_by_a_slow_service() {
    let service = Service {
        cost: Duration::from_millis(50),
        max_wait: Duration::from_secs(2),
    };
    let last = service
        .last_answer_to_fleet_of(100)
        .expect("all gateways are answered");
    assert!(
        last < Duration::from_secs(12),
        "the last one after {last:?}"
    );
    let single = service
        .last_answer_to_fleet_of(1)
        .expect("the gateway is answered");
    assert_eq!(single, service.cost, "a single gateway calls without delay");
}

#[test]
fn delays_grow_to_a_bound_and_start_anew_after_an_answer() {
    let mut schedule = PollSchedule::new(&settings(4, "subscribe"), 7);
    let delays: Vec<Duration> = (0..8)
        .map(|_| schedule.next_delay(Duration::ZERO))
        .collect();
    assert!(delays[0] <= LONGEST_FIRST_DELAY);
    assert!(delays[7] > LONGEST_FIRST_DELAY && delays[7] <= LONGEST_DELAY);
    schedule.reset();
    assert!(schedule.next_delay(Duration::ZERO) <= LONGEST_FIRST_DELAY);
}

#[test]
fn an_agent_is_called_at_once_and_again_within_the_drain_grace_whatever_the_fleet_size() {
    let mut schedule = PollSchedule::new(&settings(300, "automatic"), 7);
    assert_eq!(
        schedule.initial_delay(),
        Duration::ZERO,
        "what the agent has counts as known"
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
