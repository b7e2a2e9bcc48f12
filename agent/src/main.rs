//! The agent's program: `snipeyoke-agent SETTINGS`.

use std::process::ExitCode;

use snipeyoke_agent::Agent;
use snipeyoke_runtime::program;

fn main() -> ExitCode {
    program::main::<Agent>()
}
