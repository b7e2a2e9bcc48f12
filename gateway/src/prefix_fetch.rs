//! The fetch of shared prefixes between a model's endpoints: where it is enabled,
//! and the check of the source right before a request is sent.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::homes::Homes;
use snipeyoke_lib::serving::prefix_sources::FetchTerms;
use snipeyoke_lib::serving::prefix_sources::PrefixSource;
use snipeyoke_lib::serving::prefix_sources::PromptTokens;

use crate::request_context::RequestContext;
use crate::shared::Shared;

impl Shared {
    /// Returns the terms of fetches between a service's endpoints; `None` if nothing
    /// is fetched.
    pub(crate) fn fetch_terms(&self, service: &PoolName) -> Option<FetchTerms> {
        let catalog = self.catalog.get();
        let catalog = catalog.as_ref().as_ref()?;
        let transfer = catalog.service(service)?.kv_transfer?;
        let is_enabled = self.settings.has_pressure() || self.directory().has_contention(service);
        let max_gap = catalog.max_event_gap(service);
        is_enabled.then(|| FetchTerms::new(transfer, (service, &self.paces()), max_gap))
    }
}

/// The source that was named for a request, until the request is sent.
#[derive(Debug)]
pub(crate) struct PrefixFetch {
    shared: Arc<Shared>,
    request: String,
    entry: Entry,
    homes: Homes,
    source: PrefixSource,
    /// Whether the source has failed in an earlier send of the request.
    has_failed: bool,
}

impl PrefixFetch {
    pub(crate) fn new(
        ctx: &RequestContext,
        entry: &Entry,
        failed: &[EndpointId],
        source: &PrefixSource,
    ) -> Self {
        let id = &source.run.endpoint;
        Self {
            shared: Arc::clone(&ctx.shared),
            request: ctx.request.id.clone(),
            entry: entry.clone(),
            homes: ctx.homes.clone(),
            source: source.clone(),
            has_failed: ctx.attempted.contains(id) || failed.contains(id),
        }
    }

    /// Adds the source to the request that is about to be sent, unless it may not
    /// serve any more, as far as this node knows.
    pub(crate) fn complete(self, mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
        let address = self.address();
        let result = if address.is_some() {
            "named"
        } else {
            "withheld"
        };
        metrics::counter!("snipeyoke_prefix_fetches_total", "result" => result).increment(1);
        let endpoint = self.entry.id.to_string();
        let source = self.source.run.endpoint.to_string();
        log::info!(event = "prefix-fetch", request = self.request.as_str(), endpoint = endpoint.as_str(), source = source.as_str(), tokens = self.source.tokens, result; "");
        if let Some(address) = address {
            self.shared.dialect.set_fetch_source(&mut request, address);
        }
        request
    }

    fn address(&self) -> Option<SocketAddr> {
        let is_enabled = self.shared.fetch_terms(&self.entry.service).is_some();
        if self.has_failed || !is_enabled {
            return None;
        }
        let now = self.shared.now();
        let directory = self.shared.directory();
        let found = directory.fetch_source(now, &self.source.run, &self.entry.version)?;
        let known = found.entry();
        let is_usable = known.service == self.entry.service
            && known.address != self.entry.address
            && self.homes.allows(found.region())
            && directory.accepts_calls(now, known);
        is_usable.then_some(known.address)
    }
}

/// Counts how the tokens of a booked prompt are provided.
pub(crate) fn record_tokens(tokens: PromptTokens) {
    for (how, count) in [
        ("held", tokens.held),
        ("fetched", tokens.fetched),
        ("read", tokens.read),
    ] {
        metrics::counter!("snipeyoke_prefix_tokens_total", "how" => how)
            .increment(u64::from(count));
    }
}
