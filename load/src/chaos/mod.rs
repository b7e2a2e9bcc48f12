//! Kills and pauses real processes under load, and counts effects by key.

mod caller;
mod fleet;
mod verdict;

use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use http_body_util::Full;
use hyper::Request;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use snipeyoke_lib::config::Config;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_standin::Fault;

use self::caller::BEARER;
use self::caller::Callers;
pub use self::caller::Operation;
pub use self::caller::Seen;
use self::fleet::Fleet;
pub use self::fleet::Size;
pub use self::verdict::Verdict;
use crate::drive::Hand;
use crate::scene::records;

/// The longest time to connect to a router.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// The time for the first leases and links.
const SETTLE: Duration = Duration::from_secs(4);

/// The time after the last fault in which leases are claimed anew.
const RECOVER: Duration = Duration::from_secs(8);

/// The most keys that are concluded at once.
const TOGETHER: usize = 32;

/// What a run does.
#[derive(Debug, Clone, Copy)]
pub struct Chaos {
    /// The processes.
    pub size: Size,
    /// Keys a second.
    pub rate: f64,
    /// How long faults go on.
    pub length: Duration,
    /// The mean pause between two faults.
    pub pause: Duration,
    /// The seed of faults and callers.
    pub seed: u64,
}

/// A fault that is set and taken back.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    KillRouter(usize),
    KillAgent(usize),
    PauseRouter(usize),
    PauseAgent(usize),
    LogAway,
    LogLoses,
    ServiceLoses(usize),
}

impl Trouble {
    fn draw(size: Size, rng: &mut Pcg64Mcg) -> Self {
        let router = rng.random_range(0..size.routers);
        let agent = rng.random_range(0..size.agents);
        match rng.random_range(0..10) {
            0 | 1 => Self::KillRouter(router),
            2 | 3 => Self::KillAgent(agent),
            4 => Self::PauseRouter(router),
            5 | 6 => Self::PauseAgent(agent),
            7 => Self::LogAway,
            8 => Self::LogLoses,
            _ => Self::ServiceLoses(agent),
        }
    }

    const fn kind(self) -> &'static str {
        match self {
            Self::KillRouter(_) => "routers killed",
            Self::KillAgent(_) => "agents killed",
            Self::PauseRouter(_) => "routers paused",
            Self::PauseAgent(_) => "agents paused",
            Self::LogAway => "log outages",
            Self::LogLoses => "logs losing answers",
            Self::ServiceLoses(_) => "services losing answers",
        }
    }

    /// Returns how long the fault lasts: pauses outlive a lease of 2 s or don't.
    fn length(self, rng: &mut Pcg64Mcg) -> Duration {
        let longest = match self {
            Self::KillRouter(_) | Self::KillAgent(_) => 1_000,
            _ => 5_000,
        };
        Duration::from_millis(rng.random_range(100..longest))
    }
}

struct Stage {
    fleet: Fleet,
    hand: Hand,
    counts: BTreeMap<&'static str, usize>,
    /// What is to be taken back, and when.
    open: Vec<(Instant, Trouble)>,
}

impl Chaos {
    /// Runs load and faults, and compares what was seen with what took effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the processes don't start or can't be asked.
    pub async fn run(self, scope: &Scope) -> Result<Verdict, Box<dyn Error>> {
        let client = Client::new(scope.clone(), CONNECT_LIMIT);
        let mut stage = Stage {
            fleet: Fleet::start(self.size)?,
            hand: Hand::new(client.clone()),
            counts: BTreeMap::new(),
            open: Vec::new(),
        };
        stage.publish(&client).await?;
        stage.fleet.heal()?;
        Timer::after(SETTLE).await;
        let callers = Arc::new(Callers::new(client, stage.fleet.doors.clone()));
        let work = Scope::new(scope.exec());
        self.trouble(&mut stage, &callers, &work).await?;
        stage.calm().await?;
        work.join().await;
        Timer::after(RECOVER).await;
        let mut operations = callers.take();
        for (index, batch) in operations.chunks_mut(TOGETHER).enumerate() {
            let seed = self.seed + index as u64;
            let all = batch.iter_mut().map(|o| callers.conclude(o, seed));
            futures_util::future::join_all(all).await;
        }
        let effects = stage.effects().await?;
        let mut verdict = Verdict::new(&operations, &effects, stage.counts);
        verdict.ended = stage.fleet.ends()?;
        Ok(verdict)
    }

    async fn trouble(
        &self,
        stage: &mut Stage,
        callers: &Arc<Callers>,
        work: &Scope,
    ) -> Result<(), Box<dyn Error>> {
        let mut rng = Pcg64Mcg::new(u128::from(self.seed) << 1 | 1);
        let start = Instant::now();
        let gap = Duration::from_secs_f64(1.0 / self.rate);
        let mut next = start;
        let mut sent = 0;
        while start.elapsed() < self.length {
            let due = start + gap * sent;
            Timer::at(due).await;
            sent += 1;
            let seed = self.seed.wrapping_mul(1_000_003) + u64::from(sent);
            work.spawn(Arc::clone(callers).operate(seed));
            stage.take_back(Instant::now()).await?;
            if Instant::now() >= next {
                next = Instant::now() + self.pause.mul_f64(rng.random_range(0.2..1.8));
                let trouble = Trouble::draw(self.size, &mut rng);
                let until = Instant::now() + trouble.length(&mut rng);
                stage.set(trouble, until).await?;
            }
        }
        Ok(())
    }
}

impl Stage {
    async fn publish(&self, client: &Client) -> Result<(), Box<dyn Error>> {
        let digest = format!("{:x}", Sha256::digest(BEARER.as_bytes()));
        let config: Config = serde_json::from_value(json!({
            "accounts": {"print": {"keys": [digest],
                "limits": {"requests": 100_000.0, "tokens": 1e9, "concurrency": 100_000}}},
            "pools": {"desk": {"price": 1.0, "path": "/approve"}},
            "pipelines": {"approve": {"deadline_ms": 2_000, "stages": [
                {"name": "approve", "role": "call", "pool": "desk", "idempotent": false}]}},
            "bindings": {"print": {"approve": "approve"}},
        }))?;
        let limit = Instant::now() + SETTLE;
        loop {
            let request = Request::post("/log/config/append");
            let request = request.body(Full::new(records(&config)?))?;
            match client.send(self.fleet.platform, request).await {
                Ok((response, _)) if response.status().is_success() => return Ok(()),
                _ if Instant::now() > limit => return Err("the platform does not answer".into()),
                _ => Timer::after(Duration::from_millis(50)).await,
            };
        }
    }

    async fn set(&mut self, trouble: Trouble, until: Instant) -> Result<(), Box<dyn Error>> {
        *self.counts.entry(trouble.kind()).or_default() += 1;
        self.open.push((until, trouble));
        match trouble {
            Trouble::KillRouter(index) => self.fleet.routers[index].kill()?,
            Trouble::KillAgent(index) => self.fleet.agents[index].kill()?,
            Trouble::PauseRouter(index) => self.fleet.routers[index].pause(true)?,
            Trouble::PauseAgent(index) => self.fleet.agents[index].pause(true)?,
            Trouble::LogAway => {
                let fault = Fault {
                    dead: true,
                    ..Fault::default()
                };
                self.hand.set_fault(self.fleet.platform, &fault).await?;
            }
            Trouble::LogLoses => {
                let fault = Fault {
                    lose: 0.5,
                    ..Fault::default()
                };
                self.hand.set_fault(self.fleet.platform, &fault).await?;
            }
            Trouble::ServiceLoses(index) => {
                let fault = Fault {
                    lose: 0.3,
                    ..Fault::default()
                };
                self.hand
                    .set_fault(self.fleet.services[index], &fault)
                    .await?;
            }
        }
        Ok(())
    }

    async fn take_back(&mut self, now: Instant) -> Result<(), Box<dyn Error>> {
        let (due, open) = self.open.drain(..).partition(|(until, _)| *until <= now);
        self.open = open;
        let due: Vec<(Instant, Trouble)> = due;
        for (_, trouble) in due {
            match trouble {
                Trouble::KillRouter(index) => self.fleet.routers[index].start()?,
                Trouble::KillAgent(index) => self.fleet.agents[index].start()?,
                Trouble::PauseRouter(index) => self.fleet.routers[index].pause(false)?,
                Trouble::PauseAgent(index) => self.fleet.agents[index].pause(false)?,
                Trouble::LogAway | Trouble::LogLoses => {
                    let well = Fault::default();
                    self.hand.set_fault(self.fleet.platform, &well).await?;
                }
                Trouble::ServiceLoses(index) => {
                    let well = Fault::default();
                    self.hand
                        .set_fault(self.fleet.services[index], &well)
                        .await?;
                }
            }
        }
        Ok(())
    }

    async fn calm(&mut self) -> Result<(), Box<dyn Error>> {
        let longest = Instant::now() + Duration::from_hours(1);
        self.take_back(longest).await?;
        self.fleet.heal()?;
        Ok(())
    }

    async fn effects(&self) -> Result<BTreeMap<String, u64>, Box<dyn Error>> {
        let mut effects = BTreeMap::new();
        for &service in &self.fleet.services {
            let told = self.hand.effects(service).await?;
            for (key, count) in told["effects"].as_object().into_iter().flatten() {
                *effects.entry(key.clone()).or_default() += count.as_u64().unwrap_or_default();
            }
        }
        Ok(effects)
    }
}
