//! The gateway program: runs [`marlshelf::gateway::run`] on a single-threaded runtime.
//!
//! Exits with code 0 after a graceful shutdown, with code 1 if startup fails, and with code
//! [`PANIC_EXIT_CODE`](marlshelf::gateway::PANIC_EXIT_CODE) after a panic.

use marlshelf::gateway::log::{self, LogEvent};
use marlshelf::gateway::{StartupError, exit_on_panic};
use std::process::ExitCode;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    log::start_output();
    exit_on_panic();
    let exit_code = match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::event(&LogEvent::StartupFailed { error: &error });
            ExitCode::FAILURE
        }
    };
    log::flush();
    exit_code
}

fn run() -> Result<(), StartupError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartupError::Runtime)?;
    LocalSet::new().block_on(&runtime, marlshelf::gateway::run())
}
