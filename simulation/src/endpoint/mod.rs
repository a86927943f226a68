//! Endpoint model with a number of cores, a bounded queue, slow start after a restart, and faults.

pub mod pool;

use crate::ledgers::ReceivedWork;
use marlshelf::{
    AttemptResult, CellId, Endpoint, EndpointName, EndpointState, HardwareId, LoadReport,
    Milliseconds, Timestamp, ZoneId,
};
use pool::{EndpointPool, ResponseDelays};
use rand::Rng;
use std::ops::Range;

/// Service time that each hardware kind adds to that of the previous kind, as a fraction of the first kind's.
const SLOWDOWN_PER_HARDWARE_KIND: f64 = 0.4;
/// Lower bound of the capacity fraction, which keeps service times finite.
const MIN_CAPACITY_FRACTION: f64 = 0.01;

/// Fault of an endpoint. Fractions are between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The endpoint works correctly.
    None,
    /// The endpoint immediately responds to this fraction of requests with an error.
    Errors(f64),
    /// The endpoint rejects all requests as overloaded.
    Overloaded,
    /// The endpoint accepts no connections.
    Unreachable,
    /// The endpoint resets this fraction of connections shortly after it has received a request.
    Resets(f64),
    /// The endpoint accepts requests and never responds.
    Silent,
}

/// Linear growth of an endpoint's capacity after a start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Capacity at the start, as a fraction of the full capacity.
    pub initial_warmth: f64,
    /// Time from the start until the endpoint has its full capacity.
    pub warmup: Milliseconds,
}

impl SlowStart {
    /// Full capacity from the start.
    pub const NONE: SlowStart = SlowStart {
        initial_warmth: 1.0,
        warmup: Milliseconds::ZERO,
    };

    /// Returns the capacity at time `now` as a fraction of the full capacity. An endpoint with the start time
    /// 0 started before the simulation and is warm.
    #[must_use]
    pub fn warmup_fraction(&self, started_at: Timestamp, now: Timestamp) -> f64 {
        if started_at <= Timestamp::ZERO || self.warmup <= Milliseconds::ZERO {
            return 1.0;
        }
        let progress = (now - started_at).ratio_to(self.warmup).clamp(0.0, 1.0);
        self.initial_warmth + (1.0 - self.initial_warmth) * progress
    }
}

/// Capacity and latency of an endpoint.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    /// Number of requests that the endpoint processes concurrently. Must not be 0.
    pub cores: usize,
    /// Number of requests that can wait for a core. The endpoint rejects requests beyond it.
    pub queue_capacity: usize,
    /// Time that a request with work 1 occupies a core of a warm endpoint.
    pub service_time: Milliseconds,
    /// Range of a random factor on each service time. If it is `None`, no random numbers are drawn for it.
    pub service_time_variation: Option<Range<f64>>,
    /// Growth of the capacity after a start.
    pub slow_start: SlowStart,
    /// Delays other than service times.
    pub delays: ResponseDelays,
}

impl Default for ServiceModel {
    fn default() -> Self {
        ServiceModel {
            cores: 4,
            queue_capacity: 8,
            service_time: Milliseconds(40.0),
            service_time_variation: None,
            slow_start: SlowStart::NONE,
            delays: ResponseDelays::default(),
        }
    }
}

/// Time and result of the end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Time of the end. [`Timestamp::DISTANT_FUTURE`] if the endpoint never responds.
    pub at: Timestamp,
    /// Result that the gateway will see, unless the attempt times out or is aborted first.
    pub result: AttemptResult,
}

impl AttemptEnd {
    /// Creates an end at time `at`.
    #[must_use]
    pub fn at(at: Timestamp, result: AttemptResult) -> AttemptEnd {
        AttemptEnd { at, result }
    }
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub struct SimulatedEndpoint {
    /// Entry in the endpoint list that discovery sends to gateways.
    pub entry: Endpoint,
    /// Current fault. A restart of the endpoint ends it.
    pub fault: Fault,
    /// Factor on all service times. A restart of the endpoint resets it to 1.
    pub slowdown: f64,
    service: ServiceModel,
    core_idle_at: Vec<Timestamp>,
    /// Completion times of the requests in flight.
    completions: Vec<Timestamp>,
    received: Vec<ReceivedWork>,
}

impl SimulatedEndpoint {
    /// Creates an endpoint of the pool. Its zone, cell, hardware kind and weight depend on `index`.
    #[must_use]
    pub fn new(
        pool: &EndpointPool,
        index: usize,
        name: EndpointName,
        started_at: Timestamp,
    ) -> SimulatedEndpoint {
        let number = index as u32;
        let hardware = number % pool.hardware_kinds;
        let slowdown = 1.0 + SLOWDOWN_PER_HARDWARE_KIND * f64::from(hardware);
        SimulatedEndpoint {
            entry: Endpoint {
                name,
                zone: ZoneId(number % pool.zones),
                cell: CellId(number % pool.cells),
                hardware: HardwareId(hardware),
                weight: pool.weight(number),
                state: EndpointState::Ready,
                started_at,
            },
            fault: Fault::None,
            slowdown: 1.0,
            service: ServiceModel {
                service_time: pool.service.service_time * slowdown,
                ..pool.service.clone()
            },
            core_idle_at: vec![Timestamp::ZERO; pool.service.cores],
            completions: Vec::new(),
            received: Vec::new(),
        }
    }

    /// Returns the time of the last start, or [`Timestamp::ZERO`] if it was before the simulation.
    #[must_use]
    pub fn started_at(&self) -> Timestamp {
        self.entry.started_at
    }

    /// Returns the capacity at time `now`, as a fraction of the full capacity.
    #[must_use]
    pub fn warmup_fraction(&self, now: Timestamp) -> f64 {
        self.service
            .slow_start
            .warmup_fraction(self.started_at(), now)
    }

    /// Returns the work that arrived since the last start, in order of arrival. It includes requests that the
    /// endpoint rejected because its queue was full.
    #[must_use]
    pub fn received(&self) -> &[ReceivedWork] {
        &self.received
    }

    /// Returns the total work that arrived between `start` (inclusive) and `end` (exclusive). Excludes work
    /// that arrived before the last start.
    #[must_use]
    pub fn work_received_between(&self, start: Timestamp, end: Timestamp) -> f64 {
        let is_within = |received: &&ReceivedWork| (start..end).contains(&received.at);
        self.received.iter().filter(is_within).map(|r| r.work).sum()
    }

    /// Processes an attempt that arrives at time `now`, and returns when and how it ends.
    ///
    /// # Panics
    /// Panics if the endpoint has no cores.
    pub fn serve(&mut self, now: Timestamp, work: f64, random: &mut impl Rng) -> AttemptEnd {
        if let Some(end) = self.failure(now, random) {
            return end;
        }
        self.received.push(ReceivedWork { at: now, work });
        if self.in_flight(now) >= self.service.cores + self.service.queue_capacity {
            let at = now + self.service.delays.rejection;
            return AttemptEnd::at(at, AttemptResult::Overloaded);
        }
        let capacity_fraction = self.warmup_fraction(now).max(MIN_CAPACITY_FRACTION);
        let service_time = self.service.service_time * work * self.slowdown / capacity_fraction;
        let variation = self.service.service_time_variation.clone();
        let variation = variation.map_or(1.0, |range| random.random_range(range));
        let core_idle_at = self
            .core_idle_at
            .iter_mut()
            .min_by(|first, second| first.as_f64().total_cmp(&second.as_f64()))
            .expect("an endpoint has cores");
        *core_idle_at = core_idle_at.max(now) + service_time * variation;
        self.completions.push(*core_idle_at);
        AttemptEnd::at(*core_idle_at, AttemptResult::Success)
    }

    /// Returns the end of an attempt that fails because of a fault or because the endpoint was removed.
    fn failure(&self, now: Timestamp, random: &mut impl Rng) -> Option<AttemptEnd> {
        let fault_draw = random.random::<f64>();
        let delays = &self.service.delays;
        let unreachable =
            AttemptEnd::at(now + delays.connect_failure, AttemptResult::ConnectFailed);
        match self.fault {
            Fault::Errors(ratio) if fault_draw < ratio => {
                Some(AttemptEnd::at(now + delays.error, AttemptResult::Error))
            }
            Fault::Resets(ratio) if fault_draw < ratio => {
                let at = now + delays.reset;
                Some(AttemptEnd::at(at, AttemptResult::ConnectionReset))
            }
            Fault::Overloaded => {
                let at = now + delays.rejection;
                Some(AttemptEnd::at(at, AttemptResult::Overloaded))
            }
            Fault::Unreachable => Some(unreachable),
            Fault::Silent => {
                let at = Timestamp::DISTANT_FUTURE;
                Some(AttemptEnd::at(at, AttemptResult::TimedOut))
            }
            _ => (self.entry.state == EndpointState::Removed).then_some(unreachable),
        }
    }

    fn in_flight(&mut self, now: Timestamp) -> usize {
        self.completions.retain(|completed_at| *completed_at > now);
        self.completions.len()
    }

    /// Returns the load report at time `now`. Only endpoints of the first hardware kind report utilization.
    pub fn load_report(&mut self, now: Timestamp) -> LoadReport {
        let in_flight = self.in_flight(now) as f64;
        let utilization = (in_flight / self.service.cores as f64).min(1.0);
        LoadReport {
            in_flight: Some(in_flight),
            utilization: (self.entry.hardware == HardwareId(0)).then_some(utilization),
            requests_per_second: None,
        }
    }

    /// Restarts the endpoint under the same name. Clears its fault, slowdown, requests in flight and record
    /// of received work.
    pub fn restart(&mut self, now: Timestamp) {
        self.entry.state = EndpointState::Ready;
        self.entry.started_at = now;
        self.fault = Fault::None;
        self.slowdown = 1.0;
        self.completions.clear();
        self.core_idle_at.fill(now);
        self.received.clear();
    }
}
