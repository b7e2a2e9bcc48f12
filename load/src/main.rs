//! The load's program: `snipeyoke-load COMMAND`; `--help` lists the commands.

mod args;
mod commands;
mod rolling;

use std::process::ExitCode;

use snipeyoke_runtime::threads::Threads;

use crate::args::Args;
use crate::args::Command;

/// The threads that send requests and read answers.
const THREADS: usize = 2;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(error) => {
            eprintln!("snipeyoke-load: {error}");
            ExitCode::FAILURE
        }
    }
}

// Returns whether every promise was kept.
fn run(args: Args) -> Result<bool, Box<dyn std::error::Error>> {
    let threads = Threads::start(THREADS)?;
    let exec = threads.execs().traffic;
    let kept = match args.command {
        Command::Run(run) => commands::run(&run, exec),
        Command::Experiment(experiment) => commands::experiment(&experiment, exec),
        Command::Report(report) => commands::report(&report),
        Command::Check(check) => commands::check(&check, exec),
        Command::Rolling(args) => rolling::run(&args, exec),
        Command::Chaos(chaos) => commands::chaos(&chaos, exec),
        Command::Overhead(overhead) => commands::overhead(&overhead, exec),
        Command::Publish(publish) => commands::publish(&publish, exec),
        Command::Settings(settings) => commands::settings(&settings),
    };
    threads.join();
    kept
}
