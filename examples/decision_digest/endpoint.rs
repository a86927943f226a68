//! Simulated endpoints: a few cores, a bounded queue, slow start after a restart, and faults.

use frostvale::{Ending, Health, Name, Report, Server};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// How an endpoint misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It works.
    None,
    /// It answers this share of requests with an error, at once.
    Errors(f64),
    /// It turns every request away.
    Full,
    /// It accepts no connections.
    Unreachable,
    /// It breaks this share of connections after a short time.
    Resets(f64),
    /// It accepts requests and never answers.
    Silent,
}

/// The endpoints of a scenario.
#[derive(Clone, Debug)]
pub struct EndpointPool {
    /// How many there are at the start.
    pub count: usize,
    /// Endpoint `k` stands in zone `k % zones`.
    pub zones: u32,
    /// Endpoint `k` stands in cell `k % cells`.
    pub cells: u32,
    /// Endpoint `k` is of kind `k % kinds`; each kind is slower than the one before.
    pub kinds: u32,
    /// Whether endpoints are listed with a size that is zero, negative, tiny or not a number.
    pub odd_sizes: bool,
    /// Requests that one endpoint serves at a time.
    pub cores: usize,
    /// Requests that may wait at one endpoint.
    pub queue: usize,
    /// The mean time one request takes on a core of the first kind, in milliseconds.
    pub work: f64,
    /// The time that the network takes from an endpoint back to a gateway.
    pub network: f64,
    /// The share of answers that carry a load report.
    pub reports: f64,
}

impl EndpointPool {
    /// The size that the list gives for an endpoint.
    fn size(&self, number: u32) -> f64 {
        match number % 5 {
            0 if self.odd_sizes => 0.0,
            1 if self.odd_sizes => f64::NAN,
            2 if self.odd_sizes => -1.0,
            3 if self.odd_sizes => 0.002,
            _ => 1.0 + 0.5 * f64::from(number % 3),
        }
    }
}

/// One endpoint.
pub struct Endpoint {
    /// Its line in the endpoint list.
    pub line: Server,
    /// What is wrong with it.
    pub fault: Fault,
    /// A factor on the time of all its requests.
    pub slowdown: f64,
    /// The most cores it may use, and when each is free again.
    cores: Vec<f64>,
    queue: usize,
    work: f64,
    /// When each request that it holds will be done.
    done: Vec<f64>,
}

impl Endpoint {
    /// Endpoint number `index` of the pool, under a name of the caller's choice.
    pub fn new(pool: &EndpointPool, index: usize, name: Name, since: f64) -> Endpoint {
        let number = index as u32;
        let kind = number % pool.kinds;
        Endpoint {
            line: Server {
                name,
                zone: number % pool.zones,
                cell: number % pool.cells,
                kind,
                size: pool.size(number),
                health: Health::Up,
                since,
            },
            fault: Fault::None,
            slowdown: 1.0,
            cores: vec![0.0; pool.cores],
            queue: pool.queue,
            work: pool.work * (1.0 + 0.4 * f64::from(kind)),
            done: Vec::new(),
        }
    }

    /// The share of its capacity it has at this time after its last start.
    fn warmth(&self, now: f64, cold_from: f64, warm_within: f64) -> f64 {
        if self.line.since <= 0.0 || warm_within <= 0.0 {
            return 1.0;
        }
        let age = ((now - self.line.since) / warm_within).clamp(0.0, 1.0);
        cold_from + (1.0 - cold_from) * age
    }

    /// Serves a request that arrives now: when the attempt ends, and how.
    pub fn serve(
        &mut self,
        now: f64,
        weight: f64,
        slow_start: (f64, f64),
        rng: &mut Pcg64Mcg,
    ) -> (f64, Ending) {
        let lot = rng.random::<f64>();
        match self.fault {
            Fault::Errors(share) if lot < share => return (now + 3.0, Ending::Error),
            Fault::Resets(share) if lot < share => return (now + 12.0, Ending::Reset),
            Fault::Full => return (now + 1.0, Ending::Full),
            Fault::Unreachable => return (now + 1.0, Ending::Unreachable),
            Fault::Silent => return (f64::INFINITY, Ending::Timeout),
            _ => {}
        }
        if self.line.health == Health::Gone {
            return (now + 1.0, Ending::Unreachable);
        }
        if self.held(now) >= self.cores.len() + self.queue {
            return (now + 1.0, Ending::Full);
        }
        let capacity = self.warmth(now, slow_start.0, slow_start.1);
        let time = self.work * weight * self.slowdown / capacity.max(0.01);
        let noise = rng.random_range(0.6..1.6);
        let core = self
            .cores
            .iter_mut()
            .min_by(|a, b| a.total_cmp(b))
            .expect("an endpoint has cores");
        *core = core.max(now) + time * noise;
        self.done.push(*core);
        (*core, Ending::Ok)
    }

    /// The number of requests it holds.
    pub fn held(&mut self, now: f64) -> usize {
        self.done.retain(|done| *done > now);
        self.done.len()
    }

    /// Its load report. Some endpoints leave out some of the figures.
    pub fn report(&mut self, now: f64) -> Report {
        let held = self.held(now) as f64;
        let busy = (held / self.cores.len() as f64).min(1.0);
        Report {
            in_flight: Some(held),
            busy: (self.line.kind == 0).then_some(busy),
            served: None,
        }
    }

    /// Its process ends and starts anew under the same name.
    pub fn restart(&mut self, now: f64) {
        self.line.health = Health::Up;
        self.line.since = now;
        self.fault = Fault::None;
        self.slowdown = 1.0;
        self.done.clear();
        self.cores.fill(now);
    }
}
