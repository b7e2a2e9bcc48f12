//! Sound workers: of stages, of models, and of plain services.

use std::collections::BTreeSet;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// The path of reports, which are long.
pub const REPORTS: &str = "/bobo563/";

/// The bytes of a chunk of a report.
const CHUNK: usize = 50_000;

/// What a worker does.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// Makes pieces: milliseconds a call and a piece; one call at a time.
    Stage {
        call_ms: f64,
        item_ms: f64,
        queue: usize,
    },
    /// Streams events: milliseconds to the first one and between two.
    Model {
        events: u64,
        first_ms: u64,
        gap_ms: u64,
    },
    /// Answers once, after some milliseconds; a report, on its path, comes in as many chunks,
    /// 100 ms apart, or fails with 500 if that is none.
    Plain { work_ms: u64, chunks: u64 },
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    work: Work,
    record: Arc<Record>,
    /// The calls that wait or run, and whether the slot of a stage is taken.
    calls: AtomicUsize,
    slot: Mutex<bool>,
    freed: Condvar,
    made: AtomicU64,
    runs: Mutex<BTreeSet<String>>,
}

static NUMBERS: AtomicU64 = AtomicU64::new(1);

impl Worker {
    /// Starts a worker that registers itself and says each second that it lives.
    pub fn start(
        record: &Arc<Record>,
        store: &Arc<Store>,
        (service, zone): (&str, &str),
        slots: u32,
        work: Work,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let number = NUMBERS.fetch_add(1, Ordering::SeqCst);
        let worker = Arc::new(Self {
            id: format!("i-{number:08x}"),
            service: service.to_owned(),
            address: listener.local_addr()?,
            work,
            record: Arc::clone(record),
            calls: AtomicUsize::new(0),
            slot: Mutex::new(false),
            freed: Condvar::new(),
            made: AtomicU64::new(number << 32),
            runs: Mutex::default(),
        });
        let own = Arc::clone(&worker);
        http::serve(
            listener,
            Arc::new(move |request: &Message, stream: &mut TcpStream| own.handle(request, stream)),
        );
        let (own, store, zone) = (Arc::clone(&worker), Arc::clone(store), zone.to_owned());
        thread::spawn(move || {
            for seq in 1_u64.. {
                let (service, address) = (&own.service, own.address);
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{seq}}}"
                );
                store.put("keyed.servers", &own.id, entry.as_bytes());
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        Ok(worker)
    }

    /// Returns whether it began to work on a request.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().expect("no thread panics").contains(id)
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let path = request.path();
        if path == "/-/stage-free" {
            http::respond(stream, "200 OK", &[], b"{}")?;
            return Ok(true);
        }
        let expected = request.header("snipeyoke-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            let headers = [("Snipeyoke-Instance-Id", self.id.as_str())];
            http::respond(stream, "421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        if path == "/-/stage-run" {
            return self.run_pieces(request, stream);
        }
        let Some(id) = request.header("snipeyoke-attempt-id").map(str::to_owned) else {
            http::respond(
                stream,
                "400 Bad Request",
                &[("Snipeyoke-Not-Executed", "1")],
                b"",
            )?;
            return Ok(true);
        };
        self.record.line(&format!(
            "worker {} ({}) runs {id}, {} bytes of body",
            self.id,
            self.service,
            request.body.len()
        ));
        self.runs
            .lock()
            .expect("no thread panics")
            .insert(id.clone());
        match self.work {
            Work::Model {
                events,
                first_ms,
                gap_ms,
            } => self.stream_events(&id, request, (events, first_ms, gap_ms), stream),
            Work::Plain { work_ms, chunks: 0 } if path.starts_with(REPORTS) => {
                thread::sleep(Duration::from_millis(work_ms));
                let headers = [
                    ("Snipeyoke-Attempt-Id", id.as_str()),
                    ("Snipeyoke-Response-Seal", "1.2.3"),
                ];
                http::respond(stream, "500 Internal Server Error", &headers, b"failed")?;
                Ok(true)
            }
            Work::Plain { chunks, .. } if path.starts_with(REPORTS) => {
                send_report(&id, chunks, stream)?;
                self.record.line(&format!(
                    "worker {} has sent the whole report {id}",
                    self.id
                ));
                Ok(true)
            }
            Work::Plain { work_ms, .. } => {
                thread::sleep(Duration::from_millis(work_ms));
                let body = format!("done {id}");
                let headers = [
                    ("Snipeyoke-Attempt-Id", id.as_str()),
                    ("Snipeyoke-Response-Seal", "1.2.3"),
                ];
                http::respond(stream, "200 OK", &headers, body.as_bytes())?;
                Ok(true)
            }
            Work::Stage { .. } => {
                http::respond(stream, "404 Not Found", &[], b"")?;
                Ok(true)
            }
        }
    }

    fn run_pieces(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let Work::Stage {
            call_ms,
            item_ms,
            queue,
        } = self.work
        else {
            http::respond(stream, "404 Not Found", &[], b"")?;
            return Ok(true);
        };
        let body = String::from_utf8_lossy(&request.body);
        let count = body.matches("\"piece\":").count();
        if self.calls.fetch_add(1, Ordering::SeqCst) > queue {
            self.calls.fetch_sub(1, Ordering::SeqCst);
            http::respond(
                stream,
                "503 Service Unavailable",
                &[("Snipeyoke-Not-Executed", "1")],
                b"",
            )?;
            return Ok(true);
        }
        let mut taken = self.slot.lock().expect("no thread panics");
        while *taken {
            taken = self.freed.wait(taken).expect("no thread panics");
        }
        *taken = true;
        drop(taken);
        self.record.line(&format!(
            "worker {} ({}) makes {count} pieces",
            self.id, self.service
        ));
        thread::sleep(Duration::from_secs_f64(
            (call_ms + item_ms * count as f64) / 1e3,
        ));
        *self.slot.lock().expect("no thread panics") = false;
        self.freed.notify_one();
        self.calls.fetch_sub(1, Ordering::SeqCst);
        let handles = (0..count).map(|_| {
            let number = self.made.fetch_add(1, Ordering::SeqCst);
            format!("{{\"handle\":\"{}/{number:x}\"}}", self.address)
        });
        let handles: Vec<String> = handles.collect();
        let body = format!("{{\"items\":[{}]}}", handles.join(","));
        let headers = [
            ("Content-Type", "application/json"),
            ("Snipeyoke-Server-Load", "0,0,1"),
        ];
        http::respond(stream, "200 OK", &headers, body.as_bytes())?;
        Ok(true)
    }

    fn stream_events(
        &self,
        id: &str,
        request: &Message,
        (events, first_ms, gap_ms): (u64, u64, u64),
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let has_stages = request.header("snipeyoke-pieces").is_some();
        if has_stages && request.header("snipeyoke-inputs").is_none() {
            http::respond(
                stream,
                "400 Bad Request",
                &[("Snipeyoke-Not-Executed", "1")],
                b"",
            )?;
            return Ok(true);
        }
        let after = request
            .header("last-event-id")
            .and_then(|e| e.parse().ok())
            .unwrap_or(0);
        thread::sleep(Duration::from_millis(first_ms));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nSnipeyoke-Attempt-Id: {id}\r\nSnipeyoke-Response-Seal: 1.2.3\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=events {
            let event = format!("id: {number}\ndata: event {number} of {id}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(Duration::from_millis(gap_ms));
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

fn send_report(id: &str, chunks: u64, stream: &mut TcpStream) -> io::Result<()> {
    let length = chunks as usize * CHUNK;
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nSnipeyoke-Attempt-Id: {id}\r\nSnipeyoke-Response-Seal: 1.2.3\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let chunk = vec![b'r'; CHUNK];
    for _ in 0..chunks {
        stream.write_all(&chunk)?;
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}
