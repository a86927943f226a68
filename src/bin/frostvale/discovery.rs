//! Discovery: the whole list once, then a watch that is opened again whenever it ends or falls silent.

use crate::backoff::Backoff;
use crate::gateway::Shared;
use frostvale::Health;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A machine that is cut off says nothing: no connection within this time is a failure.
const CALL: Duration = Duration::from_secs(1);
/// An empty line comes every 2 s. Once one is late by half of that the watch is dead, whatever TCP thinks. What
/// it misses counts as told 6 s after its last word: that leaves time for two calls that hang as well.
const QUIET: Duration = Duration::from_secs(3);
/// The longest line or list that is read: an endless one must not fill the memory.
const LIST_MOST: usize = 4 << 20;

/// Where a worker stood of which only its end is told.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// A line of the list.
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub model: String,
    pub cell: u32,
    pub health: Health,
    pub size: f64,
    pub boot_ms: f64,
}

/// The list, or what changed in it.
pub struct Listed {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

/// Reads a list in discovery's form. A line that can't be read costs that line only.
pub fn listed(value: &Value) -> Option<Listed> {
    let targets = value.get("targets")?.as_array()?;
    Some(Listed {
        rev: value.get("rev")?.as_u64()?,
        all: value.get("all").and_then(Value::as_bool).unwrap_or(false),
        targets: targets.iter().filter_map(target).collect(),
    })
}

fn target(line: &Value) -> Option<Target> {
    let text = |key: &str| line.get(key).and_then(Value::as_str);
    let figure = |key: &str| line.get(key).and_then(Value::as_f64).filter(|x| x.is_finite() && *x >= 0.0);
    let health = match text("state")? {
        "ready" => Health::Up,
        "draining" => Health::Draining,
        "gone" => Health::Gone,
        _ => return None,
    };
    // Of one that is gone nothing else matters, and the news must not be missed.
    let gone = health == Health::Gone;
    let cell = line.get("pod_group").and_then(Value::as_u64).and_then(|n| u32::try_from(n).ok());
    Some(Target {
        uid: text("uid").filter(|uid| !uid.is_empty())?.to_string(),
        endpoint: text("endpoint").and_then(|at| at.parse().ok()).or(gone.then_some(NOWHERE))?,
        zone: text("az").unwrap_or_default().to_string(),
        model: text("model").unwrap_or_default().to_string(),
        cell: cell.or(gone.then_some(0))?,
        health,
        size: figure("capacity_hint").unwrap_or(1.0),
        boot_ms: figure("boot_ms").unwrap_or(0.0),
    })
}

/// Follows discovery for as long as the process lives. `rev` is the version of the list at hand. At a new
/// address all begins anew: versions are its own, and what is on its way from the old one is dropped.
pub async fn follow(
    gateway: Shared,
    mut at: watch::Receiver<SocketAddr>,
    mut rev: Option<u64>,
    mut backoff: Backoff,
) {
    // Where there is a list to begin with, the others that start now may go first.
    if rev.is_some() {
        sleep(backoff.first()).await;
    }
    loop {
        let address = *at.borrow_and_update();
        tokio::select! {
            biased;
            moved = at.changed() => {
                if moved.is_err() {
                    return;
                }
            }
            () = follow_one(&gateway, address, rev.take(), &mut backoff) => {}
        }
    }
}

/// Follows discovery at one address without end.
async fn follow_one(gateway: &Shared, address: SocketAddr, mut rev: Option<u64>, backoff: &mut Backoff) {
    let mut complained = false;
    backoff.reset();
    loop {
        let mut heard = false;
        let ended = session(gateway, address, &mut rev, &mut heard, backoff.patience()).await;
        if heard {
            backoff.reset();
            complained = false;
        }
        if let Err(e) = ended
            && !complained
        {
            complained = true;
            eprintln!("frostvale: discovery at {address}: {e}; trying again");
        }
        sleep(backoff.next()).await;
    }
}

/// One connection: the whole list if there is none to build on, then a watch until it ends.
async fn session(
    gateway: &Shared,
    address: SocketAddr,
    rev: &mut Option<u64>,
    heard: &mut bool,
    patience: Duration,
) -> Result<(), String> {
    let stream = within(CALL, "connecting", TcpStream::connect(address)).await?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (mut call, connection) = within(CALL, "connecting", handshake(TokioIo::new(stream))).await?;
    // Ended with this session, also where that is dropped half way.
    let mut driver = JoinSet::new();
    driver.spawn_local(async move {
        // How it ended shows in the call that waits on it.
        let _ = connection.await;
    });
    listen(gateway, &mut call, address, rev, heard, patience).await
}

/// What a watch has said of a list that is not whole yet.
#[derive(Default)]
struct Half(Vec<u8>);

impl Half {
    /// Takes in a piece of a line, or a whole one. Gives what is whole with it: a list, which may stand on
    /// several lines, or the empty line that only says that the watch lives.
    fn piece(&mut self, piece: &[u8]) -> Result<Option<Whole>, String> {
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
            return Ok(Some(Whole::Nothing));
        }
        let line = self.0[..self.0.len() - 1].rsplit(|b| *b == b'\n').next().unwrap_or_default();
        let empty = line.trim_ascii().is_empty();
        // Only a brace can end a list: it is not read anew for every line of it.
        if !first && !empty && !text.ends_with(b"}") {
            return Ok(None);
        }
        match serde_json::from_slice(text) {
            Ok(value) => {
                self.0.clear();
                Ok(Some(Whole::List(listed(&value).ok_or("a line is no list")?)))
            }
            Err(e) if e.is_eof() && !empty => Ok(None),
            Err(e) => Err(format!("a line is no JSON: {e}")),
        }
    }
}

enum Whole {
    Nothing,
    List(Listed),
}

async fn listen(
    gateway: &Shared,
    call: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    rev: &mut Option<u64>,
    heard: &mut bool,
    patience: Duration,
) -> Result<(), String> {
    let mut take = |list: Listed, rev: &mut Option<u64>| {
        *rev = Some(list.rev);
        *heard = true;
        gateway.borrow_mut().listed(list);
    };
    if rev.is_none() {
        let body = get(call, address, "/v1/servers", patience).await?.into_body();
        let text = within(QUIET, "the list", Limited::new(body, LIST_MOST).collect()).await?.to_bytes();
        let value = serde_json::from_slice(&text).map_err(|e| format!("the list is no JSON: {e}"))?;
        take(listed(&value).ok_or("the list is none")?, rev);
        within(CALL, "the list", call.ready()).await?;
    }
    let path = format!("/v1/servers?stream=1&index={}", rev.unwrap_or(0));
    let mut body = get(call, address, &path, patience).await?.into_body();
    let mut half = Half::default();
    // Pieces of a line that never ends are no sign of life.
    let mut silent_at = Instant::now() + QUIET;
    while let Some(frame) = timeout_at(silent_at, body.frame()).await.map_err(|_| "the watch is silent")? {
        let data = frame.map_err(|e| e.to_string())?.into_data().unwrap_or_default();
        for piece in data.split_inclusive(|b| *b == b'\n') {
            let Some(whole) = half.piece(piece)? else { continue };
            silent_at = Instant::now() + QUIET;
            if let Whole::List(list) = whole {
                take(list, rev);
            }
        }
    }
    Err("the watch ended".into())
}

async fn get(
    call: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    path: &str,
    patience: Duration,
) -> Result<Response<Incoming>, String> {
    let request = Request::get(path).header("host", address.to_string()).body(Empty::new());
    let request = request.map_err(|e| e.to_string())?;
    let answer = within(patience, path, call.send_request(request)).await?;
    if answer.status() == StatusCode::OK { Ok(answer) } else { Err(format!("{path}: {}", answer.status())) }
}

async fn within<T, E: std::fmt::Display>(
    most: Duration,
    what: &str,
    call: impl Future<Output = Result<T, E>>,
) -> Result<T, String> {
    match timeout(most, call).await {
        Ok(ended) => ended.map_err(|e| format!("{what}: {e}")),
        Err(_) => Err(format!("{what}: no answer in time")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What the pieces make whole: how many workers are listed, and how many empty lines there are.
    fn read(pieces: &[&str]) -> Result<(usize, usize), String> {
        let (mut half, mut workers, mut empty) = (Half::default(), 0, 0);
        for piece in pieces.iter().flat_map(|p| p.as_bytes().split_inclusive(|b| *b == b'\n')) {
            match half.piece(piece)? {
                Some(Whole::List(list)) => workers += list.targets.len(),
                Some(Whole::Nothing) => empty += 1,
                None => {}
            }
        }
        Ok((workers, empty))
    }

    const INDENTED: &str = r#"{
  "rev": 43,
  "targets": [
    {
      "uid": "s-1", "endpoint": "127.0.0.1:1", "pod_group": 0, "state": "ready"
    }
  ]
}
"#;

    #[test]
    fn a_watch_may_be_indented_and_come_in_any_pieces() {
        let flat = INDENTED.replace(['\n', ' '], "") + "\n";
        assert_eq!(read(&[&flat, "\n", &flat]), Ok((2, 1)));
        assert_eq!(read(&["\n", INDENTED, "\r\n", INDENTED, "\n"]), Ok((2, 3)));
        for cut in 1..INDENTED.len() {
            let (head, tail) = INDENTED.split_at(cut);
            assert_eq!(read(&[head, tail, &flat, "\n"]), Ok((2, 1)), "cut at {cut}");
        }
    }

    #[test]
    fn a_list_that_breaks_off_is_no_list() {
        for cut in 1..INDENTED.trim_end().len() {
            let head = INDENTED.split_at(cut).0;
            assert!(read(&[head, "\n\n"]).is_err(), "cut at {cut}, then a sign of life");
        }
        assert!(read(&["{nonsense\n"]).is_err());
        assert!(read(&["7\n"]).is_err());
    }
}
