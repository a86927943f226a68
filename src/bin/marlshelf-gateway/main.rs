//! The gateway as a process: a single-threaded runtime around [`marlshelf::gateway::run`].
//!
//! The exit code is 0 after a graceful shutdown, and 1 if the gateway could not start.

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
