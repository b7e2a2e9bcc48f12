//! A worker as a process of its own, so that it can be killed.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Request, reply, serve};

/// How a worker marks the end of its streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Chunks,
    /// No length: the answer ends with its connection.
    None,
}

/// One stream in this many of a faulty worker has no length: 5 in 100.
const UNFRAMED: u64 = 20;

struct Worker {
    id: String,
    /// Whether some streams have no length.
    is_faulty: bool,
    streams: AtomicU64,
    events: u64,
    gap: Duration,
    record: Mutex<File>,
}

/// Runs `worker ID sound|faulty EVENTS GAP_MS RECORD`; prints its address.
pub fn main(arguments: &[String]) {
    let [id, kind, events, gap, record] = arguments else {
        panic!("worker ID sound|faulty EVENTS GAP_MS RECORD");
    };
    let record = OpenOptions::new().append(true).create(true).open(record);
    let worker = Arc::new(Worker {
        id: id.clone(),
        is_faulty: kind == "faulty",
        streams: AtomicU64::new(0),
        events: events.parse().expect("a number"),
        gap: Duration::from_millis(gap.parse().expect("a number")),
        record: Mutex::new(record.expect("the record can be written")),
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    println!("{}", listener.local_addr().expect("it is bound"));
    serve(listener, move |request, stream| {
        worker.answer(request, stream)
    });
    loop {
        thread::park();
    }
}

impl Worker {
    fn note(&self, what: &str) {
        let line = format!("{} {what}\n", self.id);
        let mut record = self.record.lock().expect("no panic");
        record
            .write_all(line.as_bytes())
            .expect("the record can be written");
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if request.path == "/health" {
            let id = format!("Snipeyoke-Instance-Id: {}\r\n", self.id);
            return reply(stream, 200, &id, b"");
        }
        let Some(attempt) = request.header("snipeyoke-attempt-id") else {
            return reply(stream, 400, "Snipeyoke-Not-Executed: 1\r\n", b"");
        };
        if request
            .header("snipeyoke-expect-instance")
            .is_some_and(|i| i != self.id)
        {
            return reply(stream, 421, "Snipeyoke-Not-Executed: 1\r\n", b"");
        }
        let last = request
            .header("last-event-id")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let number = self.streams.fetch_add(1, Ordering::SeqCst);
        let framing = if self.is_faulty && number % UNFRAMED == 0 {
            Framing::None
        } else {
            Framing::Chunks
        };
        let length = match framing {
            Framing::Chunks => "",
            Framing::None => " without a length",
        };
        match request.header("snipeyoke-inputs") {
            Some(inputs) => self.note(&format!("runs {attempt} with {inputs}")),
            None => self.note(&format!("runs {attempt} after event {last}{length}")),
        }
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nSnipeyoke-Weight-Versions: 1\r\n\
             Snipeyoke-Attempt-Id: {attempt}\r\nSnipeyoke-Response-Seal: seal.{}\r\n",
            self.id
        );
        head += match framing {
            Framing::Chunks => "Transfer-Encoding: chunked\r\n\r\n",
            Framing::None => "Connection: close\r\n\r\n",
        };
        stream.write_all(head.as_bytes())?;
        for number in last + 1..=self.events {
            thread::sleep(self.gap);
            let event = format!("id: {number}\ndata: event {number} of {}\n\n", self.events);
            let event = match framing {
                Framing::Chunks => format!("{:x}\r\n{event}\r\n", event.len()),
                Framing::None => event,
            };
            // As with most workers, the run ends if its connection is closed.
            stream.write_all(event.as_bytes())?;
        }
        self.note(&format!("ends {attempt}"));
        if framing == Framing::Chunks {
            stream.write_all(b"0\r\n\r\n")?;
            return Ok(true);
        }
        stream.shutdown(std::net::Shutdown::Write)?;
        Ok(false)
    }
}
