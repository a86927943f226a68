//! Signal handling: SIGTERM and SIGINT shut the gateway down, SIGHUP reloads its configuration.

use crate::gateway::configuration::Configuration;
use crate::gateway::log::{self, LogEvent};
use crate::gateway::startup_error::StartupError;
use std::net::SocketAddr;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// Streams of the handled signals. A signal that arrives after [`Signals::register`] is kept until it is
/// awaited.
pub(super) struct Signals {
    pub(super) termination: TerminationSignals,
    pub(super) hangup: Signal,
}

/// SIGTERM and SIGINT, which have the same effect.
pub(super) struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Registers the handlers. Until then, each of these signals terminates the process immediately.
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
    /// Waits for the next SIGTERM or SIGINT. Cancel safe: no signal is lost if the future is dropped.
    pub(super) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Reloads the configuration on each SIGHUP and publishes the discovery address, the only value that can
/// change while the process runs.
pub(super) async fn reload_on_hangup(
    mut hangup: Signal,
    discovery_address: watch::Sender<SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        match Configuration::reload() {
            Ok(configuration) => {
                let discovery = configuration.discovery_address;
                log::event(&LogEvent::ConfigurationReloaded { discovery });
                let _ = discovery_address.send(discovery);
            }
            Err(error) => log::event(&LogEvent::ConfigurationReloadFailed { error: &error }),
        }
    }
}
