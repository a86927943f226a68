//! Writes log lines to an output that may fail for a while.

use super::LogEvent;
use super::line_queue::QueuedLine;
use std::io::{self, ErrorKind, Write};

/// Writes lines to an output. Lines that it does not take are dropped, and their number is logged once it
/// takes lines again.
pub struct LineWriter<W> {
    output: W,
    /// Lines that were dropped and not logged as such yet.
    dropped: u64,
    /// Whether the output has taken a part of a line, so that the next one must begin with a line end.
    is_mid_line: bool,
}

impl<W: Write> LineWriter<W> {
    /// Creates a writer. The output must be at the start of a line.
    pub fn new(output: W) -> LineWriter<W> {
        LineWriter {
            output,
            dropped: 0,
            is_mid_line: false,
        }
    }

    /// Writes a line, after the number of lines that were dropped before it.
    pub fn write(&mut self, line: &QueuedLine) {
        self.dropped += line.dropped;
        if self.write_dropped_count().is_err() || self.write_bytes(&line.bytes).is_err() {
            self.dropped += 1;
        }
    }

    fn write_dropped_count(&mut self) -> io::Result<()> {
        if self.dropped > 0 {
            let count = self.dropped;
            let line = format!("{}\n", LogEvent::LogLinesDropped { count });
            self.write_bytes(line.as_bytes())?;
            self.dropped = 0;
        }
        Ok(())
    }

    fn write_bytes(&mut self, line: &[u8]) -> io::Result<()> {
        if self.is_mid_line {
            self.output.write_all(b"\n")?;
            self.is_mid_line = false;
        }
        let mut rest = line;
        while !rest.is_empty() {
            match self.output.write(rest) {
                Ok(count) if count > 0 => rest = &rest[count..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                failed => {
                    self.is_mid_line = rest.len() < line.len();
                    return Err(failed.err().unwrap_or(ErrorKind::WriteZero.into()));
                }
            }
        }
        Ok(())
    }
}
