//! The gateway on real sockets: clients in front, endpoints behind, the decisions in [`crate::DecisionEngine`].
//! Start, signals and shutdown.

pub mod backoff;
pub mod bind;
pub mod clients;
pub mod configuration;
pub mod discovery;
mod endpoints;
pub mod event_loop;
pub mod gossip_socket;
pub mod memory_budget;
pub mod resp;

use backoff::Backoff;
use clients::{ClientConnections, ClientListener, RequestSchema};
use configuration::Configuration;
use discovery::Tcp;
use event_loop::Gateway;
use gossip_socket::GossipSocket;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long discovery may be silent at the start before the known list has to do.
const FIRST_LIST: Duration = Duration::from_secs(1);
/// Sets the lots drawn for discovery apart from those of the module.
const DISCOVERY_LOTS: u64 = 0x9e37_79b9_7f4a_7c15;
/// New connections go on coming for up to 0.4 s after SIGTERM.
const FAREWELL: Duration = Duration::from_millis(500);
/// The part of the time before a kill after which one that was told to end has answered its clients, and up to
/// which it goes on answering its peers.
const ENDING_PART: f64 = 0.9;
/// The parts of the descriptors, in hundredths, that clients and workers may hold: the rest is for the
/// listener, discovery, notes and what is about to be closed. Clients hold a third at most for requests, and one
/// at its own limit can't open a connection before an idle one of its is closed: so room is made from there on.
const CLIENT_PART: usize = 33;
const WORKER_PART: usize = 45;

/// Serves as the configuration says until the process is told to end. Needs a `LocalSet` around it.
///
/// # Errors
/// When the configuration cannot be used, or an address in it is taken.
pub async fn run() -> Result<(), String> {
    // Before all else: a signal that nobody awaits ends the process.
    let mut hup = signal(SignalKind::hangup()).map_err(|e| format!("cannot await SIGHUP: {e}"))?;
    let mut term =
        signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut int =
        signal(SignalKind::interrupt()).map_err(|e| format!("cannot await SIGINT: {e}"))?;
    let mut config = Configuration::read()?;
    let (name, me) = (std::mem::take(&mut config.name), config.settings.gateway);
    let listen = config.listen;
    let (peer_listen, addresses) = (config.peer_listen, std::mem::take(&mut config.peers));
    // Clients are let in last: one that had a connection could not be answered while the other address is waited for.
    let bound = async {
        let peers = match peer_listen {
            Some(at) => Some(bind::bind_with_retry("take notes", at, UdpSocket::bind).await?),
            None => None,
        };
        Ok::<_, String>((
            peers,
            bind::bind_with_retry("listen", listen, TcpListener::bind).await?,
        ))
    };
    let bound = tokio::select! {
        bound = bound => Some(bound?),
        _ = term.recv() => None,
        _ = int.recv() => None,
    };
    let Some((peers, listener)) = bound else {
        eprintln!("marlshelf-gateway: {name} stops");
        return Ok(());
    };
    let listen = listener.local_addr().unwrap_or(listen);
    let peers = peers.map(|socket| GossipSocket::new(socket, addresses));
    let known = config.known_endpoints.take();
    let (moved, discovery) = watch::channel(config.discovery);
    let clients = ClientConnections::new(
        config.sockets * CLIENT_PART / 100,
        config.memory_per_purpose(),
    );
    let schema = RequestSchema::new(&config.document);
    let backoff = Backoff::new(&config.document, config.seed ^ DISCOVERY_LOTS);
    let places = config.sockets * WORKER_PART / 100;
    let gateway = Gateway::new(config, peers.clone(), places).map_err(|e| e.to_string())?;
    // A list with nobody on it is none to build on.
    let rev = known
        .as_ref()
        .filter(|list| !list.endpoints.is_empty())
        .map(|list| list.revision);
    if let Some(list) = known {
        gateway.borrow_mut().endpoints_changed(list);
    }
    let client_listener = ClientListener::new(clients.clone(), gateway.clone(), schema);
    let news = Rc::new(Notify::new());
    gateway.borrow_mut().first_list = news.clone();
    let keeps = peers.is_some();
    if let Some(peers) = peers {
        spawn_local(peers.listen(gateway.clone(), me));
    }
    spawn_local(Gateway::run_timers(gateway.clone()));
    spawn_local(clients.clone().run_expiry());
    let follows = gateway.clone();
    let take = move |update| follows.borrow_mut().endpoints_changed(update);
    spawn_local(discovery::follow(Tcp, take, discovery, rev, backoff));
    spawn_local(async move {
        while hup.recv().await.is_some() {
            match Configuration::reload() {
                // Sent also where it is the same: the whole list is asked for once more.
                Ok(config) => {
                    eprintln!(
                        "marlshelf-gateway: configuration read again; discovery at {}",
                        config.discovery
                    );
                    let _ = moved.send(config.discovery);
                }
                Err(what) => eprintln!("marlshelf-gateway: the configuration in use stays: {what}"),
            }
        }
    });
    let serve = async {
        // Nothing is accepted before there is somebody to send it to.
        if rev.is_none() {
            let _ = timeout(FIRST_LIST, news.notified()).await;
        }
        eprintln!("marlshelf-gateway: {name} serves at {listen}");
        client_listener.accept(&listener).await;
    };
    tokio::select! {
        () = serve => {}
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    eprintln!("marlshelf-gateway: {name} stops");
    let most = gateway
        .borrow()
        .document
        .termination_grace()
        .mul_f64(ENDING_PART);
    let ends = Instant::now() + most;
    gateway.borrow_mut().shut_down_within(most);
    let _ = timeout(FAREWELL, client_listener.accept(&listener)).await;
    eprintln!("marlshelf-gateway: {name} lets nobody new in");
    clients.close_soon();
    let _ = timeout_at(ends, client_listener.drain_backlog(listener)).await;
    while !clients.is_empty() {
        clients.connection_closed().await;
    }
    // The last attempts of clients that have left need no answer; the last bytes to clients are the kernel's.
    while !gateway.borrow().all_answered() {
        sleep(Duration::from_millis(5)).await;
    }
    // Its peers go on asking for the stores that are kept here, of which its next life knows nothing. Who
    // tells it to end once more won't wait for that.
    if keeps {
        tokio::select! {
            () = sleep_until(ends) => {}
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    }
    Ok(())
}
