//! Starts gateways with the `run` command of the deploy file.

use crate::resp::{Reader, Reply, encode};
use crate::settings::settings;
use crate::{free_tcp_address, free_udp_address, record};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub process: u32,
}

/// Starts `count` gateways that know each other and the given list, and waits until each answers PING.
/// `discoveries` has the address of each gateway's agent.
pub fn start_all(discoveries: &[SocketAddr], known: &str) -> Vec<Gateway> {
    let count = discoveries.len();
    let peers: Vec<SocketAddr> = (0..count).map(|_| free_udp_address()).collect();
    let addresses: Vec<SocketAddr> = (0..count).map(|_| free_tcp_address()).collect();
    let gateways: Vec<Gateway> = (0..count)
        .map(|me| {
            let name = format!("n{me}");
            let peer_list: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
            let seed = std::process::id() as u64 * 7919 + me as u64;
            let config = format!(
                r#"{{"name":"{name}","listen":"{}","discovery":"{}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"peer_listen":"{}","peers":[{}],
"known":{known},"settings":{}}}"#,
                addresses[me],
                discoveries[me],
                peers[me],
                peer_list.join(","),
                settings(me, count)
            );
            start(&name, addresses[me], discoveries[me], &config)
        })
        .collect();
    for gateway in &gateways {
        wait_until_ready(gateway);
    }
    gateways
}

fn start(name: &str, listen: SocketAddr, discovery: SocketAddr, config: &str) -> Gateway {
    let path = record::folder().join(format!("{name}.json"));
    std::fs::write(&path, config).expect("the configuration can be written");
    let log = File::create(record::folder().join(format!("{name}.log"))).expect("the log can be written");
    let run = std::env::var("RUN_COMMAND").expect("RUN_COMMAND is set");
    let child = Command::new("/bin/sh")
        .args(["-c", &run])
        .env("GW_NAME", name)
        .env("GW_LISTEN", listen.to_string())
        .env("GW_DISCOVERY", discovery.to_string())
        .env("GW_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log"))
        .stderr(log)
        .spawn()
        .expect("the gateway can be started");
    let process = record::add_child(child);
    record::line(&format!("GATEWAY {name} started process={process} listen={listen}"));
    Gateway {
        name: name.to_string(),
        address: listen,
        process,
    }
}

fn wait_until_ready(gateway: &Gateway) {
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        if let Some(status) = record::child_ended(gateway.process) {
            record::finish(2, &format!("{} ended before it was ready: {status}", gateway.name));
        }
        if Instant::now() > deadline {
            record::finish(2, &format!("{} is not ready", gateway.name));
        }
        if let Ok(mut stream) = TcpStream::connect(gateway.address) {
            let _ = stream.write_all(&encode(&[b"PING"]));
            let mut reader = Reader::new(stream);
            if reader.reply().is_ok_and(|reply| reply == Reply::Simple("+PONG".into())) {
                record::line(&format!("GATEWAY {} ready", gateway.name));
                return;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Copies what the gateway has logged so far into the record.
pub fn record_log(gateway: &Gateway) {
    let path = record::folder().join(format!("{}.log", gateway.name));
    for line in std::fs::read_to_string(path).unwrap_or_default().lines() {
        record::line(&format!("LOG {}: {line}", gateway.name));
    }
}
