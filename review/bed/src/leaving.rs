//! A machine is stopped while its zone has no other; long answers are under way.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::front::Bed;
use crate::front::Front;
use crate::record::Record;
use crate::store::Store;
use crate::worker::REPORTS;
use crate::worker::Work;
use crate::worker::Worker;

const ZONES: [&str; 3] = ["tbilisi-a", "tbilisi-b", "tbilisi-c"];

/// The bound `grace-s`.
const GRACE_S: f64 = 8.0;

/// What the workers of reports do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reports {
    /// Three answer in chunks, for 4.8 s.
    Long,
    /// The only one fails them at once, with 500.
    Failing,
}

impl Reports {
    /// Returns when the reports are sent, in seconds after SIGTERM.
    ///
    /// Long ones come later than the three seconds for which an answer that takes long is
    /// excused.
    fn sent_at(self) -> Vec<f64> {
        match self {
            Self::Long => vec![3.2, 3.5, 3.8, 4.1, 4.4],
            Self::Failing => (0..13).map(|n| 3.2 + 0.3 * f64::from(n)).collect(),
        }
    }
}

const DEADLINE_MS: u64 = 9_500;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-chat","host":"pule25.example","path-prefix":"/puxa400/","kind":"streaming","timeout-ms":20000,"goal-ms":2700,"priority":2,"service":"eligibility-llm","max-attempts":2,"public":false,"sticky":true,"can-resume":true,"gap-goal-ms":400},{"name":"r-lookup","host":"pule25.example","path-prefix":"/wuhu344/","kind":"safe","timeout-ms":800,"goal-ms":300,"priority":2,"service":"applications","max-attempts":2,"public":false},{"name":"r-report","host":"pule25.example","path-prefix":"/bobo563/","kind":"safe","timeout-ms":10000,"goal-ms":5000,"priority":2,"service":"archive","max-attempts":2,"public":false}],"services":[{"name":"eligibility-llm","health-path":"/health","max-conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":339456,"kv-token-bytes":163840,"link-mbps":550000.0}},{"name":"applications","health-path":"/health","max-conns":96,"protocol":"h1","tls":false},{"name":"archive","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

pub fn run(root: &Path, record: &Arc<Record>, trouble: bool, kind: Reports) -> io::Result<Verdict> {
    let (store, address) = Store::start()?;
    let bed = Bed::new(root, address)?;
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let model = Work::Model {
        events: 60,
        first_ms: 500,
        gap_ms: 80,
    };
    let desk = Work::Plain {
        work_ms: 60,
        chunks: 0,
    };
    let (archive, count) = match kind {
        Reports::Long => (48, 3),
        Reports::Failing => (0, 1),
    };
    let archive = Work::Plain {
        work_ms: 60,
        chunks: archive,
    };
    let mut workers = Vec::new();
    for number in 0..9 {
        let zone = ZONES[number % 3];
        workers.push(Worker::start(
            record,
            &store,
            ("eligibility-llm", zone),
            64,
            model,
        )?);
    }
    for zone in ZONES {
        workers.push(Worker::start(
            record,
            &store,
            ("applications", zone),
            6,
            desk,
        )?);
    }
    for zone in &ZONES[..count] {
        workers.push(Worker::start(
            record,
            &store,
            ("archive", zone),
            6,
            archive,
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
    let stop = Arc::new(AtomicBool::new(false));
    let mut traffic = Vec::new();
    for front in &fronts {
        let (record, stop, node) = (Arc::clone(record), Arc::clone(&stop), front.callers);
        traffic.push(thread::spawn(move || send_usual(&record, node, &stop)));
    }
    thread::sleep(Duration::from_secs(8));

    // Zone tbilisi-a has one machine. None of its zone is in rotation then, and the platform goes
    // on with all machines of the zone.
    let leaving = &mut fronts[0];
    let start = record.now();
    if trouble {
        leaving.terminate();
        record.say(&format!("{} gets SIGTERM", leaving.name));
    }
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut reports = Vec::new();
    let sent_at = kind.sent_at();
    for at in &sent_at {
        let left = start + at - record.now();
        thread::sleep(Duration::from_secs_f64(left.max(0.0)));
        let (record, node) = (Arc::clone(record), leaving.callers);
        let (lost, refused) = (Arc::clone(&lost), Arc::clone(&refused));
        let workers = Arc::clone(&workers);
        reports.push(thread::spawn(move || {
            send_report(&record, node, &workers, (&lost, &refused))
        }));
    }
    while trouble && !leaving.has_ended() && record.now() < start + GRACE_S {
        thread::sleep(Duration::from_millis(5));
    }
    if trouble {
        let ended = leaving.has_ended();
        record.say(&format!(
            "{:.2} s after SIGTERM the process has ended: {ended}",
            record.now() - start
        ));
        leaving.kill();
    }
    for report in reports {
        let _ended = report.join();
    }
    stop.store(true, Ordering::SeqCst);
    for thread in traffic {
        let _ended = thread.join();
    }
    let lost = lost.lock().expect("no thread panics").len();
    let refused = refused.lock().expect("no thread panics").len();
    record.say(&format!(
        "of {} reports {refused} were refused and {lost} ended without a complete answer once a worker had them",
        sent_at.len()
    ));
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends two drafts and some lookups a second until told to stop.
fn send_usual(record: &Arc<Record>, node: SocketAddr, stop: &AtomicBool) {
    let mut sent = Vec::new();
    for number in 0_u64.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let record = Arc::clone(record);
        sent.push(thread::spawn(move || {
            let id = client::new_id();
            let request = if number.is_multiple_of(3) {
                let headers = "Snipeyoke-Model: m\r\nSnipeyoke-Token-Count: 646,240\r\nSnipeyoke-Prompt-Prefix: 5c1e07a2:103,e4402b7d:543\r\n";
                client::request(&id, "POST /puxa400/2f", 10_000, headers, b"draft")
            } else {
                client::request(&id, "GET /wuhu344/2f", 3_000, "", b"")
            };
            let response = client::send(node, &request, 10_000);
            let status = response.as_ref().map_or(0, |r| r.status());
            let whole = response.is_some_and(|r| r.whole);
            record.line(&format!("client gets {status} for {id} from {node}, whole: {whole}"));
        }));
        thread::sleep(Duration::from_millis(170));
    }
    for thread in sent {
        let _ended = thread.join();
    }
}

fn send_report(
    record: &Record,
    node: SocketAddr,
    workers: &[Arc<Worker>],
    (lost, refused): (&Mutex<Vec<String>>, &Mutex<Vec<String>>),
) {
    let id = client::new_id();
    let target = format!("GET {REPORTS}2f");
    let request = client::request(&id, &target, DEADLINE_MS, "", b"");
    record.say(&format!("client sends {id}, a report, to {node}"));
    let sent_at = record.now();
    let response = client::send(node, &request, DEADLINE_MS);
    let took = record.now() - sent_at;
    let status = response.as_ref().map_or(0, |r| r.status());
    let whole = response.as_ref().is_some_and(|r| r.whole);
    record.say(&format!(
        "client gets {status} for {id} after {took:.2} s, whole: {whole}"
    ));
    if status == 503 && whole {
        refused.lock().expect("no thread panics").push(id);
    } else if !whole && workers.iter().any(|w| w.has_run(&id)) {
        lost.lock().expect("no thread panics").push(id);
    }
}
