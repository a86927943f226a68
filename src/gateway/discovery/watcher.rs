//! Follows the endpoint list: fetches a snapshot, opens a watch, and reconnects on failure.

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

/// Timeout for a connect, needed because an unreachable machine does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The complete snapshot must arrive within `SNAPSHOT_TIMEOUT` of the start of the call, or within
/// `SNAPSHOT_BODY_TIMEOUT` of the response head, whichever is later. If a call hangs, the next call is then
/// answered within 6 s of the time at which discovery is reachable again.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);
const SNAPSHOT_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum time between frames of a watch, 1.5 times the keep-alive interval of 2 s. A watch that exceeds
/// it has failed, even if TCP reports no error. An update missed by the watch must arrive within 6 s of the
/// last keep-alive, which leaves time for the delay before the next call and, in the case of an agent, for
/// two more calls that hang.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Follows discovery for the lifetime of the process and passes every snapshot and delta to `on_update`.
///
/// `revision` is the revision of the list that the gateway already has; `None` if it has none. When `address`
/// changes, the client closes its connection and fetches a snapshot from the new address, because revisions
/// are specific to one discovery service. Returns when the sender of `address` is dropped.
pub async fn follow<C: Connect>(
    connector: C,
    mut on_update: impl FnMut(EndpointUpdate),
    mut address: watch::Receiver<SocketAddr>,
    mut revision: Option<u64>,
    mut schedule: PollSchedule,
) {
    // A gateway that already has a list delays its first call, which gives precedence to other gateways that
    // start or change address at the same time.
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

/// The client's state while it follows discovery at one address.
struct Watcher<'a, C, F> {
    connector: &'a C,
    on_update: &'a mut F,
    schedule: &'a mut PollSchedule,
    address: SocketAddr,
    /// The revision from which to continue; `None` if a snapshot must be fetched first.
    revision: Option<u64>,
    /// When the current connection last received an update or a keep-alive.
    last_received_at: Option<Instant>,
}

impl<C: Connect, F: FnMut(EndpointUpdate)> Watcher<'_, C, F> {
    /// Connects in an endless loop, with a delay after each failure.
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
            // Log one line per outage rather than one per failed call.
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

    /// Opens a connection and uses it until it fails: fetches a snapshot if there is no revision to continue
    /// from, and then watches.
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
        self.process_update(EndpointUpdate::from_json_bytes(&bytes)?);
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
            // Only a complete frame extends the deadline. Pieces of a line that never ends do not.
            if self.process_bytes(&mut decoder, &bytes)? {
                silence_deadline = Instant::now() + WATCH_SILENCE_TIMEOUT;
            }
        }
    }

    /// Processes all frames that `bytes` completes. Returns whether there was at least one.
    fn process_bytes(
        &mut self,
        decoder: &mut FrameDecoder,
        bytes: &Bytes,
    ) -> Result<bool, DiscoveryError> {
        let mut received_frame = false;
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            match decoder.decode(piece)? {
                None => continue,
                Some(Frame::KeepAlive) => self.last_received_at = Some(Instant::now()),
                Some(Frame::Update(update)) => self.process_update(update),
            }
            received_frame = true;
        }
        Ok(received_frame)
    }

    fn process_update(&mut self, update: EndpointUpdate) {
        self.revision = Some(update.revision);
        self.last_received_at = Some(Instant::now());
        (self.on_update)(update);
    }

    /// Returns the deadline for a response head: the response timeout of the discovery mode from now, but no
    /// later than `SNAPSHOT_TIMEOUT` after `since`, even if the connection was established late.
    fn head_deadline(&self, since: Instant) -> Instant {
        (Instant::now() + self.schedule.response_timeout()).min(since + SNAPSHOT_TIMEOUT)
    }
}
