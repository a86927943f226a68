//! A stand-in discovery service that fails on demand, reached over in-memory connections.

use marlshelf::gateway::discovery::Connect;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The interval between keep-alives on a watch, as in the discovery protocol.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Delays of a connect and a response head that are slightly below the client's timeouts.
const LATE_CONNECTION: Duration = Duration::from_millis(950);
pub const LATE_HEAD: Duration = Duration::from_millis(2950);

const WATCH_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNAVAILABLE_RESPONSE: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const REDIRECT_RESPONSE: &[u8] = b"HTTP/1.1 307 Elsewhere\r\n\
    Location: http://127.0.0.1:1/v1/servers\r\nContent-Length: 0\r\n\r\n";

/// How calls fail during an outage. Calls in progress fail in the same way: open watches are reset if new
/// calls are refused or reset, and fall silent otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Refused,
    Reset,
    SilentAtConnection,
    SilentAtHead,
    SilentInList,
    SilentInWatch,
    /// The connect and the head of the list are slow, and then the service falls silent.
    Late,
    /// The head of the watch is slow, and then the service falls silent. A watch has its own silence timeout.
    LateWatch,
    CutList,
    Endless,
    Unavailable,
    Redirect,
    OldRevision,
    /// Each call fails with a random fault from [`FAULTS`].
    Mixed,
}

/// The faults that [`Fault::Mixed`] chooses from for each call.
pub const FAULTS: [Fault; 12] = [
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
    Fault::OldRevision,
];

#[derive(Clone, Copy, PartialEq)]
enum Availability {
    Up,
    Down(Fault),
}

/// A discovery service that answers calls one at a time, including calls whose client has timed out.
pub struct Service {
    availability: watch::Sender<Availability>,
    revision: Cell<u64>,
    /// The time that the service takes to answer a call.
    time_per_call: Duration,
    /// The time from a call's turn to its answer, during which the service works on other calls.
    answer_delay: Cell<Duration>,
    /// When the service will have answered all calls received so far.
    busy_until: Cell<Instant>,
    rng: RefCell<Pcg64Mcg>,
}

impl Service {
    /// Creates a reachable service with revision 1 of the list.
    pub fn new(seed: u64, time_per_call: Duration) -> Rc<Service> {
        Rc::new(Service {
            availability: watch::channel(Availability::Up).0,
            revision: Cell::new(1),
            time_per_call,
            answer_delay: Cell::default(),
            busy_until: Cell::new(Instant::now()),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        })
    }

    /// Creates a reachable service like [`Service::new`] that answers each call after this time.
    pub fn with_answer_delay(seed: u64, delay: Duration) -> Rc<Service> {
        let service = Service::new(seed, Duration::ZERO);
        service.answer_delay.set(delay);
        service
    }

    /// Tells all watches of a new revision of the list.
    pub fn publish(&self, revision: u64) {
        self.revision.set(revision);
    }

    /// Starts an outage with this fault.
    pub fn fail(&self, fault: Fault) {
        self.availability.send_replace(Availability::Down(fault));
    }

    /// Ends the outage, with a new revision of the list and an empty queue of calls.
    pub fn recover_with_revision(&self, revision: u64) {
        self.revision.set(revision);
        self.busy_until.set(Instant::now());
        self.availability.send_replace(Availability::Up);
    }

    /// Returns the fault for a call that arrives now; `None` if the service is up.
    fn current_fault(&self) -> Option<Fault> {
        match *self.availability.borrow() {
            Availability::Up => None,
            Availability::Down(Fault::Mixed) => {
                Some(FAULTS[self.rng.borrow_mut().random_range(0..FAULTS.len())])
            }
            Availability::Down(fault) => Some(fault),
        }
    }

    async fn accept(self: &Rc<Self>) -> io::Result<DuplexStream> {
        match self.current_fault() {
            Some(Fault::Refused) => return Err(ErrorKind::ConnectionRefused.into()),
            Some(Fault::SilentAtConnection) => return std::future::pending().await,
            Some(Fault::Late) => sleep(LATE_CONNECTION).await,
            _ => {}
        }
        let (client_end, service_end) = duplex(1 << 16);
        let service = self.clone();
        spawn_local(async move {
            let _ = service.serve_connection(service_end).await;
        });
        Ok(client_end)
    }

    /// Queues behind the earlier calls, and waits until the service has processed this one.
    async fn wait_for_turn(&self) {
        let done_at = self.busy_until.get().max(Instant::now()) + self.time_per_call;
        self.busy_until.set(done_at);
        sleep_until(done_at + self.answer_delay.get()).await;
    }

    async fn serve_connection(self: Rc<Self>, mut stream: DuplexStream) -> io::Result<()> {
        loop {
            let request = read_head(&mut stream).await?;
            let is_watch = request.contains("stream=1");
            let fault = self.current_fault();
            match fault {
                Some(Fault::SilentAtHead) => return stay_silent(stream).await,
                Some(Fault::Unavailable) => {
                    stream.write_all(UNAVAILABLE_RESPONSE).await?;
                    continue;
                }
                Some(Fault::Redirect) => {
                    stream.write_all(REDIRECT_RESPONSE).await?;
                    continue;
                }
                Some(Fault::Reset) => return Ok(()),
                Some(Fault::Late) if !is_watch => sleep(LATE_HEAD).await,
                Some(Fault::LateWatch) if is_watch => sleep(LATE_HEAD).await,
                Some(_) => {}
                None => self.wait_for_turn().await,
            }
            // A service that failed during the wait sends no response.
            if fault.is_none() && *self.availability.borrow() != Availability::Up {
                return stay_silent(stream).await;
            }
            if is_watch {
                stream.write_all(WATCH_RESPONSE_HEAD).await?;
                return self.serve_watch(stream, &request, fault).await;
            }
            let list = self.list_as_served(fault);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            stream.write_all(head.as_bytes()).await?;
            let (first_half, second_half) = list.split_at(list.len() / 2);
            stream.write_all(first_half.as_bytes()).await?;
            match fault {
                Some(Fault::SilentInList | Fault::Late) => return stay_silent(stream).await,
                Some(Fault::CutList) => return Ok(()),
                Some(Fault::Endless) => return send_forever(stream, b" ").await,
                _ => stream.write_all(second_half.as_bytes()).await?,
            }
        }
    }

    fn list_as_served(&self, fault: Option<Fault>) -> String {
        if fault == Some(Fault::OldRevision) {
            list(0)
        } else {
            list(self.revision.get())
        }
    }

    /// Sends updates and keep-alives until the service goes down or the client closes the connection.
    async fn serve_watch(
        &self,
        mut stream: DuplexStream,
        request: &str,
        fault: Option<Fault>,
    ) -> io::Result<()> {
        match fault {
            None => {}
            Some(Fault::Endless) => return send_forever(stream, b"1\r\n \r\n").await,
            Some(Fault::CutList) => return stream.write_all(b"80\r\n{\"rev\":1,\"all\"").await,
            Some(Fault::OldRevision) => return send_line(&mut stream, &list(0)).await,
            Some(_) => return stay_silent(stream).await,
        }
        let mut known_revision = requested_revision(request);
        let mut availability = self.availability.subscribe();
        loop {
            let revision = self.revision.get();
            let line = if known_revision == revision {
                String::new()
            } else {
                list(revision)
            };
            known_revision = revision;
            send_line(&mut stream, &line).await?;
            let goes_down = availability.wait_for(|now| *now != Availability::Up);
            if timeout(KEEP_ALIVE_INTERVAL, goes_down).await.is_ok() {
                return match self.current_fault() {
                    Some(Fault::Refused | Fault::Reset) => Ok(()),
                    _ => stay_silent(stream).await,
                };
            }
        }
    }
}

fn list(revision: u64) -> String {
    format!(
        r#"{{"rev":{revision},"all":true,"targets":[{{"uid":"s-{revision}","endpoint":"127.0.0.1:1","pod_group":0,"state":"ready"}}]}}"#
    )
}

fn requested_revision(request: &str) -> u64 {
    request
        .split("index=")
        .nth(1)
        .and_then(|tail| tail.split(' ').next()?.parse().ok())
        .unwrap_or_default()
}

async fn read_head(stream: &mut DuplexStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// Sends a line as a single HTTP chunk.
async fn send_line(stream: &mut DuplexStream, line: &str) -> io::Result<()> {
    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    stream.write_all(chunk.as_bytes()).await
}

/// Keeps the connection open without sending anything until the client closes it.
async fn stay_silent(mut stream: DuplexStream) -> io::Result<()> {
    while stream.read(&mut [0; 64]).await? > 0 {}
    Ok(())
}

async fn send_forever(mut stream: DuplexStream, piece: &[u8]) -> io::Result<()> {
    loop {
        stream.write_all(piece).await?;
        sleep(Duration::from_millis(500)).await;
    }
}

/// A network with a discovery service at each of its addresses.
#[derive(Clone)]
pub struct Network {
    services: Rc<Vec<(SocketAddr, Rc<Service>)>>,
}

impl Network {
    pub fn new(services: &[(SocketAddr, Rc<Service>)]) -> Network {
        Network {
            services: Rc::new(services.to_vec()),
        }
    }
}

impl Connect for Network {
    type Stream = DuplexStream;

    async fn connect(&self, address: SocketAddr) -> io::Result<DuplexStream> {
        let (_, service) = self
            .services
            .iter()
            .find(|(service_address, _)| *service_address == address)
            .expect("the address of a service");
        service.accept().await
    }
}
