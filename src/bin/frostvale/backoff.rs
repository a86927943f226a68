//! When to ask discovery again. Where the list comes by itself, an agent on this gatekeeper's own machine
//! has it: it answers at once, and counts as having told what it holds, asked or not. Where it must be asked
//! for, one service of so many calls a second answers all gatekeepers of the tier, and one it turns away has
//! cost it work: what one may do at once, a hundred may not.

use frostvale::{Conf, Discovery};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The shortest and the longest mean wait of a gatekeeper that is alone with the service.
const LEAST: Duration = Duration::from_millis(100);
const MOST: Duration = Duration::from_secs(1);
/// All gatekeepers together ask no more often than about once in this time while the service turns them away.
const APART: Duration = Duration::from_millis(100);
/// The first calls, when many may have started at one stroke, lie so far apart on average: a release of 70 in
/// 100 then gets through within the service's patience (at 15 ms a third failed and came again seconds later).
const FIRST_APART: Duration = Duration::from_millis(30);
/// How long a call waits for the beginning of its answer: an agent has it at hand, and one that hangs must leave
/// time for another; a service that all share answers in turn.
const AGENT: Duration = Duration::from_secs(1);
const SERVICE: Duration = Duration::from_secs(3);
/// The part of the time after which the list counts as told that the first call may take of it.
const ASK_PART: u32 = 3;
/// The part of the time in which a drain must be kept that the mean wait for the agent may take of it.
const GRACE_PART: u32 = 4;

/// The waits of one gatekeeper: doubled from failure to failure, and drawn by lot so that gatekeepers that
/// failed together don't come back together.
pub struct Backoff {
    rng: Pcg64Mcg,
    /// The longest wait before the first call.
    first: Duration,
    /// The shortest and the longest mean wait after a failure.
    least: Duration,
    most: Duration,
    mean: Duration,
    patience: Duration,
}

impl Backoff {
    pub fn new(conf: &Conf, seed: u64) -> Backoff {
        let time = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 60_000.0) / 1000.0);
        let gateways = conf.gateways().max(1);
        let (first, least, most, patience) = match conf.discovery {
            Discovery::Automatic => {
                let most = MOST.min(time(conf.rules.drain_grace) / GRACE_PART);
                (Duration::ZERO, LEAST.min(most), most, AGENT)
            }
            Discovery::Subscribe => {
                let told = time(conf.rules.must_ask_in);
                let first = (FIRST_APART * (gateways - 1)).min(told / ASK_PART);
                let most = MOST.max(APART * gateways).min(told);
                (first, LEAST.max(APART * gateways / 10).min(most), most, SERVICE)
            }
        };
        Backoff { rng: Pcg64Mcg::seed_from_u64(seed), first, least, most, mean: least, patience }
    }

    /// How long to wait before the first call of a process.
    pub fn first(&mut self) -> Duration {
        self.first.mul_f64(self.rng.random())
    }

    /// How long a call waits for the beginning of its answer.
    pub fn patience(&self) -> Duration {
        self.patience
    }

    /// Discovery has answered.
    pub fn reset(&mut self) {
        self.mean = self.least;
    }

    /// How long to wait after a failure.
    pub fn next(&mut self) -> Duration {
        let wait = self.mean.mul_f64(self.rng.random_range(0.5..1.5));
        self.mean = (2 * self.mean).min(self.most);
        wait
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What a gatekeeper of so many is told of discovery.
    fn told(gateways: u32, discovery: &str) -> Conf {
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
        let mut fleet: Vec<Backoff> =
            (0..gateways).map(|k| Backoff::new(&told(gateways, "subscribe"), u64::from(k) + 1)).collect();
        let mut calls: Vec<(Duration, usize)> =
            fleet.iter_mut().enumerate().map(|(k, b)| (b.first(), k)).collect();
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
                calls.push((now + fleet[who].next(), who));
            }
        }
        Some(last)
    }

    #[test]
    fn a_fleet_that_starts_at_one_stroke_gets_through_to_a_small_service() {
        let (cost, patience) = (Duration::from_millis(50), Duration::from_secs(2));
        let last = last_served(100, cost, patience).expect("all are served");
        assert!(last < Duration::from_secs(12), "the last one after {last:?}");
        let alone = last_served(1, cost, patience).expect("it is served");
        assert_eq!(alone, cost, "one that is alone waits for nobody");
    }

    #[test]
    fn waits_grow_to_a_bound_and_start_anew_after_an_answer() {
        let mut backoff = Backoff::new(&told(4, "subscribe"), 7);
        let waits: Vec<Duration> = (0..8).map(|_| backoff.next()).collect();
        assert!(waits[0] <= LEAST * 3 / 2 && waits[7] > LEAST * 3 / 2 && waits[7] <= MOST * 3 / 2);
        backoff.reset();
        assert!(backoff.next() <= LEAST * 3 / 2);
    }

    #[test]
    fn an_agent_is_asked_at_once_and_again_within_the_grace_however_many_gateways_there_are() {
        let mut backoff = Backoff::new(&told(300, "automatic"), 7);
        assert_eq!(backoff.first(), Duration::ZERO, "what it holds counts as told already");
        let longest = (0..100).map(|_| backoff.next()).max();
        assert!(longest < Some(Duration::from_millis(250)), "a drain must be kept 500 ms after: {longest:?}");
    }

    #[test]
    fn a_shared_service_is_asked_before_its_news_count_as_told() {
        for seed in 0..100 {
            let mut backoff = Backoff::new(&told(1000, "subscribe"), seed);
            assert!(backoff.first() < Duration::from_secs(5));
            assert!((0..20).all(|_| backoff.next() <= Duration::from_secs(15)));
        }
    }
}
