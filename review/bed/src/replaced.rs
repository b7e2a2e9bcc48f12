//! Machines are replaced by others at new addresses; then all processes are killed.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::front::Bed;
use crate::front::Front;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Work;
use crate::worker::Worker;

const ZONES: [&str; 3] = ["tbilisi-a", "tbilisi-b", "tbilisi-c"];

/// How many machines are replaced, one after the other.
const REPLACED: u8 = 36;

/// The pause between two of them, as `gap_s` in the site file.
const GAP: Duration = Duration::from_secs(1);

/// The bound `recovery-s`.
const RECOVERY_S: f64 = 12.0;

const DEADLINE_MS: u64 = 6_000;
const EVENTS: u64 = 6;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-letter","host":"pule25.example","path-prefix":"/cufi501/","kind":"streaming","timeout-ms":6000,"goal-ms":2500,"priority":1,"service":"eligibility-llm","max-attempts":1,"stages":[{"service":"utility-sync","after":[],"bytes":8000},{"service":"registry-link","after":[0],"bytes":60000},{"service":"notices","after":[1],"bytes":6000}],"public":false,"sticky":true,"can-resume":false,"gap-goal-ms":400}],"services":[{"name":"eligibility-llm","health-path":"/health","max-conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":339456,"kv-token-bytes":163840,"link-mbps":550000.0}},{"name":"utility-sync","health-path":"/health","max-conns":360,"pieces":{"slots":1,"queue":2,"batch":8,"call-ms":200.0,"item-ms":21.0,"headroom-mb":18.0,"handle-ttl-s":4.0,"link-mbps":10000}},{"name":"registry-link","health-path":"/health","max-conns":360,"pieces":{"slots":1,"queue":2,"batch":18,"call-ms":200.0,"item-ms":9.5,"headroom-mb":2.3,"handle-ttl-s":4.0,"link-mbps":10000}},{"name":"notices","health-path":"/health","max-conns":360,"pieces":{"slots":1,"queue":2,"batch":28,"call-ms":200.0,"item-ms":6.1,"headroom-mb":0.38,"handle-ttl-s":4.0,"link-mbps":10000}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

/// One client attempt: when it was sent, and whether it was served.
type Attempt = (f64, bool);

pub fn run(root: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let (store, address) = Store::start()?;
    let bed = Bed::new(root, address)?;
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let _workers = start_workers(record, &store)?;
    let mut fronts = Vec::new();
    for (number, zone) in (1..).zip(ZONES) {
        let mut front = Front::new(&bed, number, zone, &[1, 2, 3])?;
        front.start()?;
        fronts.push(front);
    }
    await_all(&fronts)?;
    let rotation: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
    set_rotation(&rotation, &fronts);
    record.say("3 machines are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let traffic = start_traffic(record, &rotation, &attempts, &stop);
    thread::sleep(Duration::from_secs(6));

    if trouble {
        let mut leaving: Vec<Front> = Vec::new();
        for number in 0..REPLACED {
            let place = usize::from(number % 3);
            let seeds: Vec<u8> = fronts.iter().map(|f| f.machine).collect();
            let mut added = Front::new(&bed, 4 + number, ZONES[place], &seeds)?;
            let started_at = record.now();
            added.start()?;
            if !added.await_ready(Duration::from_secs(8)) {
                return Err(io::Error::other(format!("{} is not ready", added.name)));
            }
            let left = std::mem::replace(&mut fronts[place], added);
            // The platform takes the new machine in, and looks at each one once a second.
            set_rotation(&rotation, &fronts);
            left.terminate();
            leaving.push(left);
            leaving.retain_mut(|front| !front.has_ended());
            let spent = Duration::from_secs_f64(record.now() - started_at);
            thread::sleep(GAP.saturating_sub(spent));
        }
        record.say(&format!("{REPLACED} machines were replaced by others"));
        for _ in 0..100 {
            leaving.retain_mut(|front| !front.has_ended());
            if leaving.is_empty() {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.say(&format!("{} replaced machines still run", leaving.len()));
        // The platform ends what outlives `grace-s`.
        drop(leaving);
    }
    record.say(&format!(
        "the store lists {} machines, 3 exist",
        store
            .keys("keyed.status")
            .iter()
            .filter(|k| k.starts_with("front-"))
            .count()
    ));
    thread::sleep(Duration::from_secs(3));

    let fault_at = record.now();
    for front in &mut fronts {
        front.kill();
    }
    record.say("all processes were killed");
    thread::sleep(Duration::from_secs(1));
    for front in &mut fronts {
        front.start()?;
    }
    await_all(&fronts)?;
    let back_at = record.now();
    record.say("all machines are back and ready");
    thread::sleep(Duration::from_secs_f64(RECOVERY_S + 12.0));
    stop.store(true, Ordering::SeqCst);
    for thread in traffic {
        let _ended = thread.join();
    }

    let attempts = attempts.lock().expect("no thread panics");
    let share = |from: f64, to: f64| {
        let found = attempts.iter().filter(|(at, _)| *at >= from && *at < to);
        let found: Vec<bool> = found.map(|(_, served)| *served).collect();
        let served = found.iter().filter(|served| **served).count();
        (served, found.len())
    };
    let (served_before, before) = share(0.0, fault_at);
    let (served_after, after) = share(back_at + RECOVERY_S, f64::MAX);
    record.say(&format!(
        "before the final fault {served_before} of {before} requests were served"
    ));
    record.say(&format!("later than {RECOVERY_S} s after the machines were back {served_after} of {after} requests were served"));
    if before < 20 || after < 20 || served_before * 4 < before {
        return Err(io::Error::other(
            "too few requests, or too few served before the fault",
        ));
    }
    Ok(if served_after * 4 < after {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn start_workers(record: &Arc<Record>, store: &Arc<Store>) -> io::Result<Vec<Arc<Worker>>> {
    let stage = |call_ms, item_ms| Work::Stage {
        call_ms,
        item_ms,
        queue: 2,
    };
    let model = Work::Model {
        events: EVENTS,
        first_ms: 60,
        gap_ms: 20,
    };
    let kinds = [
        ("eligibility-llm", 9, 64, model),
        ("utility-sync", 3, 1, stage(200.0, 21.0)),
        ("registry-link", 5, 1, stage(200.0, 9.5)),
        ("notices", 5, 1, stage(200.0, 6.1)),
    ];
    let mut workers = Vec::new();
    for (service, count, slots, work) in kinds {
        for number in 0..count {
            let zone = ZONES[number % 3];
            workers.push(Worker::start(record, store, (service, zone), slots, work)?);
        }
    }
    Ok(workers)
}

fn await_all(fronts: &[Front]) -> io::Result<()> {
    for front in fronts {
        if !front.await_ready(Duration::from_secs(8)) {
            return Err(io::Error::other(format!("{} is not ready", front.name)));
        }
    }
    Ok(())
}

fn set_rotation(rotation: &Mutex<Vec<SocketAddr>>, fronts: &[Front]) {
    let nodes = fronts.iter().map(|f| f.callers).collect();
    *rotation.lock().expect("no thread panics") = nodes;
}

/// Sends five letter drafts a second, each on a new connection.
fn start_traffic(
    record: &Arc<Record>,
    rotation: &Arc<Mutex<Vec<SocketAddr>>>,
    attempts: &Arc<Mutex<Vec<Attempt>>>,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let next = Arc::new(AtomicUsize::new(0));
    let (record, rotation) = (Arc::clone(record), Arc::clone(rotation));
    let (attempts, stop) = (Arc::clone(attempts), Arc::clone(stop));
    let pace = move || {
        let mut sent = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            let number = next.fetch_add(1, Ordering::SeqCst);
            let nodes = rotation.lock().expect("no thread panics").clone();
            let node = nodes[number % nodes.len()];
            let (record, attempts) = (Arc::clone(&record), Arc::clone(&attempts));
            sent.push(thread::spawn(move || {
                attempt(&record, &attempts, node, number)
            }));
            thread::sleep(Duration::from_millis(200));
        }
        for thread in sent {
            let _ended = thread.join();
        }
    };
    vec![thread::spawn(pace)]
}

fn attempt(record: &Record, attempts: &Mutex<Vec<Attempt>>, node: SocketAddr, number: usize) {
    let id = client::new_id();
    let session = number % 183;
    let headers = format!(
        "Snipeyoke-Model: m\r\nSnipeyoke-Token-Count: 2368,24\r\nSnipeyoke-Prompt-Prefix: 5c1e07a2:341,91bd{session:04x}:227,e4{number:06x}:1800\r\nSnipeyoke-Pieces: 1,6,10\r\nSnipeyoke-Piece-Key: 7c1e{number:08x}\r\n"
    );
    let request = client::request(&id, "POST /cufi501/2f", DEADLINE_MS, &headers, b"draft");
    let sent_at = record.now();
    record.line(&format!("client sends {id} to {node}"));
    let response = client::send(node, &request, DEADLINE_MS);
    let last = format!("id: {EVENTS}\n");
    let is_served = response.as_ref().is_some_and(|r| {
        r.status() == 200 && r.whole && String::from_utf8_lossy(&r.body).contains(&last)
    });
    let status = response.as_ref().map_or(0, |r| r.status());
    let text = response.map(|r| String::from_utf8_lossy(&r.body).trim().to_owned());
    let text = text.filter(|t| t.len() < 40).unwrap_or_default();
    record.line(&format!(
        "client gets {status} for {id}, served: {is_served} {text}"
    ));
    attempts
        .lock()
        .expect("no thread panics")
        .push((sent_at, is_served));
}
