//! Discovery: the whole list once, then a watch that is opened again whenever it ends or falls silent.

use crate::EndpointState;
use crate::gateway::backoff::Backoff;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

/// A machine that is cut off says nothing: no connection within this time is a failure.
const CONNECT: Duration = Duration::from_secs(1);
/// The whole list has to be there within the first of these of the call's beginning, or within the second of its
/// head, where that came late: with the wait that follows a call that hangs, another one has its answer 6 s
/// after discovery could be reached again.
const LIST: Duration = Duration::from_secs(3);
const LIST_BODY: Duration = Duration::from_secs(1);
/// An empty line comes every 2 s. Once one is late by half of that the watch is dead, whatever TCP thinks. What
/// it misses counts as told 6 s after its last word: that leaves time for the wait before another call, and
/// where an agent is asked for two calls that hang as well.
const QUIET: Duration = Duration::from_secs(3);
/// The longest line or list that is read: an endless one must not fill the memory.
const LIST_MOST: usize = 4 << 20;

/// Where a worker stood of which only its end is told.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// What discovery says of one worker.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEndpoint {
    /// Its name, the same at every gatekeeper.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// The name of its kind of machine.
    pub model: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes new work.
    pub health: EndpointState,
    /// Its registered size, to compare with others'.
    pub size: f64,
    /// Its last start, as Unix time in milliseconds; 0 if long ago.
    pub boot_ms: f64,
}

/// A snapshot of the list of workers, or a delta: what changed in it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointUpdate {
    /// The version that the list has with it.
    pub revision: u64,
    /// Whether it holds every worker there is: who is not named is gone.
    pub snapshot: bool,
    /// What it says of each worker that it names.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    /// Reads discovery's form. A line that can't be read costs that line only.
    pub fn read(value: &Value) -> Option<EndpointUpdate> {
        let targets = value.get("targets")?.as_array()?;
        Some(EndpointUpdate {
            revision: value.get("rev")?.as_u64()?,
            snapshot: value.get("all").and_then(Value::as_bool).unwrap_or(false),
            endpoints: targets.iter().filter_map(target).collect(),
        })
    }
}

fn target(line: &Value) -> Option<ListedEndpoint> {
    let text = |key: &str| line.get(key).and_then(Value::as_str);
    let figure = |key: &str| {
        line.get(key)
            .and_then(Value::as_f64)
            .filter(|x| x.is_finite() && *x >= 0.0)
    };
    let health = match text("state")? {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Removed,
        _ => return None,
    };
    // Of one that is gone nothing else matters, and the news must not be missed.
    let gone = health == EndpointState::Removed;
    let cell = line
        .get("pod_group")
        .and_then(Value::as_u64)
        .and_then(|n| u32::try_from(n).ok());
    Some(ListedEndpoint {
        uid: text("uid").filter(|uid| !uid.is_empty())?.to_string(),
        endpoint: text("endpoint")
            .and_then(|at| at.parse().ok())
            .or(gone.then_some(NOWHERE))?,
        zone: text("az").unwrap_or_default().to_string(),
        model: text("model").unwrap_or_default().to_string(),
        cell: cell.or(gone.then_some(0))?,
        health,
        size: figure("capacity_hint").unwrap_or(1.0),
        boot_ms: figure("boot_ms").unwrap_or(0.0),
    })
}

/// How discovery is reached.
pub trait Connect {
    /// A connection that is up.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Opens a connection. Need not give up by itself.
    fn connect(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// Discovery is reached over TCP.
pub struct Tcp;

impl Connect for Tcp {
    type Stream = TcpStream;

    async fn connect(&self, at: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(at).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Follows discovery for as long as the process lives: hands every snapshot and delta on to `take`. `rev` is the
/// version of the list at hand. At a new address all begins anew: versions are its own, and what is on its way
/// from the old one is dropped.
pub async fn follow<C: Connect>(
    connect: C,
    mut take: impl FnMut(EndpointUpdate),
    mut at: watch::Receiver<SocketAddr>,
    mut rev: Option<u64>,
    mut backoff: Backoff,
) {
    // Where there is a list to begin with, others that start or move at the same time may go first.
    let mut spread = rev.is_some();
    loop {
        let address = *at.borrow_and_update();
        let mut calls = Calls {
            connect: &connect,
            take: &mut take,
            backoff: &mut backoff,
            address,
            rev: rev.take(),
        };
        tokio::select! {
            biased;
            moved = at.changed() => {
                if moved.is_err() {
                    return;
                }
                spread = true;
            }
            () = calls.follow(spread) => {}
        }
    }
}

/// The calls to discovery at one address.
struct Calls<'a, C, T> {
    connect: &'a C,
    take: &'a mut T,
    backoff: &'a mut Backoff,
    address: SocketAddr,
    /// The version of the list at hand, if there is one to build on.
    rev: Option<u64>,
}

impl<C: Connect, T: FnMut(EndpointUpdate)> Calls<'_, C, T> {
    /// Follows discovery without end.
    async fn follow(&mut self, spread: bool) {
        let mut complained = false;
        self.backoff.reset();
        if spread {
            sleep(self.backoff.initial_delay()).await;
        }
        loop {
            let begun = Instant::now();
            let mut last = None;
            let ended = self.call(&mut last).await;
            if last.is_some() {
                self.backoff.reset();
                complained = false;
            }
            if let Err(e) = ended
                && !std::mem::replace(&mut complained, true)
            {
                eprintln!(
                    "marlshelf-gateway: discovery at {}: {e}; trying again",
                    self.address
                );
            }
            sleep(self.backoff.next_delay(last.unwrap_or(begun).elapsed())).await;
        }
    }

    /// One connection: the snapshot if there is none to build on, then a watch until it ends. `last` tells when
    /// it last said something.
    async fn call(&mut self, last: &mut Option<Instant>) -> Result<(), String> {
        let begun = Instant::now();
        let stream = by(
            begun + CONNECT,
            "connecting",
            self.connect.connect(self.address),
        )
        .await?;
        let (mut call, connection) = by(
            begun + CONNECT,
            "connecting",
            handshake(TokioIo::new(stream)),
        )
        .await?;
        // Ended with this call, also where that is dropped half way.
        let mut driver = JoinSet::new();
        driver.spawn_local(async move {
            // How it ended shows in the call that waits on it.
            let _ = connection.await;
        });
        if self.rev.is_none() {
            let body = self.get(&mut call, "/v1/servers", begun).await?.into_body();
            let whole = (begun + LIST).max(Instant::now() + LIST_BODY);
            let text = by(whole, "the list", Limited::new(body, LIST_MOST).collect())
                .await?
                .to_bytes();
            let value =
                serde_json::from_slice(&text).map_err(|e| format!("the list is no JSON: {e}"))?;
            self.heard(
                EndpointUpdate::read(&value).ok_or("the list is none")?,
                last,
            );
            by(Instant::now() + CONNECT, "the list", call.ready()).await?;
        }
        let path = format!("/v1/servers?stream=1&index={}", self.rev.unwrap_or(0));
        let mut body = self
            .get(&mut call, &path, last.unwrap_or(begun))
            .await?
            .into_body();
        let mut frames = FrameDecoder::default();
        // Pieces of a line that never ends are no sign of life.
        let mut silent_at = Instant::now() + QUIET;
        while let Some(frame) = timeout_at(silent_at, body.frame())
            .await
            .map_err(|_| "the watch is silent")?
        {
            let data = frame
                .map_err(|e| e.to_string())?
                .into_data()
                .unwrap_or_default();
            for piece in data.split_inclusive(|b| *b == b'\n') {
                match frames.decode(piece)? {
                    None => continue,
                    Some(Frame::KeepAlive) => *last = Some(Instant::now()),
                    Some(Frame::Update(update)) => self.heard(update, last),
                }
                silent_at = Instant::now() + QUIET;
            }
        }
        Err("the watch ended".into())
    }

    fn heard(&mut self, update: EndpointUpdate, last: &mut Option<Instant>) {
        self.rev = Some(update.revision);
        *last = Some(Instant::now());
        (self.take)(update);
    }

    /// Asks, and waits for the head of the answer: up to `LIST` after this instant at the most, however late the
    /// connection came up.
    async fn get(
        &self,
        call: &mut SendRequest<Empty<Bytes>>,
        path: &str,
        since: Instant,
    ) -> Result<Response<Incoming>, String> {
        let request = Request::get(path)
            .header("host", self.address.to_string())
            .body(Empty::new());
        let request = request.map_err(|e| e.to_string())?;
        let end = (Instant::now() + self.backoff.response_timeout()).min(since + LIST);
        let answer = by(end, path, call.send_request(request)).await?;
        if answer.status() == StatusCode::OK {
            Ok(answer)
        } else {
            Err(format!("{path}: {}", answer.status()))
        }
    }
}

async fn by<T, E: std::fmt::Display>(
    end: Instant,
    what: &str,
    call: impl Future<Output = Result<T, E>>,
) -> Result<T, String> {
    match timeout_at(end, call).await {
        Ok(ended) => ended.map_err(|e| format!("{what}: {e}")),
        Err(_) => Err(format!("{what}: no answer in time")),
    }
}

/// Splits what a watch sends into frames. A frame is a line, or stands on several.
#[derive(Default)]
pub struct FrameDecoder(Vec<u8>);

/// What a watch says.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// An empty line: it lives, and nothing has changed.
    KeepAlive,
    /// News of the workers.
    Update(EndpointUpdate),
}

impl FrameDecoder {
    /// Takes in a piece of a line, or a whole one with its end, and gives the frame that is whole with it.
    ///
    /// # Errors
    /// When what has come can't be the beginning of a frame, or grows too long.
    pub fn decode(&mut self, piece: &[u8]) -> Result<Option<Frame>, String> {
        let first = !self.0.contains(&b'\n');
        self.0.extend_from_slice(piece);
        if self.0.len() > LIST_MOST {
            return Err("a line is too long".into());
        }
        if !piece.ends_with(b"\n") {
            return Ok(None);
        }
        let text = self.0.trim_ascii();
        if text.is_empty() {
            self.0.clear();
            return Ok(Some(Frame::KeepAlive));
        }
        let line = self.0[..self.0.len() - 1]
            .rsplit(|b| *b == b'\n')
            .next()
            .unwrap_or_default();
        let empty = line.trim_ascii().is_empty();
        // Only a brace can end a list: it is not read anew for every line of it.
        if !first && !empty && !text.ends_with(b"}") {
            return Ok(None);
        }
        match serde_json::from_slice(text) {
            Ok(value) => {
                self.0.clear();
                Ok(Some(Frame::Update(
                    EndpointUpdate::read(&value).ok_or("a line is no list")?,
                )))
            }
            Err(e) if e.is_eof() && !empty => Ok(None),
            Err(e) => Err(format!("a line is no JSON: {e}")),
        }
    }
}
