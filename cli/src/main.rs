//! The operators' program: `snipeyoke [--settings FILE] [-e TEXT | FILE]`.

use std::error::Error;
use std::fs;
use std::io::IsTerminal;
use std::io::Read;
use std::io::Write;
use std::path::PathBuf;
use std::pin::pin;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future;
use snipeyoke::exit::Exit;
use snipeyoke::exit::USAGE;
use snipeyoke::report::Report;
use snipeyoke::router::Http;
use snipeyoke::session::Session;
use snipeyoke::settings::Settings;
use snipeyoke::shell::Shell;
use snipeyoke_lib::query::Command;
use snipeyoke_lib::query::Statement;
use snipeyoke_lib::query::parse;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::settings;

/// Asks routers what is running, late or refused, and changes it.
///
/// Exit codes: 0 done; 2 wrong text, settings or options; 3 some routers could
/// not be asked; 4 refused or lost; 5 no router answered; 6 not known whether a
/// change took effect.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// the settings file, JSON with comments (default: snipeyoke.jsonc)
    #[argh(option, short = 's', default = "PathBuf::from(\"snipeyoke.jsonc\")")]
    settings: PathBuf,
    /// carry out this text and exit
    #[argh(option, short = 'e')]
    execute: Option<String>,
    /// write JSON, one object a line
    #[argh(switch)]
    json: bool,
    /// only show what each change would differ in
    #[argh(switch)]
    dry_run: bool,
    /// keep the history of the interactive mode in this file
    #[argh(option)]
    history: Option<PathBuf>,
    /// carry out this file ('-' for standard input) and exit
    #[argh(positional)]
    file: Option<PathBuf>,
}

/// The pause between two lines of progress.
const PROGRESS: Duration = Duration::from_secs(1);

struct Tool {
    session: Session,
    json: bool,
    dry_run: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(exit) => ExitCode::from(exit),
        Err(error) => {
            eprintln!("snipeyoke: {error}");
            ExitCode::from(USAGE)
        }
    }
}

fn run(args: &Args) -> Result<u8, Box<dyn Error>> {
    let settings: Settings = settings::load(&args.settings)?;
    let exec = Arc::new(Executor::new());
    let scope = Scope::new(Arc::clone(&exec));
    let client = Client::new(scope.clone(), settings.timeout);
    let routers = settings.routers.clone();
    let http = Http::new(client, settings);
    let mut tool = Tool {
        session: Session::new(routers, Arc::new(http)),
        json: args.json,
        dry_run: args.dry_run,
    };
    let work = async {
        let exit = match text(args)? {
            Some(text) => tool.script(&text).await?,
            None => tool.interact(args).await?,
        };
        scope.cancel().await;
        Ok(exit)
    };
    future::block_on(exec.run(work))
}

/// Returns the text to carry out, unless a person sits at the terminal.
fn text(args: &Args) -> Result<Option<String>, Box<dyn Error>> {
    if let Some(text) = &args.execute {
        return Ok(Some(text.clone()));
    }
    let stdin = std::io::stdin();
    match &args.file {
        Some(path) if path.as_os_str() != "-" => {
            let read = fs::read_to_string(path);
            let text = read.map_err(|e| format!("{}: {e}; check the path", path.display()))?;
            Ok(Some(text))
        }
        None if stdin.is_terminal() => Ok(None),
        _ => {
            let mut text = String::new();
            stdin.lock().read_to_string(&mut text)?;
            Ok(Some(text))
        }
    }
}

impl Tool {
    /// Carries out statements, and stops at the first that failed.
    async fn script(&mut self, text: &str) -> Result<u8, Box<dyn Error>> {
        let statements = parse(text)?;
        let mut worst = Exit::Done;
        for statement in &statements {
            worst = worst.max(self.carry_out(statement).await?);
            // A later statement may rely on an earlier one: going on after a
            // change that was lost would build on something that is not there.
            if worst > Exit::Partial {
                break;
            }
        }
        Ok(worst.code())
    }

    async fn interact(&mut self, args: &Args) -> Result<u8, Box<dyn Error>> {
        let mut shell = Shell::open(args.history.as_deref())?;
        while let Some(line) = shell.line()? {
            match parse(&line) {
                Ok(statements) => {
                    for statement in &statements {
                        self.carry_out(statement).await?;
                    }
                }
                Err(error) => eprintln!("{error}"),
            }
        }
        shell.close()?;
        Ok(Exit::Done.code())
    }

    async fn carry_out(&mut self, statement: &Statement) -> Result<Exit, Box<dyn Error>> {
        let statement = &self.planned(statement);
        let report = patient(self.session.run(statement)).await;
        self.print(&report)?;
        let Statement::Watch { every, .. } = statement else {
            return Ok(report.exit);
        };
        loop {
            self.session.pause(every.duration()).await;
            let report = self.session.run(statement).await;
            self.print(&report)?;
        }
    }

    fn planned(&self, statement: &Statement) -> Statement {
        let mut statement = statement.clone();
        if let Statement::Command(Command::Change(change)) = &mut statement {
            change.dry_run |= self.dry_run;
        }
        statement
    }

    fn print(&self, report: &Report) -> std::io::Result<()> {
        let text = if self.json {
            report.json()
        } else {
            report.text()
        };
        let mut out = std::io::stdout().lock();
        out.write_all(text.as_bytes())?;
        out.flush()
    }
}

/// Says on a terminal that an answer takes long.
async fn patient<T>(answer: impl Future<Output = T>) -> T {
    let mut answer = pin!(answer);
    let mut waited = Duration::ZERO;
    loop {
        let early = async { Some(answer.as_mut().await) };
        let late = async {
            Timer::after(PROGRESS).await;
            None
        };
        if let Some(answer) = early.or(late).await {
            return answer;
        }
        waited += PROGRESS;
        if std::io::stderr().is_terminal() {
            eprintln!("waiting for answers since {} s", waited.as_secs());
        }
    }
}
