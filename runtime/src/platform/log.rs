//! Client for the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use serde::Deserialize;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::log::Append;
use snipeyoke_lib::log::AppendEnd;
use snipeyoke_lib::log::LogFuture;
use snipeyoke_lib::log::LogStore;
use snipeyoke_lib::log::Read;
use snipeyoke_lib::log::ReadEnd;

use crate::http::Client;
use crate::http::ClientError;
use crate::http::collect;

/// The timeout of an append.
///
/// After it, the append counts as unanswered and is retried with the same record
/// ids.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout of a read beyond its requested wait.
const READ_TIMEOUT_SLACK: Duration = Duration::from_secs(2);

/// The maximum size of a response.
const RESPONSE_MAX_BYTES: usize = 8 << 20;

/// The header with the lowest retained offset.
const FIRST_HEADER: &str = "x-log-first";

/// The header with the offset after the newest record.
const END_HEADER: &str = "x-log-end";

/// Calls the platform's log service, without retries.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: Client,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct GoneBody {
    first: u64,
}

impl HttpLog {
    /// Creates a client for the service at `address`.
    #[must_use]
    pub const fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn try_append(&self, append: Append) -> AppendEnd {
        let path = format!("/log/{}/append", append.topic);
        let Some(request) = post(&path, encode(&append.records)) else {
            return AppendEnd::NotDone { retry_after: None };
        };
        let (response, conn) = match self.client.send(self.address, request).await {
            Ok(sent) => sent,
            Err(error) if error.is_not_sent() => return AppendEnd::NotDone { retry_after: None },
            Err(ClientError::Connect(_) | ClientError::NotSent(_) | ClientError::Sent(_)) => {
                return AppendEnd::Unanswered;
            }
        };
        match response.status() {
            StatusCode::OK => {}
            // Only these two statuses prove that nothing was appended.
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let retry_after = retry_after_header(response.headers());
                return AppendEnd::NotDone { retry_after };
            }
            _ => return AppendEnd::Unanswered,
        }
        let Ok(body) = collect(response.into_body(), RESPONSE_MAX_BYTES).await else {
            return AppendEnd::Unanswered;
        };
        self.client.recycle(conn);
        match serde_json::from_slice::<Appended>(&body) {
            Ok(appended) => AppendEnd::Done {
                offset: Offset(appended.offset),
            },
            Err(_malformed) => AppendEnd::Unanswered,
        }
    }

    async fn try_read(&self, read: Read) -> ReadEnd {
        let path = format!(
            "/log/{}/read?from={}&wait_ms={}&max_bytes={}",
            read.topic,
            read.from,
            read.wait.as_millis(),
            read.limit
        );
        let Ok(request) = hyper::Request::get(path).body(Full::default()) else {
            return ReadEnd::Failed;
        };
        let Ok((response, conn)) = self.client.send(self.address, request).await else {
            return ReadEnd::Failed;
        };
        let status = response.status();
        let first = offset_header(response.headers(), FIRST_HEADER);
        let end = offset_header(response.headers(), END_HEADER);
        let Ok(body) = collect(response.into_body(), RESPONSE_MAX_BYTES).await else {
            return ReadEnd::Failed;
        };
        self.client.recycle(conn);
        if status == StatusCode::GONE {
            let gone = serde_json::from_slice::<GoneBody>(&body);
            return gone.map_or(ReadEnd::Failed, |g| ReadEnd::Gone {
                first: Offset(g.first),
            });
        }
        match (status, first, end, decode(body)) {
            (StatusCode::OK, Some(first), Some(end), Some(records)) => ReadEnd::Records {
                first,
                end,
                records,
            },
            _ => ReadEnd::Failed,
        }
    }
}

impl LogStore for HttpLog {
    fn append(&self, append: Append) -> LogFuture<'_, AppendEnd> {
        let timeout = async {
            Timer::after(APPEND_TIMEOUT).await;
            AppendEnd::Unanswered
        };
        Box::pin(self.try_append(append).or(timeout))
    }

    fn read(&self, read: Read) -> LogFuture<'_, ReadEnd> {
        let limit = read.wait + READ_TIMEOUT_SLACK;
        let timeout = async move {
            Timer::after(limit).await;
            ReadEnd::Failed
        };
        Box::pin(self.try_read(read).or(timeout))
    }
}

fn post(path: &str, body: Bytes) -> Option<hyper::Request<Full<Bytes>>> {
    hyper::Request::post(path).body(Full::new(body)).ok()
}

/// Encodes records, each prefixed with its length.
fn encode(records: &[Vec<u8>]) -> Bytes {
    let mut out = BytesMut::new();
    for record in records {
        // Never truncated: the service accepts records of up to 256 KiB, far below 4 GiB.
        out.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
        out.put_slice(record);
    }
    out.freeze()
}

/// Decodes records; returns `None` if the response is truncated.
fn decode(mut body: Bytes) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while body.has_remaining() {
        let length = body.try_get_u32().ok()? as usize;
        if body.remaining() < length {
            return None;
        }
        records.push(body.split_to(length).to_vec());
    }
    Some(records)
}

fn offset_header(headers: &HeaderMap, name: &str) -> Option<Offset> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn retry_after_header(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
