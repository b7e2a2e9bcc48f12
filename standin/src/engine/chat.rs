//! Generations over HTTP: JSON or a stream of server-sent events.

use std::sync::Arc;
use std::time::Instant;

use async_channel::Receiver;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use snipeyoke_lib::prefix;

use crate::answer::Generation;
use crate::fault::Fate;
use crate::http::Answer;
use crate::http::Body;
use crate::http::Call;
use crate::http::Cut;
use crate::http::json_answer;
use crate::http::not_run;
use crate::http::refusal;
use crate::sync::lock;

use super::Engine;
use super::batch::Ask;
use super::batch::Emit;
use super::batch::Usage;

/// The tokens generated when a request names no bound.
const MAX_TOKENS_DEFAULT: u32 = 128;

/// The priority of a request that names none.
const PRIORITY_DEFAULT: u32 = 8;

#[derive(Debug, Deserialize)]
struct Request {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    priority: Option<u32>,
    #[serde(default)]
    resume_from: u32,
    #[serde(default, rename = "request_id")]
    id: String,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// One answer on its way to the caller.
struct Stream {
    engine: Arc<Engine>,
    request: Request,
    answer: Generation,
    tokens: Receiver<Emit>,
    next: u32,
    // The token before which a fault cuts the connection.
    cut: Option<u32>,
    lose: bool,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Closing,
    Closed,
}

impl Engine {
    /// Generates the answer to the last message.
    pub(super) async fn chat(self: Arc<Self>, call: &Call, fate: Fate) -> Answer {
        let request = match call.json::<Request>() {
            Ok(request) => request,
            Err(malformed) => return Ok(*malformed),
        };
        let Some(last) = request.messages.last() else {
            return Ok(refusal(StatusCode::BAD_REQUEST, "no messages: give one"));
        };
        if !lock(&self.orders).serves(&request.model) {
            let message = format!("model {} is not loaded: load it first", request.model);
            return Ok(not_run(StatusCode::NOT_FOUND, &message));
        }
        let max = request.max_tokens.or(request.max_completion_tokens);
        let answer = Generation::new(&last.content, max.unwrap_or(MAX_TOKENS_DEFAULT));
        let from = request.resume_from.min(answer.length().saturating_sub(1));
        let (sink, tokens) = async_channel::unbounded();
        let ask = self.ask(&request, &answer, from, sink);
        if lock(&self.work).batch.submit(ask, Instant::now()).is_err() {
            return Ok(not_run(StatusCode::TOO_MANY_REQUESTS, "the queue is full"));
        }
        // A full channel means that the loop is about to look anyway.
        let _awake = self.wake.0.try_send(());
        let stream = Stream {
            next: from,
            cut: (fate == Fate::Die).then(|| from + (answer.length() - from) / 2),
            lose: fate == Fate::Lose,
            engine: self,
            request,
            answer,
            tokens,
            state: State::Running,
        };
        if stream.request.stream {
            Ok(stream.into_response())
        } else {
            stream.whole(from).await
        }
    }

    fn ask(
        &self,
        request: &Request,
        answer: &Generation,
        from: u32,
        sink: async_channel::Sender<Emit>,
    ) -> Ask {
        let messages = request.messages.iter();
        let text = prefix::prompt_text(messages.map(|m| (m.role.as_str(), m.content.as_str())));
        let imported = lock(&self.orders).imported(&request.id);
        let prompt = prefix::token_count(&text).max(1);
        Ask {
            request: request.id.clone(),
            priority: request.priority.unwrap_or(PRIORITY_DEFAULT),
            prompt,
            blocks: prefix::block_hashes(&request.model, &text),
            from,
            reread: from.saturating_sub(imported),
            length: answer.length(),
            sink,
        }
    }

    /// Cancels a generation by its request id.
    pub(super) fn cancel(&self, request: &str) -> Response<Body> {
        if lock(&self.work).batch.cancel(request) {
            json_answer(&json!({"cancelled": request}))
        } else {
            refusal(
                StatusCode::NOT_FOUND,
                "no such run: it has ended or never was",
            )
        }
    }
}

impl Stream {
    async fn whole(mut self, from: u32) -> Answer {
        loop {
            match self.tokens.recv().await {
                Ok(Emit::Token) if self.cut == Some(self.next) => return Err(Cut),
                Ok(Emit::Token) => self.next += 1,
                Ok(Emit::Done(_)) if self.lose => return Err(Cut),
                Ok(Emit::Done(usage)) => return Ok(self.completion(from, &usage)),
                Ok(Emit::Cancelled { fresh: true }) => {
                    return Ok(not_run(StatusCode::CONFLICT, "cancelled before it ran"));
                }
                Ok(Emit::Cancelled { fresh: false }) => {
                    return Ok(refusal(StatusCode::CONFLICT, "cancelled while it ran"));
                }
                Err(_lost) => return Err(Cut),
            }
        }
    }

    fn completion(&self, from: u32, usage: &Usage) -> Response<Body> {
        json_answer(&json!({
            "id": self.request.id,
            "object": "chat.completion",
            "model": self.request.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.answer.text(from)},
                "finish_reason": "stop",
            }],
            "usage": usage_json(usage),
        }))
    }

    fn into_response(self) -> Response<Body> {
        let frames = stream::unfold(self, |mut stream| async move {
            let frame = stream.frame().await?;
            Some((frame.map(Frame::data), stream))
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        response
    }

    async fn frame(&mut self) -> Option<Result<Bytes, Cut>> {
        match self.state {
            State::Closed => return None,
            State::Closing => {
                self.state = State::Closed;
                return Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
            }
            State::Running => {}
        }
        let emit = {
            let died = async {
                self.engine.faults.died().await;
                Err(async_channel::RecvError)
            };
            futures_lite::FutureExt::or(self.tokens.recv(), died).await
        };
        match emit {
            Ok(Emit::Token) if self.cut == Some(self.next) => Some(self.cut_off()),
            Ok(Emit::Token) => {
                let index = self.next;
                self.next += 1;
                let delta = json!({"content": self.answer.token(index)});
                Some(Ok(self.event(index, &delta, None)))
            }
            Ok(Emit::Done(_)) if self.lose => Some(self.cut_off()),
            Ok(Emit::Done(usage)) => {
                self.state = State::Closing;
                Some(Ok(self.event(self.next, &json!({}), Some(&usage))))
            }
            Ok(Emit::Cancelled { .. }) | Err(_) => Some(self.cut_off()),
        }
    }

    fn cut_off(&mut self) -> Result<Bytes, Cut> {
        self.state = State::Closed;
        Err(Cut)
    }

    fn event(&self, token: u32, delta: &Value, usage: Option<&Usage>) -> Bytes {
        let finish = usage.map(|_| "stop");
        let mut event = json!({
            "id": self.request.id,
            "object": "chat.completion.chunk",
            "model": self.request.model,
            "token_index": token,
            "token_count": u32::from(usage.is_none()),
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        });
        if let Some(usage) = usage {
            event["usage"] = usage_json(usage);
        }
        Bytes::from(format!("data: {event}\n\n"))
    }
}

fn usage_json(usage: &Usage) -> Value {
    let micros = |time: std::time::Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.output,
        "total_tokens": usage.prompt + usage.output,
        "prompt_tokens_details": {"cached_tokens": usage.cached},
        "queue_us": micros(usage.queue),
        "work_us": micros(usage.work),
    })
}
