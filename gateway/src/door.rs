//! The door: what every caller's request passes first.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::request;
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::catalog::Denial;
use snipeyoke_lib::serving::durations::Remaining;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::http::Handler;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;
use snipeyoke_runtime::http::collect;

use crate::dialect::RequestHead;
use crate::plain::plain;
use crate::plain::refuse;
use crate::refusal::Refusal;
use crate::shared::Shared;
use crate::stages::StageWork;
use crate::stream::stream;
use crate::ticket::Ticket;
use crate::ticket::draw;
use snipeyoke_lib::serving::retry_after::retry_after;

/// How long a caller waits for a node's first configuration.
///
/// A node that starts has it within a tenth of a second, from the registry or
/// a neighbour, unless both are away.
const CONFIG_WAIT: Duration = Duration::from_millis(400);

/// Answers callers.
pub(crate) struct Door(pub(crate) Arc<Shared>);

impl Handler for Door {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async {
            // A head with a length and chunks reaches us without the length.
            // What follows its chunks may be a part of the body to whoever
            // passed it on; read as a request, nobody would have sent it.
            let chunked = request.headers().contains_key(TRANSFER_ENCODING);
            let mut reply = self.serve(request).await;
            if chunked || self.0.out_of_rotation.is_set() {
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
        let ask = match self.0.dialect.parse_request(&head) {
            Ok(ask) => ask,
            Err(error) => {
                log::info!(event = "request-malformed", error = error.to_string().as_str(); "");
                return Refusal::Malformed.reply(Duration::ZERO);
            }
        };
        self.await_config().await;
        let mut ticket = match self.admit(ask, head, began) {
            Ok(ticket) => ticket,
            Err(refused) => return refused.reply(),
        };
        let most = ticket.catalog.limits().max_body;
        // A declared length is refused before the body comes: the caller would
        // send all of it for nothing.
        if length(&ticket.head).is_some_and(|n| n > most) {
            return refuse(ticket, Refusal::TooLarge);
        }
        match ticket.within(collect(body, most)).await {
            Some(Ok(bytes)) => ticket.body = bytes,
            Some(Err(error)) => {
                let refusal = if error.is_too_large() {
                    Refusal::TooLarge
                } else {
                    Refusal::BodyBroken
                };
                return refuse(ticket, refusal);
            }
            None => {
                let refusal = ticket.timeout();
                return refuse(ticket, refusal);
            }
        }
        if ticket.quarantined().is_some() && !ticket.try_quarantined() {
            return refuse(ticket, Refusal::Quarantined);
        }
        if ticket.refused_by_leaving(Remaining::All) {
            return refuse(ticket, Refusal::Leaving);
        }
        self.0.budget().record_request(began, &ticket.service);
        drive(ticket).await
    }

    // Callers reach a node that has just started when too few others are left.
    // Its configuration is some milliseconds away: refused, they would come
    // back, once and later.
    async fn await_config(&self) {
        let known = async {
            self.0.catalog.wait(Option::is_some).await;
        };
        let over = async {
            Timer::after(CONFIG_WAIT).await;
        };
        known.or(over).await;
    }

    fn admit(
        &self,
        ask: RequestHead,
        head: request::Parts,
        began: Time,
    ) -> Result<Ticket, Refused> {
        let catalog = self.0.catalog.get();
        let Some(catalog) = catalog.as_ref() else {
            return Err(Refused::new(&ask, Refusal::NoConfig, None));
        };
        let host = head.headers.get(HOST).and_then(|h| h.to_str().ok());
        let path = head.uri.path();
        let admitted = catalog.admit(host.unwrap_or_default(), path, ask.key.as_deref());
        let admitted = admitted.map_err(|denial| {
            let refusal = match denial {
                Denial::NoRoute => Refusal::NoRoute,
                Denial::NoKey => Refusal::NoKey,
            };
            Refused::new(&ask, refusal, Some(catalog))
        })?;
        let none = Refused::new(&ask, Refusal::NoEndpoint, Some(catalog));
        let shared = Arc::clone(&self.0);
        let ticket = Ticket::new(shared, Arc::clone(catalog), ask, head, admitted, began);
        ticket.ok_or(none)
    }
}

/// A request that is refused before it has a route.
struct Refused {
    request: String,
    refusal: Refusal,
    version: u64,
}

impl Refused {
    fn new(ask: &RequestHead, refusal: Refusal, catalog: Option<&Arc<Catalog>>) -> Self {
        Self {
            request: ask.id.clone(),
            refusal,
            version: catalog.map_or(0, |c| c.version()),
        }
    }

    fn reply(&self) -> Reply {
        log::info!(event = "request-refused", request = self.request.as_str(), why = self.refusal.to_string().as_str(), config = self.version; "");
        let wait = retry_after(Duration::ZERO, Duration::ZERO, draw(&self.request));
        self.refusal.reply(wait)
    }
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
            return refuse(ticket, Refusal::Malformed);
        }
    };
    if ticket.route.kind.is_stream() {
        stream(ticket, stages).await
    } else {
        plain(ticket, stages).await
    }
}
