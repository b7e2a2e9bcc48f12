//! Requests with one answer.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::stream;
use hyper::StatusCode;
use snipeyoke_runtime::http::Cut;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::ReplyBody;
use snipeyoke_runtime::http::cuttable;
use snipeyoke_runtime::http::full;

use crate::attempt::Answered;
use crate::attempt::is_promise;
use crate::attempt::note_break;
use crate::attempt::note_failure;
use crate::attempt::note_time;
use crate::refusal::Refusal;
use crate::retry::Step;
use crate::retry::may_repeat;
use crate::retry::step;
use crate::stages::StageWork;
use crate::ticket::Ticket;
use snipeyoke_lib::serving::retry_after::other_node_retry_after;
use snipeyoke_lib::serving::retry_after::retry_after;

/// The most bytes of an answer that are kept before it is passed on.
///
/// An answer that breaks off before this can still be had from another
/// endpoint; a longer one is passed on as it comes.
const KEPT_MAX: usize = 256 << 10;

/// Drives a request to its one answer.
pub(crate) async fn plain(mut ticket: Ticket, mut stages: Option<StageWork>) -> Reply {
    loop {
        let answered = match step(&mut ticket, &mut stages, None).await {
            Step::Answered(answered) => answered,
            Step::Again => continue,
            Step::Refused(refusal) => return refuse(ticket, refusal),
        };
        let refusal = match take(&mut ticket, *answered).await {
            Taken::Long(head, first, rest) => return pass_long(ticket, head, first, rest),
            Taken::Failed(_) if may_repeat(&ticket, "endpoint-failed") => continue,
            Taken::Whole(head, bytes) | Taken::Failed(Some((head, bytes))) => {
                return pass_on(ticket, head, full(bytes));
            }
            Taken::Failed(None) => Refusal::AnswerLost,
            Taken::Timeout => ticket.timeout(),
        };
        return refuse(ticket, refusal);
    }
}

/// Answers with a refusal that is true for what happened so far.
pub(crate) fn refuse(mut ticket: Ticket, refusal: Refusal) -> Reply {
    let promises = refusal.status() == StatusCode::SERVICE_UNAVAILABLE;
    // An earlier try may have run: "not run" would be false, and the caller
    // would have its approval done twice.
    let refusal = if promises && ticket.may_have_run {
        Refusal::AnswerLost
    } else {
        refusal
    };
    ticket.end(refusal.status(), refusal.name());
    let wait = match refusal {
        Refusal::Leaving => other_node_retry_after(ticket.draw()),
        Refusal::Quarantined => {
            let left = ticket.quarantined().unwrap_or_default();
            left + retry_after(Duration::ZERO, Duration::ZERO, ticket.draw())
        }
        _ => retry_after(ticket.backlog, ticket.left(), ticket.draw()),
    };
    refusal.reply(wait)
}

/// The head of an endpoint's answer.
pub(crate) type Head = (StatusCode, hyper::HeaderMap);

enum Taken {
    Whole(Head, Bytes),
    Long(Head, Bytes, Box<Answered>),
    Failed(Option<(Head, Bytes)>),
    Timeout,
}

async fn take(ticket: &mut Ticket, mut answered: Answered) -> Taken {
    let status = answered.call.head.status;
    let headers = std::mem::take(&mut answered.answer.headers);
    let mut kept = BytesMut::new();
    loop {
        match ticket.within(answered.call.next()).await {
            None => return Taken::Timeout,
            Some(Ok(Some(bytes))) => kept.extend_from_slice(&bytes),
            Some(Ok(None)) => {
                answered.flight.settle();
                break;
            }
            Some(Err(error)) => {
                log::warn!(event = "answer-broken", request = ticket.ask.id.as_str(), endpoint = answered.flight.endpoint.to_string().as_str(), error = error.to_string().as_str(); "");
                note_failure(ticket, &mut answered.flight);
                note_break(ticket, &mut answered.flight);
                return Taken::Failed(None);
            }
        }
        if kept.len() > KEPT_MAX && status.is_success() && answered.answer.signed {
            return Taken::Long((status, headers), kept.freeze(), Box::new(answered));
        }
    }
    ticket.timeline.first = Some(ticket.shared.now());
    if status.is_success() && answered.answer.signed {
        note_time(ticket, &answered.flight, answered.sent);
        return Taken::Whole((status, headers), kept.freeze());
    }
    note_failure(ticket, &mut answered.flight);
    let usable = !status.is_success() && !is_promise(status);
    Taken::Failed(usable.then(|| ((status, headers), kept.freeze())))
}

pub(crate) fn pass_on(mut ticket: Ticket, (status, headers): Head, body: ReplyBody) -> Reply {
    let outcome = if status.is_success() {
        "answered"
    } else {
        "endpoint-error"
    };
    ticket.end(status, outcome);
    reply(status, headers, body)
}

pub(crate) fn reply(status: StatusCode, headers: hyper::HeaderMap, body: ReplyBody) -> Reply {
    let mut reply = Reply::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

fn pass_long(ticket: Ticket, (status, headers): Head, first: Bytes, rest: Box<Answered>) -> Reply {
    let state = (ticket, rest, Some(first));
    let pieces = stream::unfold(Some(state), move |state| async move {
        let (mut ticket, mut rest, first) = state?;
        if let Some(first) = first {
            return Some((Ok(first), Some((ticket, rest, None))));
        }
        match ticket.in_time(rest.call.next()).await {
            Some(Ok(Some(bytes))) => Some((Ok(bytes), Some((ticket, rest, None)))),
            Some(Ok(None)) => {
                rest.flight.settle();
                ticket.end(status, "answered");
                None
            }
            broken @ (None | Some(Err(_))) => {
                if broken.is_some() {
                    note_break(&ticket, &mut rest.flight);
                }
                ticket.end(status, "cut");
                Some((Err(Cut), None))
            }
        }
    });
    reply(status, headers, cuttable(pieces))
}
