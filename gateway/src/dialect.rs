//! The interface to the protocols of callers and endpoints.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::header::HeaderName;
use hyper::http::request;
use hyper::http::response;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::serving::batching::BatchItem;
use snipeyoke_lib::serving::batching::ItemOutcome;
use snipeyoke_lib::serving::bookings::LeadingPrefix;
use snipeyoke_lib::serving::crashes::PartId;
use snipeyoke_lib::serving::rate_limit::RateNotice;
use snipeyoke_lib::serving::self_report::SelfReport;

/// What a request declares about its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Prompt {
    /// The total number of tokens to read.
    pub tokens: u32,
    /// The number of tokens in the parts that other requests share.
    pub shared: u32,
    /// The hash of the shared parts, in order; 0 if there are none.
    pub prefix: u64,
    /// The maximum number of output tokens, if declared.
    pub max_output: Option<u32>,
    /// The number of output tokens that the caller expects, if declared.
    pub expected_output: Option<u32>,
}

impl Prompt {
    /// Returns the expected number of output tokens, if declared.
    #[must_use]
    pub fn output_length(&self) -> Option<u32> {
        let most = self.max_output.unwrap_or(u32::MAX);
        self.expected_output.map(|tokens| tokens.min(most))
    }
}

/// The parsed head of a caller's request, beside the method and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The id of the client attempt.
    pub id: String,
    /// How long the caller waits.
    pub remaining: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of the stream that the caller
    /// takes up again, if it names one.
    pub resumes: Option<Result<String, ResumesError>>,
    /// The prompt, for a model.
    pub prompt: Option<Prompt>,
    /// The shorter prefixes of the prompt that others share, shortest first.
    pub leading: Vec<LeadingPrefix>,
    /// The parts of the prompt that others may share, in order.
    pub parts: Arc<[PartId]>,
    /// The number of batch items of each stage.
    pub item_counts: Vec<u32>,
    /// The key from which the first stages derive their input.
    pub item_key: String,
}

impl RequestHead {
    /// Returns whether the caller has events of an earlier attempt.
    #[must_use]
    pub const fn is_continuation(&self) -> bool {
        self.resumes.is_some() || self.last_event.is_some()
    }
}

/// Why the name of the stream that a caller takes up again is not usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ResumesError {
    /// It is empty.
    #[display(
        "the name of the attempt is empty: send the id of the one that brought the first event"
    )]
    Empty,
    /// There are several.
    #[display("several attempts are named: name the one that brought the first event")]
    Repeated,
    /// It is no text.
    #[display("the name of the attempt is no text: send its id as it was")]
    NotText,
}

/// Why the head of a request can't be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RequestHeadError {
    /// There is not exactly one host.
    #[display("the request names no host: send one Host header")]
    NoHost,
    /// The client attempt has no id.
    #[display("the request has no id: send a new one with each attempt")]
    NoId,
    /// Two ways to delimit the body are given.
    #[display("the request has a length and a transfer coding: send one of them")]
    TwoLengths,
    /// A header can't be parsed.
    #[display("the header {name} can't be read: correct it")]
    Malformed {
        /// The header's name.
        name: &'static str,
    },
}

/// What the node adds to a forwarded request.
#[derive(Debug, Clone, Copy)]
pub struct ForwardContext<'a> {
    /// The account of the caller's key.
    pub account: Option<&'a ClientAccount>,
    /// The endpoint the request is meant for.
    pub endpoint: &'a EndpointId,
    /// The remaining time.
    pub remaining: Duration,
    /// The results of the preceding stages.
    pub inputs: &'a [String],
    /// The id of the event after which to resume.
    pub last_event: Option<u64>,
    /// The urgency, for models; 0 is the most urgent.
    pub urgency: Option<u8>,
}

/// What an endpoint's response says about the request's execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It ran, or may have run.
    Ran,
    /// The endpoint vouches that it did not run.
    NotRun,
    /// An endpoint other than the intended one responded; the request did not
    /// run.
    WrongEndpoint,
}

/// The parsed head of an endpoint's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// The id of the client attempt that it responds to.
    pub id: Option<String>,
    /// Whether the endpoint signed it.
    pub signed: bool,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Whether the body has a content encoding, which callers never request.
    pub encoded: bool,
    /// What it says of its endpoint.
    pub report: SelfReport,
    /// How long its endpoint leaves the connection open, if it does.
    pub keep_alive: Option<Duration>,
    /// The endpoint that sent it, if it names itself.
    pub instance: Option<EndpointId>,
    /// The headers to relay to the caller.
    pub headers: HeaderMap,
    /// The names of those that the dialect does not know.
    pub unread: Vec<HeaderName>,
}

impl ResponseHead {
    /// Returns what it shows of the rate that its endpoint accepts.
    ///
    /// A refusal without a rate is no evidence that the endpoint names none, and the
    /// response of another endpoint says nothing of the intended one.
    #[must_use]
    pub fn rate_evidence(&self) -> Option<RateNotice> {
        let rate = self.report.rate;
        match self.verdict {
            Verdict::Ran => rate,
            Verdict::NotRun => rate.filter(|&rate| rate != RateNotice::Unlimited),
            Verdict::WrongEndpoint => None,
        }
    }
}

/// Translates between the node and the protocols of callers and endpoints.
pub trait Dialect: Debug + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`RequestHeadError`] if the head can't be parsed.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, RequestHeadError>;

    /// Builds the request to send to an endpoint.
    fn forward_request(
        &self,
        head: &request::Parts,
        body: Bytes,
        with: ForwardContext<'_>,
    ) -> Request<Full<Bytes>>;

    /// Adds the address from which the endpoint is to fetch what it lacks of the
    /// prompt's prefix.
    fn set_fetch_source(&self, request: &mut Request<Full<Bytes>>, source: SocketAddr);

    /// Parses the head of an endpoint's response.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;

    /// Builds a call that runs a batch of stage items.
    fn batch_request(&self, endpoint: &EndpointId, items: &[BatchItem]) -> Request<Full<Bytes>>;

    /// Parses the response to a batch call; returns `None` if it can't be
    /// parsed.
    fn parse_outcomes(&self, body: &[u8]) -> Option<Vec<ItemOutcome>>;

    /// Builds a call that releases results.
    fn release_request(&self, handles: &[String]) -> Request<Full<Bytes>>;

    /// Returns the path that a load balancer probes for readiness.
    fn ready_path(&self) -> &'static str;
}
