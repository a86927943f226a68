//! A panic in any task ends the process with an exit code of its own, after a line in the log.

use crate::support::*;
use marlshelf::gateway::discovery::{self, Connect, PollSchedule};
use marlshelf::gateway::event_loop::{Connector, EventLoop, run_timers};
use marlshelf::gateway::gossip_socket::GossipSocket;
use marlshelf::gateway::{PANIC_EXIT_CODE, exit_on_panic, log};
use std::io;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::sleep;

/// Tells a process in which task to panic.
const TASK_VARIABLE: &str = "MARLSHELF_TEST_PANIC_IN";
const MESSAGE: &str = "planted panic";

/// Connects with a panic, in the task that begins to connect.
fn panicking_connector() -> Connector {
    Rc::new(|_| panic!("{MESSAGE}"))
}

/// Connects with a panic, in the task of the connect.
fn connector_with_panicking_task() -> Connector {
    Rc::new(|_| Box::pin(async { panic!("{MESSAGE}") }))
}

/// The transport to discovery, which panics in the task that follows discovery.
struct PanickingTransport;

impl Connect for PanickingTransport {
    type Stream = TcpStream;

    async fn connect(&self, _address: SocketAddr) -> io::Result<TcpStream> {
        panic!("{MESSAGE}")
    }
}

/// Serves a request that the gateway forwards with this connector, by which it panics.
async fn forward_with(connector: Connector) {
    let (_endpoint, address) = bind_any().await;
    let gateway = EventLoop::new(test_configuration(address), None, 8).expect("valid settings");
    list_snapshot(&gateway, vec![ready_endpoint("s-1", address)]);
    gateway.borrow_mut().set_connector(connector);
    let request = request_command("pay", "9b1f03aa5c7e2d41", 4);
    let _client = client_with_command(&gateway, request).await;
    sleep(TEST_TIMEOUT).await;
}

/// Serves a request whose quota belongs to a gateway that never answers. The timers then forward it.
async fn forward_by_timer() {
    let (_endpoint, address) = bind_any().await;
    let peer = UdpSocket::bind(ANY_PORT).await.expect("a port");
    let socket = UdpSocket::bind(ANY_PORT).await.expect("a port");
    let addresses = [&socket, &peer].map(|socket| socket.local_addr().expect("bound"));
    let gossip = GossipSocket::new(socket, addresses.to_vec());
    let gateway = EventLoop::new(configuration_with_peer(address), Some(gossip), 8);
    let gateway = gateway.expect("valid settings");
    list_snapshot(&gateway, vec![ready_endpoint("s-1", address)]);
    gateway.borrow_mut().set_connector(panicking_connector());
    tokio::task::spawn_local(run_timers(gateway.clone()));
    let request = request_command_owned_by_peer("pay", "9b1f03aa5c7e2d41");
    let _client =
        client_with_configuration(&gateway, &configuration_with_peer(address), request).await;
    sleep(TEST_TIMEOUT).await;
}

async fn follow_discovery() {
    let (_listener, address) = bind_any().await;
    let schedule = PollSchedule::new(&test_configuration(address).document, 7);
    let (_sender, address) = watch::channel(address);
    discovery::follow(PanickingTransport, |_| {}, address, None, schedule).await;
}

/// Panics in the task that the environment names. Does nothing in the process that runs all tests.
#[test]
fn panic_in_the_named_task() {
    let Ok(task) = std::env::var(TASK_VARIABLE) else {
        return;
    };
    log::start_output();
    exit_on_panic();
    run_local(async {
        match task.as_str() {
            "client" => forward_with(panicking_connector()).await,
            "connect" => forward_with(connector_with_panicking_task()).await,
            "timers" => forward_by_timer().await,
            "discovery" => {
                let _ = tokio::task::spawn_local(follow_discovery()).await;
                sleep(TEST_TIMEOUT).await;
            }
            "thread" => {
                let _ = std::thread::spawn(|| panic!("{MESSAGE}")).join();
                sleep(TEST_TIMEOUT).await;
            }
            _ => panic!("{MESSAGE}"),
        }
    });
}

/// Guards against a gateway that goes on answering PING after a panic, and serves nothing.
#[test]
fn panic_in_any_task_ends_the_process_after_a_line_in_the_log() {
    for task in ["main", "client", "connect", "timers", "discovery", "thread"] {
        let output = Command::new(std::env::current_exe().expect("the test program"))
            .args(["--exact", "panics::panic_in_the_named_task", "--nocapture"])
            .env(TASK_VARIABLE, task)
            .output()
            .expect("the test program runs");
        let log = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(PANIC_EXIT_CODE), "{task}: {log}");
        assert!(log.contains("panicked location="), "{task}: {log}");
        assert!(log.contains(MESSAGE), "{task}: {log}");
    }
}
