//! Many users come at once, with large requests that the configuration allows.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::front::Bed;
use crate::front::Front;
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Work;
use crate::worker::Worker;

const ZONES: [&str; 3] = ["tbilisi-a", "tbilisi-b", "tbilisi-c"];

/// `memory-mb` of a front machine, in bytes.
const MEMORY: u64 = 260 * 1_000_000;

/// The largest body that the configuration allows.
const MAX_BODY: usize = 4_194_304;

/// Requests a second at each machine, as on the sheet of a site with three fronts.
const RATE: f64 = 11.0;

/// The largest dose of `burst` on all traffic in the site file, and its length there.
const BURST: f64 = 1.8;
const BURST_S: f64 = 4.0;

const DEADLINE_MS: u64 = 20_000;
const EVENTS: u64 = 30;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-chat","host":"pule25.example","path-prefix":"/puxa400/","kind":"streaming","timeout-ms":20000,"goal-ms":2700,"priority":2,"service":"eligibility-llm","max-attempts":2,"public":false,"sticky":true,"can-resume":true,"gap-goal-ms":400}],"services":[{"name":"eligibility-llm","health-path":"/health","max-conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":339456,"kv-token-bytes":163840,"link-mbps":550000.0}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

/// How the attempts ended.
#[derive(Default)]
struct Ends {
    served: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
    /// Closed without an answer, on a kept connection, once a worker had the request:
    /// the machine, and when the request was sent.
    lost: Mutex<Vec<(SocketAddr, f64)>>,
}

pub fn run(root: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let (store, address) = Store::start()?;
    let bed = Bed::new(root, address)?;
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let model = Work::Model {
        events: EVENTS,
        first_ms: 700,
        gap_ms: 60,
    };
    let mut workers = Vec::new();
    for number in 0..9 {
        workers.push(Worker::start(
            record,
            &store,
            ("eligibility-llm", ZONES[number % 3]),
            64,
            model,
        )?);
    }
    let workers = Arc::new(workers);
    let mut fronts = Vec::new();
    for (number, zone) in (1..).zip(ZONES) {
        let mut front = Front::new(&bed, number, zone, &[1, 2, 3])?;
        front.start()?;
        fronts.push(front);
    }
    for front in &fronts {
        if !front.await_ready(Duration::from_secs(8)) {
            return Err(io::Error::other(format!("{} is not ready", front.name)));
        }
    }
    let nodes: Vec<SocketAddr> = fronts.iter().map(|f| f.callers).collect();
    let ends = Arc::new(Ends::default());
    let stop = Arc::new(AtomicBool::new(false));
    let body = Arc::new(vec![b'd'; MAX_BODY / 4 * 3]);
    let mut traffic = Vec::new();
    let rate = Arc::new(Mutex::new(RATE));
    for &node in &nodes {
        let (record, ends, stop) = (Arc::clone(record), Arc::clone(&ends), Arc::clone(&stop));
        let (body, rate, workers) = (Arc::clone(&body), Arc::clone(&rate), Arc::clone(&workers));
        traffic.push(thread::spawn(move || {
            let mut sent = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let (record, ends, body) =
                    (Arc::clone(&record), Arc::clone(&ends), Arc::clone(&body));
                let workers = Arc::clone(&workers);
                sent.push(thread::spawn(move || {
                    attempt(&record, &ends, &workers, node, &body)
                }));
                let pause = 1.0 / *rate.lock().expect("no thread panics");
                thread::sleep(Duration::from_secs_f64(pause));
            }
            for thread in sent {
                let _ended = thread.join();
            }
        }));
    }
    record.say(&format!(
        "3 machines get {RATE} requests a second each, of {} bytes",
        body.len()
    ));
    let mut most = vec![0; fronts.len()];
    let mut kills = 0;
    let mut first_kill = vec![f64::MAX; fronts.len()];
    let calm = 6.0;
    let end = record.now() + calm + BURST_S + 4.0;
    let burst_from = record.now() + calm;
    while record.now() < end {
        let in_burst = record.now() >= burst_from && record.now() < burst_from + BURST_S;
        *rate.lock().expect("no thread panics") = if trouble && in_burst {
            RATE * BURST
        } else {
            RATE
        };
        let machines = fronts.iter_mut().zip(&mut most).zip(&mut first_kill);
        for ((front, most), first_kill) in machines {
            let used = front.pid().map_or(0, resident);
            *most = used.max(*most);
            // The platform kills a process that exceeds `memory-mb`, and starts it again.
            if used > MEMORY {
                kills += 1;
                *first_kill = first_kill.min(record.now());
                front.kill();
                record.say(&format!(
                    "{} uses {} MB and is killed",
                    front.name,
                    used / 1_000_000
                ));
                thread::sleep(Duration::from_millis(300));
                front.start()?;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::SeqCst);
    for thread in traffic {
        let _ended = thread.join();
    }
    // Later ones are left out: the machine was started again less than `contact-ms` before.
    let lost = ends.lost.lock().expect("no thread panics");
    let lost = nodes.iter().zip(&first_kill).map(|(node, first_kill)| {
        lost.iter()
            .filter(|(at, sent)| at == node && sent < first_kill)
            .count()
    });
    let lost: Vec<usize> = lost.collect();
    let most: Vec<u64> = most.iter().map(|m| m / 1_000_000).collect();
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    record.say(&format!("peak memory {most:?} MB of 260, killed {kills} times; served {}, refused {}, ended otherwise {}, passed on and closed without an answer at the first kill, by machine: {lost:?}", count(&ends.served), count(&ends.refused), count(&ends.other)));
    Ok(if lost.iter().any(|lost| *lost > 3) {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns the resident memory of a process, in bytes.
fn resident(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: Option<u64> = text.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * 4_096
}

/// Sends a small request and then a large one on the same connection.
fn attempt(record: &Record, ends: &Ends, workers: &[Arc<Worker>], node: SocketAddr, body: &[u8]) {
    let Ok(mut stream) = TcpStream::connect_timeout(&node, Duration::from_secs(1)) else {
        return;
    };
    let _set = stream.set_nodelay(true);
    let _set = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 500)));
    let looked = client::request(&client::new_id(), "GET /none/x", 1_000, "", b"");
    if !matches!(http::exchange(&mut stream, &looked), Ok(Some(r)) if r.status() == 404) {
        return;
    }
    let id = client::new_id();
    let headers = "Snipeyoke-Model: m\r\nSnipeyoke-Token-Count: 646,120\r\nSnipeyoke-Prompt-Prefix: 5c1e07a2:103,e4402b7d:543\r\n";
    let request = client::request(&id, "POST /puxa400/2f", DEADLINE_MS, headers, body);
    let sent_at = record.now();
    record.line(&format!("client sends {id} on a kept connection to {node}"));
    let response = http::exchange(&mut stream, &request).ok().flatten();
    let status = response.as_ref().map_or(0, |r| r.status());
    let whole = response.as_ref().is_some_and(|r| r.whole);
    record.line(&format!("client gets {status} for {id}, whole: {whole}"));
    let counter = match (status, whole) {
        (200, true) => &ends.served,
        (503, true) => &ends.refused,
        _ => &ends.other,
    };
    counter.fetch_add(1, Ordering::SeqCst);
    if status == 0 && workers.iter().any(|w| w.has_run(&id)) {
        ends.lost
            .lock()
            .expect("no thread panics")
            .push((node, sent_at));
    }
}
