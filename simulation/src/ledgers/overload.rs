//! The overload of endpoints that warm up.

use crate::{SimulatedEndpoint, SlowStart};
use marlshelf::{Milliseconds, Timestamp};

/// Work that reached an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedWork {
    /// When it arrived.
    pub at: Timestamp,
    /// The work, as a multiple of the endpoint's service time.
    pub work: f64,
}

/// When an endpoint that warms up fails: as soon as a window holds more than a multiple of its present capacity.
#[derive(Clone, Copy, Debug)]
pub struct OverloadRule {
    /// The multiple.
    pub multiple: f64,
    /// The length of the window.
    pub window: Milliseconds,
    /// The requests of work 1 per second that a warm endpoint completes.
    pub capacity: f64,
    /// How the capacity grows.
    pub slow_start: SlowStart,
}

impl OverloadRule {
    /// The most work that a window of an endpoint's warm-up held, as a fraction of what the endpoint tolerates. Above 1
    /// the endpoint fails.
    #[must_use]
    pub fn worst_overload(&self, endpoint: &SimulatedEndpoint) -> f64 {
        let started_at = endpoint.started_at();
        let warm_at = started_at + self.slow_start.warmup;
        let received = endpoint.received();
        let (mut oldest, mut work_in_window, mut worst) = (0, 0.0, 0.0f64);
        for ReceivedWork { at, work } in received.iter().take_while(|r| r.at < warm_at) {
            work_in_window += work;
            while received[oldest].at <= *at - self.window {
                work_in_window -= received[oldest].work;
                oldest += 1;
            }
            worst = worst.max(work_in_window / self.tolerated_work(started_at, *at));
        }
        worst
    }

    /// The work that the window up to this time may hold, with two standard deviations for chance.
    fn tolerated_work(&self, started_at: Timestamp, window_end: Timestamp) -> f64 {
        // Capacity rises linearly, so that its mean over the window is that of the middle.
        let window_start = (window_end - self.window).max(started_at);
        let middle = Timestamp(f64::midpoint(window_start.as_f64(), window_end.as_f64()));
        let warmup_fraction = self.slow_start.warmup_fraction(started_at, middle);
        let mean = self.multiple * self.capacity * warmup_fraction * self.window.as_f64() / 1000.0;
        mean + 2.0 * mean.sqrt() + 2.0
    }
}
