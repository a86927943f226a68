//! Graceful shutdown: the gateway answers every accepted request and remains reachable for its peers.
//!
//! The platform sends SIGTERM and, after the termination grace period, SIGKILL. The phases below run in
//! sequence. The phases "drain clients" and "await answers" have no time limit of their own; they end because
//! the event loop answers each request by the deadline that
//! [`EventLoop::shut_down_within`](super::event_loop::EventLoop::shut_down_within) sets.
//!
//! | phase | ends when |
//! | --- | --- |
//! | accept grace period | 0.5 s have passed |
//! | drain backlog | the kernel's accept queue is empty, or the deadline is reached |
//! | drain clients | all client connections are closed |
//! | await answers | all requests are answered |
//! | answer peers | the deadline is reached or a second signal arrives; skipped without peers |

use crate::gateway::clients::{ClientConnections, ClientListener};
use crate::gateway::event_loop::EventLoopHandle;
use crate::gateway::log::{self, LogEvent};
use crate::gateway::signals::TerminationSignals;
use crate::gateway::startup::RunningGateway;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Clients keep opening connections for up to 0.4 s after SIGTERM, until all of them know that the gateway is
/// shutting down.
const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// The deadline of the shutdown as a fraction of the termination grace period. By then the gateway has
/// answered its clients, and until then it answers its peers. The rest is a margin before SIGKILL.
const TERMINATION_GRACE_FRACTION: f64 = 0.9;
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Shuts the gateway down. The process can exit once the future completes.
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
    // From now on each client connection closes as soon as it has no requests in flight.
    running.clients.close_when_idle();
    drain_backlog(&running.client_listener, running.listener, deadline).await;
    drain_clients(&running.clients).await;
    await_answers(&running.event_loop).await;
    if running.has_peers {
        answer_peers(deadline, termination).await;
    }
    running.background_tasks.stop().await;
    running.counters.log();
}

/// Continues to accept connections, because clients learn of the shutdown with a delay.
async fn accept_for_grace_period(running: &RunningGateway) {
    let _ = timeout(ACCEPT_GRACE_PERIOD, running.accept_clients()).await;
}

/// Serves the connections in the kernel's accept queue, and then closes the listener. Closing it earlier
/// would reset these connections, although requests already sent on them count as accepted.
async fn drain_backlog(client_listener: &ClientListener, socket: TcpListener, deadline: Instant) {
    let _ = timeout_at(deadline, client_listener.drain_backlog(socket)).await;
}

async fn drain_clients(clients: &ClientConnections) {
    while !clients.is_empty() {
        clients.connection_closed().await;
    }
}

/// Waits until all requests are answered, except those whose clients have disconnected. There is no need to
/// wait for delivery: the kernel sends the last bytes to the clients even after the process has exited.
async fn await_answers(event_loop: &EventLoopHandle) {
    while !event_loop.borrow().all_answered() {
        sleep(ANSWER_POLL_INTERVAL).await;
    }
}

/// Keeps answering other gateways until the deadline or a second signal. They still send quota requests for
/// the token buckets that this gateway owns, and the next process of this gateway starts without the state of
/// those buckets.
async fn answer_peers(deadline: Instant, termination: &mut TerminationSignals) {
    tokio::select! {
        () = sleep_until(deadline) => {}
        () = termination.received() => {}
    }
}
