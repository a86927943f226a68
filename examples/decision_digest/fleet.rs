//! A simulated fleet in virtual time: gateways, the network between them, endpoints and clients.
//!
//! The fleet does what the real host does with the actions of a gateway, and records each action.

use crate::clients::{Call, Clients};
use crate::digest::ActionDigest;
use crate::endpoint::Endpoint;
use crate::scenario::{Incident, Scenario};
use frostvale::{
    Action, Control, Ending, Event, Health, Listing, Name, Outcome, Request, Server, Settings,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// The time from the end of a process to the start of its next.
const RESTART_TIME: f64 = 1000.0;
/// The time an endpoint drains before it is gone.
const DRAIN_TIME: f64 = 3000.0;
/// How often a note arrives that comes under the numbers of other gateways.
const FORGED_COPIES: u32 = 6;

/// Something that is due at a time.
enum Due {
    /// The next new request comes in.
    Arrival,
    /// A client tries again.
    Retry(Call),
    /// A client leaves, if its request is still open.
    Departure(u64),
    /// An attempt ends.
    AttemptEnd(u64, u32, Ending),
    /// A note reaches a gateway.
    Note(usize, u32, String),
    /// A timer of a gateway, set in this life of it.
    Timer(usize, u32, u64),
    /// News of the endpoint list reach a gateway.
    Endpoints(usize, Listing, Vec<Server>),
    /// A planned incident, by its index.
    Planned(usize),
    /// A drained endpoint is gone.
    Drained(usize),
    /// A process is up again.
    Started(usize),
}

/// One gateway.
struct Gateway {
    control: Control,
    /// How many times it was restarted.
    life: u32,
}

/// An attempt that is out.
struct Attempt {
    number: u32,
    endpoint: usize,
    sent: f64,
}

/// A request in the hands of a gateway.
struct Open {
    call: Call,
    life: u32,
    client_waits: bool,
    attempts: u32,
    attempt: Option<Attempt>,
}

/// A whole fleet.
pub struct Fleet<'a> {
    scenario: &'a Scenario,
    seed: u64,
    rng: Pcg64Mcg,
    now: f64,
    /// What is due, by time in microseconds and serial number.
    queue: BTreeMap<(u64, u64), Due>,
    serial: u64,
    gateways: Vec<Gateway>,
    endpoints: Vec<Endpoint>,
    clients: Clients,
    open: BTreeMap<u64, Open>,
    next_request: u64,
    digest: ActionDigest,
}

impl<'a> Fleet<'a> {
    /// A fleet that has just started.
    pub fn new(scenario: &'a Scenario, seed: u64) -> Fleet<'a> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let clients = Clients::new(scenario, &mut rng);
        let pool = &scenario.endpoints;
        let endpoint = |index| Endpoint::new(pool, index, format!("endpoint-{index}").into(), 0.0);
        let mut fleet = Fleet {
            scenario,
            seed,
            rng,
            now: 0.0,
            queue: BTreeMap::new(),
            serial: 0,
            gateways: Vec::new(),
            endpoints: (0..pool.count).map(endpoint).collect(),
            clients,
            open: BTreeMap::new(),
            next_request: 1,
            digest: ActionDigest::new(),
        };
        for index in 0..scenario.settings.gateways as usize {
            let control = fleet.control(index, 0);
            fleet.gateways.push(Gateway { control, life: 0 });
        }
        fleet.tell_snapshot();
        fleet.put(1.0, Due::Arrival);
        for (index, (at, _)) in scenario.incidents.iter().enumerate() {
            fleet.put(*at, Due::Planned(index));
        }
        fleet
    }

    /// Plays the fleet to the end of the scenario and gives the digest of all actions.
    pub fn play(mut self) -> ActionDigest {
        while let Some(((at, _), due)) = self.queue.pop_first() {
            self.now = at as f64 / 1000.0;
            if self.now >= self.scenario.duration {
                break;
            }
            self.happen(due);
        }
        self.digest
    }

    /// The decision code of a gateway that starts; each life has a seed of its own.
    fn control(&self, index: usize, life: u32) -> Control {
        let me = index as u32;
        let settings = Settings {
            me,
            zone: me % self.scenario.gateway_zones,
            ..self.scenario.settings.clone()
        };
        let seed = self.seed * 1_000_003 + u64::from(me) * 101 + u64::from(life) * 7919;
        Control::new(settings, seed).expect("the settings of a scenario are sound")
    }

    fn put(&mut self, at: f64, due: Due) {
        self.serial += 1;
        let at = (at.max(self.now) * 1000.0) as u64;
        self.queue.insert((at, self.serial), due);
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrival(),
            Due::Retry(call) => self.request(call),
            Due::Departure(id) => self.departure(id),
            Due::AttemptEnd(id, number, ending) => self.attempt_end(id, number, ending),
            Due::Note(to, from, text) => self.event(to, Event::Note { from, text }),
            Due::Timer(gateway, life, token) if self.gateways[gateway].life == life => {
                self.event(gateway, Event::Timer { token });
            }
            Due::Timer(..) => {}
            Due::Endpoints(gateway, listing, servers) => {
                self.event(gateway, Event::Servers { listing, servers });
            }
            Due::Planned(index) => self.incident(self.scenario.incidents[index].1),
            Due::Drained(endpoint) => self.remove(endpoint),
            Due::Started(endpoint) => {
                self.endpoints[endpoint].restart(self.now);
                self.tell_change(endpoint);
            }
        }
    }

    /// Hands an event to a gateway and carries out its actions.
    fn event(&mut self, gateway: usize, event: Event) {
        let now = self.now;
        for action in self.gateways[gateway].control.handle(now, event) {
            self.digest.record(gateway, now, &action);
            self.act(gateway, action);
        }
    }

    fn act(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                not_past,
            } => self.send(id, &server, not_past),
            Action::Refuse { id, pause } => self.final_answer(id, pause),
            Action::Fail { id } => self.final_answer(id, 0.0),
            Action::Cancel { id, attempt } => {
                self.put(self.now, Due::AttemptEnd(id, attempt, Ending::Cancelled));
            }
            Action::Tell { to, text } => self.tell_note(gateway, to, text),
            Action::SetTimer { token, after } => {
                let life = self.gateways[gateway].life;
                let early = self.scenario.early_timers * self.rng.random::<f64>();
                self.put(self.now + after - early, Due::Timer(gateway, life, token));
            }
            Action::Probe { .. } | Action::Log { .. } => {}
        }
    }

    // ---- clients ----

    fn arrival(&mut self) {
        let gap = self.clients.gap(self.now, &mut self.rng);
        self.put(self.now + gap, Due::Arrival);
        if let Some(call) = self.clients.call(self.now, &mut self.rng) {
            self.request(call);
        }
    }

    /// A request reaches its gateway. Its client leaves when it has waited long enough, or early.
    fn request(&mut self, call: Call) {
        let id = self.next_request;
        self.next_request += 1;
        let class = self.scenario.settings.classes.get(call.class);
        let aim = class.map_or(500.0, |class| class.aim);
        let give_up = self.now + aim * self.rng.random_range(0.8..2.5);
        let early = self.rng.random::<f64>() < self.scenario.traffic.departures;
        let leaves = if early {
            self.now + self.rng.random_range(0.0..1.5 * aim)
        } else {
            give_up + 5.0
        };
        self.put(leaves, Due::Departure(id));
        let (customer, first, spread) = self.clients.placement(call.tenant);
        let request = Request {
            id,
            customer,
            class: call.class,
            plan: call.plan,
            units: call.units,
            first,
            spread,
            give_up,
            repeat: call.tries > 0,
        };
        let gateway = call.gateway;
        let open = Open {
            call,
            life: self.gateways[gateway].life,
            client_waits: true,
            attempts: 0,
            attempt: None,
        };
        self.open.insert(id, open);
        self.event(gateway, Event::Request(request));
    }

    /// A client leaves; what its endpoint works on goes on.
    fn departure(&mut self, id: u64) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if !std::mem::take(&mut open.client_waits) {
            return;
        }
        let gateway = open.call.gateway;
        self.event(gateway, Event::Left { id });
        self.forget_finished(id);
    }

    /// A request got its final answer; its client may try again.
    fn final_answer(&mut self, id: u64, pause: f64) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.client_waits = false;
        let call = open.call.clone();
        if let Some((at, call)) = self.clients.retry(&call, pause, self.now, &mut self.rng) {
            self.put(at, Due::Retry(call));
        }
        self.forget_finished(id);
    }

    /// Forgets a request that nobody waits for and that has nothing out.
    fn forget_finished(&mut self, id: u64) {
        if let Some(open) = self.open.get(&id)
            && !open.client_waits
            && open.attempt.is_none()
        {
            self.open.remove(&id);
        }
    }

    // ---- attempts ----

    /// Starts an attempt and finds out when and how it will end.
    fn send(&mut self, id: u64, name: &Name, not_past: f64) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let endpoint = self
            .endpoints
            .iter()
            .rposition(|endpoint| endpoint.line.name == *name)
            .expect("a gateway sends to endpoints of the list");
        let number = open.attempts;
        open.attempts += 1;
        open.attempt = Some(Attempt {
            number,
            endpoint,
            sent: now,
        });
        if not_past <= now || !open.client_waits {
            self.put(now, Due::AttemptEnd(id, number, Ending::Moot));
            return;
        }
        let weight = 0.4 + 0.2 * open.call.units + 0.15 * open.call.class as f64;
        let settings = &self.scenario.settings;
        let slow_start = (settings.cold_from, settings.warm_within);
        let (at, ending) = self.endpoints[endpoint].serve(now, weight, slow_start, &mut self.rng);
        let (at, ending) = if at > not_past {
            (not_past, Ending::Timeout)
        } else {
            (at + self.scenario.endpoints.network, ending)
        };
        let (at, ending) = self.host_ending(at).unwrap_or((at, ending));
        self.put(at, Due::AttemptEnd(id, number, ending));
    }

    /// Now and then the host ends an attempt by itself before its time.
    fn host_ending(&mut self, at: f64) -> Option<(f64, Ending)> {
        if self.rng.random::<f64>() >= self.scenario.traffic.host_endings {
            return None;
        }
        if self.rng.random() {
            Some((self.now, Ending::Moot))
        } else {
            Some(((self.now + at) / 2.0, Ending::Cancelled))
        }
    }

    /// An attempt ends, unless it has ended before; its gateway hears of it.
    fn attempt_end(&mut self, id: u64, number: u32, ending: Ending) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(attempt) = open.attempt.take_if(|attempt| attempt.number == number) else {
            return;
        };
        if ending == Ending::Ok {
            open.client_waits = false;
        }
        let (last, gateway, units) = (!open.client_waits, open.call.gateway, open.call.units);
        let lost = open.life != self.gateways[gateway].life;
        let traffic = &self.scenario.traffic;
        let true_units = ending == Ending::Ok && self.rng.random::<f64>() < traffic.true_units;
        let answered = matches!(ending, Ending::Ok | Ending::Error | Ending::Full);
        let reported = answered && self.rng.random::<f64>() < self.scenario.endpoints.reports;
        let factor = self.rng.random_range(0.5..1.6f64);
        let endpoint = &mut self.endpoints[attempt.endpoint];
        let outcome = Outcome {
            id,
            attempt: number,
            server: endpoint.line.name.clone(),
            ending,
            latency: self.now - attempt.sent,
            last,
            metered: reported.then_some(factor),
            units: true_units.then_some((units * factor * 10.0).round() / 10.0),
            report: reported.then(|| endpoint.report(self.now)),
        };
        if !lost {
            self.event(gateway, Event::Outcome(outcome));
        }
        self.forget_finished(id);
    }

    // ---- the network between gateways ----

    /// Carries a note, unless it is lost or the network is parted.
    fn tell_note(&mut self, from: usize, to: u32, mut text: String) {
        let gossip = &self.scenario.gossip;
        let parted = gossip.partition.is_some_and(|(start, end)| {
            (start..end).contains(&self.now) && from % 2 != to as usize % 2
        });
        if self.rng.random::<f64>() < gossip.loss || parted {
            return;
        }
        let delay = self.rng.random_range(gossip.delay.0..gossip.delay.1);
        if self.rng.random::<f64>() < gossip.damaged {
            text = self.damage(text);
        }
        let at = self.now + delay;
        if self.rng.random::<f64>() < gossip.misattributed {
            for _ in 0..FORGED_COPIES {
                let sender = self.rng.random_range(0..self.scenario.settings.gateways);
                self.put(at, Due::Note(to as usize, sender, text.clone()));
            }
        } else {
            self.put(at, Due::Note(to as usize, from as u32, text));
        }
    }

    /// A note with one character changed, cut short, or about a plan that does not exist.
    fn damage(&mut self, text: String) -> String {
        if self.rng.random_range(0..4) == 0 {
            let mut fields: Vec<String> = text.split(',').map(String::from).collect();
            if let Some(plan) = fields.get_mut(2) {
                *plan = self.scenario.settings.plans.len().to_string();
            }
            return fields.join(",");
        }
        let at = self.rng.random_range(0..text.len().max(1));
        let mut bytes = text.into_bytes();
        if self.rng.random() {
            bytes.truncate(at);
        } else if let Some(byte) = bytes.get_mut(at) {
            *byte = self.rng.random_range(b' '..b'~');
        }
        String::from_utf8(bytes).expect("notes are ASCII")
    }

    // ---- the endpoint list ----

    /// All gateways hear the whole list, without the endpoints that are gone.
    fn tell_snapshot(&mut self) {
        let lines: Vec<Server> = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.line.health != Health::Gone)
            .map(|endpoint| endpoint.line.clone())
            .collect();
        for gateway in 0..self.gateways.len() {
            let event = Due::Endpoints(gateway, Listing::Snapshot, lines.clone());
            self.put(self.now, event);
        }
    }

    /// All gateways hear of one endpoint, each a little later.
    fn tell_change(&mut self, endpoint: usize) {
        let line = self.endpoints[endpoint].line.clone();
        for gateway in 0..self.gateways.len() {
            let late = self.rng.random_range(5.0..100.0);
            let event = Due::Endpoints(gateway, Listing::Delta, vec![line.clone()]);
            self.put(self.now + late, event);
        }
    }

    // ---- incidents ----

    fn incident(&mut self, incident: Incident) {
        match incident {
            Incident::Drain(index) => {
                self.endpoints[index].line.health = Health::Draining;
                self.tell_change(index);
                self.put(self.now + DRAIN_TIME, Due::Drained(index));
            }
            Incident::Replace(index) => {
                self.remove(index);
                let name = format!("endpoint-{index}-{}", self.endpoints.len());
                let pool = &self.scenario.endpoints;
                let endpoint = Endpoint::new(pool, index, name.into(), self.now);
                self.endpoints.push(endpoint);
                self.tell_change(self.endpoints.len() - 1);
            }
            Incident::Restart(index) => {
                self.reset_attempts(index);
                self.remove(index);
                self.put(self.now + RESTART_TIME, Due::Started(index));
            }
            Incident::Slow(index, factor) => self.endpoints[index].slowdown = factor,
            Incident::Fault(index, fault) => self.endpoints[index].fault = fault,
            Incident::RestartGateway(index) => self.restart_gateway(index),
            Incident::Snapshot => self.tell_snapshot(),
            Incident::Probe(index) => self.probe(index),
        }
    }

    /// All gateways hear what a probe of an endpoint found.
    fn probe(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        let (server, report) = (endpoint.line.name.clone(), Some(endpoint.report(self.now)));
        for gateway in 0..self.gateways.len() {
            let (server, ok) = (server.clone(), gateway % 2 == 0);
            self.event(gateway, Event::Probed { server, ok, report });
        }
    }

    /// An endpoint is gone; what it holds is still finished.
    fn remove(&mut self, index: usize) {
        self.endpoints[index].line.health = Health::Gone;
        self.tell_change(index);
    }

    /// The connections of all attempts at an endpoint break.
    fn reset_attempts(&mut self, index: usize) {
        let resets: Vec<(u64, u32)> = self
            .open
            .iter()
            .filter_map(|(id, open)| Some((*id, open.attempt.as_ref()?)))
            .filter(|(_, attempt)| attempt.endpoint == index)
            .map(|(id, attempt)| (id, attempt.number))
            .collect();
        for (id, number) in resets {
            self.put(self.now, Due::AttemptEnd(id, number, Ending::Reset));
        }
    }

    /// A gateway loses its state and all its requests, whose clients never hear of them again.
    fn restart_gateway(&mut self, index: usize) {
        let life = self.gateways[index].life + 1;
        let control = self.control(index, life);
        self.gateways[index] = Gateway { control, life };
        self.open.retain(|_, open| open.call.gateway != index);
        let lines = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.line.clone())
            .collect();
        self.put(self.now, Due::Endpoints(index, Listing::Snapshot, lines));
    }
}
