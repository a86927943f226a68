//! One call to discovery: a connection on which the list is fetched, unless it is known, and then watched.
//!
//! A call waits for discovery without a limit, because a late answer is still of use. It says how long each step
//! should take at most; the watcher then starts another call beside it.

use super::transport::{HttpConnection, read_snapshot};
use super::{
    Connect, DiscoveryCallStep, DiscoveryError, EndpointUpdate, Frame, FrameDecoder, UpdateSink,
};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

const LIST_PATH: &str = "/v1/servers";

/// How long a connect should take at most. An unreachable machine does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The complete snapshot should arrive within `SNAPSHOT_TIMEOUT` of the start of the call, or within
/// `SNAPSHOT_BODY_TIMEOUT` of the response head, whichever is later. If a call hangs, the next call is then
/// answered within 6 s of the time at which discovery is reachable again.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);
const SNAPSHOT_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum time between frames of a watch, 1.5 times the keep-alive interval of 2 s. A watch that exceeds
/// it has failed, even if TCP reports no error. An update missed by the watch must arrive within 6 s of the
/// last keep-alive, which leaves time for the delay before the next call and, in the case of an agent, for
/// two more calls that hang.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Identifies a call. Later calls have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct CallNumber(pub u64);

/// How far a call has got.
pub(super) struct CallProgress {
    pub number: CallNumber,
    started_at: Instant,
    last_received_at: Cell<Option<Instant>>,
    awaited: RefCell<Option<AwaitedStep>>,
}

/// A step of a call that discovery has to answer.
struct AwaitedStep {
    step: DiscoveryCallStep,
    due_at: Instant,
}

impl CallProgress {
    /// Creates the progress of a call that starts now.
    pub fn start(number: CallNumber) -> Rc<CallProgress> {
        let started_at = Instant::now();
        let connect = AwaitedStep {
            step: DiscoveryCallStep::Connect,
            due_at: started_at + CONNECT_TIMEOUT,
        };
        Rc::new(CallProgress {
            number,
            started_at,
            last_received_at: Cell::new(None),
            awaited: RefCell::new(Some(connect)),
        })
    }

    /// The time by which the present step should be complete. `None` while the call watches.
    pub fn due_at(&self) -> Option<Instant> {
        self.awaited.borrow().as_ref().map(|awaited| awaited.due_at)
    }

    /// The error of a step that was not complete in time; `None` if none is overdue.
    pub fn overdue_error(&self) -> Option<DiscoveryError> {
        let awaited = self.awaited.borrow();
        let overdue = awaited
            .as_ref()
            .filter(|awaited| awaited.due_at <= Instant::now())?;
        Some(DiscoveryError::TimedOut(overdue.step.clone()))
    }

    /// The time of the last update or keep-alive, or of the start if there was none.
    pub fn last_contact_at(&self) -> Instant {
        self.last_received_at.get().unwrap_or(self.started_at)
    }

    /// Whether the call has delivered an update or a keep-alive.
    pub fn has_received(&self) -> bool {
        self.last_received_at.get().is_some()
    }

    fn set_awaited(&self, step: DiscoveryCallStep, due_at: Instant) {
        self.awaited.replace(Some(AwaitedStep { step, due_at }));
    }

    fn set_received(&self) {
        self.last_received_at.set(Some(Instant::now()));
    }
}

/// A call to discovery at one address.
pub(super) struct Call<'a, C, F> {
    pub connector: &'a C,
    pub address: SocketAddr,
    /// Receives the updates of all calls.
    pub updates: &'a UpdateSink<F>,
    pub progress: Rc<CallProgress>,
    /// How long a response head should take at most.
    pub response_timeout: Duration,
}

impl<C: Connect, F: FnMut(EndpointUpdate)> Call<'_, C, F> {
    /// Runs the call until it fails.
    pub async fn run(self) -> DiscoveryError {
        let Err(error) = self.fetch_and_watch().await;
        error
    }

    async fn fetch_and_watch(&self) -> Result<Infallible, DiscoveryError> {
        let mut connection = HttpConnection::open(self.connector, self.address).await?;
        if self.updates.revision().is_none() {
            self.fetch_snapshot(&mut connection).await?;
            self.progress.set_awaited(
                DiscoveryCallStep::ReadSnapshot,
                Instant::now() + CONNECT_TIMEOUT,
            );
            connection.ready().await?;
        }
        self.watch(&mut connection).await
    }

    async fn fetch_snapshot(&self, connection: &mut HttpConnection) -> Result<(), DiscoveryError> {
        self.await_head(LIST_PATH);
        let body = connection.get(LIST_PATH).await?;
        let due_at = (self.progress.started_at + SNAPSHOT_TIMEOUT)
            .max(Instant::now() + SNAPSHOT_BODY_TIMEOUT);
        self.progress
            .set_awaited(DiscoveryCallStep::ReadSnapshot, due_at);
        let bytes = read_snapshot(body).await?;
        self.process_update(EndpointUpdate::from_json_bytes(&bytes)?);
        Ok(())
    }

    async fn watch(&self, connection: &mut HttpConnection) -> Result<Infallible, DiscoveryError> {
        let revision = self.updates.revision().unwrap_or(0);
        let path = format!("{LIST_PATH}?stream=1&index={revision}");
        self.await_head(&path);
        let mut body = connection.get(&path).await?;
        self.progress.awaited.replace(None);
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
        &self,
        decoder: &mut FrameDecoder,
        bytes: &Bytes,
    ) -> Result<bool, DiscoveryError> {
        let mut received_frame = false;
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            match decoder.decode(piece)? {
                None => continue,
                Some(Frame::KeepAlive) => self.process_keep_alive(),
                Some(Frame::Update(update)) => self.process_update(update),
            }
            received_frame = true;
        }
        Ok(received_frame)
    }

    fn process_keep_alive(&self) {
        self.progress.set_received();
        self.updates.keep_alive(self.progress.number);
    }

    fn process_update(&self, update: EndpointUpdate) {
        self.progress.set_received();
        self.updates.update(self.progress.number, update);
    }

    /// Sets when the response head is due: the response timeout of the discovery mode from now, but no later
    /// than `SNAPSHOT_TIMEOUT` after the last contact, even if the connection was established late.
    fn await_head(&self, path: &str) {
        let due_at = (Instant::now() + self.response_timeout)
            .min(self.progress.last_contact_at() + SNAPSHOT_TIMEOUT);
        self.progress
            .set_awaited(DiscoveryCallStep::Request(path.into()), due_at);
    }
}
