//! The append-only log with offsets, a rate and retention.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::FutureExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde_json::json;

use crate::fault::Fate;
use crate::http::Answer;
use crate::http::Body;
use crate::http::Call;
use crate::http::Cut;
use crate::http::bytes_answer;
use crate::http::json_answer;
use crate::http::json_status;
use crate::http::not_run;
use crate::http::refusal;
use crate::settings::PlatformSettings;
use crate::sync::lock;

use super::bucket::Bucket;

/// The most bytes that one append may carry.
const APPEND_MAX: usize = 1 << 20;

/// The bytes that a read returns when it names no bound.
const READ_DEFAULT: u64 = 1 << 20;

/// The longest wait of a read, in milliseconds.
const WAIT_MAX_MS: u64 = 30_000;

/// Topics of records, in memory.
#[derive(Debug)]
pub struct Log {
    settings: PlatformSettings,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    bucket: Bucket,
    appends: u64,
    topics: BTreeMap<String, Topic>,
}

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: VecDeque<(Instant, Bytes)>,
    // One sender for each waiting read: dropped, it wakes the read.
    waiting: Vec<Sender<()>>,
}

enum Page {
    Gone { first: u64 },
    Wait(Receiver<()>, Response<Body>),
    Full(Response<Body>),
}

impl Log {
    /// Builds an empty log.
    pub fn new(settings: PlatformSettings) -> Self {
        let state = State {
            bucket: Bucket::new(settings.appends),
            appends: 0,
            topics: BTreeMap::new(),
        };
        Self {
            settings,
            state: Mutex::new(state),
        }
    }

    /// Returns how many appends were done.
    pub fn appends(&self) -> u64 {
        lock(&self.state).appends
    }

    /// Returns the end of each topic.
    pub fn ends(&self) -> BTreeMap<String, u64> {
        let state = lock(&self.state);
        let ends = state.topics.iter();
        ends.map(|(name, topic)| (name.clone(), topic.end()))
            .collect()
    }

    /// Appends all records of a body, or none.
    pub async fn append(&self, topic: &str, call: &Call, fate: Fate) -> Answer {
        if call.body.len() > APPEND_MAX {
            let message = format!("too large: append at most {APPEND_MAX} bytes");
            return Ok(refusal(StatusCode::PAYLOAD_TOO_LARGE, &message));
        }
        let Some(records) = split(call.body.clone()) else {
            let message = "no whole records: give each 4 bytes of length and its bytes";
            return Ok(refusal(StatusCode::BAD_REQUEST, message));
        };
        if !lock(&self.state).bucket.take() {
            let message = "over the rate: append again later";
            return Ok(not_run(StatusCode::TOO_MANY_REQUESTS, message));
        }
        Timer::after(Duration::from_millis(self.settings.append_ms)).await;
        let (offset, end) = self.add(topic, records);
        match fate {
            Fate::Lose | Fate::Die => Err(Cut),
            _ => Ok(json_answer(&json!({"offset": offset, "end": end}))),
        }
    }

    fn add(&self, topic: &str, records: Vec<Bytes>) -> (u64, u64) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.appends += 1;
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let offset = topic.end();
        let timed = records.into_iter().map(|bytes| (now, bytes));
        topic.records.extend(timed);
        topic.waiting.clear();
        (offset, topic.end())
    }

    /// Answers with records from an offset on, waiting for the first if asked to.
    pub async fn read(&self, topic: &str, call: &Call, fate: Fate) -> Answer {
        Timer::after(Duration::from_millis(self.settings.read_ms)).await;
        let from = call.number("from", 0);
        let wait_ms = call.number("wait_ms", 0).min(WAIT_MAX_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let max = call.number("max_bytes", READ_DEFAULT);
        let response = loop {
            match self.page(topic, from, max) {
                Page::Gone { first } => {
                    return Ok(json_status(StatusCode::GONE, &json!({"first": first})));
                }
                Page::Full(response) => break response,
                Page::Wait(woken, empty) => {
                    let woken = async {
                        let _closed = woken.recv().await;
                        true
                    };
                    let late = async {
                        Timer::at(deadline).await;
                        false
                    };
                    if !woken.or(late).await {
                        break empty;
                    }
                }
            }
        };
        match fate {
            Fate::Lose | Fate::Die => Err(Cut),
            _ => Ok(response),
        }
    }

    fn page(&self, topic: &str, from: u64, max: u64) -> Page {
        let mut state = lock(&self.state);
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.retain(&self.settings);
        if from < topic.first {
            return Page::Gone { first: topic.first };
        }
        let response = topic.page(from, max);
        if from < topic.end() {
            return Page::Full(response);
        }
        let (waker, woken) = async_channel::bounded(1);
        topic.waiting.retain(|waker| !waker.is_closed());
        topic.waiting.push(waker);
        Page::Wait(woken, response)
    }
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn retain(&mut self, settings: &PlatformSettings) {
        let keep = Duration::from_millis(settings.keep_ms);
        while let Some((at, _)) = self.records.front() {
            if self.records.len() <= settings.keep_records && at.elapsed() <= keep {
                break;
            }
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn page(&self, from: u64, max: u64) -> Response<Body> {
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let mut page = BytesMut::new();
        for (_, record) in self.records.iter().skip(skip) {
            // One record at least, or a small bound would stop the reader for good.
            if !page.is_empty() && (page.len() + record.len()) as u64 > max {
                break;
            }
            page.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
            page.put_slice(record);
        }
        let mut response = bytes_answer(StatusCode::OK, "application/octet-stream", page.freeze());
        let headers = response.headers_mut();
        headers.insert("x-log-first", HeaderValue::from(self.first));
        headers.insert("x-log-end", HeaderValue::from(self.end()));
        response
    }
}

fn split(mut body: Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while body.has_remaining() {
        let len = usize::try_from(body.try_get_u32().ok()?).ok()?;
        if body.remaining() < len {
            return None;
        }
        records.push(body.split_to(len));
    }
    Some(records)
}
