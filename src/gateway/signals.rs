//! The signals of the process: SIGTERM and SIGINT ask it to end, SIGHUP to read its configuration again.

use crate::gateway::configuration::Configuration;
use crate::gateway::log::{self, LogEvent};
use crate::gateway::startup_error::StartupError;
use std::net::SocketAddr;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// All signals that the gateway handles. A signal that arrives after [`Signals::register`] is kept until it is
/// awaited.
pub(super) struct Signals {
    pub(super) termination: TerminationSignals,
    pub(super) hangup: Signal,
}

/// The signals that ask the process to end.
pub(super) struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Registers the handlers. Before that, each of these signals ends the process at once.
    pub(super) fn register() -> Result<Signals, StartupError> {
        let hangup = register(SignalKind::hangup(), "SIGHUP")?;
        let terminate = register(SignalKind::terminate(), "SIGTERM")?;
        let interrupt = register(SignalKind::interrupt(), "SIGINT")?;
        Ok(Signals {
            termination: TerminationSignals {
                terminate,
                interrupt,
            },
            hangup,
        })
    }
}

fn register(kind: SignalKind, name: &'static str) -> Result<Signal, StartupError> {
    signal(kind).map_err(|source| StartupError::Signal { name, source })
}

impl TerminationSignals {
    /// Waits for the next signal that asks the process to end. No signal is lost if the future is dropped.
    pub(super) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The task that reads the configuration again on each SIGHUP and passes on the address of discovery. Nothing else
/// of the configuration can be changed while the process runs.
pub(super) async fn reload_on_hangup(
    mut hangup: Signal,
    discovery_address: watch::Sender<SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        match Configuration::reload() {
            Ok(configuration) => {
                let discovery = configuration.discovery_address;
                log::event(&LogEvent::ConfigurationReloaded { discovery });
                // Also sent if the address is the same: the gateway then fetches the whole list once more.
                let _ = discovery_address.send(discovery);
            }
            Err(error) => log::event(&LogEvent::ConfigurationReloadFailed { error: &error }),
        }
    }
}
