//! Load on real processes while they are restarted, seen through a balancer.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use hyper::Request;
use hyper::Uri;
use serde_json::Value;
use serde_json::json;
use snipeyoke_load::drive::Caller;
use snipeyoke_load::file;
use snipeyoke_load::file::Lines;
use snipeyoke_load::plan::Plan;
use snipeyoke_load::sample::Sample;
use snipeyoke_load::scene::Deployment;
use snipeyoke_load::scene::Scene;
use snipeyoke_load::scene::records;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Exec;

/// The time between two looks of the balancer at a router's readiness.
const READY_EVERY: Duration = Duration::from_millis(500);

/// The longest time until every router is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// The longest time to connect.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Ports between the kinds of processes of one deployment.
const STRIDE: u16 = 200;

/// Lay out settings for real processes, or load them while they are restarted.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "rolling")]
pub struct Rolling {
    /// the deployment's file
    #[argh(option)]
    pub deployment: PathBuf,
    /// only write settings for each process into this directory
    #[argh(option)]
    pub lay: Option<PathBuf>,
    /// the first port
    #[argh(option, default = "23000")]
    pub base: u16,
    /// requests a second
    #[argh(option, default = "40.0")]
    pub rate: f64,
    /// seconds
    #[argh(option, default = "60.0")]
    pub seconds: f64,
    /// seed of arrivals and prompts
    #[argh(option, default = "1")]
    pub seed: u64,
    /// where the samples go, one JSON line each
    #[argh(option)]
    pub out: Option<PathBuf>,
}

/// Carries out the subcommand; tells whether nothing was cut off or failed.
pub fn run(args: &Rolling, exec: Exec) -> Result<bool, Box<dyn Error>> {
    let deployment = Deployment::parse(&file::read_text(&args.deployment)?)?;
    let layout = Layout::new(deployment.scene(), args.base);
    if let Some(dir) = &args.lay {
        layout.write(dir)?;
        return Ok(true);
    }
    let scope = Scope::new(exec);
    let client = Client::new(scope.clone(), CONNECT_LIMIT);
    let platform = layout.platform();
    future::block_on(async {
        let config = records(&deployment.scene().config)?;
        post(&client, platform, "/log/config/append", config).await?;
        let hosts = Bytes::from(layout.hosts().to_string());
        post(&client, platform, "/hosts", hosts).await?;
        let balancer = Arc::new(Balancer::new(&scope, &layout.callers()));
        balancer.start(&scope).await?;
        let samples = drive(args, &deployment, &balancer, &scope).await;
        if let Some(path) = &args.out {
            Lines::append(path)?.write(&samples)?;
        }
        Ok(summary(&samples))
    })
}

async fn post(
    client: &Client,
    address: SocketAddr,
    path: &'static str,
    body: Bytes,
) -> Result<(), Box<dyn Error>> {
    let mut request = Request::post(Uri::from_static(path)).body(Full::new(body))?;
    request
        .headers_mut()
        .insert("content-type", "application/json".parse()?);
    let (response, _) = client.send(address, request).await?;
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    Err(format!("{address}{path} answered {status}: is the platform's stand-in up?").into())
}

/// Sends to ready routers in turn, as the platform's balancer does.
struct Balancer {
    routers: Vec<SocketAddr>,
    callers: Vec<Caller>,
    ready: Vec<AtomicBool>,
    turn: AtomicUsize,
    client: Client,
}

impl Balancer {
    fn new(scope: &Scope, routers: &[SocketAddr]) -> Self {
        let caller = |r: &SocketAddr| Caller::new(scope.clone(), &[*r], Duration::ZERO);
        Self {
            callers: routers.iter().map(caller).collect(),
            ready: routers.iter().map(|_| AtomicBool::new(false)).collect(),
            routers: routers.to_vec(),
            turn: AtomicUsize::new(0),
            client: Client::new(scope.clone(), CONNECT_LIMIT),
        }
    }

    async fn start(self: &Arc<Self>, scope: &Scope) -> Result<(), Box<dyn Error>> {
        for index in 0..self.routers.len() {
            let owner = Arc::clone(self);
            scope.spawn(async move { owner.watch(index).await });
        }
        let limit = Instant::now() + READY_LIMIT;
        while !self.ready.iter().all(|r| r.load(Ordering::SeqCst)) {
            if Instant::now() > limit {
                return Err("a router is not ready: look at its log".into());
            }
            Timer::after(READY_EVERY).await;
        }
        Ok(())
    }

    async fn watch(&self, index: usize) {
        loop {
            let mut request = Request::new(Full::default());
            *request.uri_mut() = Uri::from_static("/readyz");
            let sent = self.client.send(self.routers[index], request).await;
            let ready = sent.is_ok_and(|(response, _)| response.status().is_success());
            self.ready[index].store(ready, Ordering::SeqCst);
            Timer::after(READY_EVERY).await;
        }
    }

    fn next(&self) -> &Caller {
        for _ in 0..self.callers.len() {
            let index = self.turn.fetch_add(1, Ordering::SeqCst) % self.callers.len();
            if self.ready[index].load(Ordering::SeqCst) {
                return &self.callers[index];
            }
        }
        &self.callers[0]
    }
}

async fn drive(
    args: &Rolling,
    deployment: &Deployment,
    balancer: &Arc<Balancer>,
    scope: &Scope,
) -> Vec<Sample> {
    let start = Instant::now();
    let length = Duration::from_secs_f64(args.seconds);
    let (results, samples) = async_channel::unbounded();
    let plan = Plan::new(
        deployment.mixture().clone(),
        args.rate,
        Vec::new(),
        args.seed,
    );
    for planned in plan.take_while(|p| p.at < length) {
        Timer::at(start + planned.at).await;
        let balancer = Arc::clone(balancer);
        let results = results.clone();
        scope.spawn(async move {
            let sample = balancer.next().ask(&planned, start).await;
            // The receiver is kept below until every sender is gone.
            let _kept = results.try_send(sample);
        });
    }
    drop(results);
    let mut taken = Vec::new();
    while let Ok(sample) = samples.recv().await {
        taken.push(sample);
    }
    taken
}

/// Prints how the requests ended and tells whether all were whole.
fn summary(samples: &[Sample]) -> bool {
    let mut ends: BTreeMap<(String, String), usize> = BTreeMap::new();
    for sample in samples {
        let end = (sample.verdict.to_string(), sample.reason.clone());
        *ends.entry(end).or_default() += 1;
    }
    let late = samples.iter().filter(|s| s.is_late()).count();
    println!("requests={} late={late}", samples.len());
    for ((verdict, reason), count) in &ends {
        println!("verdict={verdict} reason={reason:?} count={count}");
    }
    ends.keys().all(|(verdict, _)| verdict == "whole")
}

/// Where each process of a deployment listens.
struct Layout<'a> {
    scene: &'a Scene,
    base: u16,
}

impl<'a> Layout<'a> {
    const fn new(scene: &'a Scene, base: u16) -> Self {
        Self { scene, base }
    }

    fn at(&self, kind: u16, index: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.base + kind * STRIDE + index))
    }

    fn platform(&self) -> SocketAddr {
        self.at(0, 0)
    }

    fn callers(&self) -> Vec<SocketAddr> {
        (0..self.routers()).map(|i| self.at(3, i)).collect()
    }

    fn routers(&self) -> u16 {
        u16::try_from(self.scene.routers).unwrap_or(u16::MAX)
    }

    fn seats(&self) -> Vec<Value> {
        let mut seats = Vec::new();
        for pool in &self.scene.pools {
            for index in 0..pool.count {
                let serial = u16::try_from(seats.len()).unwrap_or(u16::MAX);
                let domain = &self.scene.domains[index % self.scene.domains.len()];
                let mut endpoint = serde_json::to_value(&pool.endpoint).unwrap_or_default();
                endpoint["listen"] = json!(self.at(1, serial));
                let kind = endpoint["kind"].clone();
                let id = format!("{}-{}", pool.name, index + 1);
                let settings = json!({
                    "node": format!("agent-{id}"), "host": format!("host-{id}"),
                    "domain": domain, "region": self.scene.region,
                    "listen": self.at(2, serial), "platform": self.platform(),
                    "endpoint": {
                        "id": id, "pool": pool.name, "address": self.at(1, serial),
                        "kind": kind, "slots": pool.slots, "queue": pool.queue,
                    },
                });
                seats.push(json!({"endpoint": endpoint, "agent": settings}));
            }
        }
        seats
    }

    fn router(&self, index: u16) -> Value {
        let domains = &self.scene.domains;
        json!({
            "node": format!("router-{}", index + 1), "host": format!("entry-{}", index + 1),
            "domain": domains[usize::from(index) % domains.len()], "region": self.scene.region,
            "listen": {
                "callers": self.at(3, index), "control": self.at(4, index),
                "peers": self.at(5, index),
            },
            // No agent is named: routers meet them through the host list.
            "agents": [], "platform": self.platform(),
        })
    }

    fn hosts(&self) -> Value {
        let host = |settings: &Value, kind: &str, address: &Value, pool: &Value| {
            json!({
                "host": settings["host"], "domain": settings["domain"],
                "region": settings["region"], "state": "live",
                "nodes": [{"node": settings["node"], "kind": kind, "address": address, "pool": pool}],
            })
        };
        let agents = self.seats().into_iter().map(|s| {
            let agent = &s["agent"];
            host(agent, "agent", &agent["listen"], &agent["endpoint"]["pool"])
        });
        let routers = (0..self.routers()).map(|i| {
            let router = self.router(i);
            host(&router, "router", &router["listen"]["peers"], &Value::Null)
        });
        let hosts: Vec<Value> = agents.chain(routers).collect();
        json!({ "hosts": hosts })
    }

    fn write(&self, dir: &Path) -> Result<(), Box<dyn Error>> {
        fs::create_dir_all(dir)?;
        let mut platform = serde_json::to_value(&self.scene.platform)?;
        platform["kind"] = json!("platform");
        platform["listen"] = json!(self.platform());
        let mut standins = vec![platform];
        for (index, seat) in self.seats().into_iter().enumerate() {
            standins.push(seat["endpoint"].clone());
            let name = format!("agent-{index:02}.json");
            fs::write(dir.join(name), seat["agent"].to_string())?;
        }
        for index in 0..self.routers() {
            let name = format!("router-{index}.json");
            fs::write(dir.join(name), self.router(index).to_string())?;
        }
        fs::write(dir.join("standins.json"), Value::from(standins).to_string())?;
        fs::write(dir.join("hosts.json"), self.hosts().to_string())?;
        Ok(())
    }
}
