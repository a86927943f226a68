//! Counters of requests, attempts and client connections, which are written to the log.
//!
//! The modules of the gateway count through the `metrics` facade. [`CounterRegistry::install`] makes the
//! process keep the counters; without it, they have no effect.

use crate::gateway::log::{self, LogEvent};
use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two log lines with the counters.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// All counters of the process, by name and reason. Clones share them.
#[derive(Clone, Default)]
pub struct CounterRegistry {
    counters: Arc<Mutex<BTreeMap<Key, Arc<AtomicU64>>>>,
}

impl CounterRegistry {
    /// Makes this the registry of the process. Has no effect if there is one already.
    pub fn install(&self) {
        let _ = metrics::set_global_recorder(self.clone());
    }

    /// Logs the counters periodically while they change, until the future is dropped.
    pub async fn run_log(self) {
        let mut logged = String::new();
        loop {
            sleep(LOG_INTERVAL).await;
            let text = self.text();
            if text != logged {
                log::event(&LogEvent::Counters { counters: &text });
                logged = text;
            }
        }
    }

    /// Logs the counters.
    pub fn log(&self) {
        let text = self.text();
        log::event(&LogEvent::Counters { counters: &text });
    }

    /// Returns the counters in the form `NAME=VALUE`, or `NAME.REASON=VALUE` for those with a reason.
    #[must_use]
    pub fn text(&self) -> String {
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (key, value) in counters.iter() {
            let reason = key.labels().next().map(metrics::Label::value);
            let (dot, reason) = reason.map_or(("", ""), |reason| (".", reason));
            let value = value.load(Ordering::Relaxed);
            let _ = write!(text, " {}{dot}{reason}={value}", key.name());
        }
        text
    }
}

impl Recorder for CounterRegistry {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(counter) = counters.get(key) {
            return Counter::from_arc(counter.clone());
        }
        let counter = Arc::<AtomicU64>::default();
        counters.insert(key.clone(), counter.clone());
        Counter::from_arc(counter)
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}
