//! Discovery: the whole list and a watch over HTTP/1.1, with an empty line every 2 s.

use crate::record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub model: &'static str,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"westlands-hall","model":"{}","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
            self.uid, self.endpoint, self.model, self.state, self.boot_ms
        )
    }
}

struct State {
    revision: u64,
    /// The entries, each with the revision of its last change.
    entries: Vec<(u64, Entry)>,
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let entries = entries.into_iter().map(|entry| (1, entry)).collect();
        let state = Arc::new((Mutex::new(State { revision: 1, entries }), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = serve(stream, &shared);
                });
            }
        });
        Discovery { address, state }
    }

    /// Changes or adds an entry; all open watches tell it.
    pub fn change(&self, entry: Entry) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("the list");
        state.revision += 1;
        let revision = state.revision;
        record::line(&format!("DISCOVERY rev={revision} {}", entry.json()));
        match state.entries.iter_mut().find(|(_, known)| known.uid == entry.uid) {
            Some(known) => *known = (revision, entry),
            None => state.entries.push((revision, entry)),
        }
        changed.notify_all();
    }

    /// The whole list, as a gateway's configuration holds it.
    pub fn whole_list(&self) -> String {
        whole(&self.state.0.lock().expect("the list"))
    }
}

fn whole(state: &State) -> String {
    let listed = state.entries.iter().filter(|(_, entry)| entry.state != "gone");
    let targets: Vec<String> = listed.map(|(_, entry)| entry.json()).collect();
    format!(
        r#"{{"rev":{},"all":true,"targets":[{}]}}"#,
        state.revision,
        targets.join(",")
    )
}

fn serve(mut stream: TcpStream, shared: &(Mutex<State>, Condvar)) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut request = String::new();
        if reader.read_line(&mut request)? == 0 {
            return Ok(());
        }
        let mut header = String::new();
        while reader.read_line(&mut header)? > 2 {
            header.clear();
        }
        let path = request.split(' ').nth(1).unwrap_or_default().to_string();
        if !path.contains("stream=1") {
            let body = whole(&shared.0.lock().expect("the list"));
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
            continue;
        }
        let index = path
            .split("index=")
            .nth(1)
            .and_then(|digits| digits.parse().ok())
            .unwrap_or(0);
        return watch(stream, shared, index);
    }
}

fn watch(mut stream: TcpStream, shared: &(Mutex<State>, Condvar), mut index: u64) -> std::io::Result<()> {
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let (lock, changed) = shared;
    loop {
        let line = {
            let state = lock.lock().expect("the list");
            let (state, _) = changed
                .wait_timeout_while(state, Duration::from_secs(2), |state| state.revision <= index)
                .expect("the list");
            if state.revision <= index {
                String::new()
            } else if index == 0 {
                index = state.revision;
                whole(&state)
            } else {
                let newer = state.entries.iter().filter(|(revision, _)| *revision > index);
                let targets: Vec<String> = newer.map(|(_, entry)| entry.json()).collect();
                index = state.revision;
                format!(r#"{{"rev":{index},"all":false,"targets":[{}]}}"#, targets.join(","))
            }
        };
        write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
    }
}
