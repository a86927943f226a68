//! The waits between calls to discovery.

use marlshelf::SettingsDocument;
use marlshelf::gateway::backoff::Backoff;
use std::time::Duration;

/// The longest of the first waits of a gatekeeper that is alone with the service, and the longest of all.
const SHORT: Duration = Duration::from_millis(150);
const LONGEST: Duration = Duration::from_millis(1500);

/// What a gatekeeper of so many is told of discovery.
fn told(gateways: u32, discovery: &str) -> SettingsDocument {
    let conf = serde_json::json!({
        "Balancers": gateways, "Discovery": discovery, "Classes": [],
        "Rules": {"DrainGrace": 500.0, "MustAskIn": 10_000.0},
    });
    serde_json::from_value(conf).expect("sound settings")
}

/// Plays gatekeepers that all start at once, for a minute of virtual time, before a service that takes
/// `cost` for every call, served or not, and turns away who would wait longer than `patience`. Each asks
/// until it is served. Gives when the last of them was.
fn last_served(gateways: u32, cost: Duration, patience: Duration) -> Option<Duration> {
    let mut fleet: Vec<Backoff> = (0..gateways)
        .map(|k| Backoff::new(&told(gateways, "subscribe"), u64::from(k) + 1))
        .collect();
    let mut calls: Vec<(Duration, usize)> = fleet
        .iter_mut()
        .enumerate()
        .map(|(k, b)| (b.initial_delay(), k))
        .collect();
    let (mut free, mut last) = (Duration::ZERO, Duration::ZERO);
    while let Some(next) = (0..calls.len()).min_by_key(|k| calls[*k].0) {
        let (now, who) = calls.swap_remove(next);
        if now > Duration::from_secs(60) {
            return None;
        }
        let served = free <= now + patience;
        free = free.max(now) + if served { cost } else { cost / 3 };
        if served {
            last = last.max(free);
        } else {
            calls.push((now + fleet[who].next_delay(Duration::ZERO), who));
        }
    }
    Some(last)
}

#[test]
fn a_fleet_that_starts_at_one_stroke_gets_through_to_a_small_service() {
    let (cost, patience) = (Duration::from_millis(50), Duration::from_secs(2));
    let last = last_served(100, cost, patience).expect("all are served");
    assert!(
        last < Duration::from_secs(12),
        "the last one after {last:?}"
    );
    let alone = last_served(1, cost, patience).expect("it is served");
    assert_eq!(alone, cost, "one that is alone waits for nobody");
}

#[test]
fn waits_grow_to_a_bound_and_start_anew_after_an_answer() {
    let mut backoff = Backoff::new(&told(4, "subscribe"), 7);
    let waits: Vec<Duration> = (0..8).map(|_| backoff.next_delay(Duration::ZERO)).collect();
    assert!(waits[0] <= SHORT && waits[7] > SHORT && waits[7] <= LONGEST);
    backoff.reset();
    assert!(backoff.next_delay(Duration::ZERO) <= SHORT);
}

#[test]
fn an_agent_is_asked_at_once_and_again_within_the_grace_however_many_gateways_there_are() {
    let mut backoff = Backoff::new(&told(300, "automatic"), 7);
    assert_eq!(
        backoff.initial_delay(),
        Duration::ZERO,
        "what it holds counts as told already"
    );
    let longest = (0..100).map(|_| backoff.next_delay(Duration::ZERO)).max();
    assert!(
        longest < Some(Duration::from_millis(250)),
        "a drain must be kept 500 ms after: {longest:?}"
    );
}

#[test]
fn a_shared_service_is_asked_before_its_news_count_as_told() {
    for seed in 0..100 {
        let mut backoff = Backoff::new(&told(1000, "subscribe"), seed);
        assert!(backoff.initial_delay() < Duration::from_secs(5));
        assert!((0..20).all(|_| backoff.next_delay(Duration::ZERO) <= Duration::from_secs(15)));
    }
}
