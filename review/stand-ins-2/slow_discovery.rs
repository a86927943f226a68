//! Discovery answers each call some seconds late while two gateways start, and an endpoint begins to drain.

use super::common::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time from a call to discovery to its answer.
const ANSWER_MS: u64 = 3500;
/// When the endpoint begins to drain, counted from when the gateways are ready.
const DRAINS_AFTER: Duration = Duration::from_secs(10);
const SECONDS: f64 = 40.0;
/// A change counts as told at the latest so long after discovery had it and could be reached.
const TOLD_AFTER: f64 = 6.0;
/// The drain grace of the settings, and what sockets add to every time limit.
const GRACE: f64 = 0.5 + 0.05;

pub fn run() -> i32 {
    let mut settings = Settings::example(2);
    settings.discovery_mode = "subscribe";
    let discovery = Discovery::start();
    let draining_since = Arc::new(Mutex::new(None::<Instant>));
    let arrivals = Arc::new(Mutex::new(Vec::<f64>::new()));
    let mut endpoints = Vec::new();
    for number in 0..8 {
        let uid = format!("s-{number}");
        let (name, cores, since, arrivals) = (uid.clone(), Cores::new(4), draining_since.clone(), arrivals.clone());
        let handler: Handler = Arc::new(move |request: &Request| {
            let since = since.lock().unwrap().filter(|_| name == "s-0");
            if let Some(since) = since {
                let after = request.arrived.saturating_duration_since(since).as_secs_f64();
                record(&format!("{name}: {} arrives {after:.3} s after discovery had the drain", request.id));
                arrivals.lock().unwrap().push(after);
            } else {
                record(&format!("{name}: {} arrives", request.id));
            }
            cores.work(Duration::from_millis(if request.is_once { 160 } else { 270 }));
            good_answer(format!("value of {}", request.id).as_bytes(), Some(request.number("units")))
        });
        let endpoint = Endpoint::start(handler);
        discovery.set(&uid, endpoint.address, "ready", 0);
        endpoints.push(endpoint);
    }
    if has_trouble() {
        discovery.answer_delay_ms.store(ANSWER_MS, Ordering::Relaxed);
    }
    let peers = [free_udp_address(), free_udp_address()];
    let mut gateways = Vec::new();
    for me in 0..2 {
        let address = free_address();
        // The list that the gateway last had is up to date when it starts.
        let config = settings.config(me, address, discovery.address, &peers, &discovery.whole_list().1);
        gateways.push(Gateway::start(&format!("n{me}"), address, discovery.address, &config));
    }
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return COULD_NOT_RUN;
    }
    let pools: Vec<Arc<ClientPool>> = gateways.iter().map(|gateway| ClientPool::new(gateway.address)).collect();
    let traffic = thread::spawn(move || usual_traffic(&pools, 79.0, 0.0, SECONDS));
    thread::sleep(DRAINS_AFTER);
    *draining_since.lock().unwrap() = Some(Instant::now());
    discovery.set("s-0", endpoints[0].address, "draining", 0);
    let counts = traffic.join().unwrap_or_default();
    let arrivals = arrivals.lock().unwrap();
    let too_late = arrivals.iter().filter(|after| **after > TOLD_AFTER + GRACE).count();
    let last = arrivals.iter().copied().fold(0.0, f64::max);
    say(&format!(
        "{} served, {} refused, {} failed; {} attempts reached the draining endpoint, {too_late} of them later than {:.2} s; the last after {last:.2} s",
        counts.served, counts.refused, counts.failed, arrivals.len(), TOLD_AFTER + GRACE
    ));
    if too_late > 0 { BROKEN } else { HELD }
}
