//! Every decision of a gateway, in the order a request meets them: the customer's bucket and
//! ceiling, the throttle, the choice of server, further attempts. Types: `src/events.rs`.
//!
//! The mechanism: a request is refused at once with the chance
//! max(0, (requests - K accepts) / (requests + 1)), counted per tier over a sliding window, after
//! a bucket per customer that fills at the quota times this gateway's part of recent demand.

use crate::events::*;
use crate::gossip::{GossipMessage, quota_owner, tenant_key};
use crate::settings::*;
use crate::state::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Demand is remembered for about this long: to count slow customers and to follow those that move.
pub(crate) const DEMAND_MS: f64 = 2000.0;

/// So many questions that were granted are remembered for each customer: one is put again within half a
/// second, in which a customer at its quota is granted fewer.
pub(crate) const RECENT: usize = 16;
/// How many times the accepts may be sent on: with success under 1/K all but the minimum is refused.
const K: f64 = 2.0;
/// The throttle's window: so many slots, each of `SLOT` ms and `SLOT_LEAST` requests, or of
/// `SLOT_LONGEST` ms. One of many gateways sees few, and a chance made of a handful is noise.
const SLOTS: usize = 10;
const SLOT: f64 = 300.0;
const SLOT_LEAST: u32 = 4;
const SLOT_LONGEST: f64 = 3000.0;
/// A tier passes this many a second for each server, from all gateways together, whatever the
/// chance, so that recovery is seen: a minimum for each gateway would add up to an overload.
const MIN_RATE: f64 = 0.15;
/// Worth times price below this part of a tier's best begins the next tier.
const TIER_STEP: f64 = 0.7;
/// The wait foreseen at a server may be this part of the aim, as answers scatter widely around it; with
/// many gateways, which can only guess at a server's load, half as much again.
const ROOM: f64 = 0.19;
/// A request whose customer has all its places taken may wait this part of its aim for one.
const WAIT: f64 = 0.5;
/// What a keeper told fades over this time.
const FADE_MS: f64 = 2000.0;
/// A keeper's silence past this part of the request's aim means that it is stalled or gone.
const ASK_PART: f64 = 0.3;
/// So many times what the keeper granted, or can grant, is asked for; the rest is refused at once.
const ASK_MORE: f64 = 1.5;
/// Up to so many gateways fill their notes with many items, and one keeper can take them in.
const FEW: u32 = 16;
/// A gateway asks for its own demand of this time at once, so that most requests need not wait.
const STOCK_MS: f64 = 400.0;
/// Units told after the fact may wait this long for a note that goes anyway.
const TELL_MS: f64 = 1000.0;
/// The part of the largest request's units that stays in a kept store, as far as a try beyond the quota costs
/// and as gateways are many: what they have out is not settled yet. With three it costs more than it saves.
const MARGIN: f64 = 0.3;
/// The part of a ceiling that gateways may send on unasked, in even slices; the rest its keeper grants. Of
/// the burst it grants less, as what was granted may still wait at a gateway.
const UNASKED: f64 = 0.25;
const ASKED: f64 = 0.5;
/// A place of which nothing is heard for so many usual answer times and a little is taken for lost. Who
/// has one out says so this often meanwhile: slow answers are the ones that pass a cap unseen.
const LEASE: f64 = 6.0;
const RENEWALS: f64 = 3.0;
/// Word of places in use is believed up to so many times the cap.
const OUT_MOST: usize = 4;
/// Before there are answers one is taken to need this part of the shortest aim, and that counts as so many.
const TOOK_PART: f64 = 0.25;
const TOOK_PRIOR: f64 = 4.0;
/// The part of a peer's intake that the notes of one of few gateways may fill, a tenth of a second's at one
/// stroke. One of many may send so many times as much, as its notes are spread over as many peers.
const INTAKE_PART: f64 = 0.75;
const BUSIER: f64 = 4.0;
const NOTE_BYTES: usize = 256;
/// Customers not seen for this long are forgotten: by then every bucket is full again.
const IDLE_MS: f64 = 60_000.0;
/// How much one answer moves what is known of a server's speed and of its failures.
const LEARN: f64 = 0.04;
/// What is known of a server's speed grows old over this time.
const PACE_MS: f64 = 20_000.0;
/// The part of what this gateway has out at a server now that its peers are taken to have there, and
/// the most peers this is held of: what one of hundreds has out says nothing of the others' part.
const ALIKE: f64 = 0.5;
const ALIKE_PEERS: f64 = 3.0;
/// A request looks at so many servers with room at the least, at more where each gateway knows more.
const LOOK: f64 = 2.0;
/// So many gateways send to a server by choice, and each to so many servers at the least. More would be met
/// too seldom to be known, each over a connection of its own: 20 and 10 open a tenth more, serve no better.
const MET_BY: f64 = 13.0;
const MEETS: f64 = 7.0;
const SIZE_LEAST: f64 = 1e-3;
const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// A load report is worth less and less over this time.
const REPORT_MS: f64 = 1000.0;
/// The same for a server that is thought to have room for nothing: it is seldom asked.
const LEARN_SLOW: f64 = 0.3;
/// It counts for more, up to that, the longer the last one is ago: one of hundreds has few from each server.
const SELDOM_MS: f64 = 3000.0;
/// The same for what is known of all servers; the first answers count alike.
const LEARN_ALL: f64 = 0.02;
/// How much one report moves what is known of the load at all servers.
const LEARN_REPORT: f64 = 0.1;
/// A server's failures are forgotten over this time, so that it is tried again.
const FAIL_MS: f64 = 4000.0;
/// Requests in flight at a server beside one's own that make its answer take twice as long.
const SIDE_BY_SIDE: f64 = 2.0;
/// Further attempts earned by each request, and the most that are saved up.
const RETRY_PART: f64 = 0.15;
const RETRY_MOST: f64 = 10.0;
/// A server that warms up is taken to do more than the least that the rules allow, by this part of what is
/// missing times that least: by the least alone it looks too slow until it is warm.
const LIKELY: f64 = 0.6;
/// A cold server gets this part of what its share of capacity would allow it.
const COLD_PART: f64 = 0.9;
/// How long a server without room rests, for each gateway, before one request looks again.
const PEEK_MS: f64 = 250.0;
const TICK: u64 = 1;

/// The decisions of one gateway.
pub struct DecisionEngine {
    cfg: Settings,
    rng: Pcg64Mcg,
    now: f64,
    customers: BTreeMap<u64, Tenant>,
    post: GossipOutbox,
    servers: BTreeMap<EndpointName, EndpointStatus>,
    held: BTreeMap<u64, InFlightRequest>,
    waits: BTreeMap<u64, PendingRequest>,
    asks: u64,
    fleet: Fleet,
    tier_of: Vec<Vec<usize>>,
    counts: Vec<Vec<(f64, f64)>>,
    slot: usize,
    slot_at: f64,
    slot_count: u32,
    passed: Vec<f64>,
    retries: f64,
    swept: f64,
    room: f64,
    actions: Vec<Action>,
}

/// How much longer an answer takes with so many others in flight.
fn slowdown(others: f64) -> f64 {
    1.0 + others / SIDE_BY_SIDE
}

/// Moves a known time part of the way to a new one, by ratio: a few answers of many times the usual
/// work must not make a whole class or server look slow, as they would in a plain mean.
fn toward(known: f64, new: f64, part: f64) -> f64 {
    known * (new / known).powf(part)
}

impl DecisionEngine {
    /// A gateway that has just started and knows nothing yet.
    ///
    /// # Errors
    /// When the settings hold a figure that cannot be acted on.
    pub fn new(cfg: Settings, seed: u64) -> Result<Self, SettingsError> {
        cfg.validate()?;
        let value = |c: &RequestClass, p: &Plan| c.priority_weight * p.weight;
        let mut values: Vec<f64> =
            cfg.classes.iter().flat_map(|c| cfg.plans.iter().map(move |p| value(c, p))).collect();
        values.sort_by(|a, b| b.total_cmp(a));
        let mut tops: Vec<f64> = Vec::new();
        for v in values {
            if tops.last().is_none_or(|top| v < TIER_STEP * top) {
                tops.push(v);
            }
        }
        let tier = |v: f64| tops.iter().rposition(|top| v <= *top).unwrap_or(0);
        let tier_of =
            cfg.classes.iter().map(|c| cfg.plans.iter().map(|p| tier(value(c, p))).collect()).collect();
        let tiers = tops.len().max(1);
        Ok(DecisionEngine {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            customers: BTreeMap::new(),
            servers: BTreeMap::new(),
            held: BTreeMap::new(),
            waits: BTreeMap::new(),
            // A keeper still knows questions of this gateway's former life, and may still answer them.
            asks: seed & 0xff_ffff,
            post: GossipOutbox::default(),
            fleet: Fleet {
                class_pace: vec![0.0; cfg.classes.len()],
                took: TOOK_PART
                    * cfg.classes.iter().map(|c| c.latency_objective_ms).fold(f64::INFINITY, f64::min),
                ..Fleet::default()
            },
            tier_of,
            counts: vec![vec![(0.0, 0.0); tiers]; SLOTS],
            slot: 0,
            slot_at: 0.0,
            slot_count: 0,
            passed: vec![f64::NEG_INFINITY; tiers],
            retries: RETRY_MOST,
            swept: 0.0,
            room: ROOM * (1.5 - 0.5 * (ALIKE_PEERS / f64::from(cfg.gateway_count)).min(1.0)),
            actions: Vec::new(),
            cfg,
        })
    }

    /// Takes one event and gives what is to be done, in that order.
    pub fn handle_event(&mut self, now: f64, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::EndpointsChanged { kind: listing, endpoints: servers } => {
                self.on_servers(listing, servers)
            }
            Event::RequestReceived(request) => self.on_request(request),
            Event::AttemptFinished(outcome) => self.on_outcome(&outcome),
            Event::ClientDisconnected { request: id } => self.on_left(id),
            Event::GossipReceived { from, text } => self.on_note(from, &text),
            Event::TimerFired { token: TICK } => self.post.tick_at = None,
            Event::TimerFired { token } => self.on_waited(token.saturating_sub(TICK)),
            Event::HealthChecked { .. } => {}
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    fn on_servers(&mut self, listing: EndpointListKind, lines: Vec<Endpoint>) {
        if listing == EndpointListKind::Snapshot {
            let named: BTreeSet<&EndpointName> = lines.iter().map(|s| &s.name).collect();
            for (_, s) in self.servers.iter_mut().filter(|(name, _)| !named.contains(name)) {
                s.health = EndpointState::Removed;
            }
        }
        for line in lines {
            let now = self.now;
            let s = self.servers.entry(line.name).or_insert_with(|| EndpointStatus {
                since: line.started_at_ms,
                sent_at: now,
                kind: line.hardware,
                ..EndpointStatus::default()
            });
            if line.started_at_ms > s.since {
                // A new life: what was learned of the former one no longer holds.
                (s.pace, s.usual, s.reported, s.fail) = (None, 0.0, None, 0.0);
            }
            // Where one stood that is gone still counts for what may have run there.
            let place =
                if line.state == EndpointState::Removed { (s.zone, s.cell) } else { (line.zone, line.cell) };
            ((s.zone, s.cell), s.health, s.since) = (place, line.state, line.started_at_ms);
            s.size = if line.weight.is_finite() { line.weight.max(SIZE_LEAST) } else { 1.0 };
        }
        self.servers.retain(|_, s| s.health != EndpointState::Removed || !s.out.is_empty());
    }

    // ---- a request: bucket, ceiling, throttle, server ----

    fn on_request(&mut self, request: Request) {
        let (now, me, all, notes) =
            (self.now, self.cfg.gateway, self.cfg.gateway_count, self.cfg.gossip_enabled);
        let tier = self.tier_of.get(request.class).and_then(|row| row.get(request.plan)).copied();
        let Some(tier) = tier else { return self.refuse(&request) };
        self.retries = (self.retries + RETRY_PART).min(RETRY_MOST);
        let key = tenant_key(&request.tenant, request.plan);
        let plan = self.cfg.plans[request.plan].clone();
        let spread = if request.shard_size == 0 { all } else { request.shard_size.min(all) };
        let keeper = (request.shard_start + quota_owner(key, spread)) % all;
        let (aim, name, units) =
            (self.cfg.classes[request.class].latency_objective_ms, request.plan, request.cost);
        let took = self.fleet.took.max(1.0);
        let part = self.unasked();
        self.asks += 1;
        let (number, until) = (self.asks, self.patience(&request, now));
        let c = self.customer(key, name);
        let (ms, n) = (now - c.slice_at, f64::from(spread));
        c.slice_at = now;
        let part = part / n;
        c.ceiling = (c.ceiling + plan.hard_limit_rate * part * ms / 1000.0).min(plan.hard_limit_burst * part);
        c.slice = (c.slice + plan.refill_rate / n * ms / 1000.0).min(plan.burst / n);
        // The throttle's own rule, on what was asked of the keeper and what it granted.
        let (at, demand, granted, _) = c.told.unwrap_or((f64::NEG_INFINITY, 0.0, 0.0, 0.0));
        let demand = demand * (-(now - at) / FADE_MS).exp();
        // What quota and places let through is asked for in any case: else grants would sink further.
        let shared = plan.max_concurrency > 0 && plan.max_concurrency < spread;
        c.slots = if plan.max_concurrency > 0 && !shared { plan.max_concurrency / spread } else { u32::MAX };
        let places =
            if shared { f64::from(plan.max_concurrency) * units * 1000.0 / took } else { f64::INFINITY };
        let holds = places.min(if plan.refill_rate > 0.0 { plan.refill_rate } else { f64::INFINITY });
        let chance = 1.0 - ((demand - ASK_MORE * granted.max(holds)) / (demand + units)).max(0.0);
        c.own = c.own * (-(now - c.own_at) / DEMAND_MS).exp() + units * 1000.0 / DEMAND_MS;
        c.own_at = now;
        // What was granted ahead is used soon or goes back: kept by all, it would pass a ceiling.
        let fresh = now - c.asked_at <= STOCK_MS;
        let ample = !shared && fresh && c.stock >= units;
        c.stock -= if ample { units } else { 0.0 };
        c.credit += chance;
        if keeper != me && !ample && c.credit < 1.0 {
            return self.refuse(&request);
        }
        c.credit = (c.credit - 1.0).clamp(0.0, 1.0);
        c.untold += units / chance;
        let old = if fresh { 0.0 } else { std::mem::take(&mut c.stock) };
        let mut extra = c.own * STOCK_MS / 1000.0 - c.stock;
        if shared || keeper == me || extra < units || now - c.asked_at < STOCK_MS / 4.0 {
            extra = 0.0;
        }
        let ask = QuotaRequest { from: me, number, units, extra: 0.0, shared, until };
        let place = Some(number);
        let mut job = PendingRequest {
            request,
            key,
            keeper,
            tier,
            arrived: now,
            number,
            place,
            until,
            queued: true,
            granted: true,
            repeated: false,
        };
        if keeper == me {
            return match self.asked(key, name, ask, units).0 {
                QuotaDecision::Grant => self.admit(job),
                QuotaDecision::Deny => self.refuse(&job.request),
                QuotaDecision::Queue => self.wait(job),
            };
        }
        if notes && (!ample || extra > 0.0) {
            let weight = std::mem::take(&mut c.untold);
            let ask = QuotaRequest { units: if ample { 0.0 } else { units }, extra, ..ask };
            c.asked_at = if extra > 0.0 { now } else { c.asked_at };
            self.note(keeper, key, 0.0, GossipMessage::RequestQuota { plan: name, ask, weight });
        }
        self.tell(key, keeper, name, -old, None);
        if ample {
            job.place = None;
            return self.admit(job);
        }
        // Half of it for the question, half for its repeat.
        let silence = (ASK_PART * aim).min((until - now) / 2.0);
        job.until = now + if notes { silence / 2.0 } else { 0.0 };
        (job.queued, job.place, job.granted) = (false, None, false);
        self.wait(job);
    }

    /// Refuses. Where store or ceiling, as far as they are known here, won't hold the units before the
    /// aim, it says when they will; for less a client's own wait serves better than ours.
    fn refuse(&mut self, request: &Request) {
        let aim = self.cfg.classes.get(request.class).map_or(0.0, |c| c.latency_objective_ms);
        let pause = self.customers.get(&tenant_key(&request.tenant, request.plan)).map(|c| {
            let plan = &self.cfg.plans[c.plan];
            let (at, level) = c.told.map_or((c.at, c.level), |(at, _, _, level)| (at, level));
            let missing = 1000.0 * (request.cost - level);
            if plan.refill_rate > 0.0 { missing / plan.refill_rate + at - self.now } else { 0.0 }
        });
        let pause = pause.filter(|ms| *ms > aim).map_or(0.0, f64::ceil);
        self.actions.push(Action::Reject { request: request.id, retry_after_ms: pause });
    }

    fn customer(&mut self, key: u64, plan: usize) -> &mut Tenant {
        let p = &self.cfg.plans[plan];
        let (now, credit) = (self.now, self.rng.random::<f64>());
        // What the ceiling allows is empty at the start: a former life of this gateway may have spent it.
        let c = self.customers.entry(key).or_insert_with(|| Tenant {
            plan,
            at: now,
            level: p.burst,
            credit,
            asked_at: f64::NEG_INFINITY,
            slots: u32::MAX,
            slice: p.burst,
            slice_at: now,
            ..Tenant::default()
        });
        c.seen = now;
        c
    }

    /// How long a request waits at the most. A repeat may have little of its client's time left: never past
    /// half of it.
    fn patience(&self, request: &Request, arrived: f64) -> f64 {
        let most = WAIT * self.cfg.classes[request.class].latency_objective_ms;
        arrived + most.min((request.client_deadline_ms - arrived).max(0.0) / 2.0)
    }

    /// Puts a question once more whose note, or the answer's, was lost. The keeper charges it once.
    fn ask_again(&mut self, mut w: PendingRequest) {
        let shared = self.customers.get(&w.key).is_some_and(|c| c.slots == u32::MAX)
            && self.cfg.plans[w.request.plan].max_concurrency > 0;
        let until = self.patience(&w.request, w.arrived);
        let (from, number, units) = (self.cfg.gateway, w.number, w.request.cost);
        let ask = QuotaRequest { from, number, units, extra: 0.0, shared, until };
        self.note(
            w.keeper,
            w.key,
            0.0,
            GossipMessage::RequestQuota { plan: w.request.plan, ask, weight: 0.0 },
        );
        (w.repeated, w.until) = (true, 2.0 * w.until - w.arrived);
        self.wait(w);
    }

    fn wait(&mut self, job: PendingRequest) {
        let after = (job.until - self.now).max(0.0);
        self.actions.push(Action::SetTimer { token: TICK + job.number, delay_ms: after });
        self.waits.insert(job.number, job);
    }

    /// A wait has come to its end. With a silent keeper the request goes on by what is known here.
    fn on_waited(&mut self, number: u64) {
        if self.waits.get(&number).is_none_or(|w| self.now + 0.1 < w.until) {
            return self.renew(number);
        }
        let Some(w) = self.waits.remove(&number) else { return };
        if self.cfg.gossip_enabled && !w.queued && !w.repeated {
            return self.ask_again(w);
        }
        let open = f64::from(self.cfg.plans[w.request.plan].max_concurrency)
            / f64::from(w.request.shard_size.max(1));
        let lot = self.rng.random::<f64>();
        let passes = !w.queued
            && self.customers.get_mut(&w.key).is_some_and(|c| {
                let units = c.told.map_or(c.slice > 0.0, |(_, demand, granted, _)| lot * demand <= granted);
                c.slice -= w.request.cost;
                units && (open <= 0.0 || f64::from(c.open) < open.max(1.0))
            });
        if passes {
            let plan = w.request.plan;
            let units = w.request.cost * self.cfg.plans[plan].over_quota_penalty.min(1.0);
            if self.cfg.gossip_enabled && units > 0.0 {
                let told = self.post.unasked.entry(w.key).or_insert((w.keeper, plan, 0, 0.0));
                (told.2, told.3) = (w.number, told.3 + units);
            }
            return self.admit(w);
        }
        self.unwait(&w);
        self.refuse(&w.request);
    }

    /// One in line for a place of this gateway's own goes without: its units were granted already.
    fn unwait(&mut self, w: &PendingRequest) {
        if w.queued && self.customers.get(&w.key).is_some_and(|c| c.slots < u32::MAX) {
            self.spare(w.key, w.keeper, w.request.cost, w.place);
        }
    }

    /// A request with room in its quota: a place of this gateway's own, the throttle, then a server.
    fn admit(&mut self, mut job: PendingRequest) {
        if self.customers.get(&job.key).is_some_and(|c| c.open >= c.slots) {
            (job.until, job.queued) = (self.patience(&job.request, job.arrived), true);
            let before = self.waits.values().filter(|w| w.key == job.key && w.queued).count();
            let slots = self.customers.get(&job.key).map_or(1, |c| c.slots);
            if self.now + self.fleet.took * (before + 1) as f64 / f64::from(slots) <= job.until {
                return self.wait(job);
            }
            self.spare(job.key, job.keeper, job.request.cost, job.place);
            return self.refuse(&job.request);
        }
        let (id, plan, units) = (job.request.id, job.request.plan, job.request.cost);
        // Asked again here: others of its customer may have been sent on while it waited.
        let ceiling = self.cfg.plans[plan].hard_limit_rate;
        let unasked = ceiling > 0.0 && !(job.granted && self.cfg.gossip_enabled);
        let above = unasked && self.customers.get(&job.key).is_none_or(|c| c.ceiling < units);
        let most = self.room * self.cfg.classes[job.request.class].latency_objective_ms;
        let passes = !above && !self.throttled(job.tier);
        let chosen = if passes { self.choose(job.request.class, most, None, None) } else { None };
        let Some(server) = chosen else {
            // A client's own repeat that is refused here was counted with its first try.
            if !job.request.is_retry && !above {
                self.count(job.tier, false);
            }
            if job.place.is_some() || job.queued {
                self.spare(job.key, job.keeper, units, job.place);
            }
            return self.refuse(&job.request);
        };
        if let Some(c) = self.customers.get_mut(&job.key) {
            c.ceiling -= if unasked { units } else { 0.0 };
            c.open += 1;
        }
        if self.cfg.plans[plan].max_concurrency > 0 && job.place == Some(job.number) {
            self.renew_later(job.number);
        }
        let (sent_at, renew_at) = (self.now, 0.0);
        let held =
            InFlightRequest { job, attempts: 0, ended: false, sent_at, load: 0.0, may_run: None, renew_at };
        self.held.insert(id, held);
        self.send(id, server);
    }

    /// How long a place is taken, and is out before its keeper hears of it again, without a word.
    fn lease(&self) -> f64 {
        LEASE * (self.fleet.took + 20.0)
    }

    fn renew_later(&mut self, place: u64) {
        self.actions.push(Action::SetTimer { token: TICK + place, delay_ms: self.lease() / RENEWALS });
    }

    /// Tells the keeper that this place is still in use, if it is.
    fn renew(&mut self, place: u64) {
        let (now, period) = (self.now, self.lease() / RENEWALS);
        let out = self.held.values_mut().find(|h| h.job.place == Some(place) && now + 0.1 >= h.renew_at);
        let Some(h) = out else { return };
        let (key, keeper, plan) = (h.job.key, h.job.keeper, h.job.request.plan);
        if self.cfg.plans[plan].max_concurrency == 0
            || self.customers.get(&key).is_some_and(|c| c.slots < u32::MAX)
        {
            return;
        }
        h.renew_at = now + period;
        self.renew_later(place);
        if keeper == self.cfg.gateway {
            self.kept(key, (keeper, place));
        } else {
            self.note(keeper, key, 0.0, GossipMessage::RenewPermit { plan, place });
        }
    }

    /// A place is still in use.
    fn kept(&mut self, key: u64, place: (u32, u64)) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(&key) else { return };
        c.out.retain(|(id, _)| *id != place);
        if c.out.len() < OUT_MOST * self.cfg.plans[c.plan].max_concurrency as usize {
            c.out.push_back((place, now));
        }
    }

    /// How near the gateways are to being many, up to 1: with one of many each knows little of its own.
    fn many(&self) -> f64 {
        (f64::from(self.cfg.gateway_count - 1) / f64::from(FEW)).min(1.0)
    }

    /// What a kept store must hold beside a request's units, unless it is full.
    fn margin(&self, plan: usize) -> f64 {
        MARGIN * self.many() * self.cfg.max_request_cost * self.cfg.plans[plan].over_quota_penalty.min(1.0)
    }

    /// The part of a ceiling that is sent on unasked: all of it where nobody can be asked.
    fn unasked(&self) -> f64 {
        if self.cfg.gossip_enabled { UNASKED } else { 1.0 }
    }

    /// Brings a kept store up to now.
    fn refill(&mut self, key: u64, plan: usize) {
        self.customer(key, plan);
        let lease = self.lease();
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan = &self.cfg.plans[c.plan];
        let ms = self.now - c.at;
        c.at = self.now;
        let level = c.level + plan.refill_rate * ms / 1000.0;
        c.level = level.min(plan.burst);
        c.spilt = c.spilt * (-ms / DEMAND_MS).exp() + level - c.level;
        let most = ASKED * plan.hard_limit_burst;
        c.grantable = (c.grantable + (1.0 - UNASKED) * plan.hard_limit_rate * ms / 1000.0).min(most);
        c.demand *= (-ms / DEMAND_MS).exp();
        c.granted *= (-ms / DEMAND_MS).exp();
        while c.out.front().is_some_and(|(_, at)| self.now - at > lease) {
            c.out.pop_front();
        }
        let now = self.now;
        c.queue.retain(|ask| ask.until > now);
    }

    /// Hands free places to those that wait in line for one; who has no units left for it is told so.
    fn hand_out(&mut self, key: u64, plan: usize) {
        let (now, margin) = (self.now, self.margin(plan));
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan = &self.cfg.plans[plan];
        let mut words = Vec::new();
        while c.out.len() < plan.max_concurrency as usize
            && let Some(ask) = c.queue.pop_front()
        {
            let above = plan.hard_limit_rate > 0.0 && c.grantable < ask.units;
            if above || plan.refill_rate > 0.0 && c.level < (ask.units + margin).min(plan.burst) {
                words.push((ask, QuotaDecision::Deny, 0.0));
                continue;
            }
            c.grant(&ask, ask.units, now);
            words.push((ask, QuotaDecision::Grant, ask.units));
        }
        words.iter().for_each(|(ask, word, units)| self.answer(key, ask, *word, *units));
    }

    /// A gateway asks for a request's units and place. Granted ones are taken at once.
    fn asked(&mut self, key: u64, plan: usize, ask: QuotaRequest, weight: f64) -> (QuotaDecision, f64) {
        self.refill(key, plan);
        // Places whose return was lost come free by time alone: nobody else would tell the line of it.
        self.hand_out(key, plan);
        let (now, took) = (self.now, self.fleet.took);
        let margin = self.margin(plan);
        let Some(c) = self.customers.get_mut(&key) else { return (QuotaDecision::Deny, 0.0) };
        // Asked again as its answer was lost: it is charged already, or in line.
        if c.recent.contains(&(ask.from, ask.number)) {
            return (QuotaDecision::Grant, 0.0);
        }
        if c.queue.iter().any(|other| (other.from, other.number) == (ask.from, ask.number)) {
            return (QuotaDecision::Queue, 0.0);
        }
        let plan = &self.cfg.plans[c.plan];
        c.demand += weight * 1000.0 / DEMAND_MS;
        let below =
            if plan.hard_limit_rate > 0.0 && self.cfg.gossip_enabled { c.grantable } else { f64::INFINITY };
        let inside = below >= ask.units
            && (plan.refill_rate <= 0.0 || c.level >= (ask.units + margin).min(plan.burst));
        let free = !ask.shared || (c.out.len() < plan.max_concurrency as usize && c.queue.is_empty());
        if inside && free {
            // Of what is left beside, half at the most: others ask too.
            let beside = c.level.min(below) - ask.units;
            let units = ask.units + ask.extra.min(beside / 2.0).max(0.0);
            c.grant(&ask, units, now);
            return (QuotaDecision::Grant, units);
        }
        let wait = took * (c.queue.len() + 1) as f64 / f64::from(plan.max_concurrency.max(1));
        if inside && !free && now + wait <= ask.until {
            c.queue.push_back(ask);
            return (QuotaDecision::Queue, 0.0);
        }
        (QuotaDecision::Deny, 0.0)
    }

    /// A gateway tells of units sent on unasked, or given back, of demand and of places given back.
    fn told(&mut self, key: u64, plan: usize, units: f64, place: Option<(u32, u64)>) {
        self.refill(key, plan);
        let Some(c) = self.customers.get_mut(&key) else { return };
        let burst = self.cfg.plans[plan].burst;
        c.level = (c.level - units).clamp(-burst, burst);
        c.out.retain(|(id, _)| Some(*id) != place);
        self.hand_out(key, plan);
    }

    fn answer(&mut self, key: u64, ask: &QuotaRequest, word: QuotaDecision, units: f64) {
        if ask.from == self.cfg.gateway {
            return self.answered(key, ask.from, ask.number, word, units);
        }
        let Some(c) = self.customers.get(&key) else { return };
        let (QuotaRequest { from, number, .. }, demand, granted, level) =
            (*ask, c.demand, c.granted, c.level);
        self.note(
            from,
            key,
            0.0,
            GossipMessage::QuotaDecision { number, word, units, demand, granted, level },
        );
    }

    fn answered(&mut self, key: u64, keeper: u32, number: u64, word: QuotaDecision, units: f64) {
        match (self.waits.remove(&number), word) {
            (Some(w), QuotaDecision::Grant) => {
                // Nothing is said of the units where it is told twice.
                if units > 0.0 {
                    self.spare(key, keeper, units - w.request.cost, None);
                }
                self.admit(PendingRequest { place: Some(number), granted: true, ..w });
            }
            (Some(w), QuotaDecision::Deny) => self.refuse(&w.request),
            (Some(mut w), QuotaDecision::Queue) => {
                (w.until, w.queued) = (self.patience(&w.request, w.arrived), true);
                self.wait(w);
            }
            // Too late: what was not sent on meanwhile goes back.
            (None, QuotaDecision::Grant) => match self.held.values_mut().find(|h| h.job.number == number) {
                Some(h) if !h.job.granted && h.job.place.is_none() => {
                    h.job.place = Some(number);
                    self.renew_later(number);
                }
                Some(h) if h.job.place == Some(number) => {}
                _ => self.spare(key, keeper, units, Some(number)),
            },
            _ => {}
        }
    }

    /// Units granted and not sent on: kept here where the next requests will want them, else given back.
    fn spare(&mut self, key: u64, keeper: u32, units: f64, place: Option<u64>) {
        let Some(c) = self.customers.get_mut(&key) else { return };
        let (name, plan) = (c.plan, &self.cfg.plans[c.plan]);
        let shared = plan.max_concurrency > 0 && c.slots == u32::MAX;
        let kept = keeper != self.cfg.gateway && self.now - c.asked_at <= STOCK_MS;
        if !shared && kept && c.own * STOCK_MS / 500.0 >= units + c.stock {
            c.stock += units;
        } else if units > 0.0 || shared && place.is_some() {
            self.tell(key, keeper, name, -units, place);
        }
    }

    fn tell(&mut self, key: u64, keeper: u32, plan: usize, units: f64, place: Option<u64>) {
        if keeper == self.cfg.gateway {
            self.told(key, plan, units, place.map(|k| (keeper, k)));
        } else if place.is_some() || (units != 0.0 && self.cfg.plans[plan].refill_rate > 0.0) {
            let wait = if place.is_some() { 0.0 } else { TELL_MS };
            self.note(keeper, key, wait, GossipMessage::SettleUsage { plan, units, place });
        }
    }

    fn current(&mut self) -> &mut Vec<(f64, f64)> {
        let mut past = self.now - self.slot_at;
        while past >= SLOT_LONGEST || (past >= SLOT && self.slot_count >= SLOT_LEAST) {
            past = if self.slot_count >= SLOT_LEAST { 0.0 } else { past - SLOT_LONGEST };
            past = past.min(SLOT_LONGEST * SLOTS as f64);
            self.slot = (self.slot + 1) % SLOTS;
            self.slot_count = 0;
            self.counts[self.slot].fill((0.0, 0.0));
        }
        self.slot_at = self.now - past;
        &mut self.counts[self.slot]
    }

    fn count(&mut self, tier: usize, accepted: bool) {
        let entry = &mut self.current()[tier];
        entry.0 += 1.0;
        entry.1 += f64::from(u8::from(accepted));
        self.slot_count += 1;
    }

    /// The chance that a request of this tier is refused.
    fn chance(&mut self, tier: usize) -> f64 {
        self.current();
        let sum = |t: usize| self.counts.iter().fold((0.0, 0.0), |a, s| (a.0 + s[t].0, a.1 + s[t].1));
        let failures: f64 = (0..tier).map(sum).map(|(requests, accepts)| requests - accepts).sum();
        let (own, accepts) = sum(tier);
        ((own + failures - K * accepts) / (own + failures + 1.0)).max(0.0)
    }

    fn throttled(&mut self, tier: usize) -> bool {
        let chance = self.chance(tier);
        let rate = MIN_RATE * self.servers.len() as f64 / f64::from(self.cfg.gateway_count);
        let refused = chance > 0.0 && self.rng.random::<f64>() < chance;
        if refused && self.now - self.passed[tier] < 1000.0 / rate {
            return true;
        }
        self.passed[tier] = self.now;
        false
    }

    // ---- the choice of server ----

    /// The part of its capacity a server has by now at the least.
    fn warmth(&self, s: &EndpointStatus) -> f64 {
        if s.since <= 0.0 || self.cfg.warmup_ms <= 0.0 {
            return 1.0;
        }
        let age = ((self.now - s.since) / self.cfg.warmup_ms).clamp(0.0, 1.0);
        self.cfg.initial_warmth + (1.0 - self.cfg.initial_warmth) * age
    }

    /// The part it likely has: what holds for any server at the least is too little for most. One of few
    /// gateways soon has answers of its own and needs no such guess.
    fn likely(&self, s: &EndpointStatus) -> f64 {
        let least = self.warmth(s);
        least + (1.0 - least) * LIKELY * self.many() * least
    }

    /// What is thought to be in flight at a server, from all gateways.
    fn load(&self, s: &EndpointStatus) -> f64 {
        // No more of them: a busy gateway of a hundred would take all workers for full and refuse for good.
        let peers = f64::from(self.cfg.gateway_count - 1).min(ALIKE_PEERS);
        let mean = self.mean_out() / self.servers.len().max(1) as f64;
        // The peers together: as this gateway on average, or as fresh reports from any server say.
        let fleet = self.mixed(self.fleet.reported, mean * peers);
        // Peers see much the same rush: the mean alone lags behind a queue that all build at once.
        let usual = s.usual_now(self.now).max(ALIKE * s.out.len() as f64);
        let usual = (fleet + (usual - mean) * peers).max(0.0);
        s.out.len() as f64 + self.mixed(s.reported, usual)
    }

    /// A report while it is fresh, the guess as it grows old.
    fn mixed(&self, report: Option<(f64, f64)>, guess: f64) -> f64 {
        report.map_or(guess, |(at, said)| {
            let kept = (-(self.now - at) / REPORT_MS).exp();
            said * kept + guess * (1.0 - kept)
        })
    }

    /// The time an answer takes from this server alone with nothing else to do, for a usual class.
    /// What was seen grows old and gives way to what is known of its kind.
    fn pace(&self, s: &EndpointStatus) -> f64 {
        let kind =
            self.fleet.kind_pace.get(&s.kind).copied().or(self.fleet.pace).unwrap_or(0.0) / self.likely(s);
        s.pace.map_or(kind, |p| toward(kind, p, (-(self.now - s.paced_at) / PACE_MS).exp()))
    }

    /// The time an answer should take from this server.
    fn foreseen(&self, s: &EndpointStatus, class: usize) -> f64 {
        let weight = match (self.fleet.class_pace[class], self.fleet.pace) {
            (c, Some(fleet)) if c > 0.0 && fleet > 0.0 => c / fleet,
            _ => 1.0,
        };
        let oldest = s.out.values().copied().fold(self.now, f64::min);
        (weight * self.pace(s) * slowdown(self.load(s))).max(0.5 * (self.now - oldest))
    }

    /// The server with the least expected time of some drawn by lot that have room: not foreseen to
    /// take longer than `most`, in the given group, not the one to avoid. With few gateways each
    /// knows every server and looks at all of them; with many, all would run after the same few.
    fn choose(
        &mut self,
        class: usize,
        most: f64,
        group: Option<(DeduplicationScope, u32, u32)>,
        avoid: Option<&EndpointName>,
    ) -> Option<EndpointName> {
        let grouped = |s: &EndpointStatus| match group {
            Some((DeduplicationScope::Zone, zone, _)) => s.zone == zone,
            Some((DeduplicationScope::Cell, _, cell)) => s.cell == cell,
            _ => true,
        };
        let mut drawn = self.drawn();
        drawn.retain(|n| grouped(&self.servers[n]) && avoid != Some(n));
        let count = drawn.len() as f64;
        let look = (ALIKE_PEERS * count / f64::from(self.cfg.gateway_count)).max(LOOK).min(count);
        let aim = self.cfg.classes[class].latency_objective_ms;
        let mut best: Option<(f64, EndpointName)> = None;
        // Where nearly all are cold, a lot for each would nearly always end with one of them. How many lots
        // there are follows from what the rules forgive; what cold ones turn away must not go round them all.
        let most_lots = if avoid.is_some() { 1.0 } else { self.cfg.warmup_overload_multiple.max(1.0) };
        let (mut seen, mut lots) = (0.0, look * most_lots);
        for name in drawn {
            let s = &self.servers[&name];
            let warmth = self.warmth(s);
            // Were it chosen each time, a cold server would get its part of a warm one's share.
            lots -= f64::from(u8::from(warmth < 1.0));
            if warmth < 1.0 && (lots < 0.0 || self.rng.random::<f64>() >= COLD_PART * warmth / look) {
                continue;
            }
            let time = self.foreseen(s, class);
            // Where nothing of ours is out or has lately gone there is room for one: else nothing more
            // would be learned. All gateways do so, hence the gap grows with their number.
            let quiet =
                s.out.is_empty() && self.now - s.sent_at > PEEK_MS * f64::from(self.cfg.gateway_count);
            if time > most && !(quiet && avoid.is_none()) {
                continue;
            }
            let fail = s.fail * (-(self.now - s.fail_at) / FAIL_MS).exp();
            let cross = if s.zone == self.cfg.zone { 1.0 } else { 1.05 };
            let cost = (time * cross + (fail - self.fleet.fail).max(0.0) * aim)
                * (1.0 + 0.1 * self.rng.random::<f64>());
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, name));
            }
            seen += 1.0;
            if seen >= look {
                break;
            }
        }
        best.map(|(_, name)| name)
    }

    /// The servers in the order of a lot by size, those of this gateway's own part of the fleet before all
    /// others. In a ring of all servers in the order of their names, each as long as its size, a gateway's
    /// part is an arc: all arcs together cover every server by its size, and change little with the list.
    fn drawn(&mut self) -> Vec<EndpointName> {
        let up = || self.servers.iter().filter(|(_, s)| s.health == EndpointState::Ready);
        let (count, total) = up().fold((0.0, 0.0), |(n, sum), (_, s)| (n + 1.0, sum + s.size));
        let arc = (MET_BY / f64::from(self.cfg.gateway_count)).max(MEETS / count).min(1.0);
        // Multiples of the golden ratio spread any row of gateways evenly: a customer's set is such a row.
        let start = (f64::from(self.cfg.gateway) * GOLDEN).fract();
        let mut at = 0.0;
        let mut lots: Vec<(bool, f64, &EndpointName)> = up()
            .map(|(name, s)| {
                let (from, to) = (at / total, (at + s.size) / total);
                at += s.size;
                let part = |shift: f64| (to.min(start + arc - shift) - from.max(start - shift)).max(0.0);
                let own = if arc < 1.0 { part(0.0) + part(1.0) } else { to - from };
                let weight = if own > 0.0 { own } else { to - from };
                (own <= 0.0, -(1.0 - self.rng.random::<f64>()).ln() / weight, name)
            })
            .collect();
        lots.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        lots.into_iter().map(|(_, _, name)| name.clone()).collect()
    }

    /// How much an answer moves what is known of its server, by when the last one came, if there was one.
    fn learned(&self, last: f64) -> f64 {
        let seldom = 1.0 - (-((self.now - last) / SELDOM_MS).powi(2)).exp();
        LEARN.max(LEARN_SLOW * if last > 0.0 { seldom } else { self.many() })
    }

    /// What this gateway has out at all servers on average over time.
    fn mean_out(&self) -> f64 {
        let kept = (-(self.now - self.fleet.usual_at) / DEMAND_MS).exp();
        self.fleet.usual * kept + self.fleet.in_flight as f64 * (1.0 - kept)
    }

    fn send(&mut self, id: u64, server: EndpointName) {
        let Some(s) = self.servers.get(&server) else { return };
        let load = self.load(s);
        (self.fleet.usual, self.fleet.usual_at) = (self.mean_out(), self.now);
        self.fleet.in_flight += 1;
        let (Some(s), Some(h)) = (self.servers.get_mut(&server), self.held.get_mut(&id)) else { return };
        s.average(self.now);
        s.out.insert(id, self.now);
        s.sent_at = self.now;
        h.attempts += 1;
        h.sent_at = self.now;
        h.load = load;
        let class = &self.cfg.classes[h.job.request.class];
        // An answer past its aim earns nothing: it is not waited for, and silence is not taken for load.
        let end = if class.late_answer_weight > 0.0 {
            f64::INFINITY
        } else {
            h.job.arrived + class.latency_objective_ms
        };
        let not_past = h.job.request.client_deadline_ms.min(end);
        self.actions.push(Action::Forward { request: id, endpoint: server, deadline_ms: not_past });
    }

    fn on_left(&mut self, id: u64) {
        let left = self.waits.iter().find(|(_, w)| w.request.id == id).map(|(number, _)| *number);
        if let Some(w) = left.and_then(|number| self.waits.remove(&number)) {
            return self.unwait(&w);
        }
        let Some(h) = self.held.get_mut(&id) else { return };
        h.ended = true;
        let (tier, late) = (
            h.job.tier,
            self.now - h.job.arrived > self.cfg.classes[h.job.request.class].latency_objective_ms,
        );
        if late {
            self.count(tier, false);
        }
    }

    fn on_outcome(&mut self, o: &AttemptOutcome) {
        (self.fleet.usual, self.fleet.usual_at) = (self.mean_out(), self.now);
        let known = |s: &EndpointStatus| {
            (self.pace(s), self.warmth(s), self.learned(s.fail_at), self.learned(s.paced_at))
        };
        let (guess, warmth, learn, learn_pace) =
            self.servers.get(&o.endpoint).map_or((0.0, 1.0, LEARN, LEARN), known);
        let Some(h) = self.held.get_mut(&o.request) else { return };
        let (key, keeper, class, load) = (h.job.key, h.job.keeper, h.job.request.class, h.load);
        let (plan, units) = (h.job.request.plan, h.job.request.cost);
        let ran = !matches!(
            o.result,
            AttemptResult::Overloaded | AttemptResult::ConnectFailed | AttemptResult::NeverSent
        );
        if let Some(s) = self.servers.get_mut(&o.endpoint)
            && s.out.contains_key(&o.request)
        {
            s.average(self.now);
            s.out.remove(&o.request);
            self.fleet.in_flight = self.fleet.in_flight.saturating_sub(1);
            if ran && h.may_run.is_none() {
                h.may_run = Some((s.zone, s.cell, h.sent_at));
            }
            if let Some(holds) = o.load_report.and_then(|r| r.in_flight) {
                let others = (holds - s.out.len() as f64).max(0.0);
                s.reported = Some((self.now, others));
                let so_far = self.fleet.reported.map_or(others, |(_, mean)| mean);
                self.fleet.reported = Some((self.now, so_far + LEARN_REPORT * (others - so_far)));
            }
            let failed = !matches!(
                o.result,
                AttemptResult::Success | AttemptResult::Cancelled | AttemptResult::NeverSent
            );
            let fail = f64::from(u8::from(failed));
            s.fail = s.fail * (-(self.now - s.fail_at) / FAIL_MS).exp() * (1.0 - learn) + learn * 2.0 * fail;
            s.fail_at = self.now;
            self.fleet.fail += LEARN_ALL * (fail - self.fleet.fail);
            if matches!(o.result, AttemptResult::Success | AttemptResult::TimedOut) {
                let pace = o.latency_ms.max(0.1) / slowdown(load);
                self.fleet.answers += 1.0;
                let learn = LEARN.max(1.0 / (self.fleet.answers + TOOK_PRIOR));
                self.fleet.took += learn * (o.latency_ms - self.fleet.took);
                let learn_all = LEARN_ALL.max(1.0 / self.fleet.answers);
                let fleet = self.fleet.pace.unwrap_or(pace);
                let c = &mut self.fleet.class_pace[class];
                let weight = if *c > 0.0 { *c / fleet } else { 1.0 };
                *c = if *c > 0.0 { toward(*c, pace, learn_all) } else { pace };
                let own = if guess > 0.0 { guess } else { pace };
                let slow = own * weight > self.room * self.cfg.classes[class].latency_objective_ms;
                s.pace = Some(toward(own, pace / weight, if slow { LEARN_SLOW } else { learn_pace }));
                s.paced_at = self.now;
                if warmth >= 1.0 {
                    let kind = self.fleet.kind_pace.entry(s.kind).or_insert(fleet);
                    *kind = toward(*kind, pace / weight, learn_all);
                }
                self.fleet.pace = Some(toward(fleet, pace, learn_all));
            }
        }
        self.tell(key, keeper, plan, o.actual_cost.map_or(0.0, |all| all - units), None);
        let Some(h) = self.held.get(&o.request) else { return };
        if h.ended {
            self.finish(o.request);
            return;
        }
        let (tier, in_time) =
            (h.job.tier, self.now - h.job.arrived <= self.cfg.classes[class].latency_objective_ms);
        if o.request_ended {
            self.finish(o.request);
            self.count(tier, o.result == AttemptResult::Success && in_time);
            return;
        }
        if let Some(server) = self.again(o) {
            self.retries -= 1.0;
            self.send(o.request, server);
            return;
        }
        let Some(h) = self.finish(o.request) else { return };
        // An error is an answer: the server had room for it.
        self.count(tier, o.result == AttemptResult::Error && in_time);
        let effect = self.cfg.classes[class].idempotency;
        if h.may_run.is_none()
            || matches!(effect, Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All))
        {
            self.refuse(&h.job.request);
        } else {
            self.actions.push(Action::Fail { request: o.request });
        }
    }

    /// Forgets a request whose last attempt has ended, and gives its place back.
    fn finish(&mut self, id: u64) -> Option<InFlightRequest> {
        let h = self.held.remove(&id)?;
        if let Some(c) = self.customers.get_mut(&h.job.key) {
            c.open = c.open.saturating_sub(1);
        }
        let own = self.customers.get(&h.job.key).is_some_and(|c| c.slots < u32::MAX);
        if own || h.job.place.is_some() && self.cfg.plans[h.job.request.plan].max_concurrency > 0 {
            // Its next one here takes the place at once: each way to the keeper leaves it empty.
            let next = self.waits.values().find(|w| w.key == h.job.key && (w.queued || !own));
            match next.map(|w| w.number).and_then(|k| self.waits.remove(&k)) {
                Some(w) if own => self.admit(w),
                Some(w) => {
                    self.tell(w.key, w.keeper, w.request.plan, w.request.cost, None);
                    self.admit(PendingRequest { place: h.job.place, granted: false, ..w });
                }
                None if own => {}
                None => self.tell(h.job.key, h.job.keeper, h.job.request.plan, 0.0, h.job.place),
            }
        }
        Some(h)
    }

    /// The server for a further attempt, if one is allowed, affordable and still of use.
    fn again(&mut self, o: &AttemptOutcome) -> Option<EndpointName> {
        let h = self.held.get(&o.request)?;
        let class = &self.cfg.classes[h.job.request.class];
        let most =
            (h.job.arrived + class.latency_objective_ms).min(h.job.request.client_deadline_ms) - self.now;
        let group = match (class.idempotency, h.may_run) {
            (_, None) | (Idempotency::Idempotent, _) => None,
            (Idempotency::NonIdempotent, Some(_)) => return None,
            (Idempotency::Keyed(group), Some((zone, cell, at))) => {
                if self.now - at >= class.deduplication_window_ms {
                    return None;
                }
                Some((group, zone, cell))
            }
        };
        let spent = self.cfg.max_attempts > 0 && h.attempts >= self.cfg.max_attempts;
        if spent
            || self.retries < 1.0
            || matches!(o.result, AttemptResult::Cancelled | AttemptResult::NeverSent)
        {
            return None;
        }
        let class = h.job.request.class;
        self.choose(class, most, group, Some(&o.endpoint))
    }

    /// Puts an item into the next note to a peer, which goes after `wait` ms at the latest.
    fn note(&mut self, to: u32, key: u64, wait: f64, item: GossipMessage) {
        let (due, item) = (self.now + wait, item.encode(key, self.now));
        let (at, text) = self.post.items.entry(to).or_insert((due, String::new()));
        *at = at.min(due);
        if text.len() + item.len() > NOTE_BYTES {
            self.post.left -= 1.0;
            let text = std::mem::replace(text, item);
            self.actions.push(Action::SendGossip { to, text });
        } else {
            text.push_str(&item);
        }
    }

    /// Sends what is due, as far as the peers can take it in; the rest follows in fuller notes.
    fn flush(&mut self) {
        let rate =
            INTAKE_PART * self.cfg.gossip_intake_per_second.max(1.0) * (1.0 + (BUSIER - 1.0) * self.many());
        let most = (0.1 * rate).max(1.0);
        self.post.left = (self.post.left + rate * (self.now - self.post.left_at) / 1000.0).min(most);
        self.post.left_at = self.now;
        let due = |(_, (at, _)): &(&u32, &(f64, String))| *at <= self.now;
        while self.post.left >= 1.0 {
            let next = self.post.items.range(self.post.next..).find(due).or(self.post.items.iter().find(due));
            let Some(to) = next.map(|(to, _)| *to) else { break };
            let Some((_, text)) = self.post.items.remove(&to) else { break };
            self.post.left -= 1.0;
            self.post.next = to + 1;
            self.actions.push(Action::SendGossip { to, text });
        }
        let first = self.post.items.values().map(|(at, _)| *at - self.now).fold(f64::INFINITY, f64::min);
        let after = first.max(1000.0 * (1.0 - self.post.left) / rate).max(1.0);
        if first.is_finite() && self.post.tick_at.is_none_or(|at| self.now + after + 1.0 < at) {
            self.post.tick_at = Some(self.now + after);
            self.actions.push(Action::SetTimer { token: TICK, delay_ms: after });
        }
        if self.now - self.swept > IDLE_MS / 10.0 {
            self.swept = self.now;
            self.customers.retain(|_, c| c.open > 0 || self.now - c.seen < IDLE_MS);
            self.post.unasked.retain(|key, _| self.customers.contains_key(key));
        }
    }

    fn on_note(&mut self, from: u32, text: &str) {
        let now = self.now;
        // Who hears others may be heard again: keepers are told what went on unasked, as far as it costs.
        for (key, (keeper, plan, number, units)) in std::mem::take(&mut self.post.unasked) {
            self.note(keeper, key, 0.0, GossipMessage::ReportUnconfirmedUsage { plan, number, units });
        }
        for (key, item) in text.split(';').filter_map(|t| GossipMessage::decode(t, from, now)) {
            match item {
                GossipMessage::RequestQuota { plan, ask, weight } if plan < self.cfg.plans.len() => {
                    let (word, units) = self.asked(key, plan, ask, weight);
                    self.answer(key, &ask, word, units);
                }
                GossipMessage::SettleUsage { plan, units, place } if plan < self.cfg.plans.len() => {
                    self.told(key, plan, units, place.map(|k| (from, k)));
                }
                GossipMessage::ReportUnconfirmedUsage { plan, number, units }
                    if plan < self.cfg.plans.len() =>
                {
                    self.refill(key, plan);
                    // What was spilt meanwhile is taken first; what goes on beyond the quota takes nothing.
                    let c = self.customers.get_mut(&key).filter(|c| !c.recent.contains(&(from, number)));
                    if let Some(c) = c {
                        let taken = units - units.min(c.spilt);
                        c.spilt -= units - taken;
                        c.level = (c.level - taken).max(c.level.min(0.0));
                    }
                }
                GossipMessage::RenewPermit { plan, place } if plan < self.cfg.plans.len() => {
                    self.refill(key, plan);
                    self.kept(key, (from, place));
                }
                GossipMessage::QuotaDecision { number, word, units, demand, granted, level } => {
                    if let Some(c) = self.customers.get_mut(&key) {
                        c.told = Some((self.now, demand, granted, level));
                    }
                    self.answered(key, from, number, word, units);
                }
                _ => {}
            }
        }
    }
}
