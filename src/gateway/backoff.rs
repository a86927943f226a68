//! When to ask discovery again. Where the list comes by itself, an agent on this gatekeeper's own machine
//! has it: it answers at once, and counts as having told what it holds, asked or not. Where it must be asked
//! for, one service of so many calls a second answers all gatekeepers of the tier, and one it turns away has
//! cost it work: what one may do at once, a hundred may not.

use crate::{DiscoveryMode, SettingsDocument};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The shortest and the longest mean wait of a gatekeeper that is alone with the service.
const LEAST: Duration = Duration::from_millis(100);
const MOST: Duration = Duration::from_secs(1);
/// While the service fails, the waits of all gatekeepers grow to so much for each of them: one that can answer
/// a call in this time comes back before them all.
const APART: Duration = Duration::from_millis(10);
/// From when a call that failed began, or a watch was last heard, to the next call at the most. Whatever fails,
/// a change counts as told 6 s after discovery could be reached: what is left is for the answer. It stands
/// above the price of calls.
const REACH: Duration = Duration::from_millis(4500);
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
    /// The waits that the settings demand, with lots drawn from this seed.
    pub fn new(conf: &SettingsDocument, seed: u64) -> Backoff {
        let time = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 60_000.0) / 1000.0);
        let gateways = conf.gateway_count().max(1);
        let (first, least, most, patience) = match conf.discovery_mode {
            DiscoveryMode::Automatic => {
                let most = MOST.min(time(conf.rules.drain_grace_ms) / GRACE_PART);
                (Duration::ZERO, LEAST.min(most), most, AGENT)
            }
            DiscoveryMode::Subscribe => {
                let told = time(conf.rules.max_poll_interval_ms);
                let first = (FIRST_APART * (gateways - 1)).min(told / ASK_PART);
                let most = MOST
                    .max(APART * gateways)
                    .min(told)
                    .min(longest(Duration::ZERO));
                (first, LEAST.max(APART * gateways).min(most), most, SERVICE)
            }
        };
        Backoff {
            rng: Pcg64Mcg::seed_from_u64(seed),
            first,
            least,
            most,
            mean: least,
            patience,
        }
    }

    /// How long to wait before the first call of a process, or at a new address.
    pub fn initial_delay(&mut self) -> Duration {
        self.first.mul_f64(self.rng.random())
    }

    /// How long a call waits for the beginning of its answer.
    pub fn response_timeout(&self) -> Duration {
        self.patience
    }

    /// Discovery has answered.
    pub fn reset(&mut self) {
        self.mean = self.least;
    }

    /// How long to wait after a failure, where the call that failed began, or its watch was last heard, so long
    /// ago.
    pub fn next_delay(&mut self, spent: Duration) -> Duration {
        let wait = self
            .mean
            .min(longest(spent))
            .mul_f64(self.rng.random_range(0.5..1.5));
        self.mean = (2 * self.mean).min(self.most);
        wait
    }
}

/// The longest mean wait with which the next call comes in time. The lots reach half as far again.
fn longest(spent: Duration) -> Duration {
    REACH.saturating_sub(spent) * 2 / 3
}
