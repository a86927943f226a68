//! Fleets of followers before one discovery, in virtual time: whatever has failed, all are told within 6 s of
//! when it could be reached again.

use crate::support::LONG;
use marlshelf::SettingsDocument;
use marlshelf::gateway::backoff::Backoff;
use marlshelf::gateway::discovery::{self, Connect, EndpointUpdate};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A change counts as told this long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// How often a watch says that it lives.
const ALIVE: Duration = Duration::from_secs(2);

/// How late a connection and a head may come without being given up, or nearly so.
const LATE_CONNECTION: Duration = Duration::from_millis(950);
const LATE_HEAD: Duration = Duration::from_millis(2950);

/// How a call fails while discovery can't be reached. What it has begun by then fails in the same way: watches
/// that are open fall silent, or are reset where calls are refused or reset.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Refused,
    Reset,
    SilentAtConnection,
    SilentAtHead,
    SilentInList,
    SilentInWatch,
    /// The connection and the head of the list come late, and then silence.
    Late,
    /// The head of the watch comes late, and then silence: that has a clock of its own.
    LateWatch,
    CutList,
    Endless,
    Unavailable,
    Redirect,
    OldRev,
    /// Each call fails in a way of its own, one after another.
    Mixed,
}

const FAULTS: [Fault; 12] = [
    Fault::Refused,
    Fault::Reset,
    Fault::SilentAtConnection,
    Fault::SilentAtHead,
    Fault::SilentInList,
    Fault::SilentInWatch,
    Fault::Late,
    Fault::CutList,
    Fault::Endless,
    Fault::Unavailable,
    Fault::Redirect,
    Fault::OldRev,
];

/// What can happen to discovery.
#[derive(Clone, Copy, PartialEq)]
enum State {
    Up,
    Down(Fault),
}

/// A discovery that answers calls in turn, and works on those that nobody waits for as well.
struct Service {
    state: watch::Sender<State>,
    rev: Cell<u64>,
    /// What a call costs it, and when it is done with all that have come.
    cost: Duration,
    free: Cell<Instant>,
    rng: RefCell<Pcg64Mcg>,
    calls: Cell<usize>,
}

impl Service {
    fn new(seed: u64, cost: Duration) -> Rc<Service> {
        Rc::new(Service {
            state: watch::channel(State::Up).0,
            rev: Cell::new(1),
            cost,
            free: Cell::new(Instant::now()),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            calls: Cell::new(0),
        })
    }

    /// The way in which a call fails that comes now, if it does.
    fn fault(&self) -> Option<Fault> {
        match *self.state.borrow() {
            State::Up => None,
            State::Down(Fault::Mixed) => {
                Some(FAULTS[self.rng.borrow_mut().random_range(0..FAULTS.len())])
            }
            State::Down(fault) => Some(fault),
        }
    }

    fn list(&self, rev: u64) -> String {
        format!(
            r#"{{"rev":{rev},"all":true,"targets":[{{"uid":"s-{rev}","endpoint":"127.0.0.1:1","pod_group":0,"state":"ready"}}]}}"#
        )
    }

    /// Opens a connection.
    async fn open(self: &Rc<Self>) -> io::Result<DuplexStream> {
        match self.fault() {
            Some(Fault::Refused) => return Err(ErrorKind::ConnectionRefused.into()),
            Some(Fault::SilentAtConnection) => return std::future::pending().await,
            Some(Fault::Late) => sleep(LATE_CONNECTION).await,
            _ => {}
        }
        let (near, far) = duplex(1 << 16);
        let service = self.clone();
        spawn_local(async move {
            let _ = service.serve(far).await;
        });
        Ok(near)
    }

    /// Waits until its turn has come.
    async fn turn(&self) {
        let done = self.free.get().max(Instant::now()) + self.cost;
        self.free.set(done);
        sleep_until(done).await;
    }

    /// Serves one connection.
    async fn serve(self: Rc<Self>, mut stream: DuplexStream) -> io::Result<()> {
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
            }
            let head = String::from_utf8_lossy(&head).into_owned();
            let watches = head.contains("stream=1");
            self.calls.set(self.calls.get() + 1);
            let fault = self.fault();
            match fault {
                Some(Fault::SilentAtHead) => return silence(stream).await,
                Some(Fault::Unavailable) => {
                    stream
                        .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                        .await?;
                    continue;
                }
                Some(Fault::Redirect) => {
                    let to = "HTTP/1.1 307 Elsewhere\r\nLocation: http://127.0.0.1:1/v1/servers\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(to.as_bytes()).await?;
                    continue;
                }
                Some(Fault::Reset) => return Ok(()),
                Some(Fault::Late) if !watches => sleep(LATE_HEAD).await,
                Some(Fault::LateWatch) if watches => sleep(LATE_HEAD).await,
                Some(_) => {}
                None => self.turn().await,
            }
            // It may have gone down meanwhile, in which case it says nothing more.
            if fault.is_none() && *self.state.borrow() != State::Up {
                return silence(stream).await;
            }
            let rev = if fault == Some(Fault::OldRev) {
                0
            } else {
                self.rev.get()
            };
            let list = self.list(rev);
            if watches {
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .await?;
                return self.watch(stream, &head, fault).await;
            }
            let size = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            stream.write_all(size.as_bytes()).await?;
            let (half, rest) = list.split_at(list.len() / 2);
            stream.write_all(half.as_bytes()).await?;
            match fault {
                Some(Fault::SilentInList | Fault::Late) => return silence(stream).await,
                Some(Fault::CutList) => return Ok(()),
                Some(Fault::Endless) => return dribble(stream, b" ").await,
                _ => stream.write_all(rest.as_bytes()).await?,
            }
        }
    }

    /// Tells of changes until discovery goes down or nobody listens.
    async fn watch(
        &self,
        mut stream: DuplexStream,
        head: &str,
        fault: Option<Fault>,
    ) -> io::Result<()> {
        let known = head
            .split("index=")
            .nth(1)
            .and_then(|tail| tail.split(' ').next()?.parse().ok());
        let mut known: u64 = known.unwrap_or_default();
        match fault {
            None => {}
            Some(Fault::Endless) => return dribble(stream, b"1\r\n \r\n").await,
            Some(Fault::CutList) => return stream.write_all(b"80\r\n{\"rev\":1,\"all\"").await,
            Some(Fault::OldRev) => {
                chunk(&mut stream, &self.list(0)).await?;
                return Ok(());
            }
            Some(_) => return silence(stream).await,
        }
        let mut state = self.state.subscribe();
        loop {
            let says = if known == self.rev.get() {
                String::new()
            } else {
                self.list(self.rev.get())
            };
            known = self.rev.get();
            chunk(&mut stream, &says).await?;
            let down = timeout(ALIVE, state.wait_for(|state| *state != State::Up))
                .await
                .is_ok();
            if down {
                let resets = matches!(self.fault(), Some(Fault::Refused | Fault::Reset));
                return if resets {
                    Ok(())
                } else {
                    silence(stream).await
                };
            }
        }
    }
}

async fn chunk(stream: &mut DuplexStream, line: &str) -> io::Result<()> {
    stream
        .write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
        .await
}

/// Says nothing more, and keeps the connection open for as long as the other end does.
async fn silence(mut stream: DuplexStream) -> io::Result<()> {
    while stream.read(&mut [0; 64]).await? > 0 {}
    Ok(())
}

async fn dribble(mut stream: DuplexStream, piece: &[u8]) -> io::Result<()> {
    loop {
        stream.write_all(piece).await?;
        sleep(Duration::from_millis(500)).await;
    }
}

/// The discoveries that there are, by address.
struct Network {
    services: Rc<Vec<(SocketAddr, Rc<Service>)>>,
}

impl Connect for Network {
    type Stream = DuplexStream;

    async fn connect(&self, at: SocketAddr) -> io::Result<DuplexStream> {
        let (_, service) = self
            .services
            .iter()
            .find(|(here, _)| *here == at)
            .expect("an address of ours");
        service.open().await
    }
}

/// Gatekeepers that follow discovery, and when each was last told which version.
struct Fleet {
    moves: Vec<watch::Sender<SocketAddr>>,
    told: Rc<RefCell<Vec<(u64, Instant)>>>,
}

const OLD: &str = "127.0.0.1:1";
const NEW: &str = "127.0.0.1:2";

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// What a gatekeeper of so many is told of discovery.
fn conf(gateways: u32, how: &str) -> SettingsDocument {
    let conf = serde_json::json!({"Balancers": gateways, "Discovery": how, "Classes": []});
    serde_json::from_value(conf).expect("sound settings")
}

impl Fleet {
    /// Starts them all at one stroke, with a list of this version in hand or none.
    fn start(
        services: &[(SocketAddr, Rc<Service>)],
        conf: &SettingsDocument,
        seed: u64,
        known: Option<u64>,
    ) -> Fleet {
        let services = Rc::new(services.to_vec());
        let told = Rc::new(RefCell::new(vec![
            (0, Instant::now());
            conf.gateway_count() as usize
        ]));
        let moves = (0..conf.gateway_count()).map(|me| {
            let (moves, at) = watch::channel(services[0].0);
            let told = told.clone();
            let take = move |update: EndpointUpdate| {
                told.borrow_mut()[me as usize] = (update.revision, Instant::now())
            };
            let backoff = Backoff::new(conf, seed << 32 | u64::from(me));
            let network = Network {
                services: services.clone(),
            };
            spawn_local(discovery::follow(network, take, at, known, backoff));
            moves
        });
        Fleet {
            moves: moves.collect(),
            told,
        }
    }

    /// How long after this instant the last of them was told this version, once all were.
    async fn all_told(&self, rev: u64, since: Instant) -> Duration {
        let all = async {
            while self.told.borrow().iter().any(|(told, _)| *told < rev) {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let missing = || {
            self.told
                .borrow()
                .iter()
                .filter(|(told, _)| *told < rev)
                .count()
        };
        timeout(2 * LONG, all)
            .await
            .unwrap_or_else(|_| panic!("{} are not told", missing()));
        self.told
            .borrow()
            .iter()
            .map(|(_, at)| at.saturating_duration_since(since))
            .max()
            .unwrap_or_default()
    }
}

const HAPPENS: [Meanwhile; 4] = [
    Meanwhile::Nothing,
    Meanwhile::Start,
    Meanwhile::StartEmpty,
    Meanwhile::Move,
];

/// What else happens while discovery can't be reached.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Meanwhile {
    /// It fell out under watches that were open.
    Nothing,
    /// All processes start, with an old list in hand.
    Start,
    /// All processes start with no list.
    StartEmpty,
    /// SIGHUP moves all to another discovery, which can't be reached either.
    Move,
}

/// An outage of discovery.
#[derive(Clone, Copy, Debug)]
struct Outage {
    gateways: u32,
    how: &'static str,
    fault: Fault,
    meanwhile: Meanwhile,
    lasts: Duration,
    seed: u64,
}

impl Outage {
    /// What a call costs the one service of all: it can answer 300 of them in 3 s, and larger fleets as fast. An
    /// agent on a gatekeeper's own machine has the list at hand.
    fn cost(&self) -> Duration {
        if self.how == "automatic" {
            Duration::ZERO
        } else {
            Duration::from_secs(3) / self.gateways.max(300)
        }
    }

    /// Plays it. Gives how long after it the last gatekeeper was told of what had changed.
    async fn last_told(self) -> Duration {
        let Outage {
            seed,
            fault,
            meanwhile,
            ..
        } = self;
        let (old, new) = (
            Service::new(seed, self.cost()),
            Service::new(seed + 1, self.cost()),
        );
        let services = [(address(OLD), old.clone()), (address(NEW), new.clone())];
        let conf = conf(self.gateways, self.how);
        let served = if meanwhile == Meanwhile::Move {
            &new
        } else {
            &old
        };
        let fleet = match meanwhile {
            Meanwhile::Nothing | Meanwhile::Move => {
                let fleet = Fleet::start(&services, &conf, seed, None);
                fleet.all_told(1, Instant::now()).await;
                // Where in their watches the gatekeepers are is left to chance.
                sleep(Duration::from_millis(
                    Pcg64Mcg::seed_from_u64(seed).random_range(5000..9000),
                ))
                .await;
                served.state.send_replace(State::Down(fault));
                fleet
            }
            Meanwhile::Start | Meanwhile::StartEmpty => {
                served.state.send_replace(State::Down(fault));
                Fleet::start(
                    &services,
                    &conf,
                    seed,
                    (meanwhile == Meanwhile::Start).then_some(1),
                )
            }
        };
        if meanwhile == Meanwhile::Move {
            fleet
                .moves
                .iter()
                .for_each(|at| at.send(address(NEW)).expect("followed"));
        }
        sleep(self.lasts).await;
        served.rev.set(2);
        served.free.set(Instant::now());
        served.state.send_replace(State::Up);
        fleet.all_told(2, Instant::now()).await
    }

    /// Plays it on a clock of its own, and has all told in time.
    fn is_survived(self) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build();
        let last = LocalSet::new().block_on(&runtime.expect("a runtime"), self.last_told());
        // What a watch misses that has fallen silent counts as told so long after that.
        let silent = if self.fault == Fault::LateWatch {
            LATE_HEAD
        } else {
            Duration::ZERO
        };
        assert!(
            last <= silent + TOLD,
            "{self:?}: the last is told after {last:?}"
        );
    }
}

/// It hangs for 12 s, and all have watches open.
const HANGS: Outage = Outage {
    gateways: 300,
    how: "subscribe",
    fault: Fault::SilentAtHead,
    meanwhile: Meanwhile::Nothing,
    lasts: Duration::from_secs(12),
    seed: 7,
};

/// How the settings may have lists come.
const WAYS: [&str; 2] = ["subscribe", "automatic"];

#[test]
fn a_fleet_of_300_is_told_in_time_after_a_discovery_that_hung_on_20_seeds_of_20() {
    (0..20).for_each(|seed| Outage { seed, ..HANGS }.is_survived());
}

#[test]
fn every_fault_leaves_every_fleet_told_in_time() {
    let all = FAULTS.into_iter().chain([Fault::Mixed]);
    let all = all.flat_map(|fault| {
        HAPPENS.map(|meanwhile| Outage {
            fault,
            meanwhile,
            ..HANGS
        })
    });
    for outage in all.flat_map(|outage| WAYS.map(|how| Outage { how, ..outage })) {
        [1, 30, 300]
            .into_iter()
            .for_each(|gateways| Outage { gateways, ..outage }.is_survived());
    }
}

#[test]
fn a_fleet_of_2900_is_told_in_time() {
    for fault in [Fault::Refused, Fault::SilentAtHead, Fault::Mixed] {
        for meanwhile in HAPPENS {
            Outage {
                gateways: 2900,
                fault,
                meanwhile,
                ..HANGS
            }
            .is_survived();
        }
    }
}

#[test]
fn watches_that_fall_silent_at_one_stroke_are_opened_anew_in_time() {
    // Calls are answered again a moment later, but nothing tells the watches.
    let lasts = Duration::from_millis(1);
    for outage in WAYS.map(|how| Outage {
        how,
        lasts,
        fault: Fault::SilentInWatch,
        ..HANGS
    }) {
        for gateways in [1, 30, 300, 2900] {
            (0..5).for_each(|seed| {
                Outage {
                    gateways,
                    seed,
                    ..outage
                }
                .is_survived()
            });
        }
    }
}

#[test]
fn watches_whose_head_comes_late_before_they_fall_silent_are_opened_anew_in_time() {
    for outage in WAYS.map(|how| Outage {
        how,
        fault: Fault::LateWatch,
        ..HANGS
    }) {
        (0..10).for_each(|seed| Outage { seed, ..outage }.is_survived());
    }
}

#[test]
fn outages_of_any_length_leave_all_told_in_time() {
    for seed in 0..40 {
        let lasts = Duration::from_millis(250 * (seed + 1));
        Outage {
            gateways: 100,
            fault: Fault::Mixed,
            lasts,
            seed,
            ..HANGS
        }
        .is_survived();
    }
}
