//! All conversions between the gateway's time types and those of the decision engine.
//!
//! The gateway measures time with [`Instant`] and [`Duration`]. The engine uses milliseconds of Unix time,
//! because it compares its timestamps with the start times that endpoints report.

use crate::{Milliseconds, Timestamp};
use std::time::{Duration, Instant, SystemTime};

/// The engine's clock. It reads Unix time once, when it is created, and then advances with the monotonic
/// clock, so it never steps back.
pub(crate) struct EngineClock {
    start: Instant,
    unix_start: Timestamp,
}

impl EngineClock {
    /// Creates a clock whose time began at `start`, which must not be in the future.
    pub fn started_at(start: Instant) -> EngineClock {
        let unix_time = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let unix_now = Timestamp::ZERO + to_milliseconds(unix_time);
        EngineClock {
            start,
            unix_start: unix_now - to_milliseconds(start.elapsed()),
        }
    }

    /// Converts an instant to engine time. An instant before the start of the clock maps to the start.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        self.unix_start + to_milliseconds(instant.saturating_duration_since(self.start))
    }

    /// Converts engine time to an instant. A time before the start of the clock maps to the start. Returns
    /// `None` for a time that never comes: it is infinite or too late for an [`Instant`].
    pub fn instant(&self, timestamp: Timestamp) -> Option<Instant> {
        self.start
            .checked_add(to_duration(timestamp - self.unix_start))
    }
}

pub(crate) fn to_milliseconds(duration: Duration) -> Milliseconds {
    Milliseconds(duration.as_secs_f64() * 1000.0)
}

/// Converts a duration from the engine or the settings. A negative value becomes zero; a value that is too
/// large for [`Duration`] becomes [`Duration::MAX`].
pub(crate) fn to_duration(milliseconds: Milliseconds) -> Duration {
    let seconds = milliseconds.as_f64() / 1000.0;
    Duration::try_from_secs_f64(seconds).unwrap_or(if seconds > 0.0 {
        Duration::MAX
    } else {
        Duration::ZERO
    })
}
