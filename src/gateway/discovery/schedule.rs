//! The schedule of calls to discovery: the delay before the first call, and the backoff after failed calls.
//!
//! In [`DiscoveryMode::Automatic`], an agent on the gateway's machine has the list. It answers immediately,
//! and the gateway is deemed to know every update that the agent has, whether or not the gateway has called
//! it. In [`DiscoveryMode::Subscribe`], one service with a limited call rate answers all gateways of the
//! tier, and even a rejected call costs it work. The calls of a large tier must therefore be spread out more
//! than those of a single gateway.

use crate::gateway::engine_time::to_duration;
use crate::{DiscoveryMode, Milliseconds, SettingsDocument};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Bounds on the mean delay of a gateway that is the service's only caller.
const MIN_MEAN_DELAY: Duration = Duration::from_millis(100);
const MAX_MEAN_DELAY: Duration = Duration::from_secs(1);
/// During an outage, the mean delay of each gateway grows to this time multiplied by the number of gateways.
/// A service that answers a call within this time can then recover before all gateways have called again.
const MEAN_DELAY_PER_GATEWAY: Duration = Duration::from_millis(10);
/// The maximum time from the start of a failed call, or from the last frame of a watch, to the next call. An
/// update counts as known 6 s after discovery is reachable, whatever has failed; the rest of the 6 s is for
/// the answer. This bound takes precedence over the load of the calls on the service.
const MAX_TIME_BETWEEN_CALLS: Duration = Duration::from_millis(4500);
/// The mean interval between the first calls of gateways that start at the same time. In a rollout of 70 out
/// of 100 gateways, all calls are then answered within the time that the service lets calls queue. At 15 ms,
/// a third of the calls failed and were repeated seconds later.
const FIRST_CALL_SPACING: Duration = Duration::from_millis(30);
/// How long a call waits for the response head. An agent answers from memory, and a call that hangs must
/// leave time for another one. A shared service gets more time because it answers the gateways in turn.
const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const SERVICE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The first delay is at most the settings' maximum poll interval, after which an update counts as known,
/// divided by this.
const POLL_INTERVAL_DIVISOR: u32 = 3;
/// The mean delay between calls to an agent is at most the drain grace, within which the gateway must stop
/// sending requests to a draining endpoint, divided by this.
const DRAIN_GRACE_DIVISOR: u32 = 4;
/// Durations from the settings are clamped to this range.
const MIN_CONFIGURED_DURATION: Duration = Duration::from_millis(1);
const MAX_CONFIGURED_DURATION: Duration = Duration::from_mins(1);
/// The range of the random factor applied to each delay.
const JITTER: std::ops::Range<f64> = 0.5..1.5;

/// Computes the delays between one gateway's calls to discovery: exponential backoff with jitter.
///
/// The mean delay doubles with each failure. The jitter keeps gateways whose calls failed at the same time
/// from calling again at the same time.
pub struct PollSchedule {
    rng: Pcg64Mcg,
    timing: CallTiming,
    /// The mean of the next delay, before the bound that depends on the elapsed time.
    mean_delay: Duration,
}

/// Delays and timeouts of calls, derived from the settings.
struct CallTiming {
    /// Upper bound on the delay of the first call.
    max_initial: Duration,
    /// Bounds on the mean delay after a failure.
    min_mean: Duration,
    max_mean: Duration,
    /// How long a call waits for the response head.
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
            .min(max_mean_delay_after(Duration::ZERO));
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
    /// Creates a schedule for the discovery mode and the fleet size in the settings. `seed` determines the
    /// jitter.
    #[must_use]
    pub fn new(document: &SettingsDocument, seed: u64) -> PollSchedule {
        let timing = CallTiming::new(document);
        PollSchedule {
            rng: Pcg64Mcg::seed_from_u64(seed),
            mean_delay: timing.min_mean,
            timing,
        }
    }

    /// Returns the random delay before the first call of a process or the first call to a new address.
    pub fn initial_delay(&mut self) -> Duration {
        self.timing.max_initial.mul_f64(self.rng.random())
    }

    /// Returns how long a call may wait for the response head.
    #[must_use]
    pub fn response_timeout(&self) -> Duration {
        self.timing.response_timeout
    }

    /// Resets the backoff to its shortest delay, after discovery has answered.
    pub fn reset(&mut self) {
        self.mean_delay = self.timing.min_mean;
    }

    /// Returns the delay before the next call after a failure, and doubles the backoff. `elapsed` is the time
    /// since the start of the failed call, or since the last frame if it was a watch.
    pub fn next_delay(&mut self, elapsed: Duration) -> Duration {
        let delay = self
            .mean_delay
            .min(max_mean_delay_after(elapsed))
            .mul_f64(self.rng.random_range(JITTER));
        self.mean_delay = (2 * self.mean_delay).min(self.timing.max_mean);
        delay
    }
}

/// Returns the maximum mean delay that respects [`MAX_TIME_BETWEEN_CALLS`] when `elapsed` has passed already.
/// The factor 2/3 allows for jitter, which can make a delay 1.5 times its mean.
fn max_mean_delay_after(elapsed: Duration) -> Duration {
    MAX_TIME_BETWEEN_CALLS.saturating_sub(elapsed) * 2 / 3
}

/// Converts a duration from the settings and clamps it to a range that is safe to calculate with.
fn duration_from_setting(milliseconds: f64) -> Duration {
    to_duration(Milliseconds(milliseconds)).clamp(MIN_CONFIGURED_DURATION, MAX_CONFIGURED_DURATION)
}
