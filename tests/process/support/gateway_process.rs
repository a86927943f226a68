//! The built gateway as a process: its start, log, signals and end.

use super::{Connection, TEST_TIMEOUT, any_loopback_port, wait_until, write_config_file};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

pub const GATEWAY_PROGRAM: &str = env!("CARGO_BIN_EXE_marlshelf-gateway");

/// Parts of the log lines that tests wait for.
pub const LOG_SERVING: &str = " serves at ";
pub const LOG_SHUTTING_DOWN: &str = " stops";
pub const LOG_LISTENER_CLOSED: &str = " lets nobody new in";
pub const LOG_CONFIGURATION_REJECTED: &str = "keeping the current configuration";
pub const LOG_CONFIGURATION_RELOADED: &str = "configuration reloaded";
pub const LOG_ACCEPT_FAILED: &str = "cannot accept a connection";

#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Terminate,
    Kill,
    Stop,
    Continue,
    Reload,
}

impl Signal {
    fn kill_option(self) -> &'static str {
        match self {
            Signal::Terminate => "-TERM",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Reload => "-HUP",
        }
    }
}

/// A running gateway. It is killed when the value is dropped.
pub struct GatewayProcess {
    child: Child,
    /// Where it serves clients; known once it has logged so.
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    /// Lines of the log that no wait has consumed yet.
    unread_log: Receiver<String>,
    config_path: PathBuf,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

impl GatewayProcess {
    /// Starts a gateway and waits until it serves clients.
    pub fn start(config: &str, shell_prefix: &str) -> GatewayProcess {
        let mut gateway = GatewayProcess::spawn(config, shell_prefix);
        gateway.wait_until_serving();
        gateway
    }

    /// Starts a gateway that may not serve clients yet.
    pub fn spawn(config: &str, shell_prefix: &str) -> GatewayProcess {
        let config_path = write_config_file(config);
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{shell_prefix} {GATEWAY_PROGRAM}"))
            .env("GW_CONFIG", &config_path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let stderr = child.stderr.take().expect("the error output is piped");
        let log = Arc::new(Mutex::new(Vec::new()));
        let (sender, unread_log) = channel();
        let collected = log.clone();
        thread::spawn(move || collect_log(stderr, &collected, &sender));
        GatewayProcess {
            child,
            address: any_loopback_port(),
            log,
            unread_log,
            config_path,
        }
    }

    /// Waits until the gateway logs that it serves clients, and takes its address from there.
    #[track_caller]
    pub fn wait_until_serving(&mut self) {
        let line = self.wait_for_log(LOG_SERVING);
        let address = line.rsplit(' ').next().and_then(|word| word.parse().ok());
        self.address = address.expect("the log line ends in an address");
    }

    /// Waits for a line of the log that contains this text.
    #[track_caller]
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.unread_log.recv_timeout(TEST_TIMEOUT);
            let line =
                line.unwrap_or_else(|_| panic!("expected {text:?} in the log {:?}", self.log()));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Whether a line of the log so far contains this text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log().iter().any(|line| line.contains(text))
    }

    /// The log so far.
    pub fn log(&self) -> Vec<String> {
        self.log
            .lock()
            .expect("the log collector does not panic")
            .clone()
    }

    pub fn connect(&self) -> Connection {
        Connection::new(TcpStream::connect(self.address).expect("the gateway accepts a client"))
    }

    /// Connects a client, unless the gateway has closed its listener.
    pub fn try_connect(&self) -> Option<Connection> {
        TcpStream::connect(self.address).ok().map(Connection::new)
    }

    /// How many file descriptors the process has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("the gateway is running")
            .count()
    }

    #[track_caller]
    pub fn signal(&self, signal: Signal) {
        let status = Command::new("kill")
            .args([signal.kill_option(), &self.child.id().to_string()])
            .status();
        assert!(
            status.expect("kill can be run").success(),
            "expected the gateway to be there for {signal:?}"
        );
    }

    /// Stops the process. All that arrives until [`GatewayProcess::resume`] is there for it at once, in the order of
    /// its arrival.
    #[track_caller]
    pub fn suspend(&self) {
        assert!(
            self.suspend_unless_ended(),
            "expected the gateway to be running, log {:?}",
            self.log()
        );
    }

    /// The same for a gateway that may have ended. False if it has.
    #[track_caller]
    pub fn suspend_unless_ended(&self) -> bool {
        const STOPPED: char = 'T';
        const ENDED: char = 'Z';
        self.signal(Signal::Stop);
        let mut state = None;
        wait_until("the gateway is stopped or has ended", || {
            state = self.state();
            matches!(state, Some(STOPPED | ENDED))
        });
        state == Some(STOPPED)
    }

    /// The state of the process, as `/proc` encodes it.
    fn state(&self) -> Option<char> {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).expect("the gateway was not waited for");
        // The state follows the program's name, which is in brackets.
        stat.rsplit(')').next()?.trim_start().chars().next()
    }

    pub fn resume(&self) {
        self.signal(Signal::Continue);
    }

    /// Replaces the configuration file and has the gateway read it.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config_path, config).expect("the configuration file can be written");
        self.signal(Signal::Reload);
    }

    /// Waits until the gateway has answered a PING on a new connection: it has processed all that was sent before.
    #[track_caller]
    pub fn wait_until_input_is_processed(&self) {
        self.connect().expect_pong();
    }

    /// Sends SIGTERM and waits until an idle client's connection is closed. From then on connections stay open only
    /// for requests in flight.
    #[track_caller]
    pub fn begin_shutdown(&self) {
        let mut idle = self.connect();
        idle.expect_pong();
        self.signal(Signal::Terminate);
        idle.expect_close("it is idle during a graceful shutdown");
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("the gateway exits")
    }

    #[track_caller]
    pub fn expect_successful_exit(&mut self) {
        let status = self.wait_for_exit();
        assert!(
            status.success(),
            "expected a successful exit, got {status}, log {:?}",
            self.log()
        );
    }

    /// Kills the process, which closes all its connections, and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::Kill);
        self.wait_for_exit();
    }
}

fn collect_log(stderr: ChildStderr, log: &Mutex<Vec<String>>, unread: &Sender<String>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        log.lock()
            .expect("no reader of the log panics")
            .push(line.clone());
        // The process may be dropped while its log is read.
        let _ = unread.send(line);
    }
}
