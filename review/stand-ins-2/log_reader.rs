//! The reader of a gateway's log is restarted: for some seconds, writes to standard error fail with EPIPE.

use super::common::*;
use std::fs::OpenOptions;
use std::io::Read;
use std::os::unix::fs::OpenOptionsExt;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// `O_NONBLOCK` of Linux.
const NON_BLOCKING: i32 = 0o4000;
/// When the reader of the log ends, and how long it takes until the next one reads.
const READER_ENDS_AFTER: Duration = Duration::from_secs(9);
const READER_AWAY: Duration = Duration::from_secs(12);
const SECONDS: f64 = 50.0;
/// Part of the requests that come from four communities: each asks for some 4.6 times its quota of 1.5 units a second.
const PRESSING: f64 = 0.35;

pub fn run() -> i32 {
    let settings = Settings::example(2);
    let discovery = Discovery::start();
    let mut endpoints = Vec::new();
    for number in 0..8 {
        let uid = format!("s-{number}");
        let (cores, name) = (Cores::new(4), uid.clone());
        let handler: Handler = Arc::new(move |request: &Request| {
            record(&format!("{name}: runs {}", request.id));
            cores.work(Duration::from_millis(if request.is_once { 160 } else { 270 }));
            good_answer(format!("value of {}", request.id).as_bytes(), Some(request.number("units")))
        });
        let endpoint = Endpoint::start(handler);
        discovery.set(&uid, endpoint.address, "ready", 0);
        endpoints.push(endpoint);
    }
    let log = work_folder().join("log-of-n0");
    let _ = std::fs::remove_file(&log);
    if !Command::new("mkfifo").arg(&log).status().is_ok_and(|status| status.success()) {
        return COULD_NOT_RUN;
    }
    let (is_reader_away, over) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let reader = {
        let (away, over, log) = (is_reader_away.clone(), over.clone(), log.clone());
        thread::spawn(move || read_log(&log, &away, &over))
    };
    thread::sleep(Duration::from_millis(200));
    let peers = [free_udp_address(), free_udp_address()];
    let mut gateways = Vec::new();
    for me in 0..2 {
        let address = free_address();
        let config = settings.config(me, address, discovery.address, &peers, &discovery.whole_list().1);
        let name = format!("n{me}");
        gateways.push(if me == 0 {
            let Ok(stderr) = OpenOptions::new().write(true).open(&log) else { return COULD_NOT_RUN };
            Gateway::start_with_log(&name, address, discovery.address, &config, Stdio::from(stderr))
        } else {
            Gateway::start(&name, address, discovery.address, &config)
        });
    }
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return COULD_NOT_RUN;
    }
    let pools: Vec<Arc<ClientPool>> = gateways.iter().map(|gateway| ClientPool::new(gateway.address)).collect();
    let traffic = thread::spawn(move || usual_traffic_by_gateway(&pools, 79.0, PRESSING, SECONDS));
    thread::sleep(READER_ENDS_AFTER);
    if has_trouble() {
        record("platform: the reader of n0's log ends");
        is_reader_away.store(true, Ordering::Relaxed);
        thread::sleep(READER_AWAY);
        is_reader_away.store(false, Ordering::Relaxed);
        record("platform: n0's log is read again");
    }
    let counts = traffic.join().unwrap_or_default();
    let answers_ping = gateways[0].wait_until_ready();
    let running = gateways.iter_mut().all(Gateway::is_running);
    over.store(true, Ordering::Relaxed);
    drop(gateways);
    let _ = reader.join();
    let mut unanswered = 0;
    for (number, count) in counts.iter().enumerate() {
        say(&format!("n{number}: {} served, {} refused, {} failed, {} closed without an answer, {} without any answer in time", count.served, count.refused, count.failed, count.closed, count.nothing));
        unanswered += count.closed + count.nothing;
    }
    say(&format!("all gateways run at the end: {running}; n0 answers PING: {answers_ping}"));
    if unanswered > 0 || !running { BROKEN } else { HELD }
}

fn read_log(path: &std::path::Path, away: &AtomicBool, over: &AtomicBool) {
    let mut chunk = [0u8; 4096];
    while !over.load(Ordering::Relaxed) {
        if away.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        let Ok(mut log) = OpenOptions::new().read(true).custom_flags(NON_BLOCKING).open(path) else { return };
        while !away.load(Ordering::Relaxed) && !over.load(Ordering::Relaxed) {
            match log.read(&mut chunk) {
                Ok(length) if length > 0 => {
                    for line in String::from_utf8_lossy(&chunk[..length]).lines() {
                        record(&format!("log of n0: {line}"));
                    }
                }
                _ => thread::sleep(Duration::from_millis(10)),
            }
        }
    }
}
