//! Idle clients fill the table of connections while a usual client's request is half written.

use super::common::*;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub fn run() -> i32 {
    let mut settings = Settings::example(1);
    settings.sockets = 256;
    let discovery = Discovery::start();
    let mut endpoints = Vec::new();
    for number in 0..8 {
        let uid = format!("s-{number}");
        let cores = Cores::new(4);
        let handler: Handler = Arc::new(move |request: &Request| {
            cores.work(Duration::from_millis(if request.is_once { 160 } else { 270 }));
            good_answer(format!("value of {}", request.id).as_bytes(), Some(request.number("units")))
        });
        let endpoint = Endpoint::start(handler);
        discovery.set(&uid, endpoint.address, "ready", 0);
        endpoints.push(endpoint);
    }
    let address = free_address();
    let config = settings.config(0, address, discovery.address, &[free_udp_address()], &discovery.whole_list().1);
    let gateway = Gateway::start("n0", address, discovery.address, &config);
    if !gateway.wait_until_ready() {
        return COULD_NOT_RUN;
    }
    let over = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new([0u32; 4]));
    let opened = Arc::new(AtomicU32::new(0));
    let mut threads = Vec::new();
    if has_trouble() {
        // Clients that ask once and hold their connection: 60 a second.
        let (over, opened) = (over.clone(), opened.clone());
        threads.push(thread::spawn(move || {
            let mut held = std::collections::VecDeque::new();
            while !over.load(Ordering::Relaxed) {
                if let Ok(mut client) = Client::connect(address, Duration::from_millis(500)) {
                    let _ = client.send(b"*1\r\n$4\r\nPING\r\n");
                    opened.fetch_add(1, Ordering::Relaxed);
                    held.push_back(client);
                }
                if held.len() > 400 {
                    held.pop_front();
                }
                thread::sleep(Duration::from_millis(16));
            }
        }));
    }
    for number in 0..10u64 {
        let (over, counts) = (over.clone(), counts.clone());
        threads.push(thread::spawn(move || {
            let mut random = Random(number);
            thread::sleep(Duration::from_millis(3000 + number * 200));
            let mut client = None;
            while !over.load(Ordering::Relaxed) {
                // The first request of a connection comes in one piece.
                let mut current = match client.take() {
                    Some(current) => current,
                    None => {
                        let Ok(mut current) = Client::connect(address, Duration::from_secs(2)) else { continue };
                        let _ = current.send(b"*1\r\n$4\r\nPING\r\n");
                        if !matches!(current.receive(Duration::from_secs(2)), Answer::Line(_)) {
                            continue;
                        }
                        current
                    }
                };
                thread::sleep(Duration::from_millis(random.between(300.0, 700.0) as u64));
                if end_of(&current).is_some() {
                    continue;
                }
                let id = new_id();
                let customer = format!("{:016x}", 1000 + number);
                let bytes = request_bytes(true, &customer, id, "run-submit", "federation", 3000, 1.0, 1, 0);
                let half = bytes.len() / 2;
                let _ = current.send(&bytes[..half]);
                record(&format!("client {number}: first half of {id:016x} is written"));
                thread::sleep(Duration::from_millis(900));
                let before = end_of(&current).unwrap_or("open");
                let _ = current.send(&bytes[half..]);
                let answer = current.receive(Duration::from_millis(3550));
                record(&format!("client {number}: {id:016x} gets {answer:?}; before the second half was written, the connection was {before}"));
                let kind = match &answer {
                    Answer::Value(_) => 0,
                    Answer::Line(_) => 1,
                    Answer::Closed => 2,
                    Answer::Nothing => 3,
                };
                counts.lock().unwrap()[kind] += 1;
                if kind < 2 {
                    client = Some(current);
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(30));
    over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let counts = *counts.lock().unwrap();
    say(&format!("{} idle clients came; half-written requests: {} served, {} refused or failed, {} closed without an answer, {} without anything", opened.load(Ordering::Relaxed), counts[0], counts[1], counts[2], counts[3]));
    if counts[2] + counts[3] > 0 { BROKEN } else { HELD }
}

/// How the gateway has ended the connection, if it has.
fn end_of(client: &Client) -> Option<&'static str> {
    let stream = client.stream();
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0u8; 1]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => Some("closed in order"),
        Err(error) if error.kind() != ErrorKind::WouldBlock => Some("reset"),
        _ => None,
    }
}
