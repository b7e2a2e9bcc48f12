//! Answers operators' queries about endpoints, beside the metrics.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::Region;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::journal::Request as RequestRecord;
use snipeyoke_lib::query::AnswerLine;
use snipeyoke_lib::query::ChangeFact;
use snipeyoke_lib::query::ConfigFact;
use snipeyoke_lib::query::EndpointFact;
use snipeyoke_lib::query::FactError;
use snipeyoke_lib::query::Facts;
use snipeyoke_lib::query::HostFact;
use snipeyoke_lib::query::LeaseFact;
use snipeyoke_lib::query::LimitFact;
use snipeyoke_lib::query::NodeFact;
use snipeyoke_lib::query::QuarantineFact;
use snipeyoke_lib::query::Query;
use snipeyoke_lib::query::Statement;
use snipeyoke_lib::query::Subject;
use snipeyoke_lib::query::TEXT_MAX_BYTES;
use snipeyoke_lib::query::VersionFact;
use snipeyoke_lib::query::evaluate;
use snipeyoke_lib::query::parse_one;
use snipeyoke_lib::serving::crashes::Suspect;
use snipeyoke_lib::serving::directory::Endpoint;
use snipeyoke_lib::serving::rate_limit::RateLimit;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::stream_origins::StreamOrigins;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::http::Handler;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::Request;
use snipeyoke_runtime::http::collect;
use snipeyoke_runtime::http::full;
use snipeyoke_runtime::measures;

use crate::shared::Shared;

/// The time-out for reading a statement.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Where an operator finds what a gateway does not keep.
const REMEDY: &str = "a gateway answers 'show endpoints', 'show nodes' (itself) and 'show quarantines'; the rest is in its logs and metrics";

/// Serves metrics scrapers and the queries of operators.
pub(crate) struct OperatorPort(pub(crate) Arc<Shared>);

impl OperatorPort {
    async fn route(&self, request: Request) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control/query") => self.query(request).await,
            (&Method::POST, "/control/lift") => self.lift(request).await,
            (&Method::GET, "/control/revision") => self.reply(StatusCode::OK, Vec::new(), 0),
            _ => Reply::new(full(measures::render())),
        }
    }

    async fn query(&self, request: Request) -> Reply {
        let text = match read_statement(request).await {
            Ok(text) => text,
            Err(text) => return self.error(StatusCode::BAD_REQUEST, text),
        };
        let query = match parse_one(&text) {
            Ok(Statement::Query(query)) => query,
            Ok(Statement::Watch { show, .. }) => Query::Show(show),
            Ok(_) => return self.error(StatusCode::BAD_REQUEST, not_kept("changes").to_string()),
            Err(error) => return self.error(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let kept = [Subject::Endpoints, Subject::Quarantines, Subject::Nodes];
        let is_kept = matches!(&query, Query::Show(show) if kept.contains(&show.subject));
        let table = if is_kept {
            evaluate(&query, &NodeFacts(&self.0))
        } else {
            Err(not_kept("this"))
        };
        match table {
            Ok(table) => {
                let omitted = table.omitted;
                self.reply(StatusCode::OK, AnswerLine::from_table(table), omitted)
            }
            Err(error) => self.error(StatusCode::OK, error.to_string()),
        }
    }

    /// Lifts the quarantine of the suspect that the request names, on all nodes.
    async fn lift(&self, request: Request) -> Reply {
        let suspect = match read_statement(request).await {
            Ok(text) => text.trim().parse::<Suspect>().map_err(|e| e.to_string()),
            Err(text) => Err(text),
        };
        let suspect = match suspect {
            Ok(suspect) => suspect,
            Err(text) => return self.error(StatusCode::BAD_REQUEST, text),
        };
        let now = self.0.now();
        let lifted = self.0.crashes().lift(now, suspect);
        let Some(verdict) = lifted else {
            let text = format!("{suspect} is not quarantined: 'show quarantines' lists what is");
            return self.error(StatusCode::NOT_FOUND, text);
        };
        self.0.dispatcher.announce_lifted(verdict);
        self.reply(StatusCode::OK, Vec::new(), 0)
    }

    fn error(&self, status: StatusCode, text: String) -> Reply {
        self.reply(status, vec![AnswerLine::Error { text }], 0)
    }

    fn reply(&self, status: StatusCode, mut lines: Vec<AnswerLine>, omitted: u64) -> Reply {
        let catalog = self.0.catalog.get();
        let version = catalog.as_ref().as_ref().map_or(0, |c| c.version());
        lines.push(AnswerLine::End {
            router: self.0.settings.node.clone(),
            revision: Revision(version),
            omitted,
        });
        let mut reply = Reply::new(full(AnswerLine::to_json(&lines)));
        *reply.status_mut() = status;
        let kind = HeaderValue::from_static("application/jsonl");
        reply.headers_mut().insert(CONTENT_TYPE, kind);
        reply
    }
}

impl Handler for OperatorPort {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(self.route(request))
    }
}

async fn read_statement(request: Request) -> Result<String, String> {
    let read = async {
        let body = collect(request.into_body(), TEXT_MAX_BYTES).await;
        body.map_err(|error| error.to_string())
    };
    let timeout = async {
        Timer::after(BODY_TIMEOUT).await;
        Err(format!(
            "the statement did not arrive within {BODY_TIMEOUT:?}: send it in one request"
        ))
    };
    let body = read.or(timeout).await?;
    String::from_utf8(body.into()).map_err(|_binary| "the statement is not UTF-8".to_owned())
}

const fn not_kept(what: &'static str) -> FactError {
    FactError::NotKept {
        what,
        remedy: REMEDY,
    }
}

/// The facts of a gateway: its endpoints.
struct NodeFacts<'a>(&'a Shared);

impl Facts for NodeFacts<'_> {
    fn now(&self) -> Time {
        self.0.now()
    }

    fn requests(&self, _visit: &mut dyn FnMut(&RequestRecord)) {}

    fn request(&self, _id: RequestId) -> Option<RequestRecord> {
        None
    }

    fn config(&self, _at: Option<Revision>) -> Result<ConfigFact, FactError> {
        Err(not_kept("the configuration"))
    }

    fn active_requests(&self, _account: &ClientAccount) -> u32 {
        0
    }

    fn endpoints(&self) -> Vec<EndpointFact> {
        let now = self.now();
        let stale = self
            .0
            .registry_polling()
            .is_stale(now, ReplicaKind::Endpoints);
        let directory = self.0.directory();
        let facts = directory.iter().filter_map(|e| endpoint_fact(now, e));
        let facts: Vec<EndpointFact> = facts.collect();
        drop(directory);
        let origins = self.0.origins();
        let facts = facts.into_iter().map(|fact| EndpointFact {
            fresh: !stale,
            version: fact
                .version
                .map(|v| version_fact(now, &origins, (&fact.pool, v))),
            ..fact
        });
        facts.collect()
    }

    fn hosts(&self) -> Result<Vec<HostFact>, FactError> {
        Err(not_kept("the host list"))
    }

    /// Returns this node; each gateway answers for itself.
    fn nodes(&self) -> Vec<NodeFact> {
        node_fact(self.0).into_iter().collect()
    }

    fn leases(&self) -> Result<Vec<LeaseFact>, FactError> {
        Err(not_kept("leases"))
    }

    fn quarantines(&self) -> Result<Vec<QuarantineFact>, FactError> {
        Ok(self.0.crashes().quarantines(self.now()))
    }

    fn changes(&self) -> Vec<ChangeFact> {
        Vec::new()
    }
}

fn node_fact(shared: &Shared) -> Option<NodeFact> {
    let now = shared.now();
    let catalog = shared.catalog.get();
    let version = catalog.as_ref().as_ref().map(|c| c.version());
    let age = shared
        .registry_polling()
        .freshness(ReplicaKind::Config)
        .age(now);
    let returns = shared.returns();
    let settings = &shared.settings;
    Some(NodeFact {
        node: settings.node.clone(),
        kind: "gateway".to_owned(),
        host: settings.listen.peers.ip().to_string().parse().ok()?,
        domain: settings.domain.clone(),
        address: settings.listen.peers.to_string(),
        revision: version.map(Revision),
        report_age: age.unwrap_or_default(),
        fresh: age.is_some(),
        draining: shared.out_of_rotation.is_set(),
        era: returns.era().map(|era| era.0),
        returned: returns.last_return().map(|at| now.since(at)),
    })
}

fn endpoint_fact(now: Time, endpoint: &Endpoint) -> Option<EndpointFact> {
    let entry = endpoint.entry();
    let unknown_region = || "unknown".parse::<Region>().ok();
    Some(EndpointFact {
        endpoint: entry.id.clone(),
        pool: entry.service.clone(),
        host: entry.address.ip().to_string().parse().ok()?,
        domain: entry.domain.clone(),
        region: endpoint.region().cloned().or_else(unknown_region)?,
        active: endpoint.calls(now).round() as u32,
        queued: 0,
        slots: entry.slots,
        pending: 0,
        report_age: endpoint.report_age(now),
        fresh: true,
        healthy: !endpoint.health().is_paused(now),
        draining: !endpoint.is_open(),
        models: Vec::new(),
        limit: endpoint.rate_limit().map(|limit| limit_fact(now, limit)),
        rest: endpoint
            .is_resting(now)
            .then(|| endpoint.rest_until().since(now)),
        leave_age: endpoint.leave().map(|leave| now.since(leave.said_at)),
        speed: endpoint.speed().map(|s| hundredths(s.lasting().recip())),
        contention: endpoint.speed().map(|s| hundredths(s.contention(now))),
        version: Some(VersionFact {
            version: entry.version.clone(),
            age: Duration::ZERO,
            new_streams: true,
        }),
    })
}

/// Returns a factor with two decimals.
fn hundredths(factor: f32) -> f64 {
    (f64::from(factor) * 100.0).round() / 100.0
}

/// Adds what a node knows of a service's version.
fn version_fact(
    now: Time,
    origins: &StreamOrigins,
    (service, fact): (&PoolName, VersionFact),
) -> VersionFact {
    let heard = origins.first_heard(service, &fact.version);
    let closed = origins.closed_versions(service);
    VersionFact {
        age: heard.map_or(Duration::ZERO, |at| now.since(at)),
        new_streams: !closed.contains(&fact.version),
        ..fact
    }
}

fn limit_fact(now: Time, limit: &RateLimit) -> LimitFact {
    LimitFact {
        rate: limit.rate.into(),
        age: now.since(limit.named_at),
        source: limit.source.to_string(),
        held_back: limit.held_back,
    }
}
