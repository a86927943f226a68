//! Workers announce a wrong length for the value of some answers.

use review_standins::client::{Class, Connection, Request, meaning};
use review_standins::discovery::Discovery;
use review_standins::random::Random;
use review_standins::resp::Reply;
use review_standins::worker::{self, Job};
use review_standins::{gateway, record, trouble};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RUN: Duration = Duration::from_secs(40);
const GATEWAYS: usize = 2;
const CLIENTS: u64 = 12;
const NETWORK_DELAY: Duration = Duration::from_micros(150);
/// Share of the answers whose length does not fit.
const SPOILT: f64 = 0.1;
/// The announced length is up to this many bytes too short or too long.
const MOST_BYTES_OFF: u64 = 8;

static SPOILT_ANSWERS: AtomicU64 = AtomicU64::new(0);

fn main() {
    record::open();
    // The value that a worker made for each request.
    let made: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let workers: Vec<_> = (0..8u64)
        .map(|number| {
            let model = if number % 2 == 0 { "std-4" } else { "lite-2" };
            let random = Mutex::new(Random::new(2000 + number));
            let made = made.clone();
            let behaviour = move |job: Job| serve(&job, &random, &made);
            worker::start(&format!("w{number}"), model, NETWORK_DELAY, Arc::new(behaviour))
        })
        .collect();
    let discovery = Discovery::start(workers.iter().map(|worker| worker.entry.clone()).collect());
    let gateways = gateway::start_all(&[discovery.address; GATEWAYS], &discovery.whole_list());
    let until = Instant::now() + RUN;
    let wrong = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let address = gateways[number as usize % GATEWAYS].address;
            let (wrong, served) = (wrong.clone(), served.clone());
            thread::spawn(move || community(number, address, until, &wrong, &served))
        })
        .collect();
    for client in clients {
        if client.join().is_err() {
            record::finish(2, "a client failed");
        }
    }
    for gateway in &gateways {
        gateway::record_log(gateway);
        if let Some(status) = record::child_ended(gateway.process) {
            record::finish(2, &format!("{} ended: {status}", gateway.name));
        }
    }
    let (served, wrong) = (served.load(Ordering::Relaxed), wrong.load(Ordering::Relaxed));
    record::say(&format!(
        "served={served} spoilt_answers={} wrong_values={wrong}",
        SPOILT_ANSWERS.load(Ordering::Relaxed)
    ));
    if served < 500 {
        record::finish(2, "too few requests were served to judge");
    }
    if wrong > 0 {
        record::finish(1, "rule broken");
    }
    record::finish(0, "rule held");
}

fn serve(job: &Job, random: &Mutex<Random>, made: &Mutex<HashMap<String, String>>) {
    let (work_ms, spoilt, off, is_longer) = {
        let mut random = random.lock().expect("random numbers");
        let submit = job.command == "Q.DO";
        let work_ms = if submit {
            random.between(120.0, 200.0)
        } else {
            random.between(200.0, 340.0)
        };
        (
            work_ms,
            random.unit() < SPOILT && trouble(),
            1 + random.below(MOST_BYTES_OFF),
            random.below(2) == 0,
        )
    };
    let value = format!("result of {} by {}", job.id, job.worker);
    made.lock().expect("the values").insert(job.id.clone(), value.clone());
    record::line(&format!("WORKER {} runs {} {}", job.worker, job.command, job.id));
    thread::sleep(Duration::from_micros((work_ms * 1000.0) as u64));
    let mut answer = worker::served(value.as_bytes());
    if spoilt {
        let length = value.len() as u64;
        let announced = if is_longer { length + off } else { length - off };
        let good = format!("*3\r\n${length}\r\n");
        let mut bad = format!("*3\r\n${announced}\r\n").into_bytes();
        bad.extend_from_slice(&answer[good.len()..]);
        answer = bad;
        SPOILT_ANSWERS.fetch_add(1, Ordering::Relaxed);
        record::line(&format!(
            "WORKER {} spoils {}: {:?}",
            job.worker,
            job.id,
            String::from_utf8_lossy(&answer)
        ));
    }
    job.connection.answer(&answer);
}

/// A community whose client sends one request at a time: it submits a run time and then reads the ranking.
fn community(number: u64, address: std::net::SocketAddr, until: Instant, wrong: &AtomicU64, served: &AtomicU64) {
    let mut random = Random::new(number);
    let mut connection: Option<Connection> = None;
    let mut class = Class::Submit;
    while Instant::now() < until {
        let wait_ms = if class == Class::Submit { 4000 } else { 6000 };
        let request = Request::new(class, 0x2000 + number, "federation", wait_ms);
        class = if class == Class::Submit {
            Class::Read
        } else {
            Class::Submit
        };
        let mut open = match connection.take() {
            Some(open) => open,
            None => Connection::open(address).expect("the gateway accepts"),
        };
        record::line(&format!("CLIENT {number} sends {} {:?}", request.id, request.class));
        if open.send(&request.command(GATEWAYS)).is_err() {
            record::line(&format!("CLIENT {number} {} not sent: connection closed", request.id));
            continue;
        }
        match open.reply(Duration::from_millis(wait_ms + 1000)) {
            Ok(reply) => {
                if let Reply::Bulk(bytes) = &reply {
                    let text = String::from_utf8_lossy(bytes).into_owned();
                    record::line(&format!("CLIENT {number} {} served: {text:?}", request.id));
                    served.fetch_add(1, Ordering::Relaxed);
                    let right = text
                        .strip_prefix(&format!("result of {} by w", request.id))
                        .is_some_and(|rest| rest.len() == 1);
                    if !right {
                        wrong.fetch_add(1, Ordering::Relaxed);
                        record::say(&format!(
                            "WRONG VALUE client {number} asked {} and got {text:?}",
                            request.id
                        ));
                    }
                } else {
                    record::line(&format!(
                        "CLIENT {number} {} {}: {reply:?}",
                        request.id,
                        meaning(&reply)
                    ));
                }
                connection = Some(open);
            }
            Err(error) => record::line(&format!("CLIENT {number} {} no answer: {error}", request.id)),
        }
        thread::sleep(Duration::from_micros((random.between(1.0, 10.0) * 1000.0) as u64));
    }
}
