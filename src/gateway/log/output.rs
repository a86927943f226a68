//! The way of log lines to standard error.
//!
//! A thread of its own writes them, so that no request waits for whatever reads the log. Without the thread,
//! a reader that stops reading would block all requests as soon as its pipe is full.

use super::line_queue::LineQueue;
use super::line_writer::LineWriter;
use std::io::{self, Write};
use std::thread;
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// Limit on lines that wait to be written. It holds all lines of many seconds.
const QUEUE_BYTES: usize = 256 * 1024;
/// How long the end of the process waits for lines to be written. Clients have all their answers by then.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static QUEUE: LineQueue = LineQueue::new(QUEUE_BYTES);

/// Begins to write log lines to standard error. Events before this call are not logged.
pub fn start() {
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::INFO)
        .with_ansi(false)
        .with_level(false)
        .with_target(false)
        .without_time()
        .with_writer(QueueWriter)
        .finish();
    // The first subscriber stays if there is one already.
    let _ = tracing::subscriber::set_global_default(subscriber);
    // Without the thread, which the system may refuse, lines fill the queue and are then dropped.
    let _ = thread::Builder::new().name("log".into()).spawn(write_lines);
}

/// Waits until all lines are written, for a short time at most.
pub fn flush() {
    QUEUE.wait_until_written(FLUSH_TIMEOUT);
}

fn write_lines() {
    let mut writer = LineWriter::new(io::stderr());
    loop {
        writer.write(&QUEUE.pop());
    }
}

/// Puts each line that the subscriber formats into the queue.
struct QueueWriter;

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        QUEUE.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for QueueWriter {
    type Writer = QueueWriter;

    fn make_writer(&self) -> QueueWriter {
        QueueWriter
    }
}
