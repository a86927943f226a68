//! Follows the endpoint list: a snapshot, then a watch, and a new connection whenever that fails.

use super::transport::{HttpConnection, read_snapshot};
use super::{
    Connect, DiscoveryCallStep, DiscoveryError, EndpointUpdate, Frame, FrameDecoder, PollSchedule,
};
use crate::gateway::log::{self, LogEvent};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

const LIST_PATH: &str = "/v1/servers";

/// A machine that is cut off does not answer at all: no connection within this time is a failure.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The whole list must have arrived within `SNAPSHOT_TIMEOUT` of the beginning of the call, or within
/// `SNAPSHOT_BODY_TIMEOUT` of the head of the response, where that came late. Together with the delay that
/// follows a call that hangs, the next call then has its answer 6 s after discovery could be reached again.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);
const SNAPSHOT_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Discovery sends a keep-alive every 2 s. A watch without one for half as long again has failed, whatever TCP
/// reports. An update that it misses must arrive within 6 s of the last keep-alive: that leaves time for the
/// delay before the next call and, where the list comes from an agent, for two calls that hang as well.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Follows discovery for the life of the process and passes every snapshot and delta to `on_update`.
///
/// `revision` is the revision of the list that the gateway already has, if it has one to build on. When `address`
/// changes, everything starts anew: revisions are those of one discovery service only, and what is on its way
/// from the old address is dropped. Returns when the sender of `address` is dropped.
pub async fn follow<C: Connect>(
    connector: C,
    mut on_update: impl FnMut(EndpointUpdate),
    mut address: watch::Receiver<SocketAddr>,
    mut revision: Option<u64>,
    mut schedule: PollSchedule,
) {
    // A gateway that has a list lets others, which start or move at the same time, call first.
    let mut delay_first_call = revision.is_some();
    loop {
        let current_address = *address.borrow_and_update();
        let mut watcher = Watcher {
            connector: &connector,
            on_update: &mut on_update,
            schedule: &mut schedule,
            address: current_address,
            revision: revision.take(),
            last_received_at: None,
        };
        tokio::select! {
            biased;
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                delay_first_call = true;
            }
            () = watcher.run(delay_first_call) => {}
        }
    }
}

/// Follows discovery at one address.
struct Watcher<'a, C, F> {
    connector: &'a C,
    on_update: &'a mut F,
    schedule: &'a mut PollSchedule,
    address: SocketAddr,
    /// The revision of the list that the gateway has, if it has one to build on.
    revision: Option<u64>,
    /// When the current connection last brought an update or a keep-alive.
    last_received_at: Option<Instant>,
}

impl<C: Connect, F: FnMut(EndpointUpdate)> Watcher<'_, C, F> {
    /// Connects again and again, without end.
    async fn run(&mut self, delay_first_call: bool) {
        self.schedule.reset();
        if delay_first_call {
            sleep(self.schedule.initial_delay()).await;
        }
        let mut failure_logged = false;
        loop {
            let started_at = Instant::now();
            self.last_received_at = None;
            let Err(error) = self.run_connection(started_at).await;
            if self.last_received_at.is_some() {
                self.schedule.reset();
                failure_logged = false;
            }
            // One line for each outage, not for each call that fails in it.
            if !failure_logged {
                failure_logged = true;
                log::event(&LogEvent::DiscoveryFailed {
                    address: self.address,
                    error: &error,
                });
            }
            let last_contact_at = self.last_received_at.unwrap_or(started_at);
            sleep(self.schedule.next_delay(last_contact_at.elapsed())).await;
        }
    }

    /// Uses one connection until it fails: fetches the snapshot if there is no list to build on, then watches.
    async fn run_connection(&mut self, started_at: Instant) -> Result<Infallible, DiscoveryError> {
        let connect_deadline = started_at + CONNECT_TIMEOUT;
        let mut connection =
            HttpConnection::open(self.connector, self.address, connect_deadline).await?;
        if self.revision.is_none() {
            self.fetch_snapshot(&mut connection, started_at).await?;
            connection.ready(Instant::now() + CONNECT_TIMEOUT).await?;
        }
        self.watch(&mut connection, started_at).await
    }

    async fn fetch_snapshot(
        &mut self,
        connection: &mut HttpConnection,
        started_at: Instant,
    ) -> Result<(), DiscoveryError> {
        let head_deadline = self.head_deadline(started_at);
        let body = connection.get(LIST_PATH, head_deadline).await?;
        let body_deadline =
            (started_at + SNAPSHOT_TIMEOUT).max(Instant::now() + SNAPSHOT_BODY_TIMEOUT);
        let bytes = read_snapshot(body, body_deadline).await?;
        self.accept_update(EndpointUpdate::from_json_bytes(&bytes)?);
        Ok(())
    }

    async fn watch(
        &mut self,
        connection: &mut HttpConnection,
        started_at: Instant,
    ) -> Result<Infallible, DiscoveryError> {
        let path = format!("{LIST_PATH}?stream=1&index={}", self.revision.unwrap_or(0));
        let head_deadline = self.head_deadline(self.last_received_at.unwrap_or(started_at));
        let mut body = connection.get(&path, head_deadline).await?;
        let mut decoder = FrameDecoder::default();
        let mut silence_deadline = Instant::now() + WATCH_SILENCE_TIMEOUT;
        loop {
            let next_frame = timeout_at(silence_deadline, body.frame())
                .await
                .map_err(|_| DiscoveryError::WatchSilent)?
                .ok_or(DiscoveryError::WatchEnded)?;
            let body_frame = next_frame.map_err(|error| DiscoveryError::Failed {
                step: DiscoveryCallStep::ReadWatch,
                source: error.into(),
            })?;
            let bytes = body_frame.into_data().unwrap_or_default();
            // Only a complete frame is a sign of life: pieces of a line that never ends are none.
            if self.accept_bytes(&mut decoder, &bytes)? {
                silence_deadline = Instant::now() + WATCH_SILENCE_TIMEOUT;
            }
        }
    }

    /// Handles the frames that these bytes complete, and returns whether there were any.
    fn accept_bytes(
        &mut self,
        decoder: &mut FrameDecoder,
        bytes: &Bytes,
    ) -> Result<bool, DiscoveryError> {
        let mut received_frame = false;
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            match decoder.decode(piece)? {
                None => continue,
                Some(Frame::KeepAlive) => self.last_received_at = Some(Instant::now()),
                Some(Frame::Update(update)) => self.accept_update(update),
            }
            received_frame = true;
        }
        Ok(received_frame)
    }

    fn accept_update(&mut self, update: EndpointUpdate) {
        self.revision = Some(update.revision);
        self.last_received_at = Some(Instant::now());
        (self.on_update)(update);
    }

    /// By when the head of a response must have come: within the time that such a discovery may take, but no later
    /// than `SNAPSHOT_TIMEOUT` after `since`, however late the connection came up.
    fn head_deadline(&self, since: Instant) -> Instant {
        (Instant::now() + self.schedule.response_timeout()).min(since + SNAPSHOT_TIMEOUT)
    }
}
