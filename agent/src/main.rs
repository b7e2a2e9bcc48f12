//! The agent's program: `snipeyoke-agent SETTINGS`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use futures_lite::FutureExt;
use futures_lite::future;
use snipeyoke_agent::Agent;
use snipeyoke_agent::settings::Settings;
use snipeyoke_lib::drain::Source;
use snipeyoke_runtime::logs;
use snipeyoke_runtime::measures;
use snipeyoke_runtime::settings;
use snipeyoke_runtime::signals::Leave;
use snipeyoke_runtime::threads::Threads;

/// The process beside an endpoint: its only gate.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// the settings file: JSON with comments
    #[argh(positional)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    match run(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("snipeyoke-agent: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), Box<dyn std::error::Error>> {
    let settings: Settings = settings::load(&args.settings)?;
    if args.check {
        println!("{}: good", args.settings.display());
        return Ok(());
    }
    logs::install(&settings.raw.log)?;
    measures::install();
    let mut leave = Leave::register()?;
    let threads = Threads::start(settings.raw.threads)?;
    let agent = Agent::start(settings, &threads.execs())?;
    future::block_on(async {
        let signal = async {
            leave.next().await;
            Source::Signal
        };
        let list = async {
            agent.told_to_leave().await;
            Source::HostList
        };
        let source = signal.or(list).await;
        // Another signal is only noted by the system: nothing is cut.
        agent.drain(source).await;
    });
    threads.join();
    log::logger().flush();
    Ok(())
}
