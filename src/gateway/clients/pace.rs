//! Limits how fast commands are processed, so that clients that send without a pause leave the processor to the
//! others.
//!
//! Nobody waits while all connections together stay within [`TOTAL_RATE`]. Beyond it, those connections wait that
//! have used up what each of them may send.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Commands of all connections in a second, many times what a gateway serves.
const TOTAL_RATE: CommandRate = CommandRate {
    commands_per_second: 8000.0,
    burst: 2000.0,
};
/// Commands of one connection that are never delayed. A connection that sends more is delayed while the total is
/// exceeded. A usual client may send all its requests on one connection.
const CONNECTION_RATE: CommandRate = CommandRate {
    commands_per_second: 500.0,
    burst: 500.0,
};
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// The limits of an [`Allowance`].
struct CommandRate {
    commands_per_second: f64,
    burst: f64,
}

/// Commands that may be processed now; negative if there were too many.
struct Allowance {
    commands: f64,
    updated_at: Instant,
}

impl Allowance {
    fn full(rate: &CommandRate, now: Instant) -> Allowance {
        Allowance {
            commands: rate.burst,
            updated_at: now,
        }
    }

    fn take(&mut self, commands: usize, rate: &CommandRate, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let refill = rate.commands_per_second * elapsed.as_secs_f64();
        self.commands = (self.commands + refill).min(rate.burst) - commands as f64;
        self.commands = self.commands.max(-rate.burst);
        self.updated_at = now;
    }

    /// Returns how long it takes until there is no debt.
    fn time_to_recover(&self, rate: &CommandRate) -> Duration {
        let debt = (-self.commands).max(0.0);
        Duration::from_secs_f64(debt / rate.commands_per_second)
    }
}

/// The commands of all connections. Clones share them.
#[derive(Clone)]
pub(super) struct TotalPace {
    allowance: Rc<RefCell<Allowance>>,
}

/// The commands of one connection.
pub(super) struct CommandPace {
    total: TotalPace,
    allowance: Allowance,
}

impl TotalPace {
    pub(super) fn new(now: Instant) -> TotalPace {
        let allowance = Allowance::full(&TOTAL_RATE, now);
        TotalPace {
            allowance: Rc::new(RefCell::new(allowance)),
        }
    }

    /// Creates the pace of a new connection.
    pub(super) fn connection(&self, now: Instant) -> CommandPace {
        CommandPace {
            total: self.clone(),
            allowance: Allowance::full(&CONNECTION_RATE, now),
        }
    }
}

impl CommandPace {
    /// Records that commands were processed, and returns the pause before the next ones, if one is due: until this
    /// connection or all together are within their rates.
    pub(super) fn commands_processed(&mut self, commands: usize, now: Instant) -> Option<Duration> {
        let mut total = self.total.allowance.borrow_mut();
        total.take(commands, &TOTAL_RATE, now);
        self.allowance.take(commands, &CONNECTION_RATE, now);
        let pause = total
            .time_to_recover(&TOTAL_RATE)
            .min(self.allowance.time_to_recover(&CONNECTION_RATE))
            .min(MAX_PAUSE);
        (!pause.is_zero()).then_some(pause)
    }
}
