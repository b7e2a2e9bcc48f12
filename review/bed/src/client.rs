//! Clients of the platform.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http;
use crate::http::Message;

pub const KEY: &str = "9dnn2ctnfzs989anu6ws";

static IDS: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a client attempt.
pub fn new_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000 + IDS.fetch_add(1, Ordering::SeqCst)
    )
}

/// Returns the bytes of a request.
pub fn request(id: &str, target: &str, deadline_ms: u64, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{target} HTTP/1.1\r\nHost: pule25.example\r\nSnipeyoke-Attempt-Id: {id}\r\nSnipeyoke-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Sends a request on a new connection and returns the response, if there is one.
pub fn send(node: SocketAddr, request: &[u8], deadline_ms: u64) -> Option<Message> {
    let connected = TcpStream::connect_timeout(&node, Duration::from_secs(1));
    let mut stream = connected.ok()?;
    stream.set_nodelay(true).ok()?;
    let limit = Duration::from_millis(deadline_ms + 500);
    stream.set_read_timeout(Some(limit)).ok()?;
    http::exchange(&mut stream, request).ok()?
}
