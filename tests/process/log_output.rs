//! The gateway serves, ends and logs again although nothing takes its log for a while.

use crate::support::*;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

/// Requests that are rejected. Some of them are logged.
const REQUESTS: usize = 12;

/// A named pipe, removed when the value is dropped.
struct NamedPipe(PathBuf);

impl NamedPipe {
    fn create() -> NamedPipe {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("marlshelf-log-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let status = Command::new("mkfifo").arg(&path).status();
        assert!(status.is_ok_and(|status| status.success()), "mkfifo");
        NamedPipe(path)
    }

    fn shell_prefix(&self) -> String {
        format!("2>{} exec", self.0.display())
    }

    /// Opens the pipe and fills it with lines.
    fn open_and_fill(&self) -> File {
        let mut pipe = self.open(OpenOptions::new().read(true).write(true));
        let mut line = [b'x'; 512];
        line[511] = b'\n';
        while pipe.write(&line).is_ok() {}
        pipe
    }

    /// Opens the pipe without waiting for the other side. Reads and writes do not wait either.
    fn open(&self, options: &mut OpenOptions) -> File {
        let options = options.custom_flags(libc::O_NONBLOCK);
        options.open(&self.0).expect("the pipe can be opened")
    }

    fn open_reader(&self) -> File {
        self.open(OpenOptions::new().read(true))
    }
}

impl Drop for NamedPipe {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Reads from the pipe until a line contains `text`.
fn wait_for_line(reader: &mut BufReader<File>, text: &str) {
    let mut line = Vec::new();
    wait_until(&format!("the log has {text:?}"), || {
        match reader.read_until(b'\n', &mut line) {
            Ok(_) if line.ends_with(b"\n") => {
                let is_found = String::from_utf8_lossy(&line).contains(text);
                line.clear();
                is_found
            }
            Ok(_) => false,
            Err(error) => {
                assert_eq!(error.kind(), ErrorKind::WouldBlock);
                false
            }
        }
    });
}

/// Starts a gateway without endpoints, and waits until it serves without reading its log.
fn start_with_log_at(shell_prefix: &str) -> GatewayProcess {
    let discovery = StandInDiscovery::with_list(complete_list(1, &[]));
    let address: SocketAddr = ReservedPort::bind().address;
    let config = GatewayConfig {
        listen: address.to_string(),
        shell_prefix: shell_prefix.into(),
        ..GatewayConfig::new(discovery.address)
    };
    let mut gateway = config.spawn();
    gateway.address = address;
    wait_until("the gateway serves", || gateway.try_connect().is_some());
    gateway
}

fn expect_rejections(gateway: &GatewayProcess) {
    let mut client = gateway.connect();
    for _ in 0..REQUESTS {
        client.send(read_request(LONGEST_DEADLINE_MS));
        client.expect_reply_prefix("-BUSY");
    }
}

/// Guards against a gateway that never answers again: the panic of a failed write left the queue of the
/// decision engine in use for good.
#[test]
fn requests_are_answered_if_no_line_can_be_written() {
    for shell_prefix in ["2>/dev/full exec", "2>&- exec"] {
        let mut gateway = start_with_log_at(shell_prefix);
        expect_rejections(&gateway);
        gateway.signal(Signal::Terminate);
        gateway.expect_successful_exit();
    }
}

/// Guards against a gateway that never answers again after the reader of its log was restarted.
#[test]
fn requests_are_answered_and_logged_again_after_the_reader_of_the_log_was_away() {
    let pipe = NamedPipe::create();
    let reader = pipe.open_reader();
    let mut gateway = start_with_log_at(&pipe.shell_prefix());
    wait_for_line(&mut BufReader::new(reader), LOG_SERVING);
    // The reader is gone, so that writes fail from now on.
    expect_rejections(&gateway);
    let mut reader = BufReader::new(pipe.open_reader());
    expect_rejections(&gateway);
    gateway.signal(Signal::Terminate);
    wait_for_line(&mut reader, LOG_SHUTTING_DOWN);
    gateway.expect_successful_exit();
}

/// Guards against a gateway that waits for whatever reads its log.
#[test]
fn requests_are_answered_and_the_process_ends_while_the_pipe_of_the_log_is_full() {
    let pipe = NamedPipe::create();
    let _full = pipe.open_and_fill();
    let mut gateway = start_with_log_at(&pipe.shell_prefix());
    expect_rejections(&gateway);
    gateway.signal(Signal::Terminate);
    gateway.expect_successful_exit();
}

/// Lines that were logged while the pipe was full are written once it is read.
#[test]
fn lines_are_written_once_a_full_pipe_is_read() {
    let pipe = NamedPipe::create();
    let full = pipe.open_and_fill();
    let gateway = start_with_log_at(&pipe.shell_prefix());
    expect_rejections(&gateway);
    let mut reader = BufReader::new(full);
    wait_for_line(&mut reader, LOG_SERVING);
    wait_for_line(&mut reader, "request_rejected");
}
