//! The gateway program: runs [`marlshelf::gateway::run`] on a single-threaded runtime.
//!
//! Exits with code 0 after a graceful shutdown, and with code 1 if startup fails.

use marlshelf::gateway::StartupError;
use marlshelf::gateway::log::{self, LogEvent};
use std::process::ExitCode;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::event(&LogEvent::StartupFailed { error: &error });
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), StartupError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartupError::Runtime)?;
    LocalSet::new().block_on(&runtime, marlshelf::gateway::run())
}
