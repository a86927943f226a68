//! One end of a connection that speaks RESP: a client's, or a stand-in endpoint's.

use super::{TEST_TIMEOUT, ping_command};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};

/// A command that a stand-in endpoint has received.
#[derive(Debug)]
pub struct ReceivedCommand {
    pub arguments: Vec<String>,
}

impl ReceivedCommand {
    pub fn name(&self) -> &str {
        &self.arguments[0]
    }

    pub fn tenant(&self) -> &str {
        &self.arguments[1]
    }

    pub fn request_id(&self) -> &str {
        &self.arguments[2]
    }

    /// The key-value fields, as sent.
    pub fn fields(&self) -> &str {
        &self.arguments[3]
    }

    pub fn body(&self) -> &str {
        &self.arguments[4]
    }

    /// The time that the endpoint is given for this attempt.
    pub fn deadline_ms(&self) -> u64 {
        let (_, rest) = self
            .fields()
            .split_once(",d=")
            .expect("the command has a deadline field");
        let deadline = rest.split(',').next().and_then(|value| value.parse().ok());
        deadline.expect("the deadline is a number")
    }
}

/// Repeats a read that was interrupted. The kernel interrupts a read with a timeout when the process is stopped and
/// continued, as a debugger does.
pub fn retry_interrupted<T>(mut read: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match read() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

pub struct Connection {
    pub stream: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a read timeout can be set");
        Connection {
            stream: BufReader::new(stream),
        }
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream
            .get_mut()
            .write_all(bytes.as_ref())
            .expect("the connection takes the bytes");
    }

    /// Sends on a connection that the other end may have closed already.
    pub fn try_send(&mut self, bytes: impl AsRef<[u8]>) {
        let _ = self.stream.get_mut().write_all(bytes.as_ref());
    }

    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.stream
            .read_line(&mut line)
            .expect("a line arrives within the timeout");
        line.trim_end().to_string()
    }

    /// Reads a simple reply, or the value of a bulk string.
    pub fn read_reply(&mut self) -> String {
        let head = self.read_line();
        if head.starts_with('$') {
            self.read_line()
        } else {
            head
        }
    }

    #[track_caller]
    pub fn expect_reply(&mut self, expected: &str) {
        assert_eq!(
            self.read_reply(),
            expected,
            "expected {expected:?} as reply"
        );
    }

    #[track_caller]
    pub fn expect_reply_prefix(&mut self, expected: &str) {
        let reply = self.read_reply();
        assert!(
            reply.starts_with(expected),
            "expected a reply that starts with {expected:?}, got {reply:?}"
        );
    }

    /// Sends a PING and expects its reply.
    #[track_caller]
    pub fn expect_pong(&mut self) {
        self.send(ping_command());
        self.expect_reply("+PONG");
    }

    pub fn read_command(&mut self) -> ReceivedCommand {
        let head = self.read_line();
        let count: usize = head
            .strip_prefix('*')
            .and_then(|count| count.parse().ok())
            .unwrap_or_else(|| panic!("expected a command, got {head:?}"));
        ReceivedCommand {
            arguments: (0..count).map(|_| self.read_reply()).collect(),
        }
    }

    /// Answers a forwarded request with this value and a load report.
    pub fn send_value(&mut self, value: &str) {
        self.send(format!(
            "*3\r\n${}\r\n{value}\r\n$-1\r\n$17\r\nutil=0.61,qps=9.5\r\n",
            value.len()
        ));
    }

    /// Reads a forwarded request and answers it with this value.
    pub fn answer_request(&mut self, value: &str) -> ReceivedCommand {
        let command = self.read_command();
        self.send_value(value);
        command
    }

    /// Whether bytes have arrived that are not read yet.
    pub fn has_unread_input(&mut self) -> bool {
        let stream = self.stream.get_mut();
        stream
            .set_nonblocking(true)
            .expect("the socket can be made non-blocking");
        let has_input = stream.peek(&mut [0; 1]).is_ok_and(|length| length > 0);
        stream
            .set_nonblocking(false)
            .expect("the socket can be made blocking");
        has_input
    }

    /// Waits for the next byte or the end of the stream; true if a byte is there, which is not consumed.
    pub fn has_further_input(&mut self) -> bool {
        let input = retry_interrupted(|| self.stream.fill_buf().map(<[u8]>::len));
        input.is_ok_and(|length| length > 0)
    }

    /// Who made the connection, and what has arrived on it so far. For messages of failed checks.
    pub fn describe(&mut self) -> String {
        let peer = self.stream.get_ref().peer_addr();
        if !self.has_unread_input() {
            return format!("connection from {peer:?}, without input");
        }
        let input = retry_interrupted(|| self.stream.fill_buf().map(<[u8]>::len));
        let received = String::from_utf8_lossy(self.stream.buffer());
        format!("connection from {peer:?}, input {input:?}: {received:?}")
    }

    /// Waits for the next byte or the end of the stream; true if the other end has closed or reset the connection.
    pub fn is_closed_by_peer(&mut self) -> bool {
        is_close(&retry_interrupted(|| self.stream.read(&mut [0; 1])))
    }

    /// Expects the other end to close the connection without sending anything more.
    #[track_caller]
    pub fn expect_close(&mut self, reason: &str) {
        let mut byte = [0; 1];
        let outcome = retry_interrupted(|| self.stream.read(&mut byte));
        assert!(
            is_close(&outcome),
            "expected the connection to be closed: {reason}; got {outcome:?} with {:?}",
            String::from_utf8_lossy(&[&byte, self.stream.buffer()].concat())
        );
    }

    /// Ends the sending direction only.
    pub fn half_close(&self) {
        self.stream
            .get_ref()
            .shutdown(Shutdown::Write)
            .expect("the connection is open");
    }

    /// Ends both directions at once, also where another process still holds a copy of the socket.
    pub fn shut_down(&self) {
        self.stream
            .get_ref()
            .shutdown(Shutdown::Both)
            .expect("the connection is open");
    }
}

/// Whether a read has found the connection closed or reset by the other end.
fn is_close(read: &io::Result<usize>) -> bool {
    match read {
        Ok(length) => *length == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}
