//! Runs stand-ins from their settings, for tests only.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use async_executor::Executor;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_lite::future;
use snipeyoke_standin::Running;
use snipeyoke_standin::Settings;
use snipeyoke_standin::SettingsError;
use snipeyoke_standin::Standin;

/// Stand-ins for the platform, model engines and plain services, for tests only.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Platform(Platform),
    Engine(Engine),
    Plain(Plain),
    All(All),
}

/// Run a platform: log service, host list and weight store.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

/// Run a model engine, encoder, retriever or reranker.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

/// Run a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
struct Plain {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

/// Run every stand-in of an array, each with its "kind".
#[derive(FromArgs)]
#[argh(subcommand, name = "all")]
struct All {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

#[derive(Debug)]
#[derive(Display, Error, From)]
enum RunError {
    #[display("{}: {source}", path.display())]
    #[from(ignore)]
    Settings {
        path: PathBuf,
        source: SettingsError,
    },
    #[display("{}: {source}; give a file that can be read", path.display())]
    #[from(ignore)]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[display("{}: its kind is not the subcommand's: use the one that fits", path.display())]
    #[from(ignore)]
    Kind { path: PathBuf },
    #[display("can't listen: {_0}; free the address or change `listen`")]
    Listen(std::io::Error),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args.what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("snipeyoke-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(what: What) -> Result<(), RunError> {
    let all = settings(what)?;
    let executor = Executor::new();
    let start = |settings| Standin::start(&executor, settings);
    let started: Result<Vec<Running>, _> = all.into_iter().map(start).collect();
    let running = started?;
    for standin in &running {
        println!("{}", standin.address());
    }
    future::block_on(executor.run(future::pending::<()>()));
    Ok(())
}

fn settings(what: What) -> Result<Vec<Settings>, RunError> {
    let (path, one) = match what {
        What::Platform(Platform { settings }) => (settings, Some("platform")),
        What::Engine(Engine { settings }) => (settings, Some("engine")),
        What::Plain(Plain { settings }) => (settings, Some("plain")),
        What::All(All { settings }) => (settings, None),
    };
    let text = fs::read_to_string(&path).map_err(|source| RunError::Read {
        path: path.clone(),
        source,
    })?;
    let failed = |source| RunError::Settings {
        path: path.clone(),
        source,
    };
    let Some(kind) = one else {
        return Settings::parse_all(&text).map_err(failed);
    };
    let settings = Settings::parse(&text).map_err(failed)?;
    let found = match settings {
        Settings::Platform(_) => "platform",
        Settings::Engine(_) => "engine",
        Settings::Plain(_) => "plain",
    };
    if found != kind {
        return Err(RunError::Kind { path });
    }
    Ok(vec![settings])
}
