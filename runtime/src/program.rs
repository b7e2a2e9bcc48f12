//! Start, reload and shutdown common to all programs of the system.

use std::error::Error;
use std::io;
use std::io::Write;
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
use futures_lite::future;
use snipeyoke_lib::drain::Source;
use snipeyoke_lib::startup::Obstacle;
use snipeyoke_lib::startup::StartRetries;

use crate::clock::Clock;
use crate::faults;
use crate::logs;
use crate::logs::Output;
use crate::measures;
use crate::settings;
use crate::settings::Checked;
use crate::settings::SettingsError;
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
    type Settings: Checked<Error: 'static> + Clone;

    /// The reason why the program can't start.
    type StartError: Error + 'static;

    /// Returns the log filter.
    fn log_filter(settings: &Self::Settings) -> &str;

    /// Returns the number of traffic threads.
    fn thread_count(settings: &Self::Settings) -> usize;

    /// Starts the program on the given executors, once what it needs is there.
    ///
    /// Dropping the future gives up the start.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't start.
    fn start(
        settings: Self::Settings,
        execs: &Execs,
    ) -> impl Future<Output = Result<Self, Self::StartError>>;

    /// Applies new settings at run time; by default, keeps the old ones.
    fn reload(&self, _settings: Self::Settings) {
        log::info!(event = "settings-kept", remedy = "restart the process to apply new settings"; "");
    }

    /// Waits until the host list marks the host as leaving.
    fn leave_requested(&self) -> impl Future<Output = ()>;

    /// Waits until a part of the program has failed without which it is of no use.
    fn failed(&self) -> impl Future<Output = ()> {
        future::pending()
    }

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

/// The error of a process that ends by itself after its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, DeriveError)]
#[display("a part of the program panicked; report the panic and start the process again")]
pub struct Failed;

/// The reason why a process can't be set up.
#[derive(Debug)]
#[derive(Display, DeriveError)]
pub enum SetupError {
    /// Signals can't be handled.
    #[display("can't handle signals: {_0}; raise the descriptor limit")]
    Signals(io::Error),
    /// A thread can't be started.
    #[display("can't start a thread: {_0}; raise the limit on the threads of this user")]
    Threads(io::Error),
}

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
            // Standard error may be closed.
            let _unwritten = writeln!(io::stderr(), "{}: {error}", P::NAME);
            ExitCode::FAILURE
        }
    }
}

fn run<P: Program>(args: &Args) -> Result<(), Box<dyn Error>> {
    // Comes first, since the signals are blocked until here.
    let mut signals = HandledSignals::register()?;
    signals::unblock()?;
    faults::install(P::NAME)?;
    let path = args.path()?;
    if args.check {
        let _settings: P::Settings = settings::load(&path)?;
        println!("{}: good", path.display());
        return Ok(());
    }
    let Some(settings) = block_on(load_when_written::<P>(&path, &mut signals))? else {
        return Ok(());
    };
    logs::install(P::log_filter(&settings), P::LOG)?;
    measures::install();
    let threads = Threads::start(P::thread_count(&settings)).map_err(SetupError::Threads)?;
    let mut watch = Watch::new(&path);
    let started = block_on(start::<P>(settings, &threads, &mut signals, &mut watch));
    let result = match started {
        Ok(Some(program)) => {
            block_on(serve(&program, &mut signals, &mut watch)).map_err(Box::<dyn Error>::from)
        }
        Ok(None) => {
            log::info!(event = "start-ended", why = "a signal"; "");
            Ok(())
        }
        Err(error) => {
            log::error!(event = "start-failed", error = error.to_string().as_str(); "");
            Err(error.into())
        }
    };
    threads.join();
    logs::flush();
    result
}

/// The signals that a process handles.
struct HandledSignals {
    shutdown: ShutdownSignals,
    reload: ReloadSignals,
}

impl HandledSignals {
    fn register() -> Result<Self, SetupError> {
        Ok(Self {
            shutdown: ShutdownSignals::register().map_err(SetupError::Signals)?,
            reload: ReloadSignals::register().map_err(SetupError::Signals)?,
        })
    }
}

/// Loads the settings; waits while they are being written.
///
/// Returns `None` if the process is told to end.
async fn load_when_written<P: Program>(
    path: &Path,
    signals: &mut HandledSignals,
) -> Result<Option<P::Settings>, SettingsError> {
    let clock = Clock::start();
    let mut retries = StartRetries::new(Duration::ZERO);
    let load = async {
        loop {
            let error = match settings::load::<P::Settings>(path) {
                Ok(settings) => return Ok(Some(settings)),
                Err(error) if !error.is_unfinished() => return Err(error),
                Err(error) => error,
            };
            let pause = retries.on_failure(clock.now(), Obstacle::SettingsUnfinished);
            Timer::after(pause.ok_or(error)?).await;
        }
    };
    let stop = async {
        signals.shutdown.next().await;
        Ok(None)
    };
    load.or(stop).await
}

/// Starts a program; new settings take effect while the start waits.
///
/// Returns `None` if the process is told to end.
async fn start<P: Program>(
    mut settings: P::Settings,
    threads: &Threads,
    signals: &mut HandledSignals,
    watch: &mut Watch,
) -> Result<Option<P>, P::StartError> {
    enum Event<P, E> {
        Started(Result<P, E>),
        Stopped,
        Reloaded,
    }
    loop {
        let execs = threads.execs();
        let started = async { Event::Started(P::start(settings.clone(), &execs).await) };
        let stopped = async {
            signals.shutdown.next().await;
            Event::Stopped
        };
        let reloaded = async {
            reload_requested(&mut signals.reload, watch).await;
            Event::Reloaded
        };
        match started.or(stopped).or(reloaded).await {
            Event::Started(result) => return result.map(Some),
            Event::Stopped => return Ok(None),
            Event::Reloaded => settings = load_or_keep(watch.path()).unwrap_or(settings),
        }
    }
}

async fn serve<P: Program>(
    program: &P,
    signals: &mut HandledSignals,
    watch: &mut Watch,
) -> Result<(), Failed> {
    let signal = async {
        signals.shutdown.next().await;
        (Source::Signal, Ok(()))
    };
    let failed = async {
        program.failed().await;
        log::error!(event = "program-failed", outcome = "the process ends"; "");
        (Source::Signal, Err(Failed))
    };
    let reloads = async {
        loop {
            reload_requested(&mut signals.reload, watch).await;
            if let Some(settings) = load_or_keep(watch.path()) {
                program.reload(settings);
            }
        }
    };
    let host_list = async {
        program.leave_requested().await;
        (Source::HostList, Ok(()))
    };
    let (source, result) = signal.or(host_list).or(failed).or(reloads).await;
    // Further signals stay pending and do not interrupt the drain.
    program.drain(source).await;
    result
}

/// Waits for a reload signal or a changed settings file.
async fn reload_requested(signals: &mut ReloadSignals, watch: &mut Watch) {
    loop {
        let signal = async {
            signals.next().await;
            true
        };
        let poll = async {
            Timer::after(SETTINGS_POLL_INTERVAL).await;
            false
        };
        let signalled = signal.or(poll).await;
        if watch.has_changed() || signalled {
            return;
        }
    }
}

/// Loads new settings. Returns `None` for an invalid file, which must not stop a running
/// process.
fn load_or_keep<S: Checked>(path: &Path) -> Option<S> {
    let loaded = settings::load(path);
    if let Err(error) = &loaded {
        log::error!(event = "settings-refused", error = error.to_string().as_str(), outcome = "the old settings stay in force"; "");
    }
    loaded.ok()
}
