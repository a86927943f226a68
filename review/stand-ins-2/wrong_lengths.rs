//! Endpoints that announce the length of some values wrongly, by 1 to 8 bytes.

use super::common::*;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SECONDS: f64 = 40.0;
/// Part of the answers that are spoilt.
const SPOILT: f64 = 0.1;

pub fn run() -> i32 {
    let settings = Settings::example(2);
    let discovery = Discovery::start();
    let spoilt = Arc::new(AtomicU32::new(0));
    let mut endpoints = Vec::new();
    for number in 0..8 {
        let uid = format!("s-{number}");
        let (cores, random, spoilt, name) = (Cores::new(4), Mutex::new(Random(number + 100)), spoilt.clone(), uid.clone());
        let handler: Handler = Arc::new(move |request: &Request| {
            let (work, is_spoilt, off) = {
                let mut random = random.lock().unwrap();
                let work = if request.is_once { random.between(120.0, 200.0) } else { random.between(200.0, 340.0) };
                let size = 1 + (random.next() % 8) as i64;
                (work, random.unit() < SPOILT, if random.unit() < 0.5 { size } else { -size })
            };
            cores.work(Duration::from_secs_f64(work / 1000.0));
            let value = format!("value of {}", request.id);
            let answer = good_answer(value.as_bytes(), Some(request.number("units")));
            if !is_spoilt || !has_trouble() {
                record(&format!("{name}: answers {}", request.id));
                return answer;
            }
            spoilt.fetch_add(1, Ordering::Relaxed);
            let good_head = format!("*3\r\n${}\r\n", value.len());
            let mut bytes = format!("*3\r\n${}\r\n", value.len() as i64 + off).into_bytes();
            bytes.extend_from_slice(&answer[good_head.len()..]);
            record(&format!("{name}: answers {} with a length that is {off} off: {:?}", request.id, String::from_utf8_lossy(&bytes)));
            bytes
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
        "{} served, {} refused, {} failed, {} unanswered, {} served with a value that no endpoint made for them; {} spoilt answers",
        counts.served, counts.refused, counts.failed, counts.closed + counts.nothing, counts.foreign, spoilt.load(Ordering::Relaxed)
    ));
    if counts.foreign > 0 { BROKEN } else { HELD }
}
