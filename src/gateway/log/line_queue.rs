//! The queue between the threads that log and the thread that writes the lines.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Log lines that wait to be written, up to a number of bytes. Pushing a line never waits for the writer: a
/// line that does not fit is dropped and counted.
pub struct LineQueue {
    capacity_bytes: usize,
    state: Mutex<QueueState>,
    changed: Condvar,
}

struct QueueState {
    lines: VecDeque<Vec<u8>>,
    queued_bytes: usize,
    /// Lines that were dropped since the writer last took one.
    dropped: u64,
    /// Whether the writer has taken a line and not asked for the next one yet.
    is_writing: bool,
}

/// A line for the writer.
#[derive(Debug, PartialEq, Eq)]
pub struct QueuedLine {
    /// The bytes of the line, with its line end.
    pub bytes: Vec<u8>,
    /// The number of lines that were dropped since the previous one was taken.
    pub dropped: u64,
}

impl LineQueue {
    /// Creates an empty queue for `capacity_bytes` bytes of lines.
    #[must_use]
    pub const fn new(capacity_bytes: usize) -> LineQueue {
        LineQueue {
            capacity_bytes,
            state: Mutex::new(QueueState {
                lines: VecDeque::new(),
                queued_bytes: 0,
                dropped: 0,
                is_writing: false,
            }),
            changed: Condvar::new(),
        }
    }

    /// Adds a line, or counts it as dropped if it does not fit.
    pub fn push(&self, line: &[u8]) {
        let mut state = self.lock();
        if state.queued_bytes + line.len() > self.capacity_bytes {
            state.dropped += 1;
            return;
        }
        state.queued_bytes += line.len();
        state.lines.push_back(line.to_vec());
        self.changed.notify_all();
    }

    /// Waits for a line and removes it. The line that was removed before counts as written from now on.
    pub fn pop(&self) -> QueuedLine {
        let mut state = self.lock();
        state.is_writing = false;
        self.changed.notify_all();
        loop {
            if let Some(bytes) = state.lines.pop_front() {
                state.queued_bytes -= bytes.len();
                state.is_writing = true;
                let dropped = std::mem::take(&mut state.dropped);
                return QueuedLine { bytes, dropped };
            }
            let waiting = self.changed.wait(state);
            state = waiting.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits until all lines are written, but not longer than `limit`. Returns whether they are.
    pub fn wait_until_written(&self, limit: Duration) -> bool {
        let is_pending = |state: &mut QueueState| state.is_writing || !state.lines.is_empty();
        let waiting = self
            .changed
            .wait_timeout_while(self.lock(), limit, is_pending);
        let (_state, result) = waiting.unwrap_or_else(PoisonError::into_inner);
        !result.timed_out()
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
