//! Cold workers under the sum of a fleet: gateways that each see a thin part of the traffic, and workers that
//! start one by one or many at a stroke, also under a burst. A cold worker falls over when in any window it
//! gets more than its present capacity times a multiple allows, and what it turns away counts as well.

use marlshelf::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const COLD_FROM: f64 = 0.16;
const WARM_WITHIN: f64 = 16_000.0;
const FALL_MULTIPLE: f64 = 4.0;
const OVERLOAD_FOR: f64 = 1500.0;
const CORES: usize = 4;
/// The most that a worker holds: a queue of two for each core.
const HOLDS: usize = 12;
const BURST: f64 = 1.5;
/// From the end of a process to the start of its next.
const DOWN: f64 = 1000.0;
/// When the first worker starts: by then every gateway knows how fast warm ones answer.
const START: f64 = 8000.0;
/// A play goes on so long after the last start.
const AFTER: f64 = WARM_WITHIN + 2000.0;
const SEEDS: u64 = 3;

/// How many there are, and what the workers are offered.
#[derive(Clone, Copy, Debug)]
struct Size {
    gateways: u32,
    workers: usize,
    /// Requests of mean work a second that a warm worker does.
    capacity: f64,
    /// What is offered, as a part of what all workers can do when warm.
    utilization: f64,
    /// The least that has to be served while workers are cold, as a part of what all could do.
    served: f64,
}

/// The two see so much of their workers that these have to be fast to be run over.
const TWO: Size = Size {
    gateways: 2,
    workers: 20,
    capacity: 200.0,
    utilization: 0.8,
    served: 0.55,
};
const TWENTY: Size = Size {
    gateways: 20,
    workers: 20,
    capacity: 60.0,
    utilization: 0.7,
    served: 0.85,
};
const THIRTY: Size = Size {
    gateways: 30,
    workers: 24,
    capacity: 60.0,
    utilization: 0.7,
    served: 0.85,
};
const HUNDREDS: Size = Size {
    gateways: 300,
    workers: 40,
    capacity: 60.0,
    utilization: 0.7,
    served: 0.85,
};

/// Which workers start, and when.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// The process ends, which resets what it holds, and comes up again; else one of a new name takes over at
    /// once, and the old one finishes what it holds.
    restart: bool,
    /// The part of the workers that start.
    part: f64,
    /// From one start to the next.
    gap: f64,
    /// Half as much again comes in for the first half of the time in which they are cold.
    burst: bool,
}

struct Worker {
    name: EndpointName,
    capacity: f64,
    since: f64,
    accepts: bool,
    cores: [f64; CORES],
    /// When it will be done with each that it holds.
    done: Vec<f64>,
    /// All that reached it: when, and its work.
    reached: Vec<(f64, f64)>,
}

impl Worker {
    fn new(name: EndpointName, capacity: f64, since: f64) -> Worker {
        let (cores, done, reached) = ([0.0; CORES], Vec::new(), Vec::new());
        Worker {
            name,
            capacity,
            since,
            accepts: true,
            cores,
            done,
            reached,
        }
    }

    fn line(&self, health: EndpointState) -> Endpoint {
        Endpoint {
            name: self.name.clone(),
            zone: 0,
            cell: 0,
            hardware: 0,
            weight: 1.0,
            state: health,
            started_at_ms: self.since,
        }
    }

    fn warmth(&self, now: f64) -> f64 {
        let age = if self.since > 0.0 {
            ((now - self.since) / WARM_WITHIN).clamp(0.0, 1.0)
        } else {
            1.0
        };
        COLD_FROM + (1.0 - COLD_FROM) * age
    }

    /// When and how it is done with a request that reaches it now.
    fn serve(&mut self, now: f64, work: f64) -> (f64, AttemptResult) {
        self.reached.push((now, work));
        self.done.retain(|done| *done > now);
        if self.done.len() >= HOLDS {
            return (now + 1.0, AttemptResult::Overloaded);
        }
        let ms = work * CORES as f64 * 1000.0 / (self.capacity * self.warmth(now));
        let core = self
            .cores
            .iter_mut()
            .min_by(|a, b| a.total_cmp(b))
            .expect("it has cores");
        *core = core.max(now) + ms;
        self.done.push(*core);
        (*core, AttemptResult::Success)
    }

    /// The work that reached it from `from` up to `to`.
    fn work(&self, from: f64, to: f64) -> f64 {
        self.reached
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .map(|(_, work)| work)
            .sum()
    }

    /// The most that any window held, as a part of what it may hold; over 1 the worker falls.
    fn worst_window(&self) -> f64 {
        let (mut first, mut sum, mut worst) = (0, 0.0, 0.0f64);
        for (at, work) in self
            .reached
            .iter()
            .take_while(|(at, _)| *at < self.since + WARM_WITHIN)
        {
            sum += work;
            while self.reached[first].0 <= at - OVERLOAD_FOR {
                sum -= self.reached[first].1;
                first += 1;
            }
            // Capacity rises evenly, so that its mean over the window is that of the middle.
            let middle = ((at - OVERLOAD_FOR).max(self.since) + at) / 2.0;
            let n = FALL_MULTIPLE * self.capacity * self.warmth(middle) * OVERLOAD_FOR / 1000.0;
            worst = worst.max(sum / (n + 2.0 * n.sqrt() + 2.0));
        }
        worst
    }
}

enum Happening {
    Arrives(usize),
    Hears(usize, Vec<Endpoint>),
    Wakes(usize, u64),
    Starts(usize),
    Up(EndpointName),
    Ends {
        id: u64,
        attempt: u32,
        ending: AttemptResult,
    },
}

struct Asked {
    who: usize,
    work: f64,
    arrived: f64,
    attempts: u32,
    /// The attempt that is out, its worker and when it went.
    out: Option<(u32, usize, f64)>,
    served: bool,
}

struct Fleet {
    rng: Pcg64Mcg,
    scenario: Scenario,
    gateways: Vec<DecisionEngine>,
    /// Each gateway's part of the traffic.
    parts: Vec<f64>,
    /// Every life of every worker, the newest last.
    workers: Vec<Worker>,
    asked: Vec<Asked>,
    queue: BTreeMap<(u64, u64), Happening>,
    serial: u64,
    rate: f64,
    end: f64,
}

impl Fleet {
    fn new(size: Size, scenario: Scenario, seed: u64) -> Fleet {
        let Size {
            gateways,
            workers,
            capacity,
            utilization,
            ..
        } = size;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let class = |effect, worth, aim, late_worth| RequestClass {
            priority_weight: worth,
            latency_objective_ms: aim,
            late_answer_weight: late_worth,
            idempotency: effect,
            deduplication_window_ms: 0.0,
        };
        let cfg = Settings {
            gateway_count: gateways,
            classes: vec![
                class(Idempotency::Idempotent, 2.0, 2500.0, 0.2),
                class(Idempotency::NonIdempotent, 5.0, 1200.0, 0.0),
            ],
            plans: vec![Plan {
                weight: 1.0,
                ..Plan::default()
            }],
            max_attempts: 3,
            gossip_enabled: true,
            gossip_intake_per_second: 60.0,
            initial_warmth: COLD_FROM,
            warmup_ms: WARM_WITHIN,
            warmup_overload_multiple: FALL_MULTIPLE,
            ..Settings::default()
        };
        let all: Vec<Worker> = (0..workers)
            .map(|k| Worker::new(format!("w{k:02}").into(), capacity, 0.0))
            .collect();
        let lines: Vec<Endpoint> = all.iter().map(|w| w.line(EndpointState::Ready)).collect();
        let control = |me: u32| {
            let g = DecisionEngine::new(
                Settings {
                    gateway: me,
                    ..cfg.clone()
                },
                seed.wrapping_mul(977) + u64::from(me),
            );
            let mut g = g.expect("sound settings");
            g.handle_event(
                0.0,
                Event::EndpointsChanged {
                    kind: EndpointListKind::Snapshot,
                    endpoints: lines.clone(),
                },
            );
            g
        };
        // One in eight gets several times what the others get.
        let parts = (0..gateways).map(|me| {
            if me % 8 == 0 {
                rng.random_range(3.0..5.0)
            } else {
                rng.random_range(0.3..1.0)
            }
        });
        let parts: Vec<f64> = parts.collect();
        let sum: f64 = parts.iter().sum();
        let mut fleet = Fleet {
            scenario,
            gateways: (0..gateways).map(control).collect(),
            parts: parts.iter().map(|p| p / sum).collect(),
            workers: all,
            asked: Vec::new(),
            queue: BTreeMap::new(),
            serial: 0,
            rate: utilization * capacity * workers as f64,
            end: START,
            rng,
        };
        (0..gateways as usize).for_each(|who| fleet.next_arrival(0.0, who));
        for k in 0..(scenario.part * workers as f64).round() as usize {
            // No neighbours in the order of names, by which gateways part the workers among them.
            let at = START + scenario.gap * k as f64;
            fleet.put(at, Happening::Starts(k * 7 % workers));
            fleet.end = at + DOWN + AFTER;
        }
        fleet
    }

    fn put(&mut self, at: f64, what: Happening) {
        self.serial += 1;
        self.queue.insert(((at * 1000.0) as u64, self.serial), what);
    }

    fn next_arrival(&mut self, now: f64, who: usize) {
        let burst = self.scenario.burst && (START..START + WARM_WITHIN / 2.0).contains(&now);
        let rate = self.rate * self.parts[who] * if burst { BURST } else { 1.0 };
        let gap = -1000.0 / rate * (1.0 - self.rng.random::<f64>()).ln();
        self.put(now + gap, Happening::Arrives(who));
    }

    /// Discovery tells all gateways, each a little late.
    fn tell(&mut self, now: f64, line: &Endpoint) {
        for who in 0..self.gateways.len() {
            let late = self.rng.random_range(5.0..100.0);
            self.put(now + late, Happening::Hears(who, vec![line.clone()]));
        }
    }

    fn play(mut self) -> Fleet {
        while let Some(((at, _), what)) = self.queue.pop_first() {
            let now = at as f64 / 1000.0;
            if now >= self.end {
                break;
            }
            if let Some((who, event)) = self.happens(now, what) {
                for action in self.gateways[who].handle_event(now, event) {
                    self.acts(now, who, action);
                }
            }
        }
        self
    }

    fn happens(&mut self, now: f64, what: Happening) -> Option<(usize, Event)> {
        match what {
            Happening::Arrives(who) => {
                self.next_arrival(now, who);
                let id = self.asked.len() as u64;
                let class = usize::from(self.rng.random_range(0..3) == 0);
                let (give_up, work) = (
                    now + [6000.0, 4000.0][class],
                    self.rng.random_range(0.5..1.5),
                );
                self.asked.push(Asked {
                    who,
                    work,
                    arrived: now,
                    attempts: 0,
                    out: None,
                    served: false,
                });
                // Each gateway keeps a customer of its own: quotas have no part in this.
                let (customer, first, spread) = ("acme".into(), who as u32, 1);
                let (plan, units, repeat) = (0, 1.0, false);
                let request = Request {
                    id,
                    tenant: customer,
                    class,
                    plan,
                    cost: units,
                    shard_start: first,
                    shard_size: spread,
                    client_deadline_ms: give_up,
                    is_retry: repeat,
                };
                Some((who, Event::RequestReceived(request)))
            }
            Happening::Hears(who, servers) => Some((
                who,
                Event::EndpointsChanged {
                    kind: EndpointListKind::Delta,
                    endpoints: servers,
                },
            )),
            Happening::Wakes(who, token) => Some((who, Event::TimerFired { token })),
            Happening::Starts(k) => {
                self.workers[k].accepts = false;
                self.tell(now, &self.workers[k].line(EndpointState::Removed));
                let name = self.workers[k].name.clone();
                if !self.scenario.restart {
                    self.put(now, Happening::Up(format!("{name}b").into()));
                    return None;
                }
                for id in 0..self.asked.len() {
                    if let Some((attempt, ..)) = self.asked[id].out.filter(|out| out.1 == k) {
                        self.put(
                            now,
                            Happening::Ends {
                                id: id as u64,
                                attempt,
                                ending: AttemptResult::ConnectionReset,
                            },
                        );
                    }
                }
                self.put(now + DOWN, Happening::Up(name));
                None
            }
            Happening::Up(name) => {
                self.workers
                    .push(Worker::new(name, self.workers[0].capacity, now));
                self.tell(
                    now,
                    &self.workers[self.workers.len() - 1].line(EndpointState::Ready),
                );
                None
            }
            Happening::Ends {
                id,
                attempt,
                ending,
            } => self.ends(now, id, attempt, ending),
        }
    }

    fn ends(
        &mut self,
        now: f64,
        id: u64,
        attempt: u32,
        ending: AttemptResult,
    ) -> Option<(usize, Event)> {
        let asked = &mut self.asked[id as usize];
        let (_, worker, sent) = asked.out.take_if(|(out, ..)| *out == attempt)?;
        asked.served = ending == AttemptResult::Success;
        let (server, latency, last) = (self.workers[worker].name.clone(), now - sent, asked.served);
        let (metered, units, report) = (None, None, None);
        let outcome = AttemptOutcome {
            request: id,
            attempt,
            endpoint: server,
            result: ending,
            latency_ms: latency,
            request_ended: last,
            metered_use: metered,
            actual_cost: units,
            load_report: report,
        };
        Some((asked.who, Event::AttemptFinished(outcome)))
    }

    fn acts(&mut self, now: f64, who: usize, action: Action) {
        match action {
            Action::Forward {
                request: id,
                endpoint: server,
                deadline_ms: not_past,
            } => {
                let k = self
                    .workers
                    .iter()
                    .rposition(|w| w.name == server)
                    .expect("it was listed");
                let (asked, worker) = (&mut self.asked[id as usize], &mut self.workers[k]);
                let attempt = asked.attempts;
                (asked.attempts, asked.out) = (attempt + 1, Some((attempt, k, now)));
                let no = (now, AttemptResult::ConnectFailed);
                let (at, ending) = if worker.accepts {
                    worker.serve(now, asked.work)
                } else {
                    no
                };
                let late = at > not_past;
                let (at, ending) = if late {
                    (not_past, AttemptResult::TimedOut)
                } else {
                    (at, ending)
                };
                self.put(
                    at + 1.0,
                    Happening::Ends {
                        id,
                        attempt,
                        ending,
                    },
                );
            }
            Action::SetTimer {
                token,
                delay_ms: after,
            } => self.put(now + after, Happening::Wakes(who, token)),
            _ => {}
        }
    }
}

/// What a play came to, in parts.
struct Figures {
    /// The most that a window held at a cold worker, of its budget, and how many workers passed theirs.
    budget: f64,
    fallen: usize,
    /// What cold workers got of an even part of the traffic: just started, half warm and just warm.
    ramp: [f64; 3],
    /// What was served while workers were cold, of what all could do.
    served: f64,
}

impl Fleet {
    fn offered(&self, from: f64, to: f64) -> f64 {
        self.asked
            .iter()
            .filter(|a| (from..to).contains(&a.arrived))
            .map(|a| a.work)
            .sum()
    }

    fn figures(&self) -> Figures {
        let cold: Vec<&Worker> = self.workers.iter().filter(|w| w.since > 0.0).collect();
        let windows: Vec<f64> = cold.iter().map(|w| w.worst_window()).collect();
        let up: Vec<&Worker> = self.workers.iter().filter(|w| w.accepts).collect();
        let ramp = [(0.0, 4000.0), (6000.0, 10_000.0), (WARM_WITHIN, AFTER)].map(|(from, to)| {
            let got: f64 = cold
                .iter()
                .map(|w| w.work(w.since + from, w.since + to))
                .sum();
            let all: f64 = cold
                .iter()
                .map(|w| self.offered(w.since + from, w.since + to))
                .sum();
            got * up.len() as f64 / all
        });
        let (mut possible, mut served) = (0.0, 0.0);
        for second in 0..(WARM_WITHIN / 1000.0) as u32 {
            let (from, to) = (
                START + 1000.0 * f64::from(second),
                START + 1000.0 * f64::from(second + 1),
            );
            let could: f64 = up
                .iter()
                .filter(|w| w.since <= from)
                .map(|w| w.capacity * w.warmth(from))
                .sum();
            possible += could.min(self.offered(from, to));
            let in_time = self
                .asked
                .iter()
                .filter(|a| a.served && (from..to).contains(&a.arrived));
            served += in_time.map(|a| a.work).sum::<f64>();
        }
        let fallen = windows.iter().filter(|part| **part > 1.0).count();
        Figures {
            budget: windows.into_iter().fold(0.0, f64::max),
            fallen,
            ramp,
            served: served / possible,
        }
    }
}

/// Plays the scenario with every seed before it judges: how many fail says more than that one does.
fn holds(sizes: &[Size], scenario: Scenario) {
    let mut failed = Vec::new();
    for size in sizes {
        for seed in 1..=SEEDS {
            let Figures {
                budget,
                fallen,
                ramp,
                served,
            } = Fleet::new(*size, scenario, seed).play().figures();
            let [started, half, warm] = ramp;
            let rises =
                0.02 < started && started < half && half < warm && 0.15 < half && 0.6 < warm;
            let sound = budget <= 1.0 && rises && served >= size.served;
            let line = format!(
                "{} gateways, seed {seed}: {budget:.2} of the budget",
                size.gateways
            );
            let line = format!("{line}, {fallen} fell, ramp {ramp:.2?}, served {served:.2}");
            println!("{line}");
            failed.extend((!sound).then_some(line));
        }
    }
    assert!(failed.is_empty(), "{scenario:?}\n{}", failed.join("\n"));
}

const SIZES: [Size; 4] = [TWO, TWENTY, THIRTY, HUNDREDS];
const ONE_BY_ONE: Scenario = Scenario {
    restart: true,
    part: 0.3,
    gap: 500.0,
    burst: false,
};
const HALF: Scenario = Scenario {
    restart: true,
    part: 0.5,
    gap: 0.0,
    burst: false,
};
const NEARLY_ALL: Scenario = Scenario {
    restart: false,
    part: 0.9,
    gap: 0.0,
    burst: false,
};

#[test]
fn workers_that_start_one_by_one_stay_within_their_budgets() {
    holds(&SIZES, ONE_BY_ONE);
}

#[test]
fn workers_that_start_one_by_one_in_a_burst_stay_within_their_budgets() {
    holds(
        &SIZES,
        Scenario {
            burst: true,
            ..ONE_BY_ONE
        },
    );
}

#[test]
fn half_of_the_workers_restarted_at_a_stroke_stay_within_their_budgets() {
    holds(&SIZES, HALF);
}

#[test]
fn half_of_the_workers_replaced_at_a_stroke_in_a_burst_stay_within_their_budgets() {
    holds(
        &SIZES,
        Scenario {
            restart: false,
            burst: true,
            ..HALF
        },
    );
}

#[test]
fn nearly_all_workers_replaced_at_a_stroke_stay_within_their_budgets() {
    holds(&SIZES, NEARLY_ALL);
}

#[test]
fn nearly_all_workers_of_few_gateways_replaced_at_a_stroke_in_a_burst_stay_within_their_budgets() {
    holds(
        &[TWO, TWENTY],
        Scenario {
            burst: true,
            ..NEARLY_ALL
        },
    );
}

#[test]
fn nearly_all_workers_of_many_gateways_replaced_at_a_stroke_in_a_burst_stay_within_their_budgets() {
    holds(
        &[THIRTY, HUNDREDS],
        Scenario {
            burst: true,
            ..NEARLY_ALL
        },
    );
}
