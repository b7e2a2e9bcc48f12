//! A small deployment of real processes on loopback addresses.

use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::send;
use crate::store::Store;

/// The header with the key of the only tenant.
pub const KEY: &str = "Host: pule25.example\r\nAuthorization: Bearer key-1\r\n";

/// Figures of the large front machines of apprec-bkk-grown, and its bounds.
const FIGURES: &str = r#""processor":{"share":0.5,"speed":1},"limits":{"memory_mb":512},
    "grace_s":8,"notice_ms":3000,"change_ms":3000,"evacuate_ms":5000,
    "cold":{"excess":1.5,"slack":5},"retries":{"ratio":0.2,"window_s":10,"extra":94},
    "terms":["base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants",
        "places","pressure","platform","stages"]"#;

pub struct Front {
    child: Child,
    pub callers: String,
    ready: String,
}

pub struct Worker {
    child: Child,
    pub id: String,
    service: String,
    address: String,
}

impl Worker {
    /// Ends the worker as a crash does; its entry goes after three heartbeats.
    pub fn kill(&mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("it was killed");
    }
}

pub struct Site {
    directory: PathBuf,
    record: PathBuf,
    pub store: Arc<Store>,
    store_address: String,
    pub fronts: Vec<Front>,
    pub workers: Vec<Worker>,
}

impl Site {
    /// Starts a store with a configuration; `case` is the folder of the record.
    pub fn start(case: &Path, config: &str) -> Self {
        let record = case.join("record.txt");
        File::create(&record).expect("the folder is writable");
        let name = format!("review-standin-2-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("the temporary folder is writable");
        let (store, address) = Store::start();
        store.put("keyed.op", "config", config);
        Self {
            directory,
            record,
            store,
            store_address: address.to_string(),
            fronts: Vec::new(),
            workers: Vec::new(),
        }
    }

    /// Returns a path in the temporary folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    pub fn note(&self, line: &str) {
        println!("{line}");
        let record = OpenOptions::new().append(true).open(&self.record);
        let line = format!("{line}\n");
        let written = record.and_then(|mut r| r.write_all(line.as_bytes()));
        written.expect("the record can be written");
    }

    /// Returns what the workers have recorded.
    pub fn recorded(&self) -> String {
        fs::read_to_string(&self.record).unwrap_or_default()
    }

    pub fn start_worker(&mut self, id: &str, service: &str, options: &[&str]) {
        self.start_program("worker", id, service, options);
    }

    /// Starts a stand-in as a process, and registers it.
    pub fn start_program(&mut self, program: &str, id: &str, service: &str, options: &[&str]) {
        let own = std::env::current_exe().expect("it has a path");
        let mut command = Command::new(own);
        command.arg(program).arg(id).args(options).arg(&self.record);
        let mut child = command.stdout(Stdio::piped()).spawn().expect("it starts");
        let mut address = String::new();
        let out = child.stdout.take().expect("it is piped");
        BufReader::new(out)
            .read_line(&mut address)
            .expect("it prints its address");
        let address = address.trim().to_owned();
        let worker = Worker {
            child,
            id: id.to_owned(),
            service: service.to_owned(),
            address,
        };
        self.register(&worker);
        self.workers.push(worker);
    }

    fn register(&self, worker: &Worker) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"bkk-a\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1}}",
            worker.service, worker.address
        );
        self.store.put("keyed.servers", &worker.id, &entry);
    }

    /// Starts fronts with the command of the deploy file, and waits until all are ready.
    pub fn start_fronts(&mut self, count: usize) {
        let ports: Vec<u16> = free_ports(4 * count);
        let address = |at: usize| format!("127.0.0.1:{}", ports[at]);
        let seeds: Vec<String> = (0..count)
            .map(|n| format!("{:?}", address(4 * n)))
            .collect();
        for number in 0..count {
            let [peers, callers, ready, metrics] = [0, 1, 2, 3].map(|n| address(4 * number + n));
            let settings = format!(
                r#"{{"node":"front-{number}","domain":"bkk-a","region":"th-central",
                "listen":{{"callers":"{callers}","ready":"{ready}","peers":"{peers}","metrics":"{metrics}"}},
                "seeds":[{}],"registry":"{}","regions":{{"bkk-a":"th-central"}},{FIGURES},
                "log":"info"}}"#,
                seeds.join(","),
                self.store_address
            );
            let path = self.directory.join(format!("front-{number}.jsonc"));
            fs::write(&path, settings).expect("the folder is writable");
            let log = File::create(self.directory.join(format!("front-{number}.log")));
            let log = log.expect("the folder is writable");
            let mut command = Command::new("target/release/snipeyoke-front");
            command
                .env("SNIPEYOKE_SETTINGS", &path)
                .stdin(Stdio::null());
            command.stdout(log.try_clone().expect("a file")).stderr(log);
            let child = command
                .spawn()
                .unwrap_or_else(|e| cannot_run(&format!("front: {e}")));
            self.fronts.push(Front {
                child,
                callers,
                ready,
            });
        }
        let until = Instant::now() + Duration::from_secs(20);
        for front in &self.fronts {
            while send(&front.ready, "GET", "/-/readiness", KEY, b"").status != 200 {
                if Instant::now() > until {
                    cannot_run("the fronts are not ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // The rules hold for machines that have been in touch for `contact-ms`.
        thread::sleep(Duration::from_secs(5));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let fronts = self.fronts.iter_mut().map(|f| &mut f.child);
        for child in fronts.chain(self.workers.iter_mut().map(|w| &mut w.child)) {
            let _ended = child.kill();
            let _status = child.wait();
        }
        let _removed = fs::remove_dir_all(&self.directory);
    }
}

/// Ends the case as one that couldn't run.
pub fn cannot_run(why: &str) -> ! {
    // Unwinds, so that all processes that were started are ended.
    panic!("the case couldn't run: {why}");
}

/// Returns free ports below those that the system hands out.
fn free_ports(count: usize) -> Vec<u16> {
    let first = 12_000 + (std::process::id() % 900) as u16 * 20;
    let range = (first..32_000).chain(12_000..first);
    let free = range.filter(|&port| TcpListener::bind(("127.0.0.1", port)).is_ok());
    free.take(count).collect()
}
