//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use snipeyoke_load::experiment::FaultKind;

use crate::rolling::Rolling;

/// Open-loop load, experiments and reports for snipeyoke. Exit code 0: all
/// promises kept; 1: it could not run; 2: a promise was broken.
#[derive(Debug)]
#[derive(FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Run(Run),
    Experiment(Experiment),
    Report(Report),
    Check(Check),
    Rolling(Rolling),
    Chaos(Chaos),
    Overhead(Overhead),
    Publish(Publish),
    Settings(Settings),
}

/// Send the load of a deployment's mix to running routers.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// the deployment's file, for its mix
    #[argh(option)]
    pub deployment: PathBuf,
    /// a router's address for callers; may be given several times
    #[argh(option)]
    pub router: Vec<SocketAddr>,
    /// requests a second
    #[argh(option, default = "20.0")]
    pub rate: f64,
    /// seconds
    #[argh(option, default = "20.0")]
    pub seconds: f64,
    /// seed of arrivals and prompts
    #[argh(option, default = "1")]
    pub seed: u64,
    /// a JSON file with an array of faults to set on stand-ins on the way
    #[argh(option)]
    pub faults: Option<PathBuf>,
    /// where the samples go, one JSON line each
    #[argh(option)]
    pub out: Option<PathBuf>,
}

/// Run policies, loads and faults side by side, all in this process.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct Experiment {
    /// the deployment's file
    #[argh(option)]
    pub deployment: PathBuf,
    /// policies, separated by commas
    #[argh(
        option,
        default = "\"predicted,least-outstanding,round-robin\".to_owned()"
    )]
    pub policies: String,
    /// loads in percent of capacity, separated by commas
    #[argh(option, default = "\"50,80,100,150\".to_owned()")]
    pub loads: String,
    /// faults, separated by commas: plain, straggler, dead, fail-fast, domain,
    /// burst, partition, platform
    #[argh(option, default = "standard_faults()")]
    pub faults: String,
    /// requests a second that count as 100%; without it a ramp finds it
    #[argh(option)]
    pub capacity: Option<f64>,
    /// the policy that the ramp is run with
    #[argh(option, default = "\"predicted\".to_owned()")]
    pub ramp_policy: String,
    /// requests a second at which the ramp begins
    #[argh(option, default = "20.0")]
    pub ramp_from: f64,
    /// seconds of each run
    #[argh(option, default = "16.0")]
    pub seconds: f64,
    /// seed of everything drawn
    #[argh(option, default = "1")]
    pub seed: u64,
    /// runs at the same time, each with a deployment of its own
    #[argh(option, default = "1")]
    pub parallel: usize,
    /// threads for the stand-ins, and as many for the agents
    #[argh(option, default = "2")]
    pub threads: usize,
    /// where the cells go, one JSON line each
    #[argh(option, default = "PathBuf::from(\"cells.jsonl\")")]
    pub out: PathBuf,
    /// where the samples of all runs go, if anywhere
    #[argh(option)]
    pub samples: Option<PathBuf>,
    /// show the log of the processes at this level
    #[argh(option)]
    pub log: Option<String>,
}

fn standard_faults() -> String {
    let names: Vec<String> = FaultKind::TABLE.iter().map(ToString::to_string).collect();
    names.join(",")
}

/// Turn cells into tables on the terminal and a page with plots.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// files of cells
    #[argh(positional)]
    pub cells: Vec<PathBuf>,
    /// where the page goes
    #[argh(option)]
    pub html: Option<PathBuf>,
    /// a folder for the plots, one SVG each
    #[argh(option)]
    pub plots: Option<PathBuf>,
}

/// Compare samples with the effects that stand-ins really had.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// a file of samples
    #[argh(positional)]
    pub samples: PathBuf,
    /// a plain service stand-in; may be given several times
    #[argh(option)]
    pub standin: Vec<SocketAddr>,
}

/// Kill and pause real processes under load, and count effects by key.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "chaos")]
pub struct Chaos {
    /// seconds with faults
    #[argh(option, default = "60")]
    pub seconds: u64,
    /// the mean pause between two faults, in milliseconds
    #[argh(option, default = "500")]
    pub pause: u64,
    /// keys a second
    #[argh(option, default = "40.0")]
    pub rate: f64,
    /// routers
    #[argh(option, default = "3")]
    pub routers: usize,
    /// agents, each beside a service
    #[argh(option, default = "3")]
    pub agents: usize,
    /// the term of leases, in seconds
    #[argh(option, default = "2")]
    pub lease: u64,
    /// seed of faults and callers
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Measure what the system itself adds: latency over loopback and requests a
/// second of one router core. Use a release build.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct Overhead {
    /// the deployment's file, with endpoints that take next to no time
    #[argh(option, default = "PathBuf::from(\"examples/overhead.jsonc\")")]
    pub deployment: PathBuf,
    /// requests of each kind sent one after the other
    #[argh(option, default = "2000")]
    pub requests: u64,
    /// requests in flight while the rate is measured
    #[argh(option, default = "64")]
    pub flight: usize,
    /// seconds in which the rate is measured
    #[argh(option, default = "8.0")]
    pub seconds: f64,
    /// threads for the stand-ins, and as many for the agents
    #[argh(option, default = "3")]
    pub threads: usize,
}

/// Publish the configuration of a deployment on a platform's empty log.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// the deployment's file
    #[argh(option)]
    pub deployment: PathBuf,
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
}

/// Write the settings file of every process of a deployment.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct Settings {
    /// the deployment's file
    #[argh(option)]
    pub deployment: PathBuf,
    /// the folder to write to
    #[argh(option)]
    pub out: PathBuf,
    /// the first port
    #[argh(option, default = "7000")]
    pub port: u16,
}
