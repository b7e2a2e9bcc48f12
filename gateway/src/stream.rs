//! Requests that are answered by a stream of events.

use bytes::Bytes;
use futures_util::stream;
use hyper::StatusCode;
use snipeyoke_lib::serving::events::EventAssembler;
use snipeyoke_runtime::http::Cut;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::cuttable;
use snipeyoke_runtime::http::full;

use crate::attempt::Answered;
use crate::attempt::is_promise;
use crate::attempt::note_break;
use crate::attempt::note_failure;
use crate::attempt::note_time;
use crate::plain::Head;
use crate::plain::pass_on;
use crate::plain::refuse;
use crate::plain::reply;
use crate::refusal::Refusal;
use crate::retry::Step;
use crate::retry::may_repeat;
use crate::retry::step;
use crate::stages::StageWork;
use crate::ticket::Ticket;

/// The most bytes of an endpoint's failure that are passed on.
const FAILURE_MAX: usize = 64 << 10;

/// Drives a request to the head of its stream; the rest follows in the body.
pub(crate) async fn stream(mut ticket: Ticket, mut stages: Option<StageWork>) -> Reply {
    let mut events = EventAssembler::resume_after(ticket.ask.last_event);
    match begin(&mut ticket, &mut stages, &events).await {
        Begun::Stream(mut answered) => {
            let status = answered.call.head.status;
            let headers = std::mem::take(&mut answered.answer.headers);
            events.discard_partial();
            ticket.begun = true;
            let run = Run {
                ticket,
                stages,
                events,
                answered: Some(answered),
            };
            reply(status, headers, cuttable(stream::unfold(run, Run::step)))
        }
        Begun::Failure(head, bytes) => pass_on(ticket, head, full(bytes)),
        Begun::Refused(refusal) => refuse(ticket, refusal),
    }
}

enum Begun {
    Stream(Box<Answered>),
    Failure(Head, Bytes),
    Refused(Refusal),
}

/// Tries endpoints until one begins, or goes on with, the stream.
async fn begin(
    ticket: &mut Ticket,
    stages: &mut Option<StageWork>,
    events: &EventAssembler,
) -> Begun {
    loop {
        let answered = match step(ticket, stages, events.last_id()).await {
            Step::Answered(answered) => answered,
            Step::Again => continue,
            Step::Refused(refusal) => return Begun::Refused(refusal),
        };
        match opened(ticket, *answered).await {
            Ok(answered) => return Begun::Stream(answered),
            Err(_) if may_repeat(ticket, "endpoint-failed") => {}
            Err(Some((head, bytes))) => return Begun::Failure(head, bytes),
            Err(None) => return Begun::Refused(Refusal::AnswerLost),
        }
    }
}

/// Takes an answer as a stream, or returns the failure that it is.
async fn opened(
    ticket: &Ticket,
    mut answered: Answered,
) -> Result<Box<Answered>, Option<(Head, Bytes)>> {
    let status = answered.call.head.status;
    if status.is_success() && answered.answer.signed {
        return Ok(Box::new(answered));
    }
    note_failure(ticket, &mut answered.flight);
    if status.is_success() || is_promise(status) {
        return Err(None);
    }
    let mut body = Vec::new();
    while let Some(Ok(Some(bytes))) = ticket.within(answered.call.next()).await {
        body.extend_from_slice(&bytes);
        if body.len() > FAILURE_MAX {
            return Err(None);
        }
    }
    let headers = std::mem::take(&mut answered.answer.headers);
    Err(Some(((status, headers), body.into())))
}

/// A stream under way.
struct Run {
    ticket: Ticket,
    stages: Option<StageWork>,
    events: EventAssembler,
    answered: Option<Box<Answered>>,
}

impl Run {
    /// Returns the next whole events, from whichever endpoint has them.
    async fn step(mut self) -> Option<(Result<Bytes, Cut>, Self)> {
        loop {
            let Some(answered) = &mut self.answered else {
                return None;
            };
            let why = match self.ticket.in_time(answered.call.next()).await {
                None => {
                    self.finish("timeout");
                    return Some((Err(Cut), self));
                }
                Some(Ok(Some(bytes))) => match self.events.push(&bytes) {
                    Ok(out) if out.is_empty() => continue,
                    Ok(out) => {
                        self.ticket.timeline.events = self.events.count();
                        self.note_first();
                        return Some((Ok(out.into()), self));
                    }
                    Err(error) => error.to_string(),
                },
                Some(Ok(None)) if !self.events.has_partial() => {
                    if let Some(answered) = &mut self.answered {
                        answered.flight.settle();
                    }
                    self.finish("answered");
                    return None;
                }
                Some(Ok(None)) => "ended in the middle of an event".to_owned(),
                Some(Err(error)) => error.to_string(),
            };
            if !self.go_on(&why).await {
                self.finish("cut");
                return Some((Err(Cut), self));
            }
        }
    }

    fn note_first(&mut self) {
        let now = self.ticket.shared.now();
        if self.ticket.timeline.first.is_some() {
            return;
        }
        self.ticket.timeline.first = Some(now);
        if let Some(answered) = &self.answered {
            note_time(&self.ticket, &answered.flight, answered.sent);
        }
        // The endpoint read the stages' results before the prompt.
        if let Some(stages) = &mut self.stages {
            stages.give_back();
        }
    }

    /// Goes on at another endpoint after the last event, inside the same answer.
    async fn go_on(&mut self, why: &str) -> bool {
        if let Some(mut answered) = self.answered.take() {
            let endpoint = answered.flight.endpoint.to_string();
            log::warn!(event = "stream-broken", request = self.ticket.ask.id.as_str(), endpoint = endpoint.as_str(), events = self.events.count(), why; "");
            note_failure(&self.ticket, &mut answered.flight);
            note_break(&self.ticket, &mut answered.flight);
        }
        self.events.discard_partial();
        if !may_repeat(&self.ticket, "stream-broken") {
            return false;
        }
        match begin(&mut self.ticket, &mut self.stages, &self.events).await {
            Begun::Stream(answered) => {
                self.answered = Some(answered);
                true
            }
            Begun::Failure(..) | Begun::Refused(_) => false,
        }
    }

    fn finish(&mut self, outcome: &'static str) {
        self.answered = None;
        self.ticket.end(StatusCode::OK, outcome);
    }
}
