//! Ends the process at its first panic.
//!
//! A panic may leave the state that all tasks share half changed, and the runtime would only end the task in
//! which it happened. The gateway would then answer `PING`, so that its front keeps it, and serve nothing.

use crate::gateway::log::{self, LogEvent};
use std::panic::{self, PanicHookInfo};
use std::process;

/// The exit code after a panic: the code for an internal error in `sysexits.h`.
pub const PANIC_EXIT_CODE: i32 = 70;

/// From now on, a panic in any thread or task is logged and ends the process with [`PANIC_EXIT_CODE`].
pub fn exit_on_panic() {
    panic::set_hook(Box::new(log_and_exit));
}

fn log_and_exit(panic: &PanicHookInfo<'_>) {
    if let Some(location) = panic.location() {
        let message = panic.payload_as_str().unwrap_or("panic without a message");
        log::event(&LogEvent::Panicked { location, message });
    }
    log::flush();
    process::exit(PANIC_EXIT_CODE);
}
