//! Runs many independent gateway instances for a simulator.
//!
//! The simulator writes batches of events to standard input, one JSON frame per line. The adapter writes the
//! resulting gateway actions to standard output. It only translates: [`marlshelf::DecisionEngine`] makes
//! every decision.
//!
//! The exit status is success if the input ends between two batches. On an error the adapter exits with
//! failure and does not reply to the current batch. It writes one line to standard error, unless the error is
//! that its output is closed.

mod errors;
mod frames;
mod host;
mod instances;
mod replies;
mod translation;

use errors::AdapterError;
use host::Host;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

/// The size of the output buffer. It is large because a reply may have megabytes and should take few system
/// calls.
const OUTPUT_BUFFER_BYTES: usize = 256 * 1024;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    match run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        // The simulator has closed the output, so it has ended and needs no error message.
        Err(AdapterError::Write(_)) => ExitCode::FAILURE,
        Err(error) => {
            // `eprintln!` would panic if the line can't be written.
            let _ = writeln!(io::stderr(), "marlshelf-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to all batches of the input.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut line = String::new();
    let mut line_number = 0;
    while read_line(&mut input, &mut line, line_number + 1)? {
        line_number += 1;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host
            .handle_line(line.trim_end())
            .map_err(|error| AdapterError::Frame { line_number, error })?;
        if let Some(reply) = reply {
            output.write_all(&reply).map_err(AdapterError::Write)?;
            output.flush().map_err(AdapterError::Write)?;
        }
    }
    if host.is_between_batches() {
        Ok(())
    } else {
        Err(AdapterError::EndInsideBatch { line_number })
    }
}

/// Reads the next line into `line`. Returns `false` at the end of the input.
fn read_line(
    input: &mut impl BufRead,
    line: &mut String,
    line_number: u64,
) -> Result<bool, AdapterError> {
    line.clear();
    match input.read_line(line) {
        Ok(bytes) => Ok(bytes > 0),
        Err(error) => Err(AdapterError::Read { line_number, error }),
    }
}
