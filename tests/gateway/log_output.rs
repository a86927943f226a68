//! Queue and writer of log lines.

use marlshelf::gateway::log::{LineQueue, LineWriter, QueuedLine};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::time::Duration;

/// What an output does with one write.
enum Step {
    /// Takes at most this many bytes.
    Take(usize),
    Fail(ErrorKind),
}

/// An output that follows a script, and then takes everything.
struct ScriptedOutput<'a> {
    steps: VecDeque<Step>,
    taken: &'a mut Vec<u8>,
}

impl Write for ScriptedOutput<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = match self.steps.pop_front() {
            Some(Step::Fail(kind)) => return Err(kind.into()),
            Some(Step::Take(count)) => count.min(bytes.len()),
            None => bytes.len(),
        };
        self.taken.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(text: &str, dropped: u64) -> QueuedLine {
    QueuedLine {
        bytes: format!("{text}\n").into(),
        dropped,
    }
}

/// Writes lines to an output that follows a script, and returns what it took.
fn written(steps: impl IntoIterator<Item = Step>, lines: &[QueuedLine]) -> String {
    let mut taken = Vec::new();
    let output = ScriptedOutput {
        steps: steps.into_iter().collect(),
        taken: &mut taken,
    };
    let mut writer = LineWriter::new(output);
    for line in lines {
        writer.write(line);
    }
    String::from_utf8(taken).expect("text")
}

#[test]
fn lines_that_the_output_does_not_take_are_counted_before_the_next_one() {
    let steps = [
        Step::Fail(ErrorKind::BrokenPipe),
        Step::Fail(ErrorKind::StorageFull),
    ];
    let lines = [line("a", 0), line("b", 0), line("c", 3), line("d", 0)];
    assert_eq!(
        written(steps, &lines),
        "marlshelf-gateway: log_lines_dropped count=5: standard error did not take 5 lines\nc\nd\n"
    );
}

#[test]
fn line_after_an_incomplete_one_begins_on_a_line_of_its_own() {
    let steps = [Step::Take(3), Step::Fail(ErrorKind::StorageFull)];
    assert_eq!(
        written(steps, &[line("abcdef", 0), line("g", 0)]),
        "abc\nmarlshelf-gateway: log_lines_dropped count=1: standard error did not take 1 lines\ng\n"
    );
}

#[test]
fn short_and_interrupted_writes_are_continued() {
    let steps = [
        Step::Take(1),
        Step::Fail(ErrorKind::Interrupted),
        Step::Take(2),
    ];
    assert_eq!(written(steps, &[line("abcdef", 0)]), "abcdef\n");
}

#[test]
fn lines_beyond_the_capacity_are_dropped_and_counted() {
    let queue = LineQueue::new(8);
    for line in [b"123\n", b"456\n", b"789\n"] {
        queue.push(line);
    }
    assert_eq!(queue.pop(), line("123", 1));
    queue.push(b"abc\n");
    assert_eq!(queue.pop(), line("456", 0));
    assert_eq!(queue.pop(), line("abc", 0));
}

#[test]
fn waiting_for_the_writer_is_bounded() {
    let queue = LineQueue::new(8);
    assert!(queue.wait_until_written(Duration::ZERO));
    queue.push(b"123\n");
    assert!(!queue.wait_until_written(Duration::from_millis(1)));
    queue.pop();
    assert!(
        !queue.wait_until_written(Duration::from_millis(1)),
        "the line has been taken, but not been written"
    );
}
