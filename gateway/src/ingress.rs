//! The ingress: admission of every caller's request.

use std::collections::BTreeSet;
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
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::catalog::CallerLimits;
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::catalog::Denial;
use snipeyoke_lib::serving::durations::Remaining;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::http::BodyError;
use snipeyoke_runtime::http::CallerConnection;
use snipeyoke_runtime::http::HEADER_MAX_BYTES;
use snipeyoke_runtime::http::Handler;
use snipeyoke_runtime::http::HeldBody;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;

use crate::dialect::RequestHead;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::request_context::sample;
use crate::shared::Shared;
use crate::stages::StageWork;
use crate::stream::serve_stream;
use crate::stream_versions::resolve_continuation;
use crate::unary::refuse;
use crate::unary::serve_unary;
use snipeyoke_lib::serving::retry_after::retry_after;

/// How long a caller waits for the node's first configuration.
///
/// A starting node receives it within a tenth of a second from the registry or
/// a peer, unless both are down.
const CONFIG_WAIT: Duration = Duration::from_millis(400);

/// How much longer than allowed a connection may be idle.
///
/// A request that was sent in time may still be on its way.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Serves callers.
pub(crate) struct Ingress(pub(crate) Arc<Shared>);

impl Handler for Ingress {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async {
            // The HTTP parser drops the length of a head that has both a length and chunks.
            // A proxy in front may have used it, so bytes after the chunks may be part
            // of the body and must not be parsed as a request (request smuggling).
            let chunked = request.headers().contains_key(TRANSFER_ENCODING);
            let mut reply = self.serve(request).await;
            if chunked || self.0.out_of_rotation.is_set() {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(CONNECTION, close);
            }
            reply
        })
    }

    fn header_max(&self) -> usize {
        let limits = self.limits();
        limits.map_or(HEADER_MAX_BYTES, |limits| limits.max_head)
    }

    fn idle_min(&self) -> Duration {
        let limits = self.limits();
        limits.map_or(Duration::ZERO, |l| l.idle_timeout + IDLE_MARGIN)
    }
}

impl Ingress {
    fn limits(&self) -> Option<CallerLimits> {
        let catalog = self.0.catalog.get();
        catalog.as_ref().as_ref().map(|c| c.limits())
    }

    async fn serve(&self, request: Request) -> Reply {
        let started_at = self.0.now();
        let (mut head, body) = request.into_parts();
        let connection = head.extensions.remove::<Arc<CallerConnection>>();
        let request = match self.0.dialect.parse_request(&head) {
            Ok(request) => request,
            Err(error) => {
                log::info!(event = "request-malformed", error = error.to_string().as_str(); "");
                return Refusal::Malformed.reply(Duration::ZERO);
            }
        };
        self.await_config().await;
        let mut ctx = match self.admit(request, head, started_at) {
            Ok(ctx) => ctx,
            Err(refusal) => return refusal.reply(),
        };
        let max_body = ctx.catalog.limits().max_body;
        // Refuse a declared length before the body arrives, so that the caller does not
        // send all of it in vain.
        if content_length(&ctx.head).is_some_and(|n| n > max_body) {
            return refuse(ctx, Refusal::TooLarge);
        }
        let received = async {
            let connection = connection.as_ref().ok_or(BodyError::NoMemory)?;
            connection.receive(&ctx.head.headers, body, max_body).await
        };
        match ctx.before_give_up(received).await {
            Some(Ok(HeldBody { bytes, memory })) => {
                ctx.body = bytes;
                ctx.memory = Some(memory);
            }
            Some(Err(error)) => {
                let refusal = match error {
                    BodyError::TooLarge { .. } => Refusal::TooLarge,
                    BodyError::Connection(_) => Refusal::BodyIncomplete,
                    BodyError::NoMemory => Refusal::NoMemory,
                };
                return refuse(ctx, refusal);
            }
            None => {
                let refusal = ctx.timeout_refusal();
                return refuse(ctx, refusal);
            }
        }
        if ctx.quarantine_remaining().is_some() && !ctx.start_trial() {
            ctx.record_quarantine_refusal();
            return refuse(ctx, Refusal::Quarantined);
        }
        if ctx.refused_by_shutdown(Remaining::All) {
            return refuse(ctx, Refusal::ShuttingDown);
        }
        self.0.budget().record_request(started_at, &ctx.service);
        serve_admitted(ctx).await
    }

    // Callers reach a node that has just started when too few others remain.
    // Its configuration arrives within milliseconds, sooner than a retry of a
    // refused caller.
    async fn await_config(&self) {
        let known = async {
            self.0.catalog.wait(Option::is_some).await;
        };
        let timeout = async {
            Timer::after(CONFIG_WAIT).await;
        };
        known.or(timeout).or(self.0.given_up.wait()).await;
    }

    fn admit(
        &self,
        request: RequestHead,
        head: request::Parts,
        started_at: Time,
    ) -> Result<RequestContext, EarlyRefusal> {
        let catalog = self.0.catalog.get();
        let Some(catalog) = catalog.as_ref() else {
            return Err(EarlyRefusal::new(&request, Refusal::NoConfig, None));
        };
        let host = head.headers.get(HOST).and_then(|h| h.to_str().ok());
        let path = head.uri.path();
        let admitted = catalog.admit(host.unwrap_or_default(), path, request.key.as_deref());
        let admitted = admitted.map_err(|denial| {
            let refusal = match denial {
                Denial::NoRoute => Refusal::NoRoute,
                Denial::NoKey => Refusal::NoKey,
            };
            EarlyRefusal::new(&request, refusal, Some(catalog))
        })?;
        let no_endpoint = EarlyRefusal::new(&request, Refusal::NoEndpoint, Some(catalog));
        let shared = Arc::clone(&self.0);
        let ctx = RequestContext::new(
            shared,
            Arc::clone(catalog),
            request,
            head,
            admitted,
            started_at,
        );
        ctx.ok_or(no_endpoint)
    }
}

/// A request that is refused before it has a route.
struct EarlyRefusal {
    request: String,
    refusal: Refusal,
    version: u64,
}

impl EarlyRefusal {
    fn new(request: &RequestHead, refusal: Refusal, catalog: Option<&Arc<Catalog>>) -> Self {
        Self {
            request: request.id.clone(),
            refusal,
            version: catalog.map_or(0, |c| c.version()),
        }
    }

    fn reply(&self) -> Reply {
        log::info!(event = "request-refused", request = self.request.as_str(), why = self.refusal.to_string().as_str(), config = self.version; "");
        let wait = retry_after(Duration::ZERO, Duration::ZERO, sample(&self.request));
        self.refusal.reply(wait)
    }
}

fn content_length(head: &request::Parts) -> Option<usize> {
    head.headers
        .get(CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

async fn serve_admitted(mut ctx: RequestContext) -> Reply {
    if ctx.route.kind.is_stream()
        && let Err(refusal) = resolve_continuation(&mut ctx).await
    {
        return refuse(ctx, refusal);
    }
    let stages = match StageWork::plan(&ctx) {
        Ok(stages) => stages,
        Err(error) => {
            log::info!(event = "request-malformed", request = ctx.request.id.as_str(), error = error.to_string().as_str(); "");
            return refuse(ctx, Refusal::Malformed);
        }
    };
    // Stage work would be in vain if a later service has no endpoint to use.
    let needed = stages.iter().flat_map(StageWork::services);
    let needed = needed.chain([&ctx.service]).cloned();
    let needed: BTreeSet<PoolName> = needed.collect();
    if let Some(why) = needed.iter().find_map(|s| ctx.unavailability(s)) {
        return refuse(ctx, why.into());
    }
    if ctx.is_rested_out() {
        ctx.backlog = ctx.remaining();
        return refuse(ctx, Refusal::Resting);
    }
    if ctx.route.kind.is_stream() {
        serve_stream(ctx, stages).await
    } else {
        serve_unary(ctx, stages).await
    }
}
