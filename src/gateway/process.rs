//! The life of a gateway process: startup, serving, graceful shutdown.

use crate::gateway::configuration::Configuration;
use crate::gateway::log::{self, LogEvent};
use crate::gateway::shutdown::shut_down;
use crate::gateway::signals::Signals;
use crate::gateway::startup::{RunningGateway, bind_sockets};
use crate::gateway::startup_error::StartupError;

/// Serves as the configuration says until a signal asks the process to end, and then shuts down gracefully.
///
/// Cancelling the future ends the gateway without a graceful shutdown.
///
/// # Errors
/// When the configuration cannot be used, an address cannot be bound, or a signal handler cannot be registered.
///
/// # Panics
/// When called outside a [`LocalSet`](tokio::task::LocalSet): the tasks of the gateway share state without locks.
pub async fn run() -> Result<(), StartupError> {
    // Before everything else: a signal without a handler ends the process at once.
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
