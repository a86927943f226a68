//! New configurations in quick succession while discovery is slow, and an endpoint that begins to drain.

use super::common::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time from a call to discovery to its answer.
const ANSWER_MS: u64 = 1200;
const RELOADS: u32 = 12;
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);
/// A change counts as told at the latest so long after discovery had it and could be reached.
const TOLD_AFTER: f64 = 6.0;
/// The drain grace of the settings, and what sockets add to every time limit.
const GRACE: f64 = 0.5 + 0.05;

pub fn run() -> i32 {
    let mut settings = Settings::example(2);
    settings.discovery_mode = "subscribe";
    let discovery = Discovery::start();
    let draining_since = Arc::new(Mutex::new(None::<Instant>));
    let late = Arc::new(Mutex::new(Vec::<f64>::new()));
    let mut endpoints = Vec::new();
    for number in 0..8 {
        let uid = format!("s-{number}");
        let (name, cores, since, late) = (uid.clone(), Cores::new(4), draining_since.clone(), late.clone());
        let handler: Handler = Arc::new(move |request: &Request| {
            if name == "s-0" {
                if let Some(since) = *since.lock().unwrap() {
                    let after = request.arrived.saturating_duration_since(since).as_secs_f64();
                    record(&format!("s-0: {} arrives {after:.3} s after the drain was known to discovery", request.id));
                    late.lock().unwrap().push(after);
                }
            }
            cores.work(Duration::from_millis(if request.is_once { 160 } else { 270 }));
            Act::Write(good_answer(format!("value of {}", request.id).as_bytes(), Some(request.number("units"))))
        });
        let endpoint = Endpoint::start(handler);
        discovery.set(&uid, endpoint.address, "ready", 0);
        endpoints.push(endpoint);
    }
    let peers = [free_udp_address(), free_udp_address()];
    let mut gateways = Vec::new();
    let mut configs = Vec::new();
    for me in 0..2 {
        let address = free_address();
        let config = settings.config(me, address, discovery.address, &peers, &discovery.whole_list().1);
        gateways.push(Gateway::start(&format!("n{me}"), address, discovery.address, &config));
        configs.push(config);
    }
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return COULD_NOT_RUN;
    }
    discovery.answer_delay_ms.store(ANSWER_MS, Ordering::Relaxed);
    let pools: Vec<Arc<ClientPool>> = gateways.iter().map(|gateway| ClientPool::new(gateway.address)).collect();
    let traffic = thread::spawn(move || usual_traffic(&pools, 79.0, 0.0, 24.0));
    // Time for the first watch, which the slow discovery answers late.
    thread::sleep(Duration::from_secs(6));
    for reload in 0..RELOADS {
        if has_trouble() {
            for (gateway, config) in gateways.iter().zip(&configs) {
                gateway.replace_config(config);
                gateway.signal("HUP");
            }
        }
        if reload == 0 {
            *draining_since.lock().unwrap() = Some(Instant::now());
            discovery.set("s-0", endpoints[0].address, "draining", 0);
        }
        thread::sleep(RELOAD_INTERVAL);
    }
    let counts = traffic.join().unwrap_or_default();
    let arrivals = late.lock().unwrap();
    let too_late: Vec<&f64> = arrivals.iter().filter(|after| **after > TOLD_AFTER + GRACE).collect();
    let last = arrivals.iter().copied().fold(0.0, f64::max);
    say(&format!(
        "{} served, {} refused, {} failed; {} attempts reached the draining endpoint, {} of them later than {:.2} s; the last after {last:.2} s",
        counts.served, counts.refused, counts.failed, arrivals.len(), too_late.len(), TOLD_AFTER + GRACE
    ));
    if too_late.is_empty() { HELD } else { BROKEN }
}
