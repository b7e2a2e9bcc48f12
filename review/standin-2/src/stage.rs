//! A worker of a stage, and a model worker that takes its results.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Request, reply, serve};

/// The call of the sheet: this time, and some for each piece.
const CALL: Duration = Duration::from_millis(150);
const PIECE: Duration = Duration::from_millis(16);

/// Headers of answers to calls.
const HEAD: &str = "Content-Type: application/json\r\nKeep-Alive: timeout=5\r\n";

/// Calls in progress and waiting beyond which a worker is full.
const PLACES: usize = 3;

/// One answer in this many of the faulty workers is followed by a second one, of about 90:
/// 2 in 100.
const SPOILT: u64 = 40;

struct Worker {
    id: String,
    address: SocketAddr,
    /// Its number among the faulty workers, and how many these are.
    faulty: Option<(u64, u64)>,
    /// Second answers follow while there is such a file.
    mark: PathBuf,
    busy: Mutex<()>,
    calls: AtomicUsize,
    answers: AtomicU64,
    handles: AtomicU64,
    /// The calls that were answered and will be once more, by connection.
    spoilt: Mutex<BTreeMap<SocketAddr, Vec<String>>>,
    record: Mutex<File>,
}

/// Runs `stage ID NUMBER FAULTY MARK RECORD`, where the first `FAULTY` workers are faulty;
/// prints its address.
pub fn main(arguments: &[String]) {
    let [id, number, faulty, mark, record] = arguments else {
        panic!("stage ID NUMBER FAULTY MARK RECORD");
    };
    let number: u64 = number.parse().expect("a number");
    let faulty: u64 = faulty.parse().expect("a number");
    let record = OpenOptions::new().append(true).create(true).open(record);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let worker = Arc::new(Worker {
        id: id.clone(),
        address,
        faulty: (number < faulty).then_some((number, faulty)),
        mark: mark.into(),
        busy: Mutex::new(()),
        calls: AtomicUsize::new(0),
        answers: AtomicU64::new(0),
        handles: AtomicU64::new(0),
        spoilt: Mutex::default(),
        record: Mutex::new(record.expect("the record can be written")),
    });
    println!("{address}");
    serve(listener, move |request, stream| {
        answer(&worker, request, stream)
    });
    loop {
        thread::park();
    }
}

fn answer(worker: &Arc<Worker>, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    let kept = format!(
        "Keep-Alive: timeout=5\r\nSnipeyoke-Instance-Id: {}\r\n",
        worker.id
    );
    if request
        .header("snipeyoke-expect-instance")
        .is_some_and(|i| i != worker.id)
    {
        return reply(stream, 421, "Snipeyoke-Not-Executed: 1\r\n", b"");
    }
    match request.path.as_str() {
        "/-/stage-run" => run(worker, request, stream),
        "/-/stage-free" | "/health" => reply(stream, 200, &kept, b""),
        _ => reply(stream, 400, "Snipeyoke-Not-Executed: 1\r\n", b""),
    }
}

fn run(worker: &Arc<Worker>, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    let items = items_of(&request.body);
    // Late, where the answer to this call is expected: the call before it once more.
    let before = worker
        .spoilt
        .lock()
        .expect("no panic")
        .remove(&stream.peer_addr()?);
    if let Some(before) = before {
        let again = make(worker, &before, " again");
        reply(stream, 200, HEAD, again.as_bytes())?;
    }
    if worker.calls.fetch_add(1, Ordering::SeqCst) >= PLACES {
        worker.calls.fetch_sub(1, Ordering::SeqCst);
        return reply(stream, 503, "Snipeyoke-Not-Executed: 1\r\n", b"");
    }
    let turn = worker.busy.lock().expect("no panic");
    thread::sleep(CALL + PIECE * items.len() as u32);
    drop(turn);
    worker.calls.fetch_sub(1, Ordering::SeqCst);
    let made = make(worker, &items, "");
    reply(stream, 200, HEAD, made.as_bytes())?;
    if let Some((number, faulty)) = worker.faulty.filter(|_| worker.mark.exists())
        && (worker.answers.fetch_add(1, Ordering::SeqCst) * faulty + number) % SPOILT == 16
    {
        let mut spoilt = worker.spoilt.lock().expect("no panic");
        spoilt.insert(stream.peer_addr()?, items);
    }
    Ok(true)
}

/// Makes the results of a call and returns the answer.
fn make(worker: &Worker, items: &[String], again: &str) -> String {
    let mut answers = Vec::new();
    let mut lines = String::new();
    for item in items {
        let number = worker.handles.fetch_add(1, Ordering::SeqCst);
        let handle = format!("{}/{number:08x}", worker.address);
        lines += &format!("{} made {handle} for {item}{again}\n", worker.id);
        answers.push(format!("{{\"handle\":\"{handle}\"}}"));
    }
    let mut record = worker.record.lock().expect("no panic");
    record
        .write_all(lines.as_bytes())
        .expect("the record can be written");
    format!("{{\"items\":[{}]}}", answers.join(","))
}

/// Returns the pieces of a call as ATTEMPT/STAGE/PIECE.
fn items_of(body: &[u8]) -> Vec<String> {
    let body = String::from_utf8_lossy(body);
    let mut items = Vec::new();
    for item in body.split("{\"id\":\"").skip(1) {
        let number = |name: &str| {
            let rest = item.split(name).nth(1).unwrap_or_default();
            let end = rest.find(|c: char| !c.is_ascii_digit());
            rest[..end.unwrap_or(rest.len())].to_owned()
        };
        let id = item.split('"').next().unwrap_or_default();
        let (stage, piece) = (number("\"stage\":"), number("\"piece\":"));
        items.push(format!("{id}/{stage}/{piece}"));
    }
    items
}
