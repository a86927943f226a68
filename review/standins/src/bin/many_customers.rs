//! A bad client sends hundreds of commands at once, at full speed, in the names of customers that don't exist.

use review_standins::client::{Class, Connection, Request, meaning};
use review_standins::discovery::Discovery;
use review_standins::random::Random;
use review_standins::resp::Reply;
use review_standins::worker::{self, Job};
use review_standins::{gateway, record, trouble};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RUN: Duration = Duration::from_secs(75);
const GATEWAYS: usize = 2;
const CLIENTS: u64 = 12;
const NETWORK_DELAY: Duration = Duration::from_micros(300);
/// The limit in the configuration. On the scored days it is at most this.
const MEMORY_MB: u64 = 192;
const BAD_CONNECTIONS: u64 = 24;
const COMMANDS_AT_ONCE: usize = 300;
/// Customers are numbers below 2^33. The usual ones here are small.
const FIRST_MADE_UP: u64 = 1 << 20;
const CUSTOMERS: u64 = 1 << 33;

static SERVED: AtomicU64 = AtomicU64::new(0);
static UNANSWERED: AtomicU64 = AtomicU64::new(0);
static BAD_SENT: AtomicU64 = AtomicU64::new(0);
static BAD_REFUSED: AtomicU64 = AtomicU64::new(0);
static BAD_OTHER: AtomicU64 = AtomicU64::new(0);
static KILLED: AtomicBool = AtomicBool::new(false);

fn main() {
    record::open();
    let workers: Vec<_> = (0..8u64)
        .map(|number| {
            let model = if number % 2 == 0 { "std-4" } else { "lite-2" };
            let random = Mutex::new(Random::new(4000 + number));
            let slots = if number % 2 == 0 { 16 } else { 8 };
            let running = AtomicU64::new(0);
            let behaviour = move |job: Job| serve(&job, &random, &running, slots);
            worker::start(&format!("w{number}"), model, NETWORK_DELAY, Arc::new(behaviour))
        })
        .collect();
    let discovery = Discovery::start(workers.iter().map(|worker| worker.entry.clone()).collect());
    let gateways = gateway::start_all(&[discovery.address; GATEWAYS], &discovery.whole_list());
    let start = Instant::now();
    let until = start + RUN;
    for number in 0..CLIENTS {
        let address = gateways[number as usize % GATEWAYS].address;
        thread::spawn(move || community(number, address, until));
    }
    thread::sleep(Duration::from_secs(2));
    for number in 0..BAD_CONNECTIONS {
        let address = gateways[0].address;
        if trouble() {
            thread::spawn(move || bad_client(number, address, until));
        }
    }
    // The platform: it kills a gateway that holds more memory than its limit.
    let mut peak_mb = [0.0f64; GATEWAYS];
    let mut last_line = Instant::now();
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
        for (gateway, peak) in gateways.iter().zip(&mut peak_mb) {
            if let Some(status) = record::child_ended(gateway.process) {
                record::finish(1, &format!("rule broken: {} has ended: {status}", gateway.name));
            }
            let Some(memory_mb) = resident_mb(gateway.process) else {
                continue;
            };
            *peak = peak.max(memory_mb);
            if memory_mb > MEMORY_MB as f64 {
                KILLED.store(true, Ordering::SeqCst);
                record::kill_child(gateway.process);
                record::say(&format!(
                    "PLATFORM {} holds {memory_mb:.1} MB of {MEMORY_MB} MB after {:.1} s and is killed",
                    gateway.name,
                    start.elapsed().as_secs_f64()
                ));
                thread::sleep(Duration::from_millis(300));
                summary(&peak_mb);
                gateway::record_log(gateway);
                record::finish(1, "rule broken: a gateway was killed for memory");
            }
        }
        if last_line.elapsed() > Duration::from_secs(5) {
            last_line = Instant::now();
            summary(&peak_mb);
        }
    }
    thread::sleep(Duration::from_secs(1));
    summary(&peak_mb);
    if SERVED.load(Ordering::Relaxed) < 500 {
        record::finish(2, "too few usual requests were served to judge");
    }
    record::finish(0, "rule held");
}

fn summary(peak_mb: &[f64]) {
    record::say(&format!(
        "peak_mb={peak_mb:.1?} usual: served={} unanswered={}; bad client: sent={} refused={} other={}",
        SERVED.load(Ordering::Relaxed),
        UNANSWERED.load(Ordering::Relaxed),
        BAD_SENT.load(Ordering::Relaxed),
        BAD_REFUSED.load(Ordering::Relaxed),
        BAD_OTHER.load(Ordering::Relaxed),
    ));
}

/// The resident memory of a process, which is all that counts here: it has written no file.
fn resident_mb(process: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1024.0)
}

/// Runs a command if a slot is free, and turns it away otherwise.
fn serve(job: &Job, random: &Mutex<Random>, running: &AtomicU64, slots: u64) {
    if running.fetch_add(1, Ordering::SeqCst) >= slots {
        running.fetch_sub(1, Ordering::SeqCst);
        record::line(&format!("WORKER {} answers {} -BUSY", job.worker, job.id));
        job.connection.answer(b"-BUSY\r\n");
        return;
    }
    record::line(&format!("WORKER {} runs {} {}", job.worker, job.command, job.id));
    let work_ms = {
        let mut random = random.lock().expect("random numbers");
        if job.command == "Q.DO" {
            random.between(120.0, 200.0)
        } else {
            random.between(200.0, 340.0)
        }
    };
    sleep_ms(work_ms);
    running.fetch_sub(1, Ordering::SeqCst);
    let value = format!("result of {} by {}", job.id, job.worker);
    record::line(&format!("WORKER {} answers {}", job.worker, job.id));
    job.connection.answer(&worker::served(value.as_bytes()));
}

/// Sends hundreds of commands at once, reads all answers, and sends the next.
fn bad_client(number: u64, address: SocketAddr, until: Instant) {
    let mut random = Random::new(9000 + number);
    while Instant::now() < until {
        let Ok(mut connection) = Connection::open(address) else {
            return;
        };
        record::line(&format!("BAD CLIENT {number} connects"));
        while Instant::now() < until {
            let mut bytes = Vec::new();
            let mut ids = Vec::new();
            for _ in 0..COMMANDS_AT_ONCE {
                let customer = FIRST_MADE_UP + random.below(CUSTOMERS - FIRST_MADE_UP);
                let request = Request::new(Class::Read, customer, "starter", 6000);
                bytes.extend_from_slice(&request.command(GATEWAYS));
                ids.push(request.id);
            }
            // One line for all of them: there are hundreds of thousands.
            let batch = format!("{} to {}", ids[0], ids[COMMANDS_AT_ONCE - 1]);
            record::line(&format!(
                "BAD CLIENT {number} sends {COMMANDS_AT_ONCE} commands, {batch}"
            ));
            if connection.send(&bytes).is_err() {
                break;
            }
            BAD_SENT.fetch_add(COMMANDS_AT_ONCE as u64, Ordering::Relaxed);
            let mut is_open = true;
            let (mut refused, mut other) = (0u64, 0u64);
            for _ in 0..COMMANDS_AT_ONCE {
                match connection.reply(Duration::from_secs(8)) {
                    Ok(reply) if meaning(&reply) == "refused" => refused += 1,
                    Ok(_) => other += 1,
                    Err(_) => {
                        is_open = false;
                        break;
                    }
                };
            }
            BAD_REFUSED.fetch_add(refused, Ordering::Relaxed);
            BAD_OTHER.fetch_add(other, Ordering::Relaxed);
            record::line(&format!(
                "BAD CLIENT {number} got for {batch}: refused={refused} other={other}"
            ));
            if !is_open {
                break;
            }
        }
    }
}

/// A community whose client sends one request at a time: it submits a run time and then reads the ranking.
fn community(number: u64, address: SocketAddr, until: Instant) {
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
        let opened = connection.take().map_or_else(|| Connection::open(address), Ok);
        let Ok(mut open) = opened else { return };
        record::line(&format!("CLIENT {number} sends {} {:?}", request.id, request.class));
        if open.send(&request.command(GATEWAYS)).is_err() {
            continue;
        }
        match open.reply(Duration::from_millis(wait_ms + 1000)) {
            Ok(reply) => {
                record::line(&format!("CLIENT {number} {} {}", request.id, meaning(&reply)));
                if matches!(reply, Reply::Bulk(_)) {
                    SERVED.fetch_add(1, Ordering::Relaxed);
                } else {
                    sleep_ms(random.between(60.0, 480.0));
                }
                connection = Some(open);
            }
            Err(error) => {
                UNANSWERED.fetch_add(1, Ordering::Relaxed);
                let killed = KILLED.load(Ordering::SeqCst);
                record::line(&format!(
                    "CLIENT {number} {} no answer: {error} (killed={killed})",
                    request.id
                ));
            }
        }
        sleep_ms(random.between(1.0, 10.0));
    }
}

fn sleep_ms(milliseconds: f64) {
    thread::sleep(Duration::from_micros((milliseconds * 1000.0) as u64));
}
