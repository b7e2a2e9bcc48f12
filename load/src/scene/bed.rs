//! A whole deployment in this process: stand-ins, agents and routers.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::Request;
use snipeyoke_agent::Agent;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::IdError;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_router::Router;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::settings;
use snipeyoke_runtime::settings::SettingsError;
use snipeyoke_runtime::threads::Execs;
use snipeyoke_runtime::threads::Threads;
use snipeyoke_standin::Running;
use snipeyoke_standin::Settings;
use snipeyoke_standin::Standin;

use crate::drive::Hand;
use crate::drive::HandError;

use super::Deployment;
use super::Scene;
use super::network::Network;
use super::ports;
use super::process;
use super::process::Place;
use super::process::RouterAddresses;
use super::publish;

/// The longest time until every router is ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// The pause between two looks whether a router is ready.
const READY_LOOK: Duration = Duration::from_millis(20);

/// The time for routers to hear the first reports of all agents.
const SETTLE: Duration = Duration::from_millis(1_200);

/// How a deployment is run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The routers' policy.
    pub policy: String,
    /// The seed of all stand-ins.
    pub seed: u64,
    /// Threads for the stand-ins, and as many for the agents.
    pub threads: usize,
}

/// The reason why a deployment does not run.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum BedError {
    /// The system refused a port or a thread.
    #[display("{_0}; close what holds ports or threads")]
    System(io::Error),
    /// A name is malformed.
    #[display("{_0}")]
    Name(IdError),
    /// Settings were refused.
    #[display("{_0}")]
    Settings(SettingsError),
    /// An agent did not start.
    #[display("{_0}")]
    Agent(snipeyoke_agent::StartError),
    /// A router did not start.
    #[display("{_0}")]
    Router(snipeyoke_router::StartError),
    /// The platform did not take the configuration.
    #[display("the configuration was not published: {_0}")]
    Publish(HandError),
    /// A router did not become ready.
    #[display("router {address} is not ready after {READY_LIMIT:?}: look at its log")]
    #[from(ignore)]
    NotReady {
        /// The router.
        address: SocketAddr,
    },
}

/// An endpoint with the agent beside it.
#[derive(Debug)]
pub struct Seat {
    /// The pool.
    pub pool: PoolName,
    /// The failure domain.
    pub domain: FailureDomain,
    /// The stand-in's address.
    pub endpoint: SocketAddr,
    settings: serde_json::Value,
    agent: Option<Agent>,
}

/// A running deployment.
#[derive(Debug)]
pub struct Bed {
    standins: Vec<Running>,
    platform: SocketAddr,
    seats: Vec<Seat>,
    routers: Vec<Router>,
    network: Network,
    agent_execs: Execs,
    threads: Vec<Threads>,
    client: Client,
}

impl Bed {
    /// Starts everything and waits until the routers are ready.
    ///
    /// # Errors
    ///
    /// Returns [`BedError`], whose message names the remedy.
    pub async fn start(
        deployment: &Deployment,
        options: &Options,
        scope: &Scope,
    ) -> Result<Self, BedError> {
        let outside = Threads::start(options.threads)?;
        let beside = Threads::start(options.threads)?;
        let scene = deployment.scene();
        let entry = Threads::start(scene.router_threads)?;
        let mut platform = scene.platform.clone();
        platform.seed = options.seed;
        let exec = outside.execs().traffic;
        let platform = Standin::start(&exec, Settings::Platform(platform))?;
        let mut bed = Self {
            platform: platform.address(),
            standins: vec![platform],
            seats: Vec::new(),
            routers: Vec::new(),
            network: Network::new(Duration::from_secs_f64(scene.distance_ms / 1e3)),
            agent_execs: beside.execs(),
            client: Client::new(scope.clone(), Duration::from_secs(1)),
            threads: Vec::new(),
        };
        bed.publish(deployment).await?;
        for place in Place::all(deployment) {
            bed.seat(&place, options, &outside.execs()).await?;
        }
        let peers = (0..scene.routers).map(|_| ports::free());
        let peers = peers.collect::<io::Result<Vec<SocketAddr>>>()?;
        for index in 0..scene.routers {
            let settings = bed.router(scene, index, &peers, options, &exec)?;
            bed.routers
                .push(Router::start(settings, &entry.execs()).await?);
        }
        bed.threads = vec![entry, beside, outside];
        bed.ready().await?;
        Ok(bed)
    }

    /// Returns the routers' addresses for callers.
    #[must_use]
    pub fn routers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(Router::callers).collect()
    }

    /// Returns the endpoints with their agents.
    #[must_use]
    pub fn seats(&self) -> &[Seat] {
        &self.seats
    }

    /// Returns the platform's address.
    #[must_use]
    pub const fn platform(&self) -> SocketAddr {
        self.platform
    }

    /// Cuts off every agent of a failure domain, as its loss would.
    pub async fn lose(&mut self, domain: &FailureDomain) {
        let lost = self.seats.iter_mut().filter(|s| s.domain == *domain);
        let agents: Vec<Agent> = lost.filter_map(|s| s.agent.take()).collect();
        join_all(agents.iter().map(Agent::stop)).await;
    }

    /// Begins or ends a partition of one failure domain from the others.
    ///
    /// Callers and the platform still reach both sides.
    pub fn cut(&self, domain: &FailureDomain, cut: bool) {
        self.network.cut(domain, cut);
    }

    /// Starts the agents of a lost failure domain again.
    ///
    /// # Errors
    ///
    /// Returns [`BedError`] if one can't start.
    pub async fn regain(&mut self, domain: &FailureDomain) -> Result<(), BedError> {
        let execs = &self.agent_execs;
        for seat in self.seats.iter_mut().filter(|s| s.domain == *domain) {
            if seat.agent.is_none() {
                seat.agent = Some(agent(&seat.settings, execs).await?);
            }
        }
        Ok(())
    }

    /// Drains routers and agents, stops the stand-ins and joins all threads.
    pub async fn stop(self) {
        join_all(self.routers.iter().map(Router::stop)).await;
        let agents = self.seats.iter().filter_map(|s| s.agent.as_ref());
        join_all(agents.map(Agent::stop)).await;
        self.network.stop().await;
        join_all(self.standins.into_iter().map(Running::stop)).await;
        for threads in self.threads {
            threads.join();
        }
    }

    async fn publish(&self, deployment: &Deployment) -> Result<(), BedError> {
        let records = publish::records(&deployment.scene().config)?;
        let hand = Hand::new(self.client.clone());
        hand.append(self.platform, "config", records).await?;
        Ok(())
    }

    async fn seat(
        &mut self,
        place: &Place<'_>,
        options: &Options,
        execs: &Execs,
    ) -> Result<(), BedError> {
        let mut settings = place.pool.endpoint.clone();
        let serial = self.standins.len() as u64;
        settings.set_seed(options.seed.wrapping_mul(1_000) + serial);
        let standin = Standin::start(&execs.traffic, settings)?;
        let endpoint = standin.address();
        self.standins.push(standin);
        let settings = place.agent(ports::free()?, endpoint, self.platform);
        let agent = agent(&settings, &self.agent_execs).await?;
        self.seats.push(Seat {
            pool: place.pool.name.clone(),
            domain: place.domain().clone(),
            endpoint,
            settings,
            agent: Some(agent),
        });
        Ok(())
    }

    fn router(
        &mut self,
        scene: &Scene,
        index: usize,
        peers: &[SocketAddr],
        options: &Options,
        exec: &Executor<'_>,
    ) -> Result<snipeyoke_router::settings::Settings, BedError> {
        let domain = process::domain(scene, index);
        let mut agents = Vec::new();
        for seat in &self.seats {
            let Some(agent) = &seat.agent else {
                continue;
            };
            let address = agent.address();
            agents.push(self.network.link(exec, domain, &seat.domain, address)?);
        }
        let mut routers = Vec::new();
        for (other, &address) in peers.iter().enumerate().filter(|(o, _)| *o != index) {
            let to = process::domain(scene, other);
            routers.push(self.network.link(exec, domain, to, address)?);
        }
        let at = RouterAddresses {
            callers: ports::free()?,
            control: ports::free()?,
            peers: peers[index],
            agents,
            routers,
            platform: self.platform,
        };
        let settings = process::router(scene, index, &options.policy, &at);
        let path = Path::new("router settings");
        Ok(settings::parse(path, &settings.to_string())?)
    }

    async fn ready(&self) -> Result<(), BedError> {
        let limit = Instant::now() + READY_LIMIT;
        for address in self.routers() {
            while !self.is_ready(address).await {
                if Instant::now() > limit {
                    return Err(BedError::NotReady { address });
                }
                Timer::after(READY_LOOK).await;
            }
        }
        Timer::after(SETTLE).await;
        Ok(())
    }

    async fn is_ready(&self, address: SocketAddr) -> bool {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = hyper::Uri::from_static("/readyz");
        let sent = self.client.send(address, request).await;
        sent.is_ok_and(|(response, _)| response.status().is_success())
    }
}

async fn agent(settings: &serde_json::Value, execs: &Execs) -> Result<Agent, BedError> {
    let path = Path::new("agent settings");
    let settings = settings::parse(path, &settings.to_string())?;
    Ok(Agent::start(settings, execs).await?)
}
