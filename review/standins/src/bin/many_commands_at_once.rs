//! The front sends many commands at once on one connection. Half of them have long answers.

use review_standins::client::{Class, Connection, Request, meaning};
use review_standins::discovery::Discovery;
use review_standins::random::Random;
use review_standins::resp::Reply;
use review_standins::worker::{self, Job};
use review_standins::{gateway, record, trouble};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 2;
/// Batches that are sent, each on a new connection, one after another.
const BATCHES: u64 = 10;
/// Commands of a batch.
const COMMANDS: u64 = 48;
/// Commands that are sent at once without the disruption. Their answers together stay under 1 MiB.
const FEW_AT_ONCE: u64 = 8;
/// Bytes of the answer to a `board-read`. A value holds 64 KiB at most.
const LONG_ANSWER: usize = 64_000;
const NETWORK_DELAY: Duration = Duration::from_micros(150);
/// An answer may come this much later than the client's time, and only earns nothing then.
const SLACK: Duration = Duration::from_millis(500);
/// Mean work of the two classes on this site, and the most that a request takes here.
const READ_MS: (f64, f64) = (270.0, 1500.0);
const SUBMIT_MS: (f64, f64) = (160.0, 900.0);

fn main() {
    record::open();
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    let workers: Vec<_> = (0..8u64)
        .map(|number| {
            let model = if number % 2 == 0 { "std-4" } else { "lite-2" };
            let random = Mutex::new(Random::new(3000 + number));
            let ran = ran.clone();
            let behaviour = move |job: Job| serve(&job, &random, &ran);
            worker::start(&format!("w{number}"), model, NETWORK_DELAY, Arc::new(behaviour))
        })
        .collect();
    let discovery = Discovery::start(workers.iter().map(|worker| worker.entry.clone()).collect());
    let gateways = gateway::start_all(&[discovery.address; GATEWAYS], &discovery.whole_list());
    let mut totals: HashMap<&str, u64> = HashMap::new();
    let mut lost = 0;
    for batch in 0..BATCHES {
        let address = gateways[batch as usize % GATEWAYS].address;
        lost += send_batch(batch, address, &ran, &mut totals);
        thread::sleep(Duration::from_secs(1));
    }
    for gateway in &gateways {
        gateway::record_log(gateway);
        if let Some(status) = record::child_ended(gateway.process) {
            record::finish(2, &format!("{} ended: {status}", gateway.name));
        }
    }
    let mut totals: Vec<_> = totals.into_iter().collect();
    totals.sort_unstable();
    record::say(&format!("answers={totals:?} lost={lost}"));
    let served = totals
        .iter()
        .find(|(kind, _)| *kind == "served")
        .map_or(0, |(_, count)| *count);
    if lost > 0 {
        record::finish(1, "rule broken");
    }
    if served < BATCHES * COMMANDS / 2 {
        record::finish(2, "too few requests were served to judge");
    }
    record::finish(0, "rule held");
}

fn serve(job: &Job, random: &Mutex<Random>, ran: &Mutex<HashSet<String>>) {
    ran.lock().expect("the runs").insert(job.id.clone());
    record::line(&format!("WORKER {} runs {} {}", job.worker, job.command, job.id));
    let (mean, most) = if job.command == "Q.ASK" { READ_MS } else { SUBMIT_MS };
    // The work is distributed exponentially, as the site says of `board-read`.
    let unit = random.lock().expect("random numbers").unit();
    let work_ms = (-mean * (1.0 - unit).ln()).min(most);
    thread::sleep(Duration::from_micros((work_ms * 1000.0) as u64));
    let mut value = format!("result of {} by {}", job.id, job.worker);
    if job.command == "Q.ASK" {
        value.extend(std::iter::repeat_n('.', LONG_ANSWER - value.len()));
    }
    record::line(&format!(
        "WORKER {} answers {} with {} bytes",
        job.worker,
        job.id,
        value.len()
    ));
    job.connection.answer(&worker::served(value.as_bytes()));
}

/// Sends a batch of commands on a new connection and reads all answers. Returns how many requests are lost: the gateway
/// ended the connection without an answer to them, or gave none in time.
fn send_batch(
    batch: u64,
    address: std::net::SocketAddr,
    ran: &Mutex<HashSet<String>>,
    totals: &mut HashMap<&'static str, u64>,
) -> u64 {
    // The front sends the requests of many customers on one connection.
    let requests: Vec<Request> = (0..COMMANDS)
        .map(|number| {
            let class = if number % 2 == 0 { Class::Read } else { Class::Submit };
            let wait_ms = if class == Class::Read { 6000 } else { 4000 };
            Request::new(class, 0x3000 + batch * COMMANDS + number, "club", wait_ms)
        })
        .collect();
    let at_once = if trouble() { COMMANDS } else { FEW_AT_ONCE };
    let mut connection = Connection::open(address).expect("the gateway accepts");
    let mut lost = 0;
    for part in requests.chunks(at_once as usize) {
        lost += send_at_once(batch, &mut connection, part, ran, totals);
        if lost > 0 {
            break;
        }
    }
    lost
}

/// Sends commands with one write and reads all answers to them.
fn send_at_once(
    batch: u64,
    connection: &mut Connection,
    requests: &[Request],
    ran: &Mutex<HashSet<String>>,
    totals: &mut HashMap<&'static str, u64>,
) -> u64 {
    let mut bytes = Vec::new();
    for request in requests {
        bytes.extend_from_slice(&request.command(GATEWAYS));
        record::line(&format!(
            "CLIENT batch {batch} sends {} {:?}",
            request.id, request.class
        ));
    }
    connection.send(&bytes).expect("the commands can be sent");
    let sent_at = Instant::now();
    for (position, request) in requests.iter().enumerate() {
        // The answers follow the order of the commands, so that each may come as late as the latest before it.
        let latest = Duration::from_millis(6000) + SLACK;
        let limit = latest.saturating_sub(sent_at.elapsed()).max(Duration::from_millis(1));
        match connection.reply(limit) {
            Ok(reply) => {
                let kind = meaning(&reply);
                let expected = format!("result of {} by ", request.id);
                if let Reply::Bulk(value) = &reply {
                    if !value.starts_with(expected.as_bytes()) {
                        record::say(&format!("WRONG VALUE for {}", request.id));
                        return 1;
                    }
                }
                *totals.entry(kind).or_default() += 1;
                record::line(&format!("CLIENT batch {batch} {} {kind}", request.id));
            }
            Err(error) => {
                let after = sent_at.elapsed().as_millis();
                let rest = &requests[position..];
                for request in rest {
                    record::line(&format!("CLIENT batch {batch} {} lost", request.id));
                }
                // What is out still runs: count it once the workers are done.
                thread::sleep(Duration::from_secs(2));
                let ran = ran.lock().expect("the runs");
                let executed = rest.iter().filter(|request| ran.contains(&request.id)).count();
                let submits = rest
                    .iter()
                    .filter(|request| request.class == Class::Submit && ran.contains(&request.id))
                    .count();
                record::say(&format!(
                    "LOST batch {batch}: {error} {after} ms after sending; {} of {} requests without an answer, of \
                     which workers ran {executed} ({submits} run-submit)",
                    rest.len(),
                    requests.len()
                ));
                return rest.len() as u64;
            }
        }
    }
    0
}
