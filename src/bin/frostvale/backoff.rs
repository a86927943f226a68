//! When to ask a service again that all gatekeepers of the tier share. It serves only so many calls a second,
//! and one it turns away has cost it work: what one may do at once, a hundred may not.

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

/// The waits of one gatekeeper: doubled from failure to failure, and drawn by lot so that gatekeepers that
/// failed together don't come back together.
pub struct Backoff {
    rng: Pcg64Mcg,
    gateways: u32,
    mean: Duration,
}

impl Backoff {
    pub fn new(gateways: u32, seed: u64) -> Backoff {
        let mut backoff = Backoff { rng: Pcg64Mcg::seed_from_u64(seed), gateways, mean: LEAST };
        backoff.reset();
        backoff
    }

    /// How long to wait before the first call of a process.
    pub fn first(&mut self) -> Duration {
        (FIRST_APART * (self.gateways - 1)).mul_f64(self.rng.random())
    }

    /// The service has answered.
    pub fn reset(&mut self) {
        self.mean = LEAST.max(APART * self.gateways / 10);
    }

    /// How long to wait after a failure.
    pub fn next(&mut self) -> Duration {
        let wait = self.mean.mul_f64(self.rng.random_range(0.5..1.5));
        self.mean = (2 * self.mean).min(MOST.max(APART * self.gateways));
        wait
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Plays gatekeepers that all start at once, for a minute of virtual time, before a service that takes
    /// `cost` for every call, served or not, and turns away who would wait longer than `patience`. Each asks
    /// until it is served. Gives when the last of them was.
    fn last_served(gateways: u32, cost: Duration, patience: Duration) -> Option<Duration> {
        let mut fleet: Vec<Backoff> =
            (0..gateways).map(|k| Backoff::new(gateways, u64::from(k) + 1)).collect();
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
        let mut backoff = Backoff::new(4, 7);
        let waits: Vec<Duration> = (0..8).map(|_| backoff.next()).collect();
        assert!(waits[0] <= LEAST * 3 / 2 && waits[7] > LEAST * 3 / 2 && waits[7] <= MOST * 3 / 2);
        backoff.reset();
        assert!(backoff.next() <= LEAST * 3 / 2);
    }
}
