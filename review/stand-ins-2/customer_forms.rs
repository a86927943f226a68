//! One community of a plan with a ceiling, whose client programs write its number in lower and in upper case.

use super::common::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CAP_RATE: f64 = 23.0;
const CAP_DEPTH: f64 = 55.0;
const SLACK: f64 = 6.0;
const CUSTOMER: u64 = 0xb4d6_55af;
const SECONDS: u64 = 40;

struct Ceiling {
    level: f64,
    at: Instant,
    lowest: f64,
    seen: std::collections::HashSet<u64>,
    units: f64,
}

pub fn run() -> i32 {
    let mut settings = Settings::example(2);
    settings.plans = settings.plans.replace(r#""CapDepth":74.0,"CapRate":30.0,"CeilingSlack":7.0"#, &format!(r#""CapDepth":{CAP_DEPTH:.1},"CapRate":{CAP_RATE:.1},"CeilingSlack":{SLACK:.1}"#));
    let ceiling = Arc::new(Mutex::new(Ceiling { level: CAP_DEPTH, at: Instant::now(), lowest: CAP_DEPTH, seen: Default::default(), units: 0.0 }));
    let discovery = Discovery::start();
    let mut endpoints = Vec::new();
    for number in 0..8 {
        let uid = format!("s-{number}");
        let (ceiling, name, cores) = (ceiling.clone(), uid.clone(), Cores::new(4));
        let handler: Handler = Arc::new(move |request: &Request| {
            let customer = u64::from_str_radix(&request.customer, 16).unwrap_or(0);
            let id = u64::from_str_radix(&request.id, 16).unwrap_or(0);
            let units = request.number("units");
            let mut store = ceiling.lock().unwrap();
            // The first attempt of every request takes its units from the store.
            if customer == CUSTOMER && store.seen.insert(id) {
                let elapsed = request.arrived.saturating_duration_since(store.at).as_secs_f64();
                store.level = (store.level + elapsed * CAP_RATE).min(CAP_DEPTH) - units;
                store.at = request.arrived.max(store.at);
                store.lowest = store.lowest.min(store.level);
                store.units += units;
                record(&format!("{name}: {} of customer {} takes {units} units, store {:.1}", request.id, request.customer, store.level));
            }
            drop(store);
            cores.work(Duration::from_millis(if request.is_once { 160 } else { 270 }));
            good_answer(format!("value of {}", request.id).as_bytes(), Some(units))
        });
        let endpoint = Endpoint::start(handler);
        discovery.set(&uid, endpoint.address, "ready", 0);
        endpoints.push(endpoint);
    }
    let peers = [free_udp_address(), free_udp_address()];
    let mut gateways = Vec::new();
    for me in 0..2 {
        let address = free_address();
        let config = settings.config(me, address, discovery.address, &peers, &discovery.whole_list().1);
        gateways.push(Gateway::start(&format!("n{me}"), address, discovery.address, &config));
    }
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return COULD_NOT_RUN;
    }
    let pools: Vec<Arc<ClientPool>> = gateways.iter().map(|gateway| ClientPool::new(gateway.address)).collect();
    let mut random = Random(7);
    let start = Instant::now();
    let (mut sent, mut at) = (0, 0.0);
    let counts = Arc::new(Mutex::new([0u32; 3]));
    let mut threads = Vec::new();
    // The community asks for 4.5 times its quota of 13 units a second.
    let (rate, mean_units) = (4.5 * 13.0, 3.5);
    while at < SECONDS as f64 {
        at += -(1.0 - random.unit()).ln() * mean_units / rate;
        thread::sleep((start + Duration::from_secs_f64(at)).saturating_duration_since(Instant::now()));
        let upper = has_trouble() && random.unit() < 0.5;
        let customer = if upper { format!("{CUSTOMER:016X}") } else { format!("{CUSTOMER:016x}") };
        let units = random.between(1.0, 7.0).floor();
        let pool = pools[(random.next() % 2) as usize].clone();
        let counts = counts.clone();
        sent += 1;
        threads.push(thread::spawn(move || {
            let id = new_id();
            let bytes = request_bytes(false, &customer, id, "board-read", "federation", 5000, units, 2, 0);
            record(&format!("client: {id:016x} of customer {customer}, {units} units"));
            let answer = pool.call(&bytes, Duration::from_millis(5500));
            let kind = match &answer {
                Answer::Value(_) => 0,
                Answer::Line(line) if line.starts_with("-BUSY") => 1,
                _ => 2,
            };
            counts.lock().unwrap()[kind] += 1;
            let text = match answer {
                Answer::Value(value) => String::from_utf8_lossy(&value).to_string(),
                other => format!("{other:?}"),
            };
            record(&format!("client: {id:016x} gets {text}"));
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let counts = *counts.lock().unwrap();
    let store = ceiling.lock().unwrap();
    let allowed = -(SLACK + 0.15 * CAP_RATE);
    say(&format!(
        "{sent} requests in {SECONDS} s: {} served, {} refused, {} failed; {:.0} units sent on, {:.1} a second; lowest level of the ceiling's store {:.1}, allowed {allowed:.2}",
        counts[0], counts[1], counts[2], store.units, store.units / SECONDS as f64, store.lowest
    ));
    if store.lowest < allowed { BROKEN } else { HELD }
}
