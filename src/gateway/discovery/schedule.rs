//! When to call discovery: the delay before the first call, and the backoff between calls that fail.
//!
//! Where discovery pushes lists ([`DiscoveryMode::Automatic`]), an agent on the gateway's own machine has the list.
//! It answers at once, and what the agent knows counts as known to the gateway, whether or not it has asked.
//! Where the gateway must poll ([`DiscoveryMode::Subscribe`]), one service with a limited rate of calls answers all
//! gateways of the tier, and a call that it rejects has cost it work as well: what one gateway may do at once, a
//! hundred gateways may not.

use crate::gateway::engine_time::to_duration;
use crate::{DiscoveryMode, Milliseconds, SettingsDocument};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The shortest and the longest mean delay of a gateway that is the only caller of the service.
const MIN_MEAN_DELAY: Duration = Duration::from_millis(100);
const MAX_MEAN_DELAY: Duration = Duration::from_secs(1);
/// While the service fails, the mean delay of every gateway grows to this time for each gateway of the tier: a
/// service that can answer a call in this time recovers before all of them have called again.
const MEAN_DELAY_PER_GATEWAY: Duration = Duration::from_millis(10);
/// The longest time from the beginning of a call that failed, or from the last frame of a watch, to the next call.
/// Whatever fails, an update counts as known 6 s after discovery could be reached: the rest is for the answer.
/// This bound takes precedence over the load that the calls put on the service.
const MAX_TIME_BETWEEN_CALLS: Duration = Duration::from_millis(4500);
/// The mean distance between first calls where many gateways may have started at the same time. A rollout of 70
/// gateways of 100 then gets through within the time that the service lets calls queue (at 15 ms a third of the
/// calls failed and came again seconds later).
const FIRST_CALL_SPACING: Duration = Duration::from_millis(30);
/// How long a call waits for the head of its response. An agent has the list at hand, and one that hangs must
/// leave time for another call. A service that all gateways share answers them in turn.
const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const SERVICE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay of the first call is at most the time after which an update counts as known, divided by this.
const POLL_INTERVAL_DIVISOR: u32 = 3;
/// The mean delay before the next call to an agent is at most the time within which the gateway must respect that an
/// endpoint drains, divided by this.
const DRAIN_GRACE_DIVISOR: u32 = 4;
/// Durations of the settings are kept within these bounds.
const MIN_SETTING: Duration = Duration::from_millis(1);
const MAX_SETTING: Duration = Duration::from_mins(1);
/// The range of the random factor that each delay is multiplied by.
const JITTER: std::ops::Range<f64> = 0.5..1.5;

/// The delays between the calls of one gateway to discovery.
///
/// The mean delay doubles from failure to failure. Each delay has random jitter, so that gateways whose calls
/// failed at the same time do not call again at the same time.
pub struct PollSchedule {
    rng: Pcg64Mcg,
    timing: CallTiming,
    /// The mean of the next delay.
    mean_delay: Duration,
}

/// How long to wait before a call and for its response, which follows from the settings.
struct CallTiming {
    /// The longest delay of the first call.
    max_initial: Duration,
    /// The shortest and the longest mean delay after a failure.
    min_mean: Duration,
    max_mean: Duration,
    /// How long a call waits for the head of its response.
    response_timeout: Duration,
}

impl CallTiming {
    fn new(document: &SettingsDocument) -> CallTiming {
        match document.discovery_mode {
            DiscoveryMode::Automatic => CallTiming::for_agent(document),
            DiscoveryMode::Subscribe => CallTiming::for_shared_service(document),
        }
    }

    fn for_agent(document: &SettingsDocument) -> CallTiming {
        let drain_grace = duration_from_setting(document.rules.drain_grace_ms);
        let max_mean = MAX_MEAN_DELAY.min(drain_grace / DRAIN_GRACE_DIVISOR);
        CallTiming {
            max_initial: Duration::ZERO,
            min_mean: MIN_MEAN_DELAY.min(max_mean),
            max_mean,
            response_timeout: AGENT_RESPONSE_TIMEOUT,
        }
    }

    fn for_shared_service(document: &SettingsDocument) -> CallTiming {
        let gateways = document.gateway_count().max(1);
        let max_poll_interval = duration_from_setting(document.rules.max_poll_interval_ms);
        let fleet_mean = MEAN_DELAY_PER_GATEWAY * gateways;
        let max_mean = MAX_MEAN_DELAY
            .max(fleet_mean)
            .min(max_poll_interval)
            .min(longest_mean_delay(Duration::ZERO));
        let first_call_spread = FIRST_CALL_SPACING * (gateways - 1);
        CallTiming {
            max_initial: first_call_spread.min(max_poll_interval / POLL_INTERVAL_DIVISOR),
            min_mean: MIN_MEAN_DELAY.max(fleet_mean).min(max_mean),
            max_mean,
            response_timeout: SERVICE_RESPONSE_TIMEOUT,
        }
    }
}

impl PollSchedule {
    /// The delays that the settings demand, with jitter from a random stream of this seed.
    #[must_use]
    pub fn new(document: &SettingsDocument, seed: u64) -> PollSchedule {
        let timing = CallTiming::new(document);
        PollSchedule {
            rng: Pcg64Mcg::seed_from_u64(seed),
            mean_delay: timing.min_mean,
            timing,
        }
    }

    /// How long to wait before the first call of a process, or before the first call to a new address.
    pub fn initial_delay(&mut self) -> Duration {
        self.timing.max_initial.mul_f64(self.rng.random())
    }

    /// How long a call waits for the head of its response.
    #[must_use]
    pub fn response_timeout(&self) -> Duration {
        self.timing.response_timeout
    }

    /// Starts the backoff anew, because discovery has answered.
    pub fn reset(&mut self) {
        self.mean_delay = self.timing.min_mean;
    }

    /// How long to wait after a failure. `elapsed` is the time since the failed call began, or since its watch
    /// last brought a frame.
    pub fn next_delay(&mut self, elapsed: Duration) -> Duration {
        let delay = self
            .mean_delay
            .min(longest_mean_delay(elapsed))
            .mul_f64(self.rng.random_range(JITTER));
        self.mean_delay = (2 * self.mean_delay).min(self.timing.max_mean);
        delay
    }
}

/// The longest mean delay with which the next call comes in time: jitter makes a delay up to half as long again.
fn longest_mean_delay(elapsed: Duration) -> Duration {
    MAX_TIME_BETWEEN_CALLS.saturating_sub(elapsed) * 2 / 3
}

/// A duration from the settings, within bounds that calculations can rely on.
fn duration_from_setting(milliseconds: f64) -> Duration {
    to_duration(Milliseconds(milliseconds)).clamp(MIN_SETTING, MAX_SETTING)
}
