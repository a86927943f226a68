//! Detection of overload of endpoints during their warm-up.

use crate::{SimulatedEndpoint, SlowStart};
use marlshelf::{Milliseconds, Timestamp};

/// Work that arrived at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedWork {
    /// Time of arrival.
    pub at: Timestamp,
    /// Amount of work, as a multiple of the endpoint's service time.
    pub work: f64,
}

/// Failure condition of a warming endpoint: the work in a sliding window exceeds a multiple of the capacity.
#[derive(Clone, Copy, Debug)]
pub struct OverloadRule {
    /// Tolerated work, as a multiple of the capacity during the window.
    pub multiple: f64,
    /// Length of the sliding window.
    pub window: Milliseconds,
    /// Capacity of a warm endpoint, in requests of work 1 per second.
    pub capacity: f64,
    /// Growth of the capacity after a start.
    pub slow_start: SlowStart,
}

impl OverloadRule {
    /// Returns the highest ratio of received to tolerated work over all windows of the endpoint's last
    /// warm-up. The endpoint fails if the ratio is above 1.
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

    /// Returns the tolerated work of the window that ends at `window_end`. It includes an allowance of two
    /// standard deviations for random arrivals.
    fn tolerated_work(&self, started_at: Timestamp, window_end: Timestamp) -> f64 {
        // The capacity rises linearly, so its mean over the window equals its value in the middle of the
        // window.
        let window_start = (window_end - self.window).max(started_at);
        let middle = Timestamp(f64::midpoint(window_start.as_f64(), window_end.as_f64()));
        let warmup_fraction = self.slow_start.warmup_fraction(started_at, middle);
        let mean = self.multiple * self.capacity * warmup_fraction * self.window.as_f64() / 1000.0;
        mean + 2.0 * mean.sqrt() + 2.0
    }
}
