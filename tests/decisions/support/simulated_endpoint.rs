//! An endpoint that starts slow and fails when it is sent more than its present capacity allows.

use marlshelf::{
    AttemptResult, CellId, Endpoint, EndpointName, EndpointState, HardwareId, Timestamp, ZoneId,
};

/// The part of its capacity that an endpoint starts with.
pub const INITIAL_WARMTH: f64 = 0.16;
/// An endpoint has its whole capacity this long after its start.
pub const WARMUP_MS: f64 = 16_000.0;
/// An endpoint fails when a window holds more than this multiple of its capacity.
pub const OVERLOAD_MULTIPLE: f64 = 4.0;
const OVERLOAD_WINDOW_MS: f64 = 1500.0;
const CORES: usize = 4;
/// The most requests that an endpoint accepts at once: a queue of two for each core.
const MAX_IN_FLIGHT: usize = 12;

pub struct SimulatedEndpoint {
    pub name: EndpointName,
    /// The mean requests a second that it does when warm.
    pub capacity: f64,
    /// 0 for an endpoint that is warm from the beginning.
    pub started_at_ms: f64,
    pub accepts_connections: bool,
    cores_free_at_ms: [f64; CORES],
    in_flight_until_ms: Vec<f64>,
    received: Vec<ReceivedWork>,
}

/// A request that reached an endpoint, also one that it had no capacity for.
struct ReceivedWork {
    at_ms: f64,
    work: f64,
}

/// When and how an attempt ends.
#[derive(Clone, Copy)]
pub struct AttemptEnd {
    pub at_ms: f64,
    pub result: AttemptResult,
}

impl SimulatedEndpoint {
    pub fn new(name: EndpointName, capacity: f64, started_at_ms: f64) -> Self {
        SimulatedEndpoint {
            name,
            capacity,
            started_at_ms,
            accepts_connections: true,
            cores_free_at_ms: [0.0; CORES],
            in_flight_until_ms: Vec::new(),
            received: Vec::new(),
        }
    }

    /// How discovery lists it.
    pub fn listing(&self, state: EndpointState) -> Endpoint {
        Endpoint {
            name: self.name.clone(),
            zone: ZoneId(0),
            cell: CellId(0),
            hardware: HardwareId(0),
            weight: 1.0,
            state,
            started_at: Timestamp(self.started_at_ms),
        }
    }

    pub fn has_restarted(&self) -> bool {
        self.started_at_ms > 0.0
    }

    /// The part of its capacity that it has at this time.
    pub fn warmth(&self, now_ms: f64) -> f64 {
        let age = if self.has_restarted() {
            ((now_ms - self.started_at_ms) / WARMUP_MS).clamp(0.0, 1.0)
        } else {
            1.0
        };
        INITIAL_WARMTH + (1.0 - INITIAL_WARMTH) * age
    }

    /// Receives a request of so much work, where 1 is the mean.
    pub fn receive(&mut self, now_ms: f64, work: f64) -> AttemptEnd {
        self.received.push(ReceivedWork {
            at_ms: now_ms,
            work,
        });
        self.in_flight_until_ms.retain(|until| *until > now_ms);
        if self.in_flight_until_ms.len() >= MAX_IN_FLIGHT {
            return AttemptEnd {
                at_ms: now_ms + 1.0,
                result: AttemptResult::Overloaded,
            };
        }
        let service_time_ms = work * CORES as f64 * 1000.0 / (self.capacity * self.warmth(now_ms));
        let core = self
            .cores_free_at_ms
            .iter_mut()
            .min_by(|a, b| a.total_cmp(b))
            .expect("an endpoint has cores");
        *core = core.max(now_ms) + service_time_ms;
        self.in_flight_until_ms.push(*core);
        AttemptEnd {
            at_ms: *core,
            result: AttemptResult::Success,
        }
    }

    /// The work that reached it in a time range, which does not include its end.
    pub fn work_between(&self, from_ms: f64, to_ms: f64) -> f64 {
        self.received
            .iter()
            .filter(|received| (from_ms..to_ms).contains(&received.at_ms))
            .map(|received| received.work)
            .sum()
    }

    /// The most work that a window of its warm-up held, as a part of what it tolerates. Over 1 it fails.
    pub fn worst_overload(&self) -> f64 {
        let warm_at_ms = self.started_at_ms + WARMUP_MS;
        let (mut oldest, mut work_in_window, mut worst) = (0, 0.0, 0.0f64);
        let during_warmup = self
            .received
            .iter()
            .take_while(|received| received.at_ms < warm_at_ms);
        for ReceivedWork { at_ms, work } in during_warmup {
            work_in_window += work;
            while self.received[oldest].at_ms <= at_ms - OVERLOAD_WINDOW_MS {
                work_in_window -= self.received[oldest].work;
                oldest += 1;
            }
            worst = worst.max(work_in_window / self.tolerated_work(*at_ms));
        }
        worst
    }

    /// The work that the window up to this time may hold, with two standard deviations for chance.
    fn tolerated_work(&self, window_end_ms: f64) -> f64 {
        // Capacity rises evenly, so that its mean over the window is that of the middle.
        let window_start_ms = (window_end_ms - OVERLOAD_WINDOW_MS).max(self.started_at_ms);
        let middle_ms = f64::midpoint(window_start_ms, window_end_ms);
        let mean = OVERLOAD_MULTIPLE * self.capacity * self.warmth(middle_ms) * OVERLOAD_WINDOW_MS
            / 1000.0;
        mean + 2.0 * mean.sqrt() + 2.0
    }
}
