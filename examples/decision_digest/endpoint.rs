//! Simulated endpoints: a few cores, a bounded queue, slow start after a restart, and faults.

use marlshelf::{
    AttemptResult, CellId, Endpoint, EndpointName, EndpointState, HardwareId, LoadReport,
    Timestamp, ZoneId,
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// How an endpoint misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It works correctly.
    None,
    /// It answers this share of requests with an immediate error.
    Errors(f64),
    /// It rejects every request because of overload.
    Overloaded,
    /// It accepts no connections.
    Unreachable,
    /// It resets this share of connections after a short time.
    Resets(f64),
    /// It accepts requests and never answers.
    Silent,
}

/// The endpoints of a scenario.
#[derive(Clone, Debug)]
pub struct EndpointPool {
    /// The number of endpoints at the start.
    pub count: usize,
    /// Endpoint `k` runs in zone `k % zones`.
    pub zones: u32,
    /// Endpoint `k` runs in cell `k % cells`.
    pub cells: u32,
    /// Endpoint `k` is of hardware kind `k % hardware_kinds`; each kind is slower than the one before.
    pub hardware_kinds: u32,
    /// Whether the list has weights that are zero, negative, tiny or not a number.
    pub has_invalid_weights: bool,
    /// The number of requests that one endpoint processes at a time.
    pub cores: usize,
    /// The number of requests that may wait at one endpoint.
    pub queue_capacity: usize,
    /// The mean service time of a request on a core of the first hardware kind, in milliseconds.
    pub service_time_ms: f64,
    /// The network delay of a response, in milliseconds.
    pub network_delay_ms: f64,
    /// The share of responses that carry a load report.
    pub load_report_ratio: f64,
}

impl EndpointPool {
    /// The weight that the endpoint list states for an endpoint.
    fn weight(&self, number: u32) -> f64 {
        match number % 5 {
            0 if self.has_invalid_weights => 0.0,
            1 if self.has_invalid_weights => f64::NAN,
            2 if self.has_invalid_weights => -1.0,
            3 if self.has_invalid_weights => 0.002,
            _ => 1.0 + 0.5 * f64::from(number % 3),
        }
    }
}

/// How an endpoint's capacity grows after a start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The share of the full capacity at the start.
    pub initial_warmth: f64,
    /// The time until the full capacity is reached.
    pub warmup_ms: f64,
}

/// When and how an attempt ends.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The time of the end; infinite if the endpoint never responds.
    pub at_ms: f64,
    /// The result.
    pub result: AttemptResult,
}

impl AttemptEnd {
    /// An end at this time with this result.
    pub fn at(at_ms: f64, result: AttemptResult) -> AttemptEnd {
        AttemptEnd { at_ms, result }
    }
}

/// One endpoint.
pub struct SimulatedEndpoint {
    /// Its entry in the endpoint list.
    pub entry: Endpoint,
    /// Its current fault.
    pub fault: Fault,
    /// A factor on all its service times.
    pub slowdown: f64,
    /// When each core becomes idle, in milliseconds.
    core_idle_at_ms: Vec<f64>,
    queue_capacity: usize,
    service_time_ms: f64,
    /// When each request in flight will be completed, in milliseconds.
    completions_ms: Vec<f64>,
}

impl SimulatedEndpoint {
    /// Endpoint number `index` of the pool.
    pub fn new(
        pool: &EndpointPool,
        index: usize,
        name: EndpointName,
        started_at_ms: f64,
    ) -> SimulatedEndpoint {
        let number = index as u32;
        let hardware = number % pool.hardware_kinds;
        SimulatedEndpoint {
            entry: Endpoint {
                name,
                zone: ZoneId(number % pool.zones),
                cell: CellId(number % pool.cells),
                hardware: HardwareId(hardware),
                weight: pool.weight(number),
                state: EndpointState::Ready,
                started_at: Timestamp(started_at_ms),
            },
            fault: Fault::None,
            slowdown: 1.0,
            core_idle_at_ms: vec![0.0; pool.cores],
            queue_capacity: pool.queue_capacity,
            service_time_ms: pool.service_time_ms * (1.0 + 0.4 * f64::from(hardware)),
            completions_ms: Vec::new(),
        }
    }

    /// The share of its full capacity that the endpoint has reached since its last start.
    fn warmth(&self, now_ms: f64, slow_start: SlowStart) -> f64 {
        if self.entry.started_at.as_f64() <= 0.0 || slow_start.warmup_ms <= 0.0 {
            return 1.0;
        }
        let progress =
            ((now_ms - self.entry.started_at.as_f64()) / slow_start.warmup_ms).clamp(0.0, 1.0);
        slow_start.initial_warmth + (1.0 - slow_start.initial_warmth) * progress
    }

    /// Accepts an attempt that arrives now, and computes when and how it ends.
    pub fn serve(
        &mut self,
        now_ms: f64,
        work_factor: f64,
        slow_start: SlowStart,
        rng: &mut Pcg64Mcg,
    ) -> AttemptEnd {
        let fault_draw = rng.random::<f64>();
        match self.fault {
            Fault::Errors(share) if fault_draw < share => {
                return AttemptEnd::at(now_ms + 3.0, AttemptResult::Error);
            }
            Fault::Resets(share) if fault_draw < share => {
                return AttemptEnd::at(now_ms + 12.0, AttemptResult::ConnectionReset);
            }
            Fault::Overloaded => return AttemptEnd::at(now_ms + 1.0, AttemptResult::Overloaded),
            Fault::Unreachable => {
                return AttemptEnd::at(now_ms + 1.0, AttemptResult::ConnectFailed);
            }
            Fault::Silent => return AttemptEnd::at(f64::INFINITY, AttemptResult::TimedOut),
            _ => {}
        }
        if self.entry.state == EndpointState::Removed {
            return AttemptEnd::at(now_ms + 1.0, AttemptResult::ConnectFailed);
        }
        if self.in_flight(now_ms) >= self.core_idle_at_ms.len() + self.queue_capacity {
            return AttemptEnd::at(now_ms + 1.0, AttemptResult::Overloaded);
        }
        let capacity = self.warmth(now_ms, slow_start);
        let service_time_ms =
            self.service_time_ms * work_factor * self.slowdown / capacity.max(0.01);
        let noise = rng.random_range(0.6..1.6);
        let core_idle_at_ms = self
            .core_idle_at_ms
            .iter_mut()
            .min_by(|first, second| first.total_cmp(second))
            .expect("an endpoint has cores");
        *core_idle_at_ms = core_idle_at_ms.max(now_ms) + service_time_ms * noise;
        self.completions_ms.push(*core_idle_at_ms);
        AttemptEnd::at(*core_idle_at_ms, AttemptResult::Success)
    }

    /// The number of requests in flight.
    fn in_flight(&mut self, now_ms: f64) -> usize {
        self.completions_ms
            .retain(|completed_at_ms| *completed_at_ms > now_ms);
        self.completions_ms.len()
    }

    /// Its load report. Only endpoints of the first hardware kind state their utilization.
    pub fn load_report(&mut self, now_ms: f64) -> LoadReport {
        let in_flight = self.in_flight(now_ms) as f64;
        let utilization = (in_flight / self.core_idle_at_ms.len() as f64).min(1.0);
        LoadReport {
            in_flight: Some(in_flight),
            utilization: (self.entry.hardware == HardwareId(0)).then_some(utilization),
            requests_per_second: None,
        }
    }

    /// Starts the endpoint's process again under the same name.
    pub fn restart(&mut self, now_ms: f64) {
        self.entry.state = EndpointState::Ready;
        self.entry.started_at = Timestamp(now_ms);
        self.fault = Fault::None;
        self.slowdown = 1.0;
        self.completions_ms.clear();
        self.core_idle_at_ms.fill(now_ms);
    }
}
