//! Start, reload and shutdown common to all programs of the system.

use std::error::Error;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use async_io::Timer;
use async_io::block_on;
use derive_more::Display;
use derive_more::Error as DeriveError;
use futures_lite::FutureExt;
use snipeyoke_lib::drain::Source;

use crate::faults;
use crate::logs;
use crate::logs::Output;
use crate::measures;
use crate::settings;
use crate::settings::Checked;
use crate::settings::Watch;
use crate::signals;
use crate::signals::ReloadSignals;
use crate::signals::ShutdownSignals;
use crate::threads::Execs;
use crate::threads::Threads;

/// A program of the system.
pub trait Program: Sized {
    /// The name of the binary.
    const NAME: &'static str;

    /// The destination of the log.
    const LOG: Output = Output::Stderr;

    /// The checked settings.
    type Settings: Checked<Error: 'static>;

    /// The reason why the program can't start.
    type StartError: Error + 'static;

    /// Returns the log filter.
    fn log_filter(settings: &Self::Settings) -> &str;

    /// Returns the number of traffic threads.
    fn thread_count(settings: &Self::Settings) -> usize;

    /// Starts the program on the given executors.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't start.
    fn start(settings: Self::Settings, execs: &Execs) -> Result<Self, Self::StartError>;

    /// Applies new settings at run time; by default, keeps the old ones.
    fn reload(&self, _settings: Self::Settings) {
        log::info!(event = "settings-kept", remedy = "restart the process to apply new settings"; "");
    }

    /// Waits until the host list marks the host as leaving.
    fn leave_requested(&self) -> impl Future<Output = ()>;

    /// Drains and stops the program.
    fn drain(&self, source: Source) -> impl Future<Output = ()>;
}

/// Run one process of snipeyoke from its settings file.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// the settings file: JSON with comments; defaults to the file named by the
    /// environment variable `SNIPEYOKE_SETTINGS`
    #[argh(positional)]
    settings: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// The error for a missing path of the settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, DeriveError)]
#[display("no settings file: pass one as argument or in {SETTINGS_VAR}")]
pub struct NoSettings;

/// The interval for polling the settings file.
///
/// Operators who change the file without a signal expect it in force within seconds.
/// A poll reads a few hundred bytes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The environment variable with the path of the settings file.
const SETTINGS_VAR: &str = "SNIPEYOKE_SETTINGS";

impl Args {
    fn path(&self) -> Result<PathBuf, NoSettings> {
        let named = std::env::var_os(SETTINGS_VAR).map(PathBuf::from);
        self.settings.clone().or(named).ok_or(NoSettings)
    }
}

/// Defines `main` of the binary of a [`Program`].
///
/// Shutdown and reload signals are blocked from before `main` until the program
/// handles them, since by default they would end the process.
#[macro_export]
macro_rules! program {
    ($program:ty) => {
        $crate::ctor::declarative::ctor! {
            #[ctor(unsafe)]
            fn block_signals() {
                $crate::signals::block();
            }
        }

        fn main() -> ::std::process::ExitCode {
            $crate::program::main::<$program>()
        }
    };
}

/// Runs a program until it ends; the body of `main`.
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
    // Comes first, since the signals are blocked until here.
    let shutdown = ShutdownSignals::register()?;
    let reload = ReloadSignals::register()?;
    signals::unblock()?;
    faults::install(P::NAME)?;
    let path = args.path()?;
    let settings: P::Settings = settings::load(&path)?;
    if args.check {
        println!("{}: good", path.display());
        return Ok(());
    }
    logs::install(P::log_filter(&settings), P::LOG)?;
    measures::install();
    let threads = Threads::start(P::thread_count(&settings))?;
    let program = P::start(settings, &threads.execs())?;
    block_on(serve(&program, shutdown, reload, &path));
    threads.join();
    log::logger().flush();
    Ok(())
}

async fn serve<P: Program>(
    program: &P,
    mut shutdown: ShutdownSignals,
    mut reload: ReloadSignals,
    path: &Path,
) {
    let signal = async {
        shutdown.next().await;
        Source::Signal
    };
    let reloads = async {
        let mut watch = Watch::new(path);
        loop {
            let signal = async {
                reload.next().await;
                true
            };
            let poll = async {
                Timer::after(SETTINGS_POLL_INTERVAL).await;
                false
            };
            let signalled = signal.or(poll).await;
            if watch.has_changed() || signalled {
                reload_settings(program, path);
            }
        }
    };
    let host_list = async {
        program.leave_requested().await;
        Source::HostList
    };
    let source = signal.or(host_list).or(reloads).await;
    // Further signals stay pending and do not interrupt the drain.
    program.drain(source).await;
}

// An invalid file must not stop a running process: the old settings stay in force.
fn reload_settings<P: Program>(program: &P, path: &Path) {
    match settings::load::<P::Settings>(path) {
        Ok(settings) => program.reload(settings),
        Err(error) => {
            log::error!(event = "settings-refused", error = error.to_string().as_str(), outcome = "the old settings stay in force"; "");
        }
    }
}
