//! Simulated endpoints: a few cores, a bounded queue, slow start after a restart, and faults.

pub mod pool;

use crate::ledgers::ReceivedWork;
use marlshelf::{
    AttemptResult, CellId, Endpoint, EndpointName, EndpointState, HardwareId, LoadReport,
    Milliseconds, Timestamp, ZoneId,
};
use pool::{EndpointPool, ResponseDelays};
use rand::Rng;
use std::ops::Range;

/// How much slower each hardware kind is than the one before, as a fraction of the service time of the first.
const SLOWDOWN_PER_HARDWARE_KIND: f64 = 0.4;
/// The least fraction of its capacity that an endpoint has, so that service times stay finite.
const MIN_CAPACITY: f64 = 0.01;

/// How an endpoint misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It works correctly.
    None,
    /// It answers this fraction of requests with an immediate error.
    Errors(f64),
    /// It rejects every request because of overload.
    Overloaded,
    /// It accepts no connections.
    Unreachable,
    /// It resets this fraction of connections after a short time.
    Resets(f64),
    /// It accepts requests and never answers.
    Silent,
}

/// How an endpoint's capacity grows after a start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The fraction of the full capacity at the start.
    pub initial_warmth: f64,
    /// The time until the full capacity is reached.
    pub warmup: Milliseconds,
}

impl SlowStart {
    /// An endpoint that has its full capacity from the start.
    pub const NONE: SlowStart = SlowStart {
        initial_warmth: 1.0,
        warmup: Milliseconds::ZERO,
    };

    /// The fraction of its full capacity that an endpoint has reached. A start at time 0 was long ago.
    #[must_use]
    pub fn warmup_fraction(&self, started_at: Timestamp, now: Timestamp) -> f64 {
        if started_at <= Timestamp::ZERO || self.warmup <= Milliseconds::ZERO {
            return 1.0;
        }
        let progress = (now - started_at).ratio_to(self.warmup).clamp(0.0, 1.0);
        self.initial_warmth + (1.0 - self.initial_warmth) * progress
    }
}

/// How an endpoint serves requests.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    /// The number of requests that it processes at a time.
    pub cores: usize,
    /// The number of requests that may wait.
    pub queue_capacity: usize,
    /// The time that a request of work 1 takes on a core.
    pub service_time: Milliseconds,
    /// The range of the random factor on each service time. Without it no random numbers are drawn for it.
    pub service_time_variation: Option<Range<f64>>,
    /// How capacity grows after a start.
    pub slow_start: SlowStart,
    /// The delays of responses.
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

/// When and how an attempt ends.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The time of the end; [`Timestamp::DISTANT_FUTURE`] if the endpoint never responds.
    pub at: Timestamp,
    /// The result.
    pub result: AttemptResult,
}

impl AttemptEnd {
    /// An end at this time with this result.
    #[must_use]
    pub fn at(at: Timestamp, result: AttemptResult) -> AttemptEnd {
        AttemptEnd { at, result }
    }
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct SimulatedEndpoint {
    /// Its entry in the endpoint list.
    pub entry: Endpoint,
    /// Its current fault.
    pub fault: Fault,
    /// A factor on all its service times.
    pub slowdown: f64,
    service: ServiceModel,
    core_idle_at: Vec<Timestamp>,
    /// When each request in flight will be completed.
    completions: Vec<Timestamp>,
    received: Vec<ReceivedWork>,
}

impl SimulatedEndpoint {
    /// Endpoint number `index` of the pool.
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

    /// When its process last started; [`Timestamp::ZERO`] if it has run since before the simulation.
    #[must_use]
    pub fn started_at(&self) -> Timestamp {
        self.entry.started_at
    }

    /// The fraction of its full capacity that it has reached since its last start.
    #[must_use]
    pub fn warmup_fraction(&self, now: Timestamp) -> f64 {
        self.service
            .slow_start
            .warmup_fraction(self.started_at(), now)
    }

    /// All work that reached its current process, in the order of arrival. It includes rejected requests.
    #[must_use]
    pub fn received(&self) -> &[ReceivedWork] {
        &self.received
    }

    /// The work that reached its current process in a period, which doesn't include its end.
    #[must_use]
    pub fn work_received_between(&self, start: Timestamp, end: Timestamp) -> f64 {
        let is_within = |received: &&ReceivedWork| (start..end).contains(&received.at);
        self.received.iter().filter(is_within).map(|r| r.work).sum()
    }

    /// Accepts an attempt that arrives now, and computes when and how it ends.
    ///
    /// # Panics
    /// When the endpoint has no cores.
    pub fn serve(&mut self, now: Timestamp, work: f64, random: &mut impl Rng) -> AttemptEnd {
        if let Some(end) = self.failure(now, random) {
            return end;
        }
        self.received.push(ReceivedWork { at: now, work });
        if self.in_flight(now) >= self.service.cores + self.service.queue_capacity {
            let at = now + self.service.delays.rejection;
            return AttemptEnd::at(at, AttemptResult::Overloaded);
        }
        let capacity = self.warmup_fraction(now).max(MIN_CAPACITY);
        let service_time = self.service.service_time * work * self.slowdown / capacity;
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

    /// The end of an attempt that fails because of a fault or the removal of the endpoint.
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

    /// The number of requests in flight.
    fn in_flight(&mut self, now: Timestamp) -> usize {
        self.completions.retain(|completed_at| *completed_at > now);
        self.completions.len()
    }

    /// Its load report. Only endpoints of the first hardware kind state their utilization.
    pub fn load_report(&mut self, now: Timestamp) -> LoadReport {
        let in_flight = self.in_flight(now) as f64;
        let utilization = (in_flight / self.service.cores as f64).min(1.0);
        LoadReport {
            in_flight: Some(in_flight),
            utilization: (self.entry.hardware == HardwareId(0)).then_some(utilization),
            requests_per_second: None,
        }
    }

    /// Starts the endpoint's process again under the same name.
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
