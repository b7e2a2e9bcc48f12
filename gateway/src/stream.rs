//! Requests with a stream of events as the response.

use bytes::Bytes;
use futures_util::stream;
use hyper::StatusCode;
use snipeyoke_lib::serving::events::EventAssembler;
use snipeyoke_runtime::http::BodyAborted;
use snipeyoke_runtime::http::BodyError;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::abortable;
use snipeyoke_runtime::http::full;

use crate::attempt::OpenResponse;
use crate::attempt::claims_not_run;
use crate::attempt::record_failure;
use crate::attempt::record_latency;
use crate::attempt::report_break;
use crate::attempt::report_broken_body;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::retry::Step;
use crate::retry::attempt_step;
use crate::retry::try_repeat;
use crate::stages::StageWork;
use crate::stream_versions::record_origin;
use crate::unary::Head;
use crate::unary::refuse;
use crate::unary::relay;
use crate::unary::reply;

/// The maximum size of a relayed endpoint error, in bytes.
const ERROR_BODY_MAX: usize = 64 << 10;

/// The maximum size of an incomplete event that does not count in the memory for
/// requests, in bytes.
const UNCOUNTED_EVENT_MAX: usize = 16 << 10;

/// Serves a request up to the head of its stream; the body carries the rest.
pub(crate) async fn serve_stream(mut ctx: RequestContext, mut stages: Option<StageWork>) -> Reply {
    let mut events = EventAssembler::resume_after(ctx.request.last_event);
    match start_stream(&mut ctx, &mut stages, &events).await {
        StreamStart::Stream(mut response) => {
            let status = response.call.head.status;
            let headers = std::mem::take(&mut response.head.headers);
            events.discard_partial();
            ctx.response_started = true;
            let active = ActiveStream {
                ctx,
                stages,
                events,
                counted_bytes: 0,
                response: Some(response),
            };
            reply(
                status,
                headers,
                abortable(stream::unfold(active, ActiveStream::next_chunk)),
            )
        }
        StreamStart::Failed(head, bytes) => relay(ctx, head, full(bytes)),
        StreamStart::Refused(refusal) => refuse(ctx, refusal),
    }
}

enum StreamStart {
    Stream(Box<OpenResponse>),
    Failed(Head, Bytes),
    Refused(Refusal),
}

/// Attempts endpoints until one starts or resumes the stream.
async fn start_stream(
    ctx: &mut RequestContext,
    stages: &mut Option<StageWork>,
    events: &EventAssembler,
) -> StreamStart {
    loop {
        let response = match attempt_step(ctx, stages, events.last_id()).await {
            Step::Response(response) => response,
            Step::Retry => continue,
            Step::Refused(refusal) => return StreamStart::Refused(refusal),
        };
        match check_response(ctx, *response).await {
            Ok(response) => return StreamStart::Stream(response),
            Err(_) if try_repeat(ctx, "endpoint-failed") => {}
            Err(Some((head, bytes))) => return StreamStart::Failed(head, bytes),
            Err(None) => return StreamStart::Refused(Refusal::ResponseLost),
        }
    }
}

/// Accepts a response as a stream, or returns the failure it carries.
async fn check_response(
    ctx: &RequestContext,
    mut response: OpenResponse,
) -> Result<Box<OpenResponse>, Option<(Head, Bytes)>> {
    let status = response.call.head.status;
    if status.is_success() && response.head.signed {
        return Ok(Box::new(response));
    }
    record_failure(ctx, &mut response.flight);
    if status.is_success() || claims_not_run(status) {
        return Err(None);
    }
    let mut body = Vec::new();
    loop {
        match ctx.before_give_up(response.call.next()).await {
            Some(Ok(Some(bytes))) => body.extend_from_slice(&bytes),
            Some(Ok(None)) => break,
            Some(Err(error)) => {
                report_broken_body(ctx, &mut response.flight, &error);
                return Err(None);
            }
            None => return Err(None),
        }
        if body.len() > ERROR_BODY_MAX {
            return Err(None);
        }
    }
    response.flight.settle();
    let headers = std::mem::take(&mut response.head.headers);
    Err(Some(((status, headers), body.into())))
}

/// A stream in progress.
struct ActiveStream {
    ctx: RequestContext,
    stages: Option<StageWork>,
    events: EventAssembler,
    /// What an incomplete event holds of the memory for requests, in bytes.
    counted_bytes: usize,
    response: Option<Box<OpenResponse>>,
}

impl ActiveStream {
    /// Returns the next complete events from the current endpoint.
    async fn next_chunk(mut self) -> Option<(Result<Bytes, BodyAborted>, Self)> {
        loop {
            let Some(response) = &mut self.response else {
                return None;
            };
            let chunk = response.call.next();
            let chunk = if response.flight.has_begun() {
                self.ctx.before_deadline(chunk).await
            } else {
                self.ctx.before_quarantine(chunk).await
            };
            let why = match chunk {
                None => {
                    let refused = self.ctx.quarantine_remaining().is_some();
                    self.finish(if refused { "cut" } else { "timeout" });
                    return Some((Err(BodyAborted), self));
                }
                Some(Ok(Some(bytes))) => match self.push(&bytes) {
                    Ok(out) if out.is_empty() => continue,
                    Ok(out) => {
                        self.ctx.timeline.events = self.events.count();
                        self.record_first_event();
                        return Some((Ok(out.into()), self));
                    }
                    Err(why) => why,
                },
                Some(Ok(None)) if !self.events.has_partial() => {
                    if let Some(response) = &mut self.response {
                        response.flight.settle();
                    }
                    self.finish("answered");
                    return None;
                }
                Some(Ok(None)) => "ended in the middle of an event".to_owned(),
                Some(Err(error)) => error.to_string(),
            };
            if !self.resume(&why).await {
                self.finish("cut");
                return Some((Err(BodyAborted), self));
            }
        }
    }

    /// Adds bytes of the stream; returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns why the stream can't go on at its endpoint.
    fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, String> {
        let out = self.events.push(bytes).map_err(|error| error.to_string())?;
        self.count_partial_event().map_err(|e| e.to_string())?;
        Ok(out)
    }

    /// Counts the buffer of an incomplete event in the memory for requests.
    fn count_partial_event(&mut self) -> Result<(), BodyError> {
        let buffered = self.events.buffered_bytes();
        let counted = if buffered > UNCOUNTED_EVENT_MAX {
            buffered
        } else {
            0
        };
        let before = std::mem::replace(&mut self.counted_bytes, counted);
        match &self.ctx.memory {
            Some(memory) if counted > before => memory.hold_beside(counted),
            Some(memory) if counted < before => {
                memory.shrink_beside(counted);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn record_first_event(&mut self) {
        let now = self.ctx.shared.now();
        if let Some(response) = &mut self.response {
            response.flight.begin();
        }
        if self.ctx.timeline.first_output.is_some() {
            return;
        }
        self.ctx.timeline.first_output = Some(now);
        if let Some(response) = &self.response {
            let version = response.flight.entry.version.clone();
            record_origin(&mut self.ctx, &version);
            record_latency(&self.ctx, &response.flight, response.sent);
        }
        // The endpoint read the stage results before the prompt.
        if let Some(stages) = &mut self.stages {
            stages.release();
        }
    }

    /// Resumes at another endpoint after the last event, within the same
    /// response.
    async fn resume(&mut self, why: &str) -> bool {
        if let Some(mut response) = self.response.take() {
            let endpoint = response.flight.entry.id.to_string();
            log::warn!(event = "stream-broken", request = self.ctx.request.id.as_str(), endpoint = endpoint.as_str(), events = self.events.count(), why; "");
            record_failure(&self.ctx, &mut response.flight);
            report_break(&self.ctx, &mut response.flight);
        }
        self.events.discard_partial();
        // Nothing is left to count, so this can't fail.
        let _counted = self.count_partial_event();
        if !try_repeat(&self.ctx, "stream-broken") {
            return false;
        }
        match start_stream(&mut self.ctx, &mut self.stages, &self.events).await {
            StreamStart::Stream(response) => {
                self.response = Some(response);
                true
            }
            StreamStart::Failed(..) | StreamStart::Refused(_) => false,
        }
    }

    fn finish(&mut self, outcome: &'static str) {
        self.response = None;
        self.ctx.set_outcome(StatusCode::OK, outcome);
    }
}
