//! The gateway's clock.

use std::time::{Duration, Instant, SystemTime};

/// The farthest instant that a time is converted to, from the start on. It keeps the conversion from overflowing.
const MAX_OFFSET_SECONDS: f64 = 1e6;

/// Unix time as of the start of the process, advanced by the monotonic clock. It can be compared with the start
/// times that endpoints state, and never steps back.
pub(super) struct Clock {
    started: Instant,
    started_unix_ms: f64,
}

impl Clock {
    pub fn new() -> Clock {
        let unix_time = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            started_unix_ms: unix_time.as_secs_f64() * 1000.0,
        }
    }

    /// The time now, in milliseconds of Unix time.
    pub fn now_ms(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant of a time in milliseconds of Unix time. Times before the start become the start.
    pub fn instant_at(&self, unix_ms: f64) -> Instant {
        let offset_seconds = (unix_ms - self.started_unix_ms) / 1000.0;
        self.started + Duration::from_secs_f64(offset_seconds.clamp(0.0, MAX_OFFSET_SECONDS))
    }
}
