//! The platform's store: keyed topics of one partition.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<(String, Vec<u8>)>>>,
    grown: Condvar,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self::default());
        let own = Arc::clone(&store);
        http::serve(
            listener,
            Arc::new(move |request: &Message, stream: &mut TcpStream| own.handle(request, stream)),
        );
        Ok((store, address))
    }

    /// Appends a record, as the operator and the workers do; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().expect("no thread panics");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        self.grown.notify_all();
    }

    /// Returns the keys of a topic that have a value.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let topics = self.topics.lock().expect("no thread panics");
        let records = topics.get(topic).into_iter().flatten();
        let mut newest: BTreeMap<&str, bool> = BTreeMap::new();
        for (key, value) in records {
            newest.insert(key, !value.is_empty());
        }
        let kept = newest.into_iter().filter(|(_, has_value)| *has_value);
        kept.map(|(key, _)| key.to_owned()).collect()
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let path = request.path().split('?').next().unwrap_or_default();
        match path {
            "/-/log-append" => self.append(&topic, request, stream)?,
            "/-/log-read" => self.read(&topic, request, stream)?,
            "/-/log-newest" => self.newest(&topic, request, stream)?,
            _ => http::respond(stream, "404 Not Found", &[], b"")?,
        }
        Ok(true)
    }

    fn append(&self, topic: &str, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let mut rest = request.body.as_slice();
        let mut added = Vec::new();
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (record, tail) = tail.split_at(length.min(tail.len()));
            let key_length = record.first().copied().unwrap_or(0) as usize;
            let (key, value) = record[1..].split_at(key_length);
            added.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = tail;
        }
        let mut topics = self.topics.lock().expect("no thread panics");
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        records.extend(added);
        let end = records.len();
        drop(topics);
        self.grown.notify_all();
        let body = format!("{{\"offset\":{offset},\"end-offset\":{end}}}");
        json(stream, &body)
    }

    fn read(&self, topic: &str, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut topics = self.topics.lock().expect("no thread panics");
        let body = loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                break body;
            }
            topics = self
                .grown
                .wait_timeout(topics, left)
                .expect("no thread panics")
                .0;
        };
        drop(topics);
        http::respond(stream, "200 OK", &[], &body)
    }

    fn newest(&self, topic: &str, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let after = request.query("after").unwrap_or_default();
        let topics = self.topics.lock().expect("no thread panics");
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter();
        let items = items.filter(|(key, (_, value))| !value.is_empty() && **key > after);
        let items = items.map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let body = format!(
            "{{\"items\":[{}],\"has-more\":false,\"end-offset\":{}}}",
            items.join(","),
            records.len()
        );
        drop(topics);
        json(stream, &body)
    }
}

fn json(stream: &mut TcpStream, body: &str) -> io::Result<()> {
    let headers = [("Content-Type", "application/json")];
    http::respond(stream, "200 OK", &headers, body.as_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let get = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let group = get(0) << 16 | get(1) << 8 | get(2);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(group >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
