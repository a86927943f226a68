//! Workers. Each command is given to a behaviour of the case, on a thread of its own.

use crate::discovery::Entry;
use crate::record;
use crate::resp::Reader;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A connection as the worker sees it.
pub struct WorkerConnection {
    stream: Mutex<TcpStream>,
    /// Commands that have arrived.
    arrived: AtomicUsize,
    /// Commands that are answered.
    answered: AtomicUsize,
    /// One-way delay of the network.
    delay: Duration,
}

/// A command that has arrived.
pub struct Job {
    pub worker: String,
    pub connection: Arc<WorkerConnection>,
    pub command: String,
    pub id: String,
    pub customer: String,
    pub fields: String,
    /// Number of the command on its connection, from 1.
    pub number: usize,
}

impl WorkerConnection {
    /// Writes bytes, which reach the gateway after the delay of the network.
    pub fn write(&self, bytes: &[u8]) {
        thread::sleep(self.delay);
        let _ = self.stream.lock().expect("the stream").write_all(bytes);
    }

    /// Writes the answer to a command.
    pub fn answer(&self, bytes: &[u8]) {
        self.answered.fetch_add(1, Ordering::SeqCst);
        self.write(bytes);
    }

    /// Whether every command that has arrived is answered.
    pub fn nothing_waits(&self) -> bool {
        self.arrived.load(Ordering::SeqCst) == self.answered.load(Ordering::SeqCst)
    }
}

pub struct Worker {
    pub entry: Entry,
}

/// Starts a worker. `delay` is the one-way delay of its network.
pub fn start(uid: &str, model: &'static str, delay: Duration, behaviour: Arc<dyn Fn(Job) + Send + Sync>) -> Worker {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let endpoint: SocketAddr = listener.local_addr().expect("a bound address");
    let uid = uid.to_string();
    let entry = Entry {
        uid: uid.clone(),
        endpoint,
        model,
        state: "ready",
        boot_ms: 0,
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (uid, behaviour) = (uid.clone(), behaviour.clone());
            thread::spawn(move || serve(&uid, stream, delay, &behaviour));
        }
    });
    Worker { entry }
}

fn serve(uid: &str, stream: TcpStream, delay: Duration, behaviour: &Arc<dyn Fn(Job) + Send + Sync>) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = Reader::new(reading);
    let connection = Arc::new(WorkerConnection {
        stream: Mutex::new(stream),
        arrived: AtomicUsize::new(0),
        answered: AtomicUsize::new(0),
        delay,
    });
    let mut number = 0;
    while let Ok(parts) = reader.command() {
        let text = |index: usize| {
            parts
                .get(index)
                .map(|part| String::from_utf8_lossy(part).into_owned())
                .unwrap_or_default()
        };
        if parts.len() < 4 {
            connection.write(b"-ERR\r\n");
            continue;
        }
        number += 1;
        let job = Job {
            worker: uid.to_string(),
            connection: connection.clone(),
            command: text(0),
            customer: text(1),
            id: text(2),
            fields: text(3),
            number,
        };
        let behaviour = behaviour.clone();
        thread::spawn(move || {
            thread::sleep(job.connection.delay);
            job.connection.arrived.fetch_add(1, Ordering::SeqCst);
            record::line(&format!(
                "WORKER {} got {} {} {}",
                job.worker, job.command, job.id, job.fields
            ));
            behaviour(job);
        });
    }
}

/// An answer with a value and figures on use.
pub fn served(value: &[u8]) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    let used = "used=2,cost=1";
    out.extend_from_slice(format!("\r\n${}\r\n{used}\r\n$-1\r\n", used.len()).as_bytes());
    out
}
