//! Starts and stops a deployment.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use snipeyoke_agent::Agent;
use snipeyoke_agent::settings::Endpoint;
use snipeyoke_agent::settings::EndpointKind;
use snipeyoke_lib::config::Change;
use snipeyoke_lib::ids::Revision;
use snipeyoke_router::Router;
use snipeyoke_router::settings::Bounds;
use snipeyoke_router::settings::Listen;
use snipeyoke_router::settings::OperatorKey;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::platform::HttpLog;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Execs;
use snipeyoke_standin::Running;
use snipeyoke_standin::Standin;
use snipeyoke_standin::settings::Settings;

use crate::error::SiteError;
use crate::plan::Plan;
use crate::plan::PoolPlan;
use crate::plan::key_digest;
use crate::publish::publish;

/// The key of the one operator whom the routers know.
pub const OPERATOR_KEY: &str = "operator-key-of-the-demo";

/// The longest time until every router is ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// The pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// The name and addresses of a running endpoint.
#[derive(Debug, Clone)]
pub struct EndpointAt {
    /// The endpoint's name.
    pub name: String,
    /// The pool's name.
    pub pool: String,
    /// The failure domain.
    pub domain: String,
    /// The stand-in's address, for faults.
    pub address: SocketAddr,
}

/// A running deployment.
#[derive(Debug)]
pub struct Site {
    /// The platform's address.
    pub platform: SocketAddr,
    /// The endpoints.
    pub endpoints: Vec<EndpointAt>,
    routers: Vec<Router>,
    agents: Vec<Agent>,
    standins: Vec<Running>,
    log: HttpLog,
    client: Client,
    scope: Scope,
    revision: Revision,
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Site {
    /// Starts everything in the plan and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] if something can't start or doesn't become ready.
    pub async fn start(plan: &Plan, execs: &Execs) -> Result<Self, SiteError> {
        let platform = Settings::Platform(plan.platform.clone());
        let platform = Standin::start(&execs.traffic, platform)?;
        let scope = Scope::new(Arc::clone(&execs.traffic));
        let client = Client::new(scope.clone(), Duration::from_secs(1));
        let log = HttpLog::new(client.clone(), platform.address());
        let mut site = Self {
            platform: platform.address(),
            endpoints: Vec::new(),
            routers: Vec::new(),
            agents: Vec::new(),
            standins: vec![platform],
            log,
            client,
            scope,
            revision: Revision(0),
        };
        for pool in &plan.pools {
            for index in 0..pool.count {
                site.add_endpoint(plan, pool, index, execs).await?;
            }
        }
        for index in 0..plan.routers {
            site.add_router(plan, index, execs).await?;
        }
        site.change(&plan.changes).await?;
        site.ready().await?;
        Ok(site)
    }

    async fn add_endpoint(
        &mut self,
        plan: &Plan,
        pool: &PoolPlan,
        index: usize,
        execs: &Execs,
    ) -> Result<(), SiteError> {
        let address = match pool.outside {
            Some(address) => address,
            None => self.add_standin(&pool.standin, execs)?,
        };
        let domain = &plan.domains[index % plan.domains.len()];
        let name = format!("{}-{index}", pool.name);
        let endpoint = Endpoint {
            id: name.parse()?,
            pool: pool.name.parse()?,
            address,
            kind: kind_of(&pool.standin),
            slots: pool.slots,
            queue: pool.queue,
        };
        let raw = snipeyoke_agent::settings::Raw {
            node: format!("{}-agent-{name}", plan.name).parse()?,
            host: format!("{}-host-{name}", plan.name).parse()?,
            domain: domain.parse()?,
            region: plan.region.parse()?,
            listen: loopback(),
            endpoint,
            platform: Some(self.platform),
            lease_s: snipeyoke_agent::settings::LEASE_S,
            threads: 1,
            log: "info".to_owned(),
        };
        let settings = snipeyoke_agent::settings::Settings::try_from(raw)?;
        self.agents.push(Agent::start(settings, execs).await?);
        self.endpoints.push(EndpointAt {
            name,
            pool: pool.name.clone(),
            domain: domain.clone(),
            address,
        });
        Ok(())
    }

    fn add_standin(&mut self, settings: &Settings, execs: &Execs) -> Result<SocketAddr, SiteError> {
        let standin = Standin::start(&execs.traffic, settings.clone())?;
        let address = standin.address();
        self.standins.push(standin);
        Ok(address)
    }

    /// Starts one more router, which need not be ready when this returns.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] if it can't start.
    pub async fn add_router(
        &mut self,
        plan: &Plan,
        index: usize,
        execs: &Execs,
    ) -> Result<(), SiteError> {
        let domain = &plan.domains[index % plan.domains.len()];
        let raw = snipeyoke_router::settings::Raw {
            node: format!("{}-router-{index}", plan.name).parse()?,
            host: format!("{}-entry-{index}", plan.name).parse()?,
            domain: domain.parse()?,
            region: plan.region.parse()?,
            listen: Listen {
                callers: loopback(),
                control: loopback(),
                peers: loopback(),
            },
            agents: self.agents.iter().map(Agent::address).collect(),
            routers: Vec::new(),
            platform: self.platform,
            policy: plan.policy,
            operators: vec![OperatorKey {
                name: "site".parse()?,
                digest: key_digest(OPERATOR_KEY),
            }],
            bounds: Bounds::default(),
            threads: 1,
            log: "info".to_owned(),
        };
        let settings = snipeyoke_router::settings::Settings::try_from(raw)?;
        self.routers.push(Router::start(settings, execs).await?);
        Ok(())
    }

    /// Publishes configuration changes, as an operator does.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::NotPublished`] if the log does not take them.
    pub async fn change(&mut self, changes: &[Change]) -> Result<(), SiteError> {
        self.revision = publish(&self.log, self.revision, changes).await?;
        Ok(())
    }

    /// Returns the addresses that callers connect to.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(Router::callers).collect()
    }

    /// Returns the addresses that operators connect to.
    #[must_use]
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(Router::operators).collect()
    }

    async fn ready(&self) -> Result<(), SiteError> {
        let looks = READY_LIMIT.as_millis() / LOOK.as_millis();
        for _look in 0..looks {
            let linked = self
                .routers
                .iter()
                .all(|r| r.reported_agents() == self.agents.len());
            if linked && self.all_ready().await {
                return Ok(());
            }
            Timer::after(LOOK).await;
        }
        Err(SiteError::NotReady)
    }

    async fn all_ready(&self) -> bool {
        for address in self.callers() {
            let Ok(request) = hyper::Request::get("/readyz").body(Full::<Bytes>::default()) else {
                return false;
            };
            match self.client.send(address, request).await {
                Ok((response, _kept)) if response.status().is_success() => {}
                _ => return false,
            }
        }
        true
    }

    /// Drains the routers, then the agents, and stops the stand-ins.
    pub async fn stop(self) {
        join_all(self.routers.iter().map(Router::leave)).await;
        join_all(self.agents.iter().map(Agent::leave)).await;
        for standin in self.standins {
            standin.stop().await;
        }
        self.scope.cancel().await;
    }
}

const fn kind_of(settings: &Settings) -> EndpointKind {
    match settings {
        Settings::Engine(_) => EndpointKind::Engine,
        Settings::Plain(_) | Settings::Platform(_) => EndpointKind::Plain,
    }
}
