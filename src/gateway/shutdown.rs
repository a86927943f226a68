//! Graceful shutdown: every request that the gateway has accepted is answered, and peers can still reach it.
//!
//! The platform sends SIGTERM and, after the termination grace period, SIGKILL. The phases below run one after
//! another; all but the wait for clients and answers are bounded, and those end because the event loop answers each
//! request by the deadline that [`Gateway::shut_down_within`](super::event_loop::EventLoop::shut_down_within) sets.
//!
//! | phase | ends when |
//! | --- | --- |
//! | accept grace period | 0.5 s have passed |
//! | drain backlog | no connection is left in the kernel's queue, or at the deadline |
//! | drain clients | every client connection is closed |
//! | await answers | no client is owed an answer |
//! | answer peers | the deadline, or a second signal; at once without peers |

use crate::gateway::clients::{ClientConnections, ClientListener};
use crate::gateway::event_loop::EventLoopHandle;
use crate::gateway::log::{self, LogEvent};
use crate::gateway::signals::TerminationSignals;
use crate::gateway::startup::RunningGateway;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// New connections arrive for up to 0.4 s after SIGTERM, until every client knows that the gateway ends.
const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// The fraction of the termination grace period after which the gateway has answered its clients, and up to which
/// it answers its peers. The rest is a margin before SIGKILL.
const TERMINATION_GRACE_FRACTION: f64 = 0.9;
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Shuts the gateway down and returns when the process may end.
pub(super) async fn shut_down(running: RunningGateway, termination: &mut TerminationSignals) {
    let time_limit = running
        .termination_grace
        .mul_f64(TERMINATION_GRACE_FRACTION);
    let deadline = Instant::now() + time_limit;
    running.event_loop.borrow_mut().shut_down_within(time_limit);
    accept_for_grace_period(&running).await;
    log::event(&LogEvent::ListenerClosing {
        gateway: &running.name,
    });
    // From here on every connection is closed as soon as nothing is in flight on it.
    running.clients.close_when_idle();
    drain_backlog(&running.client_listener, running.listener, deadline).await;
    drain_clients(&running.clients).await;
    await_answers(&running.event_loop).await;
    if running.has_peers {
        answer_peers(deadline, termination).await;
    }
    running.background_tasks.stop().await;
}

/// Accepts and serves new connections as before, because clients learn only with a delay that the gateway ends.
async fn accept_for_grace_period(running: &RunningGateway) {
    let _ = timeout(ACCEPT_GRACE_PERIOD, running.accept_clients()).await;
}

/// Serves the connections that the kernel has accepted already, and then closes the listener. Closing it would
/// reset them, and what their clients have sent counts as accepted.
async fn drain_backlog(client_listener: &ClientListener, socket: TcpListener, deadline: Instant) {
    let _ = timeout_at(deadline, client_listener.drain_backlog(socket)).await;
}

/// Waits until every client connection is closed.
async fn drain_clients(clients: &ClientConnections) {
    while !clients.is_empty() {
        clients.connection_closed().await;
    }
}

/// Waits until no client is owed an answer. Attempts whose clients have disconnected are not waited for, and the
/// kernel delivers the last bytes to clients.
async fn await_answers(event_loop: &EventLoopHandle) {
    while !event_loop.borrow().all_answered() {
        sleep(ANSWER_POLL_INTERVAL).await;
    }
}

/// Goes on answering other gateways, which still send quota requests for the token buckets that this gateway owns;
/// its next incarnation knows nothing about them. A second signal ends the wait.
async fn answer_peers(deadline: Instant, termination: &mut TerminationSignals) {
    tokio::select! {
        () = sleep_until(deadline) => {}
        () = termination.received() => {}
    }
}
