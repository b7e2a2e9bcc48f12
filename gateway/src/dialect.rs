//! The border to what callers and endpoints speak.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::http::request;
use hyper::http::response;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::serving::batching::BatchItem;
use snipeyoke_lib::serving::batching::ItemOutcome;
use snipeyoke_lib::serving::directory::LoadReport;

/// What a request says of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Prompt {
    /// All tokens to be read.
    pub tokens: u32,
    /// The tokens of the parts that other requests share.
    pub shared: u32,
    /// The hash of those parts, in order; 0 if there are none.
    pub prefix: u64,
    /// The most tokens of the answer; `None` if the request does not say.
    pub max_output: Option<u32>,
    /// The tokens that the caller expects of the answer, if it says.
    pub expected_output: Option<u32>,
}

impl Prompt {
    /// Returns the tokens to expect of the answer, where the caller says.
    #[must_use]
    pub fn output_length(&self) -> Option<u32> {
        let most = self.max_output.unwrap_or(u32::MAX);
        self.expected_output.map(|tokens| tokens.min(most))
    }
}

/// What a caller asks, beside the method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The client attempt's own id.
    pub id: String,
    /// How long the caller waits.
    pub remaining: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The last event that the caller has already.
    pub last_event: Option<u64>,
    /// The prompt, for a model.
    pub prompt: Option<Prompt>,
    /// The pieces of each stage.
    pub item_counts: Vec<u32>,
    /// What the first stages start from.
    pub item_key: String,
}

/// Why a request can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RequestHeadError {
    /// The host is missing.
    #[display("the request names no host: send one Host header")]
    NoHost,
    /// The client attempt has no id.
    #[display("the request has no id: send a new one with each attempt")]
    NoId,
    /// Two ways to find the end of the body are given.
    #[display("the request has a length and a transfer coding: send one of them")]
    TwoLengths,
    /// A header can't be read.
    #[display("the header {name} can't be read: correct it")]
    Malformed {
        /// Its name.
        name: &'static str,
    },
}

/// What the node adds to a request that it passes on.
#[derive(Debug, Clone, Copy)]
pub struct ForwardContext<'a> {
    /// The account of the caller's key.
    pub account: Option<&'a ClientAccount>,
    /// The endpoint that is meant.
    pub endpoint: &'a EndpointId,
    /// The time left.
    pub remaining: Duration,
    /// The results of the stages before.
    pub inputs: &'a [String],
    /// The event after which to go on.
    pub last_event: Option<u64>,
    /// The urgency, for models; 0 is first.
    pub urgency: Option<u8>,
}

/// What an endpoint's answer says of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It ran, or may have run.
    Ran,
    /// The endpoint vouches that it did not run.
    NotRun,
    /// Another endpoint than the one meant answered; it did not run.
    WrongEndpoint,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The client attempt that it answers.
    pub id: Option<String>,
    /// Whether the endpoint signed it.
    pub signed: bool,
    /// What it says of the request.
    pub verdict: Verdict,
    /// Whether the body is coded, which no caller asks for.
    pub encoded: bool,
    /// The endpoint's load.
    pub load: Option<LoadReport>,
    /// The headers that go to the caller.
    pub headers: HeaderMap,
}

/// Translates between the node and what callers and endpoints speak.
pub trait Dialect: Debug + Send + Sync + 'static {
    /// Reads a caller's request head.
    ///
    /// # Errors
    ///
    /// Returns [`RequestHeadError`] for a head that can't be read.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, RequestHeadError>;

    /// Writes a request for an endpoint.
    fn forward_request(
        &self,
        head: &request::Parts,
        body: Bytes,
        with: ForwardContext<'_>,
    ) -> Request<Full<Bytes>>;

    /// Reads the head of an endpoint's answer.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;

    /// Writes a call for stage pieces.
    fn batch_request(&self, endpoint: &EndpointId, items: &[BatchItem]) -> Request<Full<Bytes>>;

    /// Reads the answer to a call for stage pieces; `None` if it can't be read.
    fn parse_outcomes(&self, body: &[u8]) -> Option<Vec<ItemOutcome>>;

    /// Writes a call that gives results back.
    fn release_request(&self, handles: &[String]) -> Request<Full<Bytes>>;

    /// Returns the path on which a balancer asks whether the node is ready.
    fn ready_path(&self) -> &'static str;
}
