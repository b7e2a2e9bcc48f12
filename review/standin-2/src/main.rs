//! The stand-ins of the second review: `review-standin-2 CASE FOLDER`.

mod http;
mod second;
mod site;
mod stage;
mod store;
mod unframed;
mod worker;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let is_troubled = !std::env::var("TROUBLE").is_ok_and(|t| t == "0");
    let held = match arguments.first().map(String::as_str) {
        Some("worker") => {
            worker::main(&arguments[1..]);
            return ExitCode::SUCCESS;
        }
        Some("stage") => {
            stage::main(&arguments[1..]);
            return ExitCode::SUCCESS;
        }
        Some("second") => second::run(Path::new(&arguments[1]), is_troubled),
        Some("unframed") => unframed::run(Path::new(&arguments[1]), is_troubled),
        _ => site::cannot_run("name a case"),
    };
    ExitCode::from(u8::from(!held))
}
