//! Follows the endpoint list: keeps a call to discovery open that watches it, and starts others while there is
//! none.

use super::call::{Call, CallNumber, CallProgress};
use super::{Connect, DiscoveryError, EndpointUpdate, PollSchedule, UpdateSink};
use crate::gateway::log::{self, LogEvent};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Limit on calls that are open at once. With one call after each response timeout, every call but the first has
/// 7 s or more, in which discovery may answer.
const MAX_OPEN_CALLS: usize = 8;

/// Follows discovery for the lifetime of the process and passes every snapshot and delta to `on_update`.
///
/// `revision` is the revision of the list that the gateway already has; `None` if it has none. When `address`
/// changes, all calls are closed and a snapshot is fetched from the new address, because revisions are
/// specific to one discovery service. An address that is sent again changes nothing: otherwise reloads in quick
/// succession would close each call before it is answered. Returns when the sender of `address` is dropped.
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
        let updates = UpdateSink::new(&mut on_update, revision.take());
        let mut watcher = Watcher {
            connector: &connector,
            updates: &updates,
            schedule: &mut schedule,
            address: current_address,
            calls: OpenCalls::default(),
            next_call_at: None,
            is_failure_logged: false,
        };
        tokio::select! {
            biased;
            changed = address.wait_for(|address| *address != current_address) => {
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
    updates: &'a UpdateSink<F>,
    schedule: &'a mut PollSchedule,
    address: SocketAddr,
    calls: OpenCalls<'a>,
    /// When to start another call; `None` while the newest call is not overdue.
    next_call_at: Option<Instant>,
    is_failure_logged: bool,
}

impl<C: Connect, F: FnMut(EndpointUpdate)> Watcher<'_, C, F> {
    /// Runs calls in an endless loop. If the newest call fails or is overdue, another one starts after a
    /// delay. An overdue call stays open, because a discovery that is slow may still answer it. Once a call
    /// delivers something, the others are closed.
    async fn run(&mut self, delay_first_call: bool) {
        self.schedule.reset();
        let first_call_at = if delay_first_call {
            Instant::now() + self.schedule.initial_delay()
        } else {
            Instant::now()
        };
        self.next_call_at = Some(first_call_at);
        let mut last_number = CallNumber::default();
        loop {
            let newest_due_at = self.calls.newest().and_then(|call| call.due_at());
            let due_at = newest_due_at.filter(|_| self.next_call_at.is_none());
            tokio::select! {
                event = self.calls.next_event(self.updates) => self.handle(event),
                () = wait_until(due_at) => self.check_overdue(),
                () = wait_until(self.next_call_at) => {
                    last_number.0 += 1;
                    self.start_call(last_number);
                }
            }
        }
    }

    fn start_call(&mut self, number: CallNumber) {
        self.next_call_at = None;
        let progress = CallProgress::start(number);
        let call = Call {
            connector: self.connector,
            address: self.address,
            updates: self.updates,
            progress: progress.clone(),
            response_timeout: self.schedule.response_timeout(),
        };
        self.calls.add(progress, Box::pin(call.run()));
    }

    fn handle(&mut self, event: CallEvent) {
        match event {
            CallEvent::Received => {
                self.calls.close_all_but(self.updates.source());
                self.next_call_at = None;
                self.schedule.reset();
                self.is_failure_logged = false;
            }
            CallEvent::Failed { call, error } => self.call_failed(&call, &error),
        }
    }

    fn check_overdue(&mut self) {
        if let Some(call) = self.calls.newest()
            && let Some(error) = call.overdue_error()
        {
            let call = call.clone();
            self.call_failed(&call, &error);
        }
    }

    /// Logs the failure of a call or of a step in time, one line for each outage, and schedules the next
    /// call if this was the newest one.
    fn call_failed(&mut self, call: &CallProgress, error: &DiscoveryError) {
        if call.has_received() {
            self.schedule.reset();
            self.is_failure_logged = false;
        }
        if !self.is_failure_logged {
            self.is_failure_logged = true;
            let address = self.address;
            log::event(&LogEvent::DiscoveryFailed { address, error });
        }
        let is_newest = self
            .calls
            .newest()
            .is_none_or(|newest| newest.number <= call.number);
        if is_newest && self.next_call_at.is_none() {
            let elapsed = call.last_contact_at().elapsed();
            self.next_call_at = Some(Instant::now() + self.schedule.next_delay(elapsed));
        }
    }
}

/// What has happened to the open calls.
enum CallEvent {
    /// A call has delivered an update or a keep-alive.
    Received,
    /// A call has failed, and is closed.
    Failed {
        call: Rc<CallProgress>,
        error: DiscoveryError,
    },
}

/// The open calls, in the order of their start.
#[derive(Default)]
struct OpenCalls<'a> {
    calls: Vec<OpenCall<'a>>,
}

struct OpenCall<'a> {
    progress: Rc<CallProgress>,
    future: Pin<Box<dyn Future<Output = DiscoveryError> + 'a>>,
}

impl<'a> OpenCalls<'a> {
    fn newest(&self) -> Option<&Rc<CallProgress>> {
        self.calls.last().map(|call| &call.progress)
    }

    /// Adds a call. If there are too many, closes the second oldest one: the oldest one has all the time that
    /// discovery may need, and the others are repeated.
    fn add(
        &mut self,
        progress: Rc<CallProgress>,
        future: Pin<Box<dyn Future<Output = DiscoveryError> + 'a>>,
    ) {
        if self.calls.len() >= MAX_OPEN_CALLS {
            self.calls.remove(1);
        }
        self.calls.push(OpenCall { progress, future });
    }

    fn close_all_but(&mut self, number: CallNumber) {
        self.calls.retain(|call| call.progress.number == number);
    }

    /// Runs the calls until something happens.
    async fn next_event<F>(&mut self, updates: &UpdateSink<F>) -> CallEvent
    where
        F: FnMut(EndpointUpdate),
    {
        poll_fn(|context| self.poll_event(updates, context)).await
    }

    fn poll_event<F>(
        &mut self,
        updates: &UpdateSink<F>,
        context: &mut Context<'_>,
    ) -> Poll<CallEvent>
    where
        F: FnMut(EndpointUpdate),
    {
        for index in 0..self.calls.len() {
            let polled = self.calls[index].future.as_mut().poll(context);
            if let Poll::Ready(error) = polled {
                // The call itself knows whether it received something before it failed.
                updates.take_received();
                let call = self.calls.remove(index).progress;
                return Poll::Ready(CallEvent::Failed { call, error });
            }
            if updates.take_received() {
                return Poll::Ready(CallEvent::Received);
            }
        }
        Poll::Pending
    }
}

/// Waits until a time, or forever if there is none.
async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
