//! The router's program: `snipeyoke-router SETTINGS`.

use std::process::ExitCode;

use snipeyoke_router::Router;
use snipeyoke_runtime::program;

fn main() -> ExitCode {
    program::main::<Router>()
}
