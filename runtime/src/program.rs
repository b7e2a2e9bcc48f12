//! The way every process of the system starts, runs and leaves.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use futures_lite::FutureExt;
use futures_lite::future;
use snipeyoke_lib::drain::Source;

use crate::logs;
use crate::measures;
use crate::settings;
use crate::settings::Checked;
use crate::signals::Leave;
use crate::threads::Execs;
use crate::threads::Threads;

/// A process of the system.
pub trait Program: Sized {
    /// The name of its binary.
    const NAME: &'static str;

    /// Its checked settings.
    type Settings: Checked<Error: 'static>;

    /// The reason why it can't start.
    type StartError: Error + 'static;

    /// Returns the log filter.
    fn log_filter(settings: &Self::Settings) -> &str;

    /// Returns the number of traffic threads.
    fn thread_count(settings: &Self::Settings) -> usize;

    /// Starts it on the given executors.
    ///
    /// # Errors
    ///
    /// Returns what keeps it from starting.
    fn start(settings: Self::Settings, execs: &Execs) -> Result<Self, Self::StartError>;

    /// Waits until the host list says that its host leaves.
    fn told_to_leave(&self) -> impl Future<Output = ()>;

    /// Drains and ends it.
    fn drain(&self, source: Source) -> impl Future<Output = ()>;
}

/// Run one process of snipeyoke from its settings file.
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

/// Runs a program to its end, as the body of `main`.
#[must_use]
pub fn main<P: Program>() -> ExitCode {
    match run::<P>(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", P::NAME);
            ExitCode::FAILURE
        }
    }
}

fn run<P: Program>(args: &Args) -> Result<(), Box<dyn Error>> {
    let settings: P::Settings = settings::load(&args.settings)?;
    if args.check {
        println!("{}: good", args.settings.display());
        return Ok(());
    }
    logs::install(P::log_filter(&settings))?;
    measures::install();
    let leave = Leave::register()?;
    let threads = Threads::start(P::thread_count(&settings))?;
    let program = P::start(settings, &threads.execs())?;
    future::block_on(serve(&program, leave));
    threads.join();
    log::logger().flush();
    Ok(())
}

async fn serve(program: &impl Program, mut leave: Leave) {
    let signal = async {
        leave.next().await;
        Source::Signal
    };
    let list = async {
        program.told_to_leave().await;
        Source::HostList
    };
    let source = signal.or(list).await;
    // Another signal is only noted by the system: nothing is cut.
    program.drain(source).await;
}
