//! The gatekeeper as a process: a runtime around [`marlshelf::gateway`].

use std::process::ExitCode;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"));
    match runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, marlshelf::gateway::run()))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("marlshelf-gateway: {what}");
            ExitCode::FAILURE
        }
    }
}
