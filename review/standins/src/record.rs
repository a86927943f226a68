//! The record of a run, and the end of a run: all processes that were started are ended first.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::PathBuf;
use std::process::Child;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static RECORD: OnceLock<Mutex<BufWriter<File>>> = OnceLock::new();
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static START: OnceLock<Instant> = OnceLock::new();
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// A run that takes longer than this could not be judged.
const LONGEST_RUN: Duration = Duration::from_secs(112);

/// Opens the record (`RECORD`, the case's `record.txt`), and limits the length of the run.
pub fn open() {
    START.set(Instant::now()).expect("opened once");
    let path = PathBuf::from(std::env::var("RECORD").expect("RECORD is set"));
    let file = File::create(path).expect("record.txt can be written");
    let _ = RECORD.set(Mutex::new(BufWriter::new(file)));
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock")
        .as_nanos();
    let folder = std::env::temp_dir().join(format!("review-{}-{since_epoch}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let _ = FOLDER.set(folder);
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        line(&format!("STAND-IN FAILED {info}"));
        finish(2, "a stand-in failed");
    }));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        finish(2, "the run took too long");
    });
}

pub fn folder() -> PathBuf {
    FOLDER.get().expect("the record is open").clone()
}

/// Milliseconds since the start of the run.
pub fn now_ms() -> f64 {
    START.get().expect("the record is open").elapsed().as_secs_f64() * 1000.0
}

/// Writes a line with the time since the start of the run.
pub fn line(text: &str) {
    if let Some(record) = RECORD.get() {
        let mut record = record.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(record, "{:10.3} {text}", now_ms());
    }
}

/// Writes a line to the record and to standard output.
pub fn say(text: &str) {
    println!("{text}");
    line(text);
}

pub fn add_child(child: Child) -> u32 {
    let id = child.id();
    // If this process is killed, the script that started it ends the others.
    let path = std::env::temp_dir().join("processes");
    if let Ok(mut file) = File::options().create(true).append(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
    CHILDREN
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
        .push(child);
    id
}

/// Whether a process that was started has ended, with its status.
pub fn child_ended(id: u32) -> Option<String> {
    let mut children = CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let child = children.iter_mut().find(|child| child.id() == id)?;
    child.try_wait().ok().flatten().map(|status| status.to_string())
}

/// Kills one process that was started, at once.
pub fn kill_child(id: u32) {
    let mut children = CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    if let Some(child) = children.iter_mut().find(|child| child.id() == id) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends all processes that were started, and this one.
pub fn finish(code: i32, reason: &str) -> ! {
    static ENDING: Mutex<()> = Mutex::new(());
    let _only_once = ENDING.lock();
    if let Ok(mut children) = CHILDREN.lock() {
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    say(&format!("RESULT {code}: {reason}"));
    if let Some(record) = RECORD.get() {
        if let Ok(mut record) = record.lock() {
            let _ = record.flush();
        }
    }
    if let Some(folder) = FOLDER.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}
