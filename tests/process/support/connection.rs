//! The client side or the endpoint side of a RESP connection to the gateway.

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

    /// Returns the key-value fields in their encoded form.
    pub fn fields(&self) -> &str {
        &self.arguments[3]
    }

    pub fn body(&self) -> &str {
        &self.arguments[4]
    }

    /// Returns the deadline that the gateway set for this attempt.
    pub fn deadline_ms(&self) -> u64 {
        let (_, rest) = self
            .fields()
            .split_once(",d=")
            .expect("the command has a deadline field");
        let deadline = rest.split(',').next().and_then(|value| value.parse().ok());
        deadline.expect("the deadline is a number")
    }
}

/// Repeats a read while it fails with `EINTR`. The kernel interrupts a read with a timeout when the process
/// is stopped and continued, for example by a debugger.
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
            .expect("the write to the connection succeeds");
    }

    /// Sends on a connection that the other end may have closed.
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

    /// Reads a one-line reply or the value of a bulk string.
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

    /// Sends a PING and expects `+PONG`.
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

    /// Answers a forwarded request with a value and a load report.
    pub fn send_value(&mut self, value: &str) {
        self.send(format!(
            "*3\r\n${}\r\n{value}\r\n$-1\r\n$17\r\nutil=0.61,qps=9.5\r\n",
            value.len()
        ));
    }

    /// Reads a forwarded request and answers it with a value.
    pub fn answer_request(&mut self, value: &str) -> ReceivedCommand {
        let command = self.read_command();
        self.send_value(value);
        command
    }

    /// Returns whether the socket has unread input.
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

    /// Waits for input or the end of the stream. Returns true if there is input, without consuming it.
    pub fn has_further_input(&mut self) -> bool {
        let input = retry_interrupted(|| self.stream.fill_buf().map(<[u8]>::len));
        input.is_ok_and(|length| length > 0)
    }

    /// Returns the peer address and the input so far, for the message of a failed check.
    pub fn describe(&mut self) -> String {
        let peer = self.stream.get_ref().peer_addr();
        if !self.has_unread_input() {
            return format!("connection from {peer:?}, without input");
        }
        let input = retry_interrupted(|| self.stream.fill_buf().map(<[u8]>::len));
        let received = String::from_utf8_lossy(self.stream.buffer());
        format!("connection from {peer:?}, input {input:?}: {received:?}")
    }

    /// Waits for input or the end of the stream. Returns true if the other end has closed or reset the
    /// connection.
    pub fn is_closed_by_peer(&mut self) -> bool {
        is_close(&retry_interrupted(|| self.stream.read(&mut [0; 1])))
    }

    /// Expects the other end to close the connection without sending further data.
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

    /// Closes the sending direction.
    pub fn half_close(&self) {
        self.stream
            .get_ref()
            .shutdown(Shutdown::Write)
            .expect("the connection is open");
    }

    /// Closes both directions, even if another process still holds a copy of the socket.
    pub fn shut_down(&self) {
        self.stream
            .get_ref()
            .shutdown(Shutdown::Both)
            .expect("the connection is open");
    }
}

/// Returns whether the result of a read means that the other end has closed or reset the connection.
fn is_close(read: &io::Result<usize>) -> bool {
    match read {
        Ok(length) => *length == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}
