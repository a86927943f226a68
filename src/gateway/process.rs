//! Runs a gateway process through startup, serving and graceful shutdown.

use crate::gateway::configuration::Configuration;
use crate::gateway::log::{self, LogEvent};
use crate::gateway::shutdown::shut_down;
use crate::gateway::signals::Signals;
use crate::gateway::startup::{RunningGateway, bind_sockets};
use crate::gateway::startup_error::StartupError;

/// Reads the configuration, serves clients until SIGTERM or SIGINT arrives, and then shuts down gracefully.
///
/// Dropping the future stops the gateway without a graceful shutdown.
///
/// # Errors
/// Fails if the configuration is invalid, an address cannot be bound, or a signal handler cannot be
/// registered.
///
/// # Panics
/// Panics outside a [`LocalSet`](tokio::task::LocalSet), which the tasks need because they share state
/// without locks.
pub async fn run() -> Result<(), StartupError> {
    // Comes first because a signal without a handler terminates the process immediately.
    let mut signals = Signals::register()?;
    let configuration = Configuration::read()?;
    let name = configuration.name.clone();
    let sockets = tokio::select! {
        sockets = bind_sockets(&configuration) => sockets?,
        () = signals.termination.received() => {
            log::event(&LogEvent::ShutdownStarted { gateway: &name });
            return Ok(());
        }
    };
    let running = RunningGateway::start(configuration, sockets, signals.hangup)?;
    tokio::select! {
        () = serve(&running) => {}
        () = signals.termination.received() => {}
    }
    log::event(&LogEvent::ShutdownStarted { gateway: &name });
    shut_down(running, &mut signals.termination).await;
    Ok(())
}

async fn serve(running: &RunningGateway) {
    running.wait_for_first_list().await;
    log::event(&LogEvent::Serving {
        gateway: &running.name,
        address: running.listen_address,
    });
    running.accept_clients().await;
}
