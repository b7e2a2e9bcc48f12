//! The door: what every caller's request passes first.

use std::pin::Pin;
use std::sync::Arc;

use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::request;
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::catalog::Denial;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::http::Handler;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;
use snipeyoke_runtime::http::collect;

use crate::dialect::Ask;
use crate::plain::plain;
use crate::refusal::Refusal;
use crate::shared::Shared;
use crate::stages::StageWork;
use crate::stream::stream;
use crate::ticket::Ticket;
use crate::ticket::draw;

/// Answers callers.
pub(crate) struct Door(pub(crate) Arc<Shared>);

impl Handler for Door {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async {
            let mut reply = self.serve(request).await;
            if self.0.aside.is_set() {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(CONNECTION, close);
            }
            reply
        })
    }
}

impl Door {
    async fn serve(&self, request: Request) -> Reply {
        let began = self.0.now();
        let (head, body) = request.into_parts();
        let ask = match self.0.dialect.ask(&head) {
            Ok(ask) => ask,
            Err(error) => {
                log::info!(event = "request-malformed", error = error.to_string().as_str(); "");
                return Refusal::Malformed.reply(0.0);
            }
        };
        let mut ticket = match self.admit(ask, head, began) {
            Ok(ticket) => ticket,
            Err(refusal) => return refusal,
        };
        let most = ticket.catalog.limits().body;
        // A declared length is refused before the body comes: the caller would
        // send all of it for nothing.
        if length(&ticket.head).is_some_and(|n| n > most) {
            return crate::plain::refuse(ticket, Refusal::TooLarge);
        }
        match ticket.within(collect(body, most)).await {
            Some(Ok(bytes)) => ticket.body = bytes,
            Some(Err(error)) => {
                let refusal = if error.is_too_large() {
                    Refusal::TooLarge
                } else {
                    Refusal::BodyBroken
                };
                return crate::plain::refuse(ticket, refusal);
            }
            None => return crate::plain::refuse(ticket, Refusal::TimeoutNotRun),
        }
        self.0.budget().earn(began, &ticket.service);
        drive(ticket).await
    }

    fn admit(&self, ask: Ask, head: request::Parts, began: Time) -> Result<Ticket, Reply> {
        let catalog = self.0.catalog.get();
        let Some(catalog) = catalog.as_ref() else {
            return Err(refused(&ask, Refusal::NoConfig, None));
        };
        let host = head.headers.get(HOST).and_then(|h| h.to_str().ok());
        let path = head.uri.path();
        let admitted = catalog.admit(host.unwrap_or_default(), path, ask.key.as_deref());
        let admitted = match admitted {
            Ok(admitted) => admitted,
            Err(Denial::NoRoute) => return Err(refused(&ask, Refusal::NoRoute, Some(catalog))),
            Err(Denial::NoKey) => return Err(refused(&ask, Refusal::NoKey, Some(catalog))),
        };
        let shared = Arc::clone(&self.0);
        let none = refused_later(&ask);
        let ticket = Ticket::new(shared, Arc::clone(catalog), ask, head, admitted, began);
        ticket
            .ok_or(none)
            .map_err(|draw| Refusal::NoEndpoint.reply(draw))
    }
}

fn refused_later(ask: &Ask) -> f64 {
    draw(&ask.id)
}

fn refused(ask: &Ask, refusal: Refusal, catalog: Option<&Catalog>) -> Reply {
    log::info!(event = "request-refused", request = ask.id.as_str(), why = refusal.to_string().as_str(), config = catalog.map_or(0, Catalog::version); "");
    refusal.reply(draw(&ask.id))
}

fn length(head: &request::Parts) -> Option<usize> {
    head.headers
        .get(CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

async fn drive(ticket: Ticket) -> Reply {
    let stages = match StageWork::plan(&ticket) {
        Ok(stages) => stages,
        Err(error) => {
            log::info!(event = "request-malformed", request = ticket.ask.id.as_str(), error = error.to_string().as_str(); "");
            return crate::plain::refuse(ticket, Refusal::Malformed);
        }
    };
    if ticket.route.kind.is_stream() {
        stream(ticket, stages).await
    } else {
        plain(ticket, stages).await
    }
}
