//! Workers send a second copy of some answers a few milliseconds late, when nothing else waits on the connection.

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

const RUN: Duration = Duration::from_secs(45);
const GATEWAYS: usize = 2;
const CLIENTS: u64 = 12;
/// One-way delay between gateways and workers. The site has 0.085 to 0.32 ms.
const NETWORK_DELAY: Duration = Duration::from_micros(300);
/// Share of the answers that get a second copy.
const SECOND_ANSWERS: f64 = 0.2;
/// How late the second copy is, in milliseconds.
const LATE_MS: (f64, f64) = (2.0, 8.0);

static SECOND_COPIES: AtomicU64 = AtomicU64::new(0);

fn main() {
    record::open();
    // Ids of `run-submit` that were run, with the workers that ran them.
    let runs: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let workers: Vec<_> = (0..8u64)
        .map(|number| {
            let model = if number % 2 == 0 { "std-4" } else { "lite-2" };
            let random = Mutex::new(Random::new(1000 + number));
            let runs = runs.clone();
            let behaviour = move |job: Job| serve(&job, &random, &runs);
            worker::start(&format!("w{number}"), model, NETWORK_DELAY, Arc::new(behaviour))
        })
        .collect();
    let discovery = Discovery::start(workers.iter().map(|worker| worker.entry.clone()).collect());
    let gateways = gateway::start_all(&[discovery.address; GATEWAYS], &discovery.whole_list());
    let until = Instant::now() + RUN;
    let foreign = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let address = gateways[number as usize % GATEWAYS].address;
            let (foreign, served) = (foreign.clone(), served.clone());
            thread::spawn(move || community(number, address, until, &foreign, &served))
        })
        .collect();
    for client in clients {
        if client.join().is_err() {
            record::finish(2, "a client failed");
        }
    }
    thread::sleep(Duration::from_secs(1));
    for gateway in &gateways {
        gateway::record_log(gateway);
        if let Some(status) = record::child_ended(gateway.process) {
            record::finish(2, &format!("{} ended: {status}", gateway.name));
        }
    }
    let runs = runs.lock().expect("the runs");
    let twice: Vec<_> = runs.iter().filter(|(_, workers)| workers.len() > 1).collect();
    for (id, workers) in &twice {
        record::say(&format!("RUN TWICE run-submit {id} by {}", workers.join(" and ")));
    }
    let (served, foreign) = (served.load(Ordering::Relaxed), foreign.load(Ordering::Relaxed));
    record::say(&format!(
        "served={served} second_copies={} foreign_values={foreign} run_twice={}",
        SECOND_COPIES.load(Ordering::Relaxed),
        twice.len()
    ));
    if served < 1000 {
        record::finish(2, "too few requests were served to judge");
    }
    if foreign > 0 || !twice.is_empty() {
        record::finish(1, "rule broken");
    }
    record::finish(0, "rule held");
}

/// Runs a command and answers it. Some answers get a second copy.
fn serve(job: &Job, random: &Mutex<Random>, runs: &Mutex<HashMap<String, Vec<String>>>) {
    let is_submit = job.command == "Q.DO";
    let (work_ms, second_copy, late_ms) = {
        let mut random = random.lock().expect("random numbers");
        let work_ms = if is_submit {
            random.between(120.0, 200.0)
        } else {
            random.between(200.0, 340.0)
        };
        (
            work_ms,
            random.unit() < SECOND_ANSWERS && trouble(),
            random.between(LATE_MS.0, LATE_MS.1),
        )
    };
    record::line(&format!("WORKER {} runs {} {}", job.worker, job.command, job.id));
    if is_submit {
        let mut runs = runs.lock().expect("the runs");
        runs.entry(job.id.clone()).or_default().push(job.worker.clone());
    }
    sleep_ms(work_ms);
    let answer = worker::served(value(&job.id, &job.worker).as_bytes());
    record::line(&format!("WORKER {} answers {}", job.worker, job.id));
    job.connection.answer(&answer);
    if !second_copy {
        return;
    }
    sleep_ms(late_ms);
    if job.connection.nothing_waits() {
        SECOND_COPIES.fetch_add(1, Ordering::Relaxed);
        record::line(&format!(
            "WORKER {} second copy for {} {late_ms:.3} ms late",
            job.worker, job.id
        ));
        job.connection.write(&answer);
    }
}

fn value(id: &str, worker: &str) -> String {
    format!("result of {id} by {worker}")
}

/// A community whose client sends one request at a time: it submits a run time and then reads the ranking.
fn community(number: u64, address: std::net::SocketAddr, until: Instant, foreign: &AtomicU64, served: &AtomicU64) {
    let mut random = Random::new(number);
    let mut connection: Option<Connection> = None;
    let mut class = Class::Submit;
    while Instant::now() < until {
        let wait_ms = if class == Class::Submit { 4000 } else { 6000 };
        let request = Request::new(class, 0x1000 + number, "federation", wait_ms);
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
                let kind = meaning(&reply);
                if let Reply::Bulk(bytes) = &reply {
                    let text = String::from_utf8_lossy(bytes);
                    record::line(&format!("CLIENT {number} {} served: {text}", request.id));
                    served.fetch_add(1, Ordering::Relaxed);
                    if !text.starts_with(&format!("result of {} by ", request.id)) {
                        foreign.fetch_add(1, Ordering::Relaxed);
                        record::say(&format!(
                            "FOREIGN VALUE client {number} asked {} and got: {text}",
                            request.id
                        ));
                    }
                } else {
                    record::line(&format!("CLIENT {number} {} {kind}: {reply:?}", request.id));
                    // A client comes back after a wait.
                    sleep_ms(random.between(60.0, 480.0));
                }
                connection = Some(open);
            }
            Err(error) => record::line(&format!("CLIENT {number} {} no answer: {error}", request.id)),
        }
        sleep_ms(random.between(1.0, 10.0));
    }
}

fn sleep_ms(milliseconds: f64) {
    thread::sleep(Duration::from_micros((milliseconds * 1000.0) as u64));
}
