//! The one place where the gateway's times and those of the decision engine are converted into each other.
//!
//! The gateway measures time with [`Instant`] and [`Duration`]. The engine takes milliseconds of Unix time, because
//! it compares them with the start times that endpoints state.

use crate::{Milliseconds, Timestamp};
use std::time::{Duration, Instant, SystemTime};

/// The farthest time from the start of the process that a [`Timestamp`] is converted to. The engine may ask for
/// something at an infinite time, which an [`Instant`] cannot hold.
const MAX_TIME_AFTER_START: Duration = Duration::from_secs(1_000_000);

/// The engine's clock: Unix time as of the start of the process, advanced by the monotonic clock. It never steps
/// back.
pub(crate) struct EngineClock {
    started: Instant,
    started_unix: Timestamp,
}

impl EngineClock {
    /// A clock that starts now.
    pub fn new() -> EngineClock {
        let unix_time = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        EngineClock {
            started: Instant::now(),
            started_unix: Timestamp::ZERO + to_milliseconds(unix_time),
        }
    }

    /// The engine's time at an instant. Instants before the start become the start.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        self.started_unix + to_milliseconds(instant.saturating_duration_since(self.started))
    }

    /// The instant of an engine's time. Times before the start become the start.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        let since_start = to_duration(timestamp - self.started_unix);
        self.started + since_start.min(MAX_TIME_AFTER_START)
    }
}

/// A duration as the engine takes it.
pub(crate) fn to_milliseconds(duration: Duration) -> Milliseconds {
    Milliseconds(duration.as_secs_f64() * 1000.0)
}

/// A duration of the engine or of the settings. A negative one becomes zero, one that is too long the longest.
pub(crate) fn to_duration(milliseconds: Milliseconds) -> Duration {
    let seconds = milliseconds.as_f64() / 1000.0;
    Duration::try_from_secs_f64(seconds).unwrap_or(if seconds > 0.0 {
        Duration::MAX
    } else {
        Duration::ZERO
    })
}
