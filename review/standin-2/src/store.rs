//! The platform's store: a log whose topics are kept in memory.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, reply, serve};

type Records = Vec<(Vec<u8>, Vec<u8>)>;

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Records>>,
    changed: Condvar,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let serving = Arc::clone(&store);
        serve(listener, move |request, stream| {
            serving.answer(request, stream)
        });
        (store, address)
    }

    /// Writes a record as the operator or a worker does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = (key.as_bytes().to_vec(), value.as_bytes().to_vec());
        let mut topics = self.topics.lock().expect("no panic");
        topics.entry(topic.to_owned()).or_default().push(record);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let topic = request.field("topic").unwrap_or_default();
        match request.path.as_str() {
            "/-/log-newest" => reply(stream, 200, "", &self.newest(topic)),
            "/-/log-read" => {
                let number = |name| request.field(name).and_then(|n| n.parse::<u64>().ok());
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                match self.read(topic, number("from").unwrap_or(0) as usize, wait) {
                    Some(body) => reply(stream, 200, "", &body),
                    None => reply(stream, 410, "", b"{\"first\":0}"),
                }
            }
            "/-/log-append" => {
                let at = request.field("at").and_then(|n| n.parse::<usize>().ok());
                match self.append(topic, at, &request.body) {
                    Ok((first, end)) => {
                        let body = format!("{{\"offset\":{first},\"end-offset\":{end}}}");
                        reply(stream, 200, "", body.as_bytes())
                    }
                    Err(end) => {
                        let body = format!("{{\"end-offset\":{end}}}");
                        reply(stream, 412, "", body.as_bytes())
                    }
                }
            }
            _ => reply(stream, 404, "", b""),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.lock().expect("no panic");
        let records = topics.get(topic);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.into_iter().flatten().enumerate() {
            newest.insert(key, (value, offset));
        }
        newest.retain(|_, (value, _)| !value.is_empty());
        let items = newest.into_iter().map(|(key, (value, offset))| {
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.map_or(0, Vec::len);
        format!("{{\"items\":[{items}],\"has-more\":false,\"end-offset\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Option<Vec<u8>> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().expect("no panic");
        loop {
            let length = topics.get(topic).map_or(0, Vec::len);
            if from > length {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < length || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).expect("no panic").0;
        }
        let records = topics.get(topic);
        let end = records.map_or(0, Vec::len) as u64;
        let mut body = [end.to_be_bytes(), 0_u64.to_be_bytes()].concat();
        for (key, value) in records.into_iter().flatten().skip(from) {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key);
            body.extend_from_slice(value);
        }
        Some(body)
    }

    fn append(&self, topic: &str, at: Option<usize>, body: &[u8]) -> Result<(usize, usize), usize> {
        let mut topics = self.topics.lock().expect("no panic");
        let records = topics.entry(topic.to_owned()).or_default();
        let first = records.len();
        if at.is_some_and(|at| at != first) {
            return Err(first);
        }
        let mut rest = body;
        while let Some((length, more)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (record, more) = more.split_at(length.min(more.len()));
            let key = usize::from(record[0]);
            records.push((record[1..=key].to_vec(), record[1 + key..].to_vec()));
            rest = more;
        }
        let end = records.len();
        self.changed.notify_all();
        Ok((first, end))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = char::from(DIGITS[(bits >> (18 - 6 * at) & 63) as usize]);
            text.push(if at <= group.len() { digit } else { '=' });
        }
    }
    text
}
