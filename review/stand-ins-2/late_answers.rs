//! Endpoints that answer some requests twice, the second time some milliseconds late.

use super::common::*;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SECONDS: f64 = 40.0;
/// Part of the answers that are sent twice.
const DOUBLED: f64 = 0.1;
/// How much later the second answer is written, in milliseconds.
const LATE_MS: (f64, f64) = (5.5, 9.0);

pub fn run() -> i32 {
    let settings = Settings::example(2);
    let discovery = Discovery::start();
    let doubled = Arc::new(AtomicU32::new(0));
    let mut endpoints = Vec::new();
    for number in 0..8 {
        let uid = format!("s-{number}");
        let (cores, random, doubled, name) = (Cores::new(4), Mutex::new(Random(number + 100)), doubled.clone(), uid.clone());
        let handler: Handler = Arc::new(move |request: &Request| {
            let (work, is_doubled, late) = {
                let mut random = random.lock().unwrap();
                let work = if request.is_once { random.between(120.0, 200.0) } else { random.between(200.0, 340.0) };
                (work, random.unit() < DOUBLED, random.between(LATE_MS.0, LATE_MS.1))
            };
            cores.work(Duration::from_secs_f64(work / 1000.0));
            let answer = good_answer(format!("value of {}", request.id).as_bytes(), Some(request.number("units")));
            // Nothing else waits on the connection: the gateway sends one request at a time.
            if is_doubled && has_trouble() {
                doubled.fetch_add(1, Ordering::Relaxed);
                record(&format!("{name}: answers {}, and again {late:.1} ms later", request.id));
                return Act::WriteTwice(answer.clone(), Duration::from_secs_f64(late / 1000.0), answer);
            }
            record(&format!("{name}: answers {}", request.id));
            Act::Write(answer)
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
    let counts = usual_traffic(&pools, 79.0, 0.0, SECONDS);
    say(&format!(
        "{} served, {} refused, {} failed, {} unanswered, {} served with the value of another request; {} second answers",
        counts.served, counts.refused, counts.failed, counts.closed + counts.nothing, counts.foreign, doubled.load(Ordering::Relaxed)
    ));
    if counts.foreign > 0 { BROKEN } else { HELD }
}
